"""Check a document from the command line."""

import sys
from pathlib import Path

from siskinpass.codes import Code
from siskinpass.exceptions import SettingsError
from siskinpass.platform.check import find_faults

STATUS_FAULTS = 1


def check(path: Path) -> None:
    """Tell every fault of a settings file or configuration document.

    Exits with 0 where there is none, with 1 after printing one line for each,
    with 2 where the file cannot be read.

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
