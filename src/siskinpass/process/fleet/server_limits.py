"""Keep the rate limits of servers together with the other instances."""

import asyncio
import math
import time
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, replace
from operator import attrgetter

from siskinpass.process.facts import (
    FactTable,
    lifetime_s,
    renewal_s,
    subject_of,
)
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pace import (
    Sharing,
    places_of,
    share_of,
)
from siskinpass.request.ticket import ServerView, Share

# Instances that start later receive a limit within this time, as long as any
# of the others gets answers that state it.
ANNOUNCE_S = 1.0
MAX_LIMITS = 10_000
MAX_BRITTLE = 1000
# Servers state in all answers that they are brittle; a server that fell over is
# back after some seconds.
BRITTLE_S = 10.0
MIN_STEP_S = 0.001  # between two answers of one server


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Rate limit of one process of a server.

    :param incarnation: process of the server that stated it.
    :param per_s: requests a second, ``None`` if it states none any more.
    :param at_s: Unix time of the answer that stated or ended it.
    """

    server: str
    incarnation: int
    per_s: float | None
    at_s: float


@subject_of.register
def _process_of(fact: ServerLimit) -> tuple[str, int]:
    return fact.server, fact.incarnation


@lifetime_s.register
def _as_long_as_listed(fact: ServerLimit) -> float:
    return math.inf


@dataclass(frozen=True, slots=True)
class BrittleService:
    """Service whose servers fail if they turn too many requests away.

    :param refusals_per_s: requests a second that one may turn away.
    :param at_s: Unix time of the answer that stated it.
    """

    service: str
    refusals_per_s: float
    at_s: float


@subject_of.register
def _brittle_service(fact: BrittleService) -> str:
    return fact.service


@lifetime_s.register
def _brittle_lifetime_s(fact: BrittleService) -> float:
    return BRITTLE_S


@renewal_s.register
def _brittle_renewal_s(fact: BrittleService) -> float:
    return ANNOUNCE_S


class ServerLimits:
    """Owner of the known limits.

    :param sharing: returns the instances that share them.
    :param on_shares: called with this instance's share of each limited server.
    :param announce: sends limits to the other instances.
    :param announce_brittle: sends brittle services to the other instances.
    """

    def __init__(
        self,
        sharing: Callable[[], Sharing],
        on_shares: Callable[[Mapping[str, Share]], None],
        announce: Callable[[Iterable[ServerLimit]], None],
        announce_brittle: Callable[[Iterable[BrittleService]], None],
        metrics: Metrics,
    ) -> None:
        self._sharing = sharing
        self._on_shares = on_shares
        self._announce = announce
        self._announce_brittle = announce_brittle
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('limits')
        self._limits: FactTable[ServerLimit] = FactTable(MAX_LIMITS)
        # By server and process, on the event loop's clock.
        self._received_s: dict[Hashable, float] = {}
        self._announced_s: dict[Hashable, float] = {}
        self._shares: dict[str, Share] = {}
        self._brittle: FactTable[BrittleService] = FactTable(MAX_BRITTLE)
        self._servers: tuple[ServerView, ...] = ()

    @property
    def known_limits(self) -> dict[str, float]:
        """Return the requests a second of each limited server."""
        return {
            limit.server: limit.per_s
            for limit in self._limits.current(time.time())
            if limit.per_s is not None
        }

    def note(
        self, server: ServerView, per_s: float | None, sent_s: float
    ) -> None:
        """Record what an answer says of its server's limit.

        An answer without one ends the limit, unless its request was sent before
        the last answer that stated it: answers may overtake each other.

        :param per_s: requests a second, ``None`` if the answer states no limit.
        :param sent_s: when the request was sent, on the event loop's clock.
        """
        process = server.name, server.incarnation
        known = self._limits.find(process, time.time())
        is_limited = known is not None and known.per_s is not None
        received_s = self._received_s.get(process, 0.0)
        if per_s is None and not (is_limited and sent_s > received_s):
            return
        # Later than the known one, even if the clock was set back.
        at_s = max(time.time(), known.at_s + MIN_STEP_S if known else 0.0)
        limit = ServerLimit(server.name, server.incarnation, per_s, at_s)
        self._merge(limit, at_s)
        self._announce_rarely(limit)

    def receive(self, limits: Iterable[ServerLimit]) -> None:
        """Merge limits that other instances announce.

        What an earlier answer said is ignored: announcements are repeated, and
        may overtake each other.
        """
        for limit in limits:
            self._merge(limit, time.time())

    def note_brittle(self, server: ServerView, refusals_per_s: float) -> None:
        """Record that a service's servers state that they are brittle."""
        stated = BrittleService(server.pool, refusals_per_s, time.time())
        self._announce_brittle(self._add_brittle((stated,)))

    def receive_brittle(self, services: Iterable[BrittleService]) -> None:
        """Merge brittle services that other instances announce."""
        self._add_brittle(services)

    def _add_brittle(
        self, services: Iterable[BrittleService]
    ) -> tuple[BrittleService, ...]:
        added = self._brittle.merge(services, time.time())
        for service in added:
            self._metrics.noticed('brittle')
            self._log.note(
                'The servers of a service are brittle.',
                service=service.service,
                refusals_per_s=service.refusals_per_s,
            )
        if added:
            self._share()
        return added

    def refresh(self, servers: Iterable[ServerView]) -> None:
        """Adapt to the instances and servers that there are now.

        :param servers: all listed servers.
        """
        self._servers = tuple(servers)
        self._brittle.expire(time.time())
        limits = self._limits.current(time.time())
        listed = {(server.name, server.incarnation) for server in self._servers}
        for process in map(subject_of, limits):
            if process not in listed:
                self._limits.drop(process)
                self._received_s.pop(process, None)
                self._announced_s.pop(process, None)
        self._share()

    def _merge(self, limit: ServerLimit, now_s: float) -> None:
        known = self._limits.find(subject_of(limit), now_s)
        if not self._limits.merge((limit,), now_s):
            return
        self._received_s[subject_of(limit)] = self._loop.time()
        if known is None or known.per_s != limit.per_s:
            self._apply(limit)

    def _apply(self, limit: ServerLimit) -> None:
        self._metrics.noticed('limit')
        self._share()
        share = self._shares.get(limit.server)
        self._log.note(
            'The limit of a server has changed.',
            server=limit.server,
            limit_per_s=limit.per_s,
            interval_s=round(share.interval_s, 3) if share else 0,
        )

    def _announce_rarely(self, limit: ServerLimit) -> None:
        now_s = self._loop.time()
        process = subject_of(limit)
        if now_s - self._announced_s.get(process, 0.0) < ANNOUNCE_S:
            return
        self._announced_s[process] = now_s
        self._announce((limit,))

    def _share(self) -> None:
        limits, places = self.known_limits, self._places()
        if not (limits or places or self._shares):
            return
        sharing = self._sharing()
        shares = {
            name: share_of(sharing, name, per_s)
            for name, per_s in limits.items()
        }
        for name, count in places.items():
            shares[name] = replace(shares.get(name, Share()), places=count)
        if shares != self._shares:
            self._shares = shares
            self._on_shares(shares)

    def _places(self) -> dict[str, int]:
        """Return this instance's places on the servers of brittle services."""
        places: dict[str, int] = {}
        for service in self._brittle.current(time.time()):
            # The entry of a process that ended may stay beside the next one's.
            by_address = {
                server.address: server
                for server in sorted(
                    self._servers, key=attrgetter('incarnation')
                )
                if server.pool == service.service and server.slots
            }
            slots = {
                server.name: server.slots
                for server in by_address.values()
                if not server.leaving
            }
            places.update(places_of(self._sharing(), slots))
        return places
