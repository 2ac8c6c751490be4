"""Translate what callers and instances ask of the directory."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from siskinpass.process.membership import Member

PATH = '/-/resolution'


@dataclass(frozen=True, slots=True)
class ResolutionQuery:
    """Ask which instances a caller should use.

    :param host: host that the caller wants to reach.
    :param zone: availability zone of the caller, empty where unknown.
    """

    host: str
    zone: str


def decode_resolution_query(target: str) -> ResolutionQuery | None:
    """Return a caller's question, or none where the path is another."""
    parts = urlsplit(target)
    if parts.path != PATH:
        return None
    query = parse_qs(parts.query)
    return ResolutionQuery(
        query.get('name', [''])[0],
        query.get('zone', [''])[0],
    )


def encode_resolution(addresses: Iterable[str], keep_s: float) -> bytes:
    """Return the answer to a question."""
    return orjson.dumps({'addresses': list(addresses), 'ttl-s': keep_s})


def encode_member(member: Member) -> dict[str, Any]:
    """Return an instance as it stands in the store."""
    return asdict(member)


def decode_member(body: Any) -> Member | None:
    """Return an instance from the store, none where it cannot be read."""
    try:
        return Member(**body)
    except TypeError:
        return None
