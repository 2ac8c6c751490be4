"""Records about streams and software versions, in the store."""

import asyncio
import time
from collections.abc import Iterable

from siskinpass.exceptions import (
    FormatError,
    StoreConflictError,
    StoreError,
)
from siskinpass.platform.objects import StoredObject
from siskinpass.platform.stream_records import (
    STREAMS_KIND,
    StreamsRecord,
    decode_stream_record,
    encode_streams,
    encode_version,
    version_record_name,
)
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.logs import ComponentLog
from siskinpass.process.version_history import (
    STREAM_LIFE_S,
    StreamBegun,
    VersionServed,
)

NS_PER_MS = 1_000_000
WRITE_RETRY_S = 1.0


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
        self._log = ComponentLog('versions')
        self._background = BackgroundTasks()

    async def load(self) -> tuple[list[StreamBegun], list[VersionServed]]:
        """Return all recorded streams and versions.

        :raises StoreError: if the store does not answer or reports an error.
        """
        page = await self._store.list_kind(STREAMS_KIND)
        streams: list[StreamBegun] = []
        versions: list[VersionServed] = []
        for stored in page.stored:
            record = self._decode(stored)
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
        is_written, self._is_written = self._is_written, False
        if is_written:
            await self._store.replace(STREAMS_KIND, self._name, body)
        else:
            await self._create(self._name, body)
        self._is_written = True

    async def remove_streams(self) -> None:
        """Remove the record of this process, if there is one."""
        if self._is_written:
            self._is_written = False
            await self._remove(self._name)

    async def write_version(self, fact: VersionServed) -> None:
        """Record a version, until the store has it."""
        while True:
            try:
                await self._create(
                    version_record_name(fact), encode_version(fact)
                )
            except StoreError as error:
                self._log.warn(
                    'A software version is not recorded yet.',
                    service=fact.service,
                    software=fact.version,
                    cause=str(error),
                )
            else:
                return
            await asyncio.sleep(WRITE_RETRY_S)

    async def remove_version(self, fact: VersionServed) -> None:
        """Remove the record of a version that no longer serves."""
        await self._remove(version_record_name(fact))

    async def _create(self, name: str, body: object) -> None:
        try:
            await self._store.create(STREAMS_KIND, name, body)
        except StoreConflictError:
            await self._store.replace(STREAMS_KIND, name, body)

    async def _remove(self, name: str) -> None:
        try:
            await self._store.delete(STREAMS_KIND, name)
        except StoreError as error:
            self._log.warn(
                'An expired record stays.', record=name, cause=str(error)
            )

    def _decode(
        self, stored: StoredObject
    ) -> StreamsRecord | VersionServed | None:
        """Return a record; an expired one is removed."""
        now_s = time.time()
        try:
            record = decode_stream_record(stored.name, stored.body, now_s)
        except FormatError as error:
            self._log.warn(
                'Ignored an unreadable record of streams.',
                record=stored.name,
                cause=str(error),
            )
            return None
        is_streams = isinstance(record, StreamsRecord)
        if is_streams and now_s - record.written_s >= STREAM_LIFE_S:
            self._background.start(self._remove(stored.name))
            return None
        return record
