"""Translate the store's records of blocked prompt parts."""

import hashlib
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import NUMBER, as_table, read_field
from siskinpass.process.blocked_parts import BlockedParts

BLOCKED_KIND = 'siskinpass-blocked-parts'
NAME_BYTES = 8
PARTS = 'parts'
ASKED = 'asked-s'  # Unix time of the last request


def record_name(blocked: BlockedParts) -> str:
    """Return the name of a record, which does not depend on its time.

    Callers choose the names of parts, so that these cannot be used as they are.
    """
    text = '\n'.join(sorted(blocked.parts))
    return hashlib.blake2b(text.encode(), digest_size=NAME_BYTES).hexdigest()


def encode_blocked(blocked: BlockedParts) -> dict[str, Any]:
    """Return the record of blocked parts for the object store."""
    return {PARTS: sorted(blocked.parts), ASKED: blocked.asked_s}


def decode_blocked(name: str, body: Any) -> BlockedParts:
    """Return the parts that a stored record describes.

    :raises FormatError: if a field is missing or of the wrong type.
    """
    table = as_table(body, name)
    parts = read_field(table, PARTS, list)
    if not parts or not all(isinstance(part, str) for part in parts):
        raise FormatError(Code.document_wrong, f'{name}: no names of parts')
    return BlockedParts(frozenset(parts), read_field(table, ASKED, NUMBER))
