"""Find all errors in a settings file or a configuration document."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import yaml

from siskinpass.exceptions import FormatError, SettingsError
from siskinpass.platform.config import (
    decode_config,
    decode_route,
    decode_service,
    decode_workspace,
)
from siskinpass.platform.fields import read_json_table
from siskinpass.platform.settings_file import decode_settings
from siskinpass.version.routes import RouteTable

Decode = Callable[[Mapping[str, Any]], object]
SECTION_DECODERS: tuple[tuple[str, Decode], ...] = (
    ('routes', decode_route),
    ('services', decode_service),
    ('tenants', decode_workspace),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in a document and where it is.

    :param path: section and index of the entry, such as ``routes/2``; empty
        if the error concerns the whole document.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        return f'{self.path}: {self.reason}' if self.path else self.reason


def find_faults(text: bytes) -> list[Fault]:
    """Return the errors in a document; an empty list if it is valid.

    A document with a ``routes`` field is checked as a configuration, any
    other as a settings file.

    :param text: YAML or JSON.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return [Fault('', str(error))]
    if isinstance(document, dict) and 'routes' in document:
        return list(_config_faults(document))
    try:
        decode_settings(text)
    except SettingsError as error:
        return [Fault('', str(error))]
    return []


def read_routes(text: bytes) -> RouteTable | None:
    """Return the route table of a configuration document.

    :param text: YAML or JSON.
    :returns: ``None`` if the document is not a configuration.
    :raises FormatError: if the configuration has errors.
    """
    document = yaml.safe_load(text)
    if isinstance(document, dict) and 'routes' in document:
        return decode_config(document)
    return None


def read_stored_routes(body: bytes) -> RouteTable:
    """Return the route table of a configuration object of the store.

    :raises FormatError: if the object or the configuration has errors.
    """
    return decode_config(read_json_table(body, 'object').get('spec'))


def _config_faults(document: dict[str, Any]) -> Iterator[Fault]:
    found = False
    for name, decode in SECTION_DECODERS:
        for fault in _row_faults(name, document.get(name, []), decode):
            found = True
            yield fault
    if found:
        return
    try:
        decode_config(document)
    except FormatError as error:
        yield Fault('', str(error))


def _row_faults(
    name: str,
    rows: Any,
    decode: Decode,
) -> Iterator[Fault]:
    if not isinstance(rows, list):
        yield Fault(name, 'expected a list')
        return
    for number, row in enumerate(rows):
        path = f'{name}/{number}'
        if not isinstance(row, dict):
            yield Fault(path, 'expected a mapping')
            continue
        try:
            decode(row)
        except FormatError as error:
            yield Fault(path, str(error))
