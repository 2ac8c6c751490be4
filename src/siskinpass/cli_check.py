"""Command that checks a document."""

import sys
from pathlib import Path

from siskinpass.codes import Code
from siskinpass.exceptions import SettingsError
from siskinpass.platform.check import find_faults

STATUS_FAULTS = 1


def check(path: Path) -> None:
    """Print every error in a settings file or configuration document.

    Exits with 0 if there is none, with 1 after printing one line for each
    error, and with 2 if the file cannot be read.

    :param path: file in YAML or JSON.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error
    faults = find_faults(text)
    for fault in faults:
        sys.stdout.write(f'{fault}\n')
    if faults:
        sys.exit(STATUS_FAULTS)
