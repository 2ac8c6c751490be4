"""Let streams go on only at the software version that began them.

Callers take streams up at any instance, also after all have lost power. While
servers of several versions serve the services of a route, or have just done so,
instances therefore announce its streams to each other and record them in the
store.

As long as there is one version only, nothing is announced or recorded: streams
that are not known were begun by this version, also once the service has others
beside it. An instance that can neither record nor announce its streams
therefore begins them at this version only.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError, RefusedError, StoreError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.facts import FactTable, subject_of
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
READ_RETRY_S = 1.0
# Instances that record a version, and remove its record when it has ended, or
# that record a stream for another instance.
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
    :param groups: returns the same services, those of a route together.
    :param names: returns the instances that serve callers.
    :param is_connected: returns whether the instance hears of new servers, from
        the store or from other instances.
    :param hears_others: returns whether other instances can be heard.
    :param read_served: reads from the store which versions have servers;
        raises the store's errors.
    :param era: returns the number of times that the store was restored.
    :param announce: sends streams to the other instances.
    :param announce_unrecorded: sends them streams that this instance cannot
        record; some of them have to.
    """

    services: Callable[[], frozenset[str]]
    groups: Callable[[], frozenset[frozenset[str]]]
    names: Callable[[], Iterable[str]]
    is_connected: Callable[[], bool]
    hears_others: Callable[[], bool]
    read_served: Callable[[], Awaitable[frozenset[ServiceVersion]]]
    era: Callable[[], int]
    announce: Callable[[Iterable[StreamBegun]], None]
    announce_unrecorded: Callable[[Iterable[StreamBegun]], None]


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
        # Streams of others that this instance records for them.
        self._entrusted: FactTable[StreamBegun] = FactTable(MAX_STREAMS)
        self._listed: frozenset[ServiceVersion] = frozenset()
        self._unannounced: list[StreamBegun] = []
        self._mixed: frozenset[str] = frozenset()
        self._era = 0
        self._has_unrecorded = asyncio.Event()
        self._is_failing = False
        self._lookup: asyncio.Task[bool] | None = None
        self._is_loading = False
        self._read_s = time.time()
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
        self._check_era()
        unrecorded = {
            subject_of(fact): fact
            for fact in (
                *self._history.note_served(self._listed, time.time()),
                *self._update_baselines(),
            )
        }
        for fact in unrecorded.values():
            self._background.start(self._record_version(fact))
        self._expire()
        self._update_mixed()
        self._complete()

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
        if not self._is_failing:
            return self._next_write
        self._announce()
        return None

    def required_version(self, service: str) -> str | None:
        """Return the version that has to begin a new stream of a service.

        Others conclude that a stream without a record was begun by the baseline
        version; it has to be, if nobody can learn of it.

        :returns: ``None`` if any version may.
        """
        can_record = self._sources.is_connected() and not self._is_failing
        if can_record or self._sources.hears_others():
            return None
        baseline = self._history.baseline(service)
        is_listed = (service, baseline) in self._listed
        return baseline if service in self._mixed and is_listed else None

    def end(self, call_id: str) -> None:
        """Record that a stream was sent to its end."""
        self._streams.drop(stream_name(call_id))

    async def resolve(
        self, call_id: str, services: Iterable[str], *, may_derive: bool = True
    ) -> StreamBegun:
        """Return what began a stream that a caller takes up.

        :param call_id: the caller's attempt that brought the first event.
        :param services: those that can have begun it.
        :param may_derive: whether the absence of a record says what began the
            stream.
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
            found = await self._look_up_stream(
                stream, given, may_derive=may_derive
            )
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

    def receive_unrecorded(self, facts: Iterable[StreamBegun]) -> None:
        """Merge streams of an instance that cannot record them.

        The others may start again before the store answers it, so that some of
        them record its streams.
        """
        given = tuple(facts)
        self.receive(given)
        entrusted = self._entrusted.merge(
            (one for one in given if self._is_recorder(one.stream)),
            time.time(),
        )
        if entrusted:
            self._has_unrecorded.set()

    def _check_era(self) -> None:
        """Record everything again after the store was restored from a copy."""
        previous, self._era = self._era, self._sources.era()
        if previous in {0, self._era}:
            return
        self._history.forget_baselines()
        for fact in self._history.served.current(time.time()):
            self._background.start(self._record_version(fact))
        if self._mixed:
            self._has_unrecorded.set()

    def _check_gap(self) -> None:
        """Distrust what was known before this process stood still."""
        gap_s = time.time() - self._refreshed_s
        if gap_s > MAX_GAP_S and self._is_complete:
            self._is_complete = False
            self._history.note_gap(gap_s)
            self._log.note('Missed some time.', gap_s=round(gap_s, 3))

    def _complete(self) -> None:
        """Read the records again if something may have been missed."""
        is_due = time.time() - self._read_s >= READ_RETRY_S
        if is_due and not self._is_complete and self._lookup is None:
            self._read_s = time.time()
            self._background.start(self._look_up())

    async def _look_up_stream(
        self, stream: str, services: tuple[str, ...], *, may_derive: bool
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
            has_records=is_fresh and may_derive,
        )

    def _update_baselines(self) -> tuple[VersionServed, ...]:
        """Note which versions serve alone; return those that did not before."""
        if not (self._is_complete and self._sources.is_connected()):
            return ()
        return self._history.update_baselines(
            self._sources.services(), time.time()
        )

    def _update_mixed(self) -> None:
        now_s = time.time()
        mixed = self._history.mixed(self._sources.groups(), now_s)
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
        if self._is_failing:
            self._sources.announce_unrecorded(streams)

    async def _record_streams(self) -> None:
        now_s = time.time()
        own, entrusted = (
            table.current(now_s) for table in (self._streams, self._entrusted)
        )
        streams = [
            *(one for one in own if one.service in self._mixed),
            *entrusted,
        ]
        written, self._next_write = self._next_write, self._loop.create_future()
        try:
            await self._records.write_streams(streams)
        except StoreError as error:
            is_first, self._is_failing = not self._is_failing, True
            if is_first:
                self._sources.announce_unrecorded(streams)
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
        if not self._is_recorder(_version_key(fact)):
            return
        is_baseline = self._history.baseline(fact.service) == fact.version
        await self._records.write_version(
            replace(fact, baseline_era=self._era if is_baseline else 0)
        )

    def _expire(self) -> None:
        now_s = time.time()
        self._streams.expire(now_s)
        self._entrusted.expire(now_s)
        self._history.streams.expire(now_s)
        for fact in self._history.served.expire(now_s):
            if self._is_recorder(_version_key(fact)):
                self._background.start(self._records.remove_version(fact))

    def _is_recorder(self, key: str) -> bool:
        names = {*self._sources.names(), self._own}
        return self._own in rank(key, names)[:RECORDERS]

    async def _look_up(self) -> bool:
        """Read all records, together with other requests that wait for them.

        A read that has already begun may miss what was recorded since, and is
        waited for, but not relied on.

        :returns: whether the store answered.
        """
        while self._lookup is not None and self._is_loading:
            await asyncio.wait((self._lookup,))
        if self._lookup is None:
            self._lookup = asyncio.ensure_future(self._load())
            self._lookup.add_done_callback(self._end_lookup)
        lookup = self._lookup
        await asyncio.wait((lookup,))
        return lookup.result()

    def _end_lookup(self, lookup: asyncio.Task[bool]) -> None:
        self._lookup = None
        self._is_loading = False

    async def _load(self) -> bool:
        self._is_loading = True
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
        self._check_era()
        self._history.adopt_baselines(versions, self._era)
        versions.extend(VersionServed(*one, now_s) for one in served)
        self._history.streams.merge(streams, now_s)
        self._history.served.merge(versions, now_s)
        self._is_complete = True
        self._refreshed_s = now_s
        self._log.note(
            'Read the records of streams.',
            streams=len(streams),
            versions=[(one.service, one.version) for one in versions],
        )
        return True


def _version_key(fact: VersionServed) -> str:
    return f'{fact.service}/{fact.version}'
