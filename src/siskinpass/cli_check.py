"""Command that checks a document before it is used."""

import sys
from collections.abc import Iterable
from pathlib import Path

import urllib3

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError, SettingsError
from siskinpass.platform.check import (
    find_faults,
    read_routes,
    read_stored_routes,
)
from siskinpass.platform.config import CONFIG_KIND, CONFIG_NAME
from siskinpass.platform.objects import STATUS_OK, object_path
from siskinpass.version.routes import RouteTable
from siskinpass.version.table_check import (
    find_contradictions,
    find_differences,
    find_unmatched,
)

STATUS_FAULTS = 1
STORE_TIMEOUT_S = 5.0


def check(
    path: Path,
    *,
    against: Path | None = None,
    store: str = '',
    strict: bool = False,
) -> None:
    """Check a settings file or a configuration document before it is used.

    Prints one line for each error. For a configuration without errors it also
    prints a warning for each entry that no request can match and for limits
    that contradict each other, and what differs from the version in force.

    Exits with 0 if there is no error, with 1 if there is one, and with 2 if a
    document cannot be read.

    :param path: file in YAML or JSON.
    :param against: file with the configuration in force.
    :param store: ``host:port`` of the store to read the configuration in force
        from.
    :param strict: whether warnings count as errors.
    """
    text = _read(path)
    faults = find_faults(text)
    _print('', faults)
    warnings: list[str] = []
    if not faults:
        table = read_routes(text)
        if table is not None:
            warnings = [*find_unmatched(table), *find_contradictions(table)]
            _print('warning: ', warnings)
            _print_changes(table, against, store)
    if faults or (strict and warnings):
        sys.exit(STATUS_FAULTS)


def _print_changes(table: RouteTable, against: Path | None, store: str) -> None:
    try:
        in_force = _in_force(against, store)
    except FormatError as error:
        raise SettingsError(
            Code.setting_wrong, f'configuration in force: {error}'
        ) from error
    if in_force is not None:
        _print('change: ', find_differences(in_force, table))


def _in_force(against: Path | None, store: str) -> RouteTable | None:
    if against is not None:
        return read_routes(_read(against))
    if store:
        return read_stored_routes(_fetch(store))
    return None


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


def _fetch(store: str) -> bytes:
    url = f'http://{store}{object_path(CONFIG_KIND, CONFIG_NAME)}'
    try:
        answer = urllib3.request(
            'GET', url, timeout=STORE_TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise SettingsError(Code.store_down, str(error)) from error
    if answer.status != STATUS_OK:
        raise SettingsError(Code.store_down, f'status {answer.status}')
    return answer.data


def _print(prefix: str, lines: Iterable[object]) -> None:
    for line in lines:
        sys.stdout.write(f'{prefix}{line}\n')
