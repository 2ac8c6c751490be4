"""Translate the store's records about streams and software versions."""

import hashlib
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import NUMBER, as_table, read_field, read_whole
from siskinpass.process.version_history import StreamBegun, VersionServed

STREAMS_KIND = 'siskinpass-streams'
NAME_BYTES = 8
SERVICE = 'service'
VERSION = 'version'
STREAMS = 'streams'
# Of a stream's row: its name, its service and its software version.
ROW_FIELDS = 3
WRITTEN = 'written-s'  # Unix time
# Era of the store in which a version served alone.
BASELINE_ERA = 'baseline-era'


@dataclass(frozen=True, slots=True)
class StreamsRecord:
    """Streams of one process of an instance, open or broken off.

    :param written_s: Unix time.
    """

    streams: tuple[StreamBegun, ...]
    written_s: float


StreamRecord = StreamsRecord | VersionServed


def version_record_name(fact: VersionServed) -> str:
    """Return the name of a version's record, the same on all instances."""
    text = f'{fact.service}\n{fact.version}'
    digest = hashlib.blake2b(text.encode(), digest_size=NAME_BYTES)
    return f'version-{digest.hexdigest()}'


def encode_version(fact: VersionServed) -> dict[str, Any]:
    """Return the record of a version that serves."""
    return {
        SERVICE: fact.service,
        VERSION: fact.version,
        BASELINE_ERA: fact.baseline_era,
    }


def encode_streams(
    streams: Iterable[StreamBegun], now_s: float
) -> dict[str, Any]:
    """Return the record of all streams of a process."""
    rows = [(one.stream, one.service, one.version) for one in streams]
    return {WRITTEN: now_s, STREAMS: rows}


def decode_stream_record(name: str, body: Any) -> StreamRecord:
    """Return what a stored record describes.

    The record of a version stays until the version no longer serves; it counts
    as of now.

    :raises FormatError: if a field is missing or of the wrong type.
    """
    table = as_table(body, name)
    if STREAMS not in table:
        return VersionServed(
            read_field(table, SERVICE, str),
            read_field(table, VERSION, str),
            time.time(),
            read_whole(table, BASELINE_ERA, 0),
        )
    written_s = read_field(table, WRITTEN, NUMBER)
    rows = read_field(table, STREAMS, list)
    return StreamsRecord(
        tuple(_decode_row(name, row, written_s) for row in rows), written_s
    )


def _decode_row(name: str, row: Any, written_s: float) -> StreamBegun:
    fields = row if isinstance(row, list) else []
    is_text = all(isinstance(field, str) for field in fields)
    if len(fields) != ROW_FIELDS or not is_text:
        raise FormatError(Code.document_wrong, f'{name}: expected a stream')
    return StreamBegun(*fields, written_s)
