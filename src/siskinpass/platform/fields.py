"""Read typed fields of decoded documents."""

import ipaddress
import reprlib
from collections.abc import Mapping
from typing import Any, TypeVar

import orjson

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.salvage import salvage_json

Kind = TypeVar('Kind')
MS_PER_S = 1000

NUMBER = (int, float)
MAX_WHOLE = 9_223_372_036_854_775_807  # of a signed 64-bit field
MAX_PORT = 65_535
PORT_DIGITS = 5


def as_table(found: Any, name: str) -> dict[str, Any]:
    """Return a decoded value if it is a mapping.

    :param name: what the value is, for the error message.
    :raises FormatError: if the value is of any other type.
    """
    if not isinstance(found, dict):
        raise FormatError(Code.document_wrong, f'{name}: expected a mapping')
    return found


def read_json_table(body: bytes, name: str) -> dict[str, Any]:
    """Return the object in a JSON body.

    Values that cannot be represented are ``None``.

    :param name: what the body is, for the error message.
    :raises FormatError: if the body is not JSON or not an object.
    """
    try:
        return as_table(_parse(body), name)
    except ValueError as error:
        raise FormatError(Code.document_wrong, str(error)) from error


def _parse(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return salvage_json(body)


def read_field(
    table: Mapping[str, Any],
    name: str,
    kind: type[Kind] | tuple[type, ...],
    default: Any = None,
) -> Any:
    """Return the value of a field.

    A boolean is accepted only where ``kind`` is ``bool``, although ``bool``
    is a subclass of ``int``.

    :param kind: expected type or types.
    :param default: value if the field is missing; ``None`` if the field is
        required.
    :raises FormatError: if the field is missing without a default, or has
        another type.
    """
    found = table.get(name, default)
    is_flag = isinstance(found, bool) and kind is not bool
    if is_flag or not isinstance(found, kind):
        raise FormatError(
            Code.document_wrong,
            f'{name}: missing or of the wrong type: {reprlib.repr(found)}',
        )
    return found


def read_whole(
    table: Mapping[str, Any],
    name: str,
    default: int | None = None,
    most: int = MAX_WHOLE,
) -> int:
    """Return a field that is a whole number from 0.

    :param default: value if the field is missing; ``None`` if the field is
        required.
    :param most: largest number allowed.
    :raises FormatError: if the field is missing without a default, of another
        type or out of range.
    """
    found = read_field(table, name, int, default)
    if not 0 <= found <= most:
        raise FormatError(
            Code.document_wrong, f'{name}: out of range: {str(found):.60}'
        )
    return found


def read_address(table: Mapping[str, Any], name: str) -> str:
    """Return a field that is an address, ``ip:port``.

    :raises FormatError: if the field is missing or anything else.
    """
    address = read_field(table, name, str)
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdecimal() and len(port) <= PORT_DIGITS
    if not is_port or not 0 < int(port) <= MAX_PORT or not _is_ip(host):
        raise FormatError(
            Code.document_wrong, f'{name}: expected ip:port, got {address:.60}'
        )
    return address


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def read_seconds(
    table: Mapping[str, Any],
    name: str,
    default_ms: float | None = None,
) -> float:
    """Return a field given in milliseconds, converted to seconds.

    :param default_ms: value in milliseconds if the field is missing; ``None``
        if the field is required.
    :raises FormatError: if the field is missing without a default, or is not
        a number.
    """
    return read_field(table, name, NUMBER, default_ms) / MS_PER_S


def read_tables(
    table: Mapping[str, Any],
    name: str,
) -> list[Mapping[str, Any]]:
    """Return a field that is a list of mappings, empty if it is missing.

    :raises FormatError: if the field is not a list, or an item of it is not a
        mapping.
    """
    rows = read_field(table, name, list, [])
    return [as_table(row, name) for row in rows]
