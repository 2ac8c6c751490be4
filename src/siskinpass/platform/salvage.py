"""Parse JSON documents of which a part cannot be represented.

One entry of a list may be nested without measure, hold a number beyond any
type or half of a character. Only such values are replaced, so that the other
entries can be read.
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
# Texts, which may hold anything, and numbers. Some encoders, such as Python's,
# write numbers that are not finite by their names.
SCALAR = re.compile(
    rb'"(?:[^"\\]|\\.)*+"?'
    rb'|-?(?:\d++(?:\.\d++)?(?:[eE][+-]?\d++)?|Infinity)|NaN',
    re.DOTALL,
)
# The first group holds an escape sequence that stands for whole characters.
# All else that matches has no place in a text.
ESCAPE = re.compile(
    rb"""
    (\\(?:
        ["\\/bfnrt]
        | u(?![dD][89a-fA-F])[\da-fA-F]{4}
        | u[dD][89abAB][\da-fA-F]{2}\\u[dD][c-fC-F][\da-fA-F]{2}
    ))
    | \\u[\da-fA-F]{4}
    | \\.
    | [\x00-\x1f]
    """,
    re.DOTALL | re.VERBOSE,
)
REPLACEMENT = '\N{REPLACEMENT CHARACTER}'.encode()
QUOTE = b'"'
OPENING = frozenset(('start_map', 'start_array'))
CLOSING = frozenset(('end_map', 'end_array'))


def salvage_json(body: bytes) -> Any:
    """Return a document without what cannot be represented.

    Values become ``None``, and in texts a replacement character (U+FFFD)
    stands for such a character.

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
    """Return a scalar as it is, or what stands for it.

    Numbers with an exponent are written anew: a decimal number bounds its
    exponent too.
    """
    token = scalar.group()
    if token.startswith(QUOTE):
        return ESCAPE.sub(_whole_characters, token)
    number = float(token)
    if not math.isfinite(number):
        return b'null'
    return repr(number).encode() if b'e' in token.lower() else token


def _whole_characters(sequence: re.Match[bytes]) -> bytes:
    return sequence[1] or REPLACEMENT


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
