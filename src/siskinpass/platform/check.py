"""Find every fault of a settings file or a configuration document."""

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
from siskinpass.platform.settings_file import decode_settings

Decode = Callable[[Mapping[str, Any]], object]
SECTION_DECODERS: tuple[tuple[str, Decode], ...] = (
    ('routes', decode_route),
    ('services', decode_service),
    ('tenants', decode_workspace),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """Tell what is wrong and where.

    :param path: place in the document, empty for the whole of it.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Return one line."""
        return f'{self.path}: {self.reason}' if self.path else self.reason


def find_faults(text: bytes) -> list[Fault]:
    """Return the faults of a document, none where it is right.

    A document with routes is a configuration, any other a settings file. YAML
    and JSON are read.
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
        yield Fault(name, 'is not a list')
        return
    for number, row in enumerate(rows):
        path = f'{name}/{number}'
        if not isinstance(row, dict):
            yield Fault(path, 'is not a table')
            continue
        try:
            decode(row)
        except FormatError as error:
            yield Fault(path, str(error))
