"""Track which software version began each stream.

Pure logic. Events of two software versions do not fit together, so that a
stream that broke off may go on only at a server of the version that began it.
Where one version served during the whole time in which a stream can have
begun, that version began it.

Where several did, a service may have a baseline version: the one that served
alone before the others appeared. The streams of the others are recorded before
callers have events of them, so that a stream without a record was begun by the
baseline version, by an instance that ended before it could record it.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.facts import FactTable, lifetime_s, subject_of

# Longest time from the first event of a stream to a take-up by its caller.
STREAM_LIFE_S = 60.0
MAX_STREAMS = 20_000
MAX_VERSIONS = 1000
NAME_BYTES = 8
# Lists of servers that differ among instances agree again within this time.
BASELINE_AFTER_S = 3.0


# A service and a software version of its servers.
ServiceVersion = tuple[str, str]


def stream_name(call_id: str) -> str:
    """Return a name of fixed size for the stream that a call began.

    :param call_id: the caller's id of the attempt that brought the first event.
    """
    digest = hashlib.blake2b(call_id.encode(), digest_size=NAME_BYTES)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A stream whose first event was sent to its caller.

    :param stream: name of the stream.
    :param service: service whose server began it; empty if unknown.
    :param version: software version of that server.
    :param at_s: Unix time at which it was last known to be open or broken off.
    """

    stream: str
    service: str
    version: str
    at_s: float


@dataclass(frozen=True, slots=True)
class VersionServed:
    """A software version of which a service has, or had, servers.

    :param at_s: Unix time at which one was last listed.
    :param baseline_era: era of the store in which the version was known to
        serve alone, 0 if it was not.
    """

    service: str
    version: str
    at_s: float
    baseline_era: int = 0


@subject_of.register
def _stream_of(fact: StreamBegun) -> str:
    return fact.stream


@subject_of.register
def _version_of(fact: VersionServed) -> ServiceVersion:
    return fact.service, fact.version


@lifetime_s.register
def _stream_lifetime_s(fact: StreamBegun) -> float:
    return STREAM_LIFE_S


@lifetime_s.register
def _version_lifetime_s(fact: VersionServed) -> float:
    return STREAM_LIFE_S


class VersionHistory:
    """Streams, and the versions that may have begun them."""

    def __init__(self) -> None:
        self.streams: FactTable[StreamBegun] = FactTable(MAX_STREAMS)
        self.served: FactTable[VersionServed] = FactTable(MAX_VERSIONS)
        self._baselines: dict[str, str] = {}
        # Versions that serve alone now, and since when.
        self._alone: dict[str, VersionServed] = {}

    def note_served(
        self, versions: Iterable[ServiceVersion], now_s: float
    ) -> tuple[VersionServed, ...]:
        """Record the versions of the servers that are listed now.

        :returns: those that were not known to serve.
        """
        facts = [VersionServed(*version, now_s) for version in versions]
        unknown = tuple(
            fact
            for fact in facts
            if self.served.find(subject_of(fact), now_s) is None
        )
        self.served.merge(facts, now_s)
        return unknown

    def versions(self, services: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the versions that may have begun a stream that goes on now."""
        given = frozenset(services)
        return frozenset(
            fact.version
            for fact in self.served.current(now_s)
            if fact.service in given
        )

    def mixed(
        self, groups: Iterable[frozenset[str]], now_s: float
    ) -> frozenset[str]:
        """Return the services of the groups that have several versions.

        :param groups: services that share a route. Which of them began a
            stream is not known from the route.
        """
        return frozenset().union(
            *(one for one in groups if len(self.versions(one, now_s)) > 1)
        )

    def baseline(self, service: str) -> str | None:
        """Return the baseline version of a service, ``None`` if unknown."""
        return self._baselines.get(service)

    def update_baselines(
        self, services: Iterable[str], now_s: float
    ) -> tuple[VersionServed, ...]:
        """Note which versions serve alone now, and have done so for a while.

        :returns: those that were not the baseline of their service.
        """
        added = []
        for service in services:
            alone = self._update_alone(service, now_s)
            if alone is None or alone.version == self.baseline(service):
                continue
            self._baselines.pop(service, None)
            if now_s - alone.at_s >= BASELINE_AFTER_S:
                self._baselines[service] = alone.version
                added.append(alone)
        return tuple(added)

    def _update_alone(self, service: str, now_s: float) -> VersionServed | None:
        """Return the version that serves alone, as of when it began to."""
        versions = self.versions((service,), now_s)
        known = self._alone.pop(service, None)
        if len(versions) != 1:
            return None
        version = next(iter(versions))
        if known is None or known.version != version:
            known = VersionServed(service, version, now_s)
        self._alone[service] = known
        return known

    def adopt_baselines(
        self, recorded: Iterable[VersionServed], era: int
    ) -> None:
        """Adopt the baselines that others recorded in an era of the store.

        Records of earlier eras do not count: the store has since lost records
        of streams.
        """
        by_service: dict[str, set[str]] = {}
        for fact in recorded:
            if fact.baseline_era == era and era:
                by_service.setdefault(fact.service, set()).add(fact.version)
        for service, versions in by_service.items():
            if len(versions) == 1:
                self._baselines.setdefault(service, *versions)

    def note_gap(self, gap_s: float) -> None:
        """Note that changes of the servers may have been missed for a time."""
        self._alone.clear()
        if gap_s >= STREAM_LIFE_S:
            self._baselines.clear()

    def forget_baselines(self) -> None:
        """Forget all baselines, as records of streams may be missing."""
        self._baselines.clear()
        self._alone.clear()

    def origin(
        self,
        stream: str,
        services: Iterable[str],
        now_s: float,
        *,
        is_complete: bool,
        has_records: bool = False,
    ) -> StreamBegun | None:
        """Return what began a stream, ``None`` if that is not known.

        :param services: those that can have begun it.
        :param is_complete: whether all versions are known that served during
            the life of a stream.
        :param has_records: whether all records of streams have just been read.
        """
        known = self.streams.find(stream, now_s)
        if known is not None:
            return known
        can_derive = has_records and not self.streams.is_full
        versions: set[str | None] = set()
        for service in services:
            served = self.versions((service,), now_s)
            if len(served) > 1:
                served = {self.baseline(service) if can_derive else None}
            versions |= served
        if not is_complete or len(versions) != 1:
            return None
        version = next(iter(versions))
        return (
            None if version is None else StreamBegun(stream, '', version, now_s)
        )
