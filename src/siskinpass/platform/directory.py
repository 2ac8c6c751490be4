"""Translate callers' directory look-ups and stored membership records.

Callers look up which instances to connect to; instances store their own
membership record in the platform's object store.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import (
    as_table,
    read_address,
    read_field,
    read_whole,
)
from siskinpass.process.membership import Member

PATH = '/-/resolution'
MAX_COUNT = 4_294_967_295  # of a 32-bit field


@dataclass(frozen=True, slots=True)
class ResolutionQuery:
    """A caller's look-up of the instances that it should connect to.

    :param host: host name that the caller wants to reach.
    :param zone: availability zone of the caller, empty if unknown.
    """

    host: str
    zone: str


def decode_resolution_query(target: str) -> ResolutionQuery | None:
    """Return a caller's look-up, or ``None`` for any other path.

    :param target: path and query of the request.
    """
    parts = urlsplit(target)
    if parts.path != PATH:
        return None
    query = parse_qs(parts.query)
    return ResolutionQuery(
        query.get('name', [''])[0],
        query.get('zone', [''])[0],
    )


def encode_resolution(addresses: Iterable[str], keep_s: float) -> bytes:
    """Return the response body of a look-up.

    :param addresses: instances to use, as ``ip:port``.
    :param keep_s: how long the caller may cache the answer, in seconds.
    """
    return orjson.dumps({'addresses': list(addresses), 'ttl-s': keep_s})


def encode_member(member: Member) -> dict[str, Any]:
    """Return the membership record of an instance for the object store."""
    return asdict(member)


def decode_member(body: Any) -> Member | None:
    """Return the instance that a stored membership record describes.

    Returns ``None`` if a field is missing, of another type or out of range.
    """
    try:
        return _decode_member(as_table(body, 'instance'))
    except FormatError:
        return None


def _decode_member(table: dict[str, Any]) -> Member:
    callers = table.get('caller_address')
    return Member(
        name=read_field(table, 'name', str),
        peer_address=read_address(table, 'peer_address'),
        caller_address=read_address(table, 'caller_address') if callers else '',
        zone=read_field(table, 'zone', str, ''),
        incarnation=read_whole(table, 'incarnation', 0),
        counter=read_whole(table, 'counter', 0, MAX_COUNT),
        state=read_whole(table, 'state', 0, MAX_COUNT),
        tree_version=read_whole(table, 'tree_version', 0),
        capacity=read_whole(table, 'capacity', 0, MAX_COUNT),
    )
