"""Read typed fields of decoded documents."""

from collections.abc import Mapping
from typing import Any, TypeVar

import orjson

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError

Kind = TypeVar('Kind')
MS_PER_S = 1000

NUMBER = (int, float)


def as_table(found: Any, name: str) -> dict[str, Any]:
    """Return a decoded value that has to be a table.

    :param name: what it is, for the fault.
    :raises FormatError: where it is something else.
    """
    if not isinstance(found, dict):
        raise FormatError(Code.document_wrong, f'{name}: not a table')
    return found


def read_json_table(body: bytes, name: str) -> dict[str, Any]:
    """Return the table that a JSON body holds.

    :param name: what it is, for the fault.
    :raises FormatError: where it cannot be read or holds something else.
    """
    try:
        return as_table(orjson.loads(body), name)
    except orjson.JSONDecodeError as error:
        raise FormatError(Code.document_wrong, str(error)) from error


def read_field(
    table: Mapping[str, Any],
    name: str,
    kind: type[Kind] | tuple[type, ...],
    default: Any = None,
) -> Any:
    """Return one field of a table.

    :raises FormatError: where it is missing without a default, or of another
        type.
    """
    found = table.get(name, default)
    is_flag = isinstance(found, bool) and kind is not bool
    if is_flag or not isinstance(found, kind):
        raise FormatError(Code.document_wrong, f'{name}: {found!r:.60}')
    return found


def read_seconds(
    table: Mapping[str, Any],
    name: str,
    default_ms: float | None = None,
) -> float:
    """Return a field of milliseconds in seconds."""
    return read_field(table, name, NUMBER, default_ms) / MS_PER_S


def read_tables(
    table: Mapping[str, Any],
    name: str,
) -> list[Mapping[str, Any]]:
    """Return a field that is a list of tables."""
    rows = read_field(table, name, list, [])
    return [as_table(row, name) for row in rows]
