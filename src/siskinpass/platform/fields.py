"""Read typed fields of decoded documents."""

from collections.abc import Mapping
from typing import Any, TypeVar

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError

Kind = TypeVar('Kind')
MS_PER_S = 1000

NUMBER = (int, float)


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
    for row in rows:
        if not isinstance(row, dict):
            raise FormatError(Code.document_wrong, f'{name}: {row!r:.60}')
    return rows
