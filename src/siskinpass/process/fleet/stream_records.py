"""Records about streams and software versions, in the store."""

import time
from collections.abc import Iterable

from siskinpass.platform.stream_records import (
    STREAMS_KIND,
    StreamRecord,
    StreamsRecord,
    decode_stream_record,
    encode_streams,
    encode_version,
    version_record_name,
)
from siskinpass.process.fleet.records import Records
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.logs import ComponentLog
from siskinpass.process.version_history import (
    STREAM_LIFE_S,
    StreamBegun,
    VersionServed,
)

NS_PER_MS = 1_000_000


class StreamRecords:
    """Writer and reader of the records.

    :param own: name of this instance.
    """

    def __init__(self, store: StoreClient, own: str) -> None:
        self._store = store
        # Differs after each start, so that a process does not overwrite what
        # the one before it has written.
        self._name = f'streams-{own}-{time.time_ns() // NS_PER_MS}'
        self._is_written = False
        self._records = Records(store, STREAMS_KIND, ComponentLog('versions'))

    async def load(self) -> tuple[list[StreamBegun], list[VersionServed]]:
        """Return all recorded streams and versions.

        :raises StoreError: if the store does not answer or reports an error.
        """
        page = await self._store.list_kind(STREAMS_KIND)
        streams: list[StreamBegun] = []
        versions: list[VersionServed] = []
        for stored in page.stored:
            record = self._records.read(
                stored, decode_stream_record, _is_current
            )
            if isinstance(record, StreamsRecord):
                streams.extend(record.streams)
            elif record is not None:
                versions.append(record)
        return streams, versions

    async def write_streams(self, streams: Iterable[StreamBegun]) -> None:
        """Record all streams of this process.

        :raises StoreError: if the store does not answer or reports an error.
        """
        body = encode_streams(streams, time.time())
        # After a failure the record may be missing, as in an old copy.
        is_written, self._is_written = self._is_written, False
        if is_written:
            await self._records.replace(self._name, body)
        else:
            await self._records.write(self._name, body)
        self._is_written = True

    async def remove_streams(self) -> None:
        """Remove the record of this process, if there is one."""
        if self._is_written:
            self._is_written = False
            await self._records.remove(self._name)

    async def write_version(self, fact: VersionServed) -> None:
        """Record a version, until the store has it."""
        await self._records.write_until_stored(
            version_record_name(fact),
            encode_version(fact),
            'A software version is not recorded yet.',
        )

    async def remove_version(self, fact: VersionServed) -> None:
        """Remove the record of a version that no longer serves."""
        await self._records.remove(version_record_name(fact))


def _is_current(record: StreamRecord) -> bool:
    if isinstance(record, StreamsRecord):
        return time.time() - record.written_s < STREAM_LIFE_S
    # The record of a version is removed by those that see its end.
    return True
