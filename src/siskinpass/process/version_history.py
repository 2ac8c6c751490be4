"""Track which software version began each stream.

Pure logic. Events of two software versions do not fit together, so that a
stream that broke off may go on only at a server of the version that began it.
Where one version served during the whole time in which a stream can have
begun, that version began it; otherwise the stream has to be known.
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
    """

    service: str
    version: str
    at_s: float


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

    def is_mixed(self, service: str, now_s: float) -> bool:
        """Return whether several versions may have begun its streams."""
        return len(self.versions((service,), now_s)) > 1

    def origin(
        self,
        stream: str,
        services: Iterable[str],
        now_s: float,
        *,
        is_complete: bool,
    ) -> StreamBegun | None:
        """Return what began a stream, ``None`` if that is not known.

        :param services: those that can have begun it.
        :param is_complete: whether all versions are known that served during
            the life of a stream.
        """
        known = self.streams.find(stream, now_s)
        if known is not None:
            return known
        versions = self.versions(services, now_s)
        if is_complete and len(versions) == 1:
            return StreamBegun(stream, '', next(iter(versions)), now_s)
        return None
