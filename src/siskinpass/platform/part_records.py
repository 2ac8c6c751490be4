"""Translate the store's records about prompt parts that crash servers."""

import hashlib
from dataclasses import asdict
from functools import singledispatch
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import NUMBER, as_table, read_field
from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.crash_evidence import BrokenRequest

PARTS_KIND = 'siskinpass-prompt-parts'
NAME_BYTES = 8
PARTS = 'parts'
ASKED = 'asked-s'  # Unix time of the last request
BROKEN = 'broken'

PartRecord = BlockedParts | BrokenRequest


@singledispatch
def record_name(record: PartRecord) -> str:
    """Return the name of a record, the same on all instances.

    Callers choose the names of parts and requests, so that these cannot be used
    as they are.
    """
    raise TypeError(record)


@record_name.register
def _name_blocked(record: BlockedParts) -> str:
    return f'blocked-{_digest(*sorted(record.parts))}'


@record_name.register
def _name_broken(record: BrokenRequest) -> str:
    return f'broken-{_digest(record.server, record.call)}'


@singledispatch
def encode_record(record: PartRecord) -> dict[str, Any]:
    """Return a record for the object store."""
    raise TypeError(record)


@encode_record.register
def _encode_blocked(record: BlockedParts) -> dict[str, Any]:
    return {PARTS: sorted(record.parts), ASKED: record.at_s}


@encode_record.register
def _encode_broken(record: BrokenRequest) -> dict[str, Any]:
    return {BROKEN: asdict(record)}


def decode_record(name: str, body: Any) -> PartRecord:
    """Return what a stored record describes.

    :raises FormatError: if a field is missing or of the wrong type.
    """
    table = as_table(body, name)
    broken = table.get(BROKEN)
    if broken is not None:
        return _decode_broken(as_table(broken, name))
    return BlockedParts(
        frozenset(_names(table)), read_field(table, ASKED, NUMBER)
    )


def _decode_broken(table: dict[str, Any]) -> BrokenRequest:
    return BrokenRequest(
        call=read_field(table, 'call', str),
        server=read_field(table, 'server', str),
        parts=_names(table),
        weight=read_field(table, 'weight', int),
        sent_ms=read_field(table, 'sent_ms', int),
        ended_ms=read_field(table, 'ended_ms', int),
    )


def _names(table: dict[str, Any]) -> tuple[str, ...]:
    parts = read_field(table, PARTS, list)
    if not parts or not all(isinstance(part, str) for part in parts):
        raise FormatError(Code.document_wrong, f'{PARTS}: no names of parts')
    return tuple(parts)


def _digest(*words: str) -> str:
    text = '\n'.join(words)
    return hashlib.blake2b(text.encode(), digest_size=NAME_BYTES).hexdigest()
