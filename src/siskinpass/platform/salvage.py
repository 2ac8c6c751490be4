"""Parse JSON documents of which a part cannot be represented.

One entry of a list may be nested without measure or hold a number beyond any
type. Only such values are dropped, so that the other entries can be read.
"""

import io
import math
import re
from collections.abc import Iterator
from decimal import Decimal
from typing import Any

import ijson

# Far beyond the nesting of any document of the platform.
MAX_DEPTH = 32
# Texts, which may hold anything, and numbers.
SCALAR = re.compile(
    rb'"(?:[^"\\]|\\.)*+"?|-?\d++(?:\.\d++)?(?:[eE][+-]?\d++)?', re.DOTALL
)
QUOTE = b'"'
OPENING = frozenset(('start_map', 'start_array'))
CLOSING = frozenset(('end_map', 'end_array'))


def salvage_json(body: bytes) -> Any:
    """Return a document with ``None`` for what cannot be represented.

    :raises ValueError: if the body is not JSON.
    """
    text = body.decode('utf-8', errors='replace').encode()
    readable = SCALAR.sub(_representable, text)
    builder = ijson.ObjectBuilder()
    try:
        for event, scalar in _flat_events(readable):
            builder.event(event, scalar)
    except ijson.JSONError as error:
        raise ValueError(str(error)) from error
    return builder.value


def _representable(scalar: re.Match[bytes]) -> bytes:
    """Return a scalar as it is, or ``null`` for a number beyond a float.

    Numbers with an exponent are written anew: a decimal number bounds its
    exponent too.
    """
    token = scalar.group()
    if token.startswith(QUOTE):
        return token
    number = float(token)
    if not math.isfinite(number):
        return b'null'
    return repr(number).encode() if b'e' in token.lower() else token


def _flat_events(body: bytes) -> Iterator[tuple[str, Any]]:
    """Yield the events of a document, with ``null`` for what is too deep."""
    depth = 0
    for event, scalar in ijson.basic_parse(io.BytesIO(body)):
        depth += event in OPENING
        if depth <= MAX_DEPTH:
            yield event, _plain(scalar)
        elif depth == MAX_DEPTH + 1 and event in OPENING:
            yield 'null', None
        depth -= event in CLOSING


def _plain(scalar: Any) -> Any:
    return float(scalar) if isinstance(scalar, Decimal) else scalar
