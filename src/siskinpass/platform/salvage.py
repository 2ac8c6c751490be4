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
import orjson

# Far beyond the nesting of any document of the platform.
MAX_DEPTH = 32
# Escape sequences that stand for whole characters.
ESCAPE_SEQUENCE = rb"""
    \\["\\/bfnrt]
    | \\u(?![dD][89a-fA-F])[\da-fA-F]{4}
    | \\u[dD][89abAB][\da-fA-F]{2}\\u[dD][c-fC-F][\da-fA-F]{2}
"""
# What every parser reads. Numbers of more digits may exceed a float.
READABLE = (
    rb"""
    [^"\-\dNI]++
    | "(?:
        [^"\\\x00-\x1f]++ | %b
    )*+"
    | -?\d{1,300}+(?:\.\d{1,300}+)?+(?![\d.eE])
"""
    % ESCAPE_SEQUENCE
)
# Other texts and numbers. Some encoders, such as Python's, write numbers that
# are not finite by their names.
DOUBTFUL = rb"""
    "(?:[^"\\]|\\.)*+"?
    | -?(?:\d++(?:\.\d++)?(?:[eE][+-]?\d++)?|Infinity)
    | NaN
    | [-NI]++
"""
# All that is readable up to the next doubtful scalar or the end, so that a
# document takes one match for each doubtful scalar.
SCALARS = re.compile(
    rb'((?:%b)*+)(%b|\Z)' % (READABLE, DOUBTFUL), re.DOTALL | re.VERBOSE
)
# All that matches beside the first group has no place in a text.
ESCAPE = re.compile(
    rb'(%b)|\\u[\da-fA-F]{4}|\\.|[\x00-\x1f]' % ESCAPE_SEQUENCE,
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
    readable = SCALARS.sub(_representable, text)
    try:
        return orjson.loads(readable)
    except orjson.JSONDecodeError:
        return _parse_nested(readable)


def _representable(found: re.Match[bytes]) -> bytes:
    """Return a part of a document with its last scalar made representable."""
    readable, doubtful = found.groups()
    if doubtful.startswith(QUOTE):
        return readable + ESCAPE.sub(_whole_characters, doubtful)
    try:
        is_finite = math.isfinite(float(doubtful))
    except ValueError:
        return readable + doubtful
    # Written anew, as some parsers bound the digits of an exponent.
    number = repr(float(doubtful)).encode() if is_finite else b'null'
    return readable + number


def _whole_characters(sequence: re.Match[bytes]) -> bytes:
    return sequence[1] or REPLACEMENT


def _parse_nested(body: bytes) -> Any:
    """Return a document with ``None`` for what is nested too deeply.

    :raises ValueError: if the body is not JSON.
    """
    builder = ijson.ObjectBuilder()
    try:
        for event, scalar in _flat_events(body):
            builder.event(event, scalar)
    except ijson.JSONError as error:
        raise ValueError(str(error)) from error
    return builder.value


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
