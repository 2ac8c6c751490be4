"""Run one entry instance, configured by the platform's settings file."""

import os
import sys
from pathlib import Path

from siskinpass.exceptions import SettingsError
from siskinpass.platform.settings_file import SETTINGS_VARIABLE, read_settings
from siskinpass.process.fleet.early_listeners import listen_early
from siskinpass.process.fleet.settings import apply_environment

STATUS_WRONG = 2


def main() -> int:
    """Serve requests and return the exit status, 2 for invalid settings."""
    try:
        settings = apply_environment(
            read_settings(Path(os.environ.get(SETTINGS_VARIABLE, ''))),
            os.environ,
        )
    except SettingsError as error:
        sys.stderr.write(f'siskinpass: {int(error.code)} {error}\n')
        return STATUS_WRONG
    early = listen_early(
        (settings.callers, settings.directory), settings.other_seeds
    )
    # Most of the program is loaded only once callers can connect.
    from siskinpass.process.fleet.serve import serve  # noqa: PLC0415

    serve(settings, early)
    return 0


sys.exit(main())
