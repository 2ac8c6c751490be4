"""Let streams go on only at the software version that began them.

Callers take streams up at any instance, also after all have lost power. While
servers of several versions serve a service, or have just done so, instances
therefore announce its streams to each other and record them in the store. As
long as there is one version only, nothing is announced or recorded.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import astuple, dataclass

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError, RefusedError, StoreError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.facts import FactTable
from siskinpass.process.fleet.stream_records import StreamRecords
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.rendezvous import rank
from siskinpass.process.version_history import (
    MAX_STREAMS,
    ServiceVersion,
    StreamBegun,
    VersionHistory,
    VersionServed,
    stream_name,
)
from siskinpass.request.ticket import ServerView

MS_PER_S = 1000
# Streams that begin within this time are announced together.
ANNOUNCE_S = 0.05
# Least time between two writes of the record.
RECORD_S = 0.05
WRITE_RETRY_S = 1.0
# Instances that record a version, and remove its record when it has ended.
RECORDERS = 2
# A new version is recorded a little later, when the others are known too.
VERSION_DELAY_S = 1.0
# A take-up of an unknown stream asks the store again after this time: another
# instance may not have recorded it yet.
LOOKUP_AGAIN_S = 0.3
LOOKUPS = 2
# Nothing that is recorded later can be about this stream.
RETRY_AFTER_S = 3.0
# A process that did not run for so long may have missed announcements.
MAX_GAP_S = 1.5


@dataclass(frozen=True, slots=True)
class VersionSources:
    """What the instance knows otherwise.

    :param services: returns the services whose streams can be taken up.
    :param names: returns the instances that serve callers.
    :param is_connected: returns whether the instance hears of new servers, from
        the store or from other instances.
    :param hears_others: returns whether other instances can be heard.
    :param read_served: reads from the store which versions have servers;
        raises the store's errors.
    :param era: returns the number of times that the store was restored.
    :param announce: sends streams to the other instances.
    """

    services: Callable[[], frozenset[str]]
    names: Callable[[], Iterable[str]]
    is_connected: Callable[[], bool]
    hears_others: Callable[[], bool]
    read_served: Callable[[], Awaitable[frozenset[ServiceVersion]]]
    era: Callable[[], int]
    announce: Callable[[Iterable[StreamBegun]], None]


class StreamVersions:
    """Owner of what this instance knows about the versions of streams.

    :param own: name of this instance.
    :param is_first_start: whether no stream can have begun before.
    """

    def __init__(
        self,
        own: str,
        records: StreamRecords,
        sources: VersionSources,
        metrics: Metrics,
        *,
        is_first_start: bool,
    ) -> None:
        self._own = own
        self._records = records
        self._sources = sources
        self._metrics = metrics
        self._is_complete = is_first_start
        self._refreshed_s = time.time()
        self._history = VersionHistory()
        # Streams of this instance that are open or have broken off.
        self._streams: FactTable[StreamBegun] = FactTable(MAX_STREAMS)
        self._listed: frozenset[ServiceVersion] = frozenset()
        self._unannounced: list[StreamBegun] = []
        self._mixed: frozenset[str] = frozenset()
        self._era = 0
        self._has_unrecorded = asyncio.Event()
        self._is_failing = False
        self._lookup: asyncio.Task[bool] | None = None
        self._background = BackgroundTasks()
        self._loop = asyncio.get_running_loop()
        self._next_write: asyncio.Future[None] = self._loop.create_future()
        self._log = ComponentLog('versions')

    async def run(self) -> None:
        """Record streams as they begin, until cancelled."""
        if not self._is_complete:
            await self._look_up()
        while True:
            await self._has_unrecorded.wait()
            self._has_unrecorded.clear()
            await self._record_streams()
            await asyncio.sleep(RECORD_S)

    def list_servers(self, views: Iterable[ServerView]) -> None:
        """Replace the listed servers."""
        services = self._sources.services()
        self._listed = frozenset(
            (view.pool, view.version) for view in views if view.pool in services
        )
        self.refresh()

    def refresh(self) -> None:
        """Keep the listed versions current, and let others expire.

        Has to be called several times in the life of a stream.
        """
        self._check_gap()
        self._refreshed_s = time.time()
        for fact in self._history.note_served(self._listed, time.time()):
            self._background.start(self._record_version(fact))
        self._expire()
        self._update_mixed()
        self._check_era()

    def begin(
        self, call_id: str, server: ServerView
    ) -> asyncio.Future[None] | None:
        """Record what brings the first event of a stream.

        :param call_id: the caller's attempt that the event is for.
        :returns: done when the store has the record or has failed; ``None`` if
            nothing has to be recorded, or the store has just failed.
        """
        stream = stream_name(call_id)
        now_s = time.time()
        fact = StreamBegun(stream, server.pool, server.version, now_s)
        self._streams.merge((fact,), now_s)
        self._history.streams.merge((fact,), now_s)
        if server.pool not in self._mixed:
            return None
        self._publish((fact,))
        return None if self._is_failing else self._next_write

    def end(self, call_id: str) -> None:
        """Record that a stream was sent to its end."""
        self._streams.drop(stream_name(call_id))

    async def resolve(
        self, call_id: str, services: Iterable[str]
    ) -> StreamBegun:
        """Return what began a stream that a caller takes up.

        :param call_id: the caller's attempt that brought the first event.
        :param services: those that can have begun it.
        :raises RefusedError: if it is not known.
        """
        stream, given = stream_name(call_id), tuple(services)
        self._check_gap()
        found = self._history.streams.find(stream, time.time())
        for number in range(LOOKUPS):
            if found is not None:
                break
            if number:
                await asyncio.sleep(LOOKUP_AGAIN_S)
            found = await self._look_up_stream(stream, given)
        self._metrics.noticed('unknown stream' if found is None else 'take-up')
        if found is None:
            raise RefusedError(
                Code.version_unknown,
                retry_after_ms=int(RETRY_AFTER_S * MS_PER_S),
            )
        return found

    def receive(self, facts: Iterable[StreamBegun]) -> None:
        """Merge streams that another instance announces."""
        now_s = time.time()
        given = tuple(facts)
        self._history.streams.merge(given, now_s)
        # A version that this instance does not know may serve already.
        self._history.served.merge(
            (VersionServed(one.service, one.version, now_s) for one in given),
            now_s,
        )

    def _check_era(self) -> None:
        """Record everything again after the store was restored from a copy."""
        previous, self._era = self._era, self._sources.era()
        if previous in {0, self._era}:
            return
        for fact in self._history.served.current(time.time()):
            self._background.start(self._record_version(fact))
        if self._mixed:
            self._has_unrecorded.set()

    def _check_gap(self) -> None:
        """Distrust what was known before this process stood still."""
        gap_s = time.time() - self._refreshed_s
        if gap_s > MAX_GAP_S and self._is_complete:
            self._is_complete = False
            self._log.note('Missed some time.', gap_s=round(gap_s, 3))

    async def _look_up_stream(
        self, stream: str, services: tuple[str, ...]
    ) -> StreamBegun | None:
        """Read from the store what began a stream.

        Other instances may have begun it at servers that this one does not know
        of yet; only a fresh answer of the store, or the others, exclude that.
        """
        is_fresh = await self._look_up()
        self._check_gap()
        is_connected = self._sources.is_connected() and (
            is_fresh or self._sources.hears_others()
        )
        return self._history.origin(
            stream,
            services,
            time.time(),
            is_complete=self._is_complete and is_connected,
        )

    def _update_mixed(self) -> None:
        now_s = time.time()
        mixed = frozenset(
            service
            for service in self._sources.services()
            if self._history.is_mixed(service, now_s)
        )
        added, ended = mixed - self._mixed, self._mixed - mixed
        self._mixed = mixed
        if added or ended:
            self._log.note(
                'The software versions of services have changed.',
                several=sorted(mixed),
                versions=sorted(self._history.versions(mixed, now_s)),
            )
        if added:
            self._publish([
                one
                for one in self._streams.current(now_s)
                if one.service in added
            ])
        if ended and not mixed:
            self._background.start(self._records.remove_streams())

    def _publish(self, streams: Sequence[StreamBegun]) -> None:
        if not streams:
            return
        if not self._unannounced:
            self._loop.call_later(ANNOUNCE_S, self._announce)
        self._unannounced.extend(streams)
        self._has_unrecorded.set()

    def _announce(self) -> None:
        streams, self._unannounced = self._unannounced, []
        self._sources.announce(streams)

    async def _record_streams(self) -> None:
        streams = [
            one
            for one in self._streams.current(time.time())
            if one.service in self._mixed
        ]
        written, self._next_write = self._next_write, self._loop.create_future()
        try:
            await self._records.write_streams(streams)
        except StoreError as error:
            self._is_failing = True
            self._log.warn(
                'Streams are not recorded yet.',
                streams=len(streams),
                cause=str(error),
            )
        else:
            self._is_failing = False
        written.set_result(None)
        if self._is_failing:
            self._has_unrecorded.set()
            await asyncio.sleep(WRITE_RETRY_S)

    async def _record_version(self, fact: VersionServed) -> None:
        await asyncio.sleep(VERSION_DELAY_S)
        if self._is_recorder(fact):
            await self._records.write_version(fact)

    def _expire(self) -> None:
        now_s = time.time()
        self._streams.expire(now_s)
        self._history.streams.expire(now_s)
        for fact in self._history.served.expire(now_s):
            if self._is_recorder(fact):
                self._background.start(self._records.remove_version(fact))

    def _is_recorder(self, fact: VersionServed) -> bool:
        names = {*self._sources.names(), self._own}
        key = f'{fact.service}/{fact.version}'
        return self._own in rank(key, names)[:RECORDERS]

    async def _look_up(self) -> bool:
        """Read all records, together with other requests that wait for them.

        :returns: whether the store answered.
        """
        if self._lookup is None:
            self._lookup = asyncio.ensure_future(self._load())
            self._lookup.add_done_callback(self._end_lookup)
        lookup = self._lookup
        await asyncio.wait((lookup,))
        return lookup.result()

    def _end_lookup(self, lookup: asyncio.Task[bool]) -> None:
        self._lookup = None

    async def _load(self) -> bool:
        try:
            served, (streams, versions) = await asyncio.gather(
                self._sources.read_served(), self._records.load()
            )
        except (StoreError, FormatError) as error:
            self._log.warn(
                'The records of streams cannot be read.', cause=str(error)
            )
            return False
        now_s = time.time()
        versions.extend(VersionServed(*one, now_s) for one in served)
        self._history.streams.merge(streams, now_s)
        self._history.served.merge(versions, now_s)
        self._is_complete = True
        self._refreshed_s = now_s
        self._log.note(
            'Read the records of streams.',
            streams=len(streams),
            versions=[astuple(one)[:-1] for one in versions],
        )
        return True
