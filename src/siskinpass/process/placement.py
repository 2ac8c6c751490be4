"""Choose the backend server for a granted ticket.

Pure logic, based on the broker's own observations. A server that is much
slower than the median of its group keeps a single slot. At most a fraction of
the group is marked slow at a time.
"""

import hashlib
import math
import statistics
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from operator import attrgetter

from siskinpass.process.cache_map import CacheMap
from siskinpass.process.limits import LimitPolicy, SlotLimit
from siskinpass.process.load_order import LoadOrder
from siskinpass.process.prefill import PrefillSchedule
from siskinpass.process.server_pace import Pace
from siskinpass.process.server_speed import (
    EVEN,
    ServerSpeeds,
    Speed,
    StreamPace,
)
from siskinpass.process.zone_choice import ZoneChoice, ZoneLoad
from siskinpass.request.ticket import (
    PromptPlaced,
    ServerLoad,
    ServerView,
    Share,
    Ticket,
)

SLOW_RATIO = 2.0  # multiple of the median token time
SLOW_FRACTION = 0.34  # of the servers, that may be marked slow
SLOW_SLOTS = 1
# A server whose process has ended starts again after some seconds, or its entry
# expires.
ENDED_S = 2.0
EJECTION_S = 0.25  # after a first failure, doubled by each further one
MAX_COUNTED_FAILURES = 5
MAX_PREFIXES = 4096
# A server that has the prompt's prefix cached is treated as if it ran this many
# requests fewer.
AFFINITY_SLOTS = 2
PENALTY_FACTOR = 4.0  # for slow servers and the one that has just failed
NO_LOAD = ServerLoad()
FAILURE_RATE_SMOOTHING = 0.1  # averages about the last ten outcomes
# Equals the default of the operator's contact-ms, the time without faults after
# which an instance counts as connected: a failed server is retried after about
# as long.
FAILURE_RATE_DECAY_S = 3.0
# Fraction of the servers that stays in use while many fail some requests. With
# fewer the rest would be overloaded and fail as well.
MIN_USED_FRACTION = 0.5
# The failure rate that this fraction of a service's servers does not exceed
# counts as common. It is about 0 while fewer than three quarters of them fail.
COMMON_RATE_FRACTION = 0.25


@dataclass(slots=True)
class Server:
    """State of one backend server as known to the broker.

    :param running: requests that this broker has granted on it.
    :param slow: whether its token time is far above the group's median.
    :param failures: failed requests in a row, at most
        ``MAX_COUNTED_FAILURES``.
    :param ejected_until_s: time until which it gets no requests.
    :param own: load that this instance has placed on it.
    :param peers: load that the other instances have placed on it.
    :param load: sum of ``own`` and ``peers``.
    :param failure_rate: moving average at the time of the last outcome.
    :param common_rate: failure rate of the service's better servers, which
        does not speak against this one.
    :param last_failure_s: time of the last failure.
    :param ended_until_s: time until which its process is taken as ended.
    :param is_needed: whether it gets requests in spite of its failures, because
        too few other servers of the service are left.
    :param probe_after: failures in a row after which it gets one request at a
        time.
    :param pace: times at which it may get requests, ``None`` if it has named no
        limit.
    :param places: requests of this instance that it may run at once.
    :param speed: against the other servers of the service.
    :param placed_tokens: prompt tokens that any instance has placed on it.
    :param changed: names of changed servers, shared by those of a table.
    """

    view: ServerView
    limit: SlotLimit
    running: int = 0
    slow: bool = False
    failures: int = 0
    ejected_until_s: float = 0.0
    own: ServerLoad = NO_LOAD
    peers: ServerLoad = NO_LOAD
    load: ServerLoad = NO_LOAD
    prefill: PrefillSchedule = field(default_factory=PrefillSchedule)
    failure_rate: float = 0.0
    last_outcome_s: float = 0.0
    common_rate: float = 0.0
    last_failure_s: float = 0.0
    ended_until_s: float = 0.0
    is_needed: bool = False
    probe_after: int = 1
    pace: Pace | None = None
    places: float = math.inf
    speed: Speed = EVEN
    placed_tokens: int = 0
    changed: set[str] = field(default_factory=set)

    def add(self, step: ServerLoad) -> None:
        """Add to this instance's load; a negative step removes load."""
        self.running += step.running
        self.own += step
        self.load = self.own + self.peers
        self.changed.add(self.view.name)

    def set_peer_load(self, peers: ServerLoad) -> None:
        """Replace the load of the other instances."""
        if peers != self.peers:
            self.peers = peers
            self.load = self.own + peers
            self.changed.add(self.view.name)

    def schedule_prefill(
        self,
        unread: int,
        prompt: Ticket | PromptPlaced,
        now_s: float,
    ) -> None:
        """Add a placed prompt to the estimated prefill backlog.

        :param unread: prompt tokens that the server does not have cached;
            below 0 to take back a prompt that it declined.
        """
        speed = self.speed.factor
        self.placed_tokens += unread
        self.prefill.add(unread, prompt.tier, now_s, speed=speed)
        if prompt.is_tight:
            self.prefill.add_paced(unread, now_s, speed=speed)

    def update_failure_rate(self, now_s: float, *, is_failure: bool) -> None:
        """Update the exponentially weighted failure rate with one outcome.

        :param is_failure: whether the request failed or was answered with an
            error.
        """
        known = self.decayed_rate(now_s)
        self.failure_rate = known + FAILURE_RATE_SMOOTHING * (
            is_failure - known
        )
        self.last_outcome_s = now_s

    def failure_rate_at(self, now_s: float) -> float:
        """Return by how much the failure rate exceeds the common one.

        A service all of whose servers fail is no reason to prefer those that
        were lucky last. The rate decays, as a server that gets no requests
        would keep it forever otherwise.

        :returns: 0 to 1.
        """
        return max(0.0, self.decayed_rate(now_s) - self.common_rate)

    def decayed_rate(self, now_s: float) -> float:
        """Return the server's own failure rate, 0 to 1."""
        passed_s = max(0.0, now_s - self.last_outcome_s)
        return self.failure_rate * math.exp(-passed_s / FAILURE_RATE_DECAY_S)

    def update_ejection(self, now_s: float, *, failed: bool) -> None:
        """Eject the server after ``probe_after`` failures in a row.

        Each further failure doubles the time of the ejection, up to
        ``MAX_COUNTED_FAILURES``. A request that did not fail resets the count.
        """
        if not failed:
            self.failures = 0
            return
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)
        self.last_failure_s = now_s
        if self.failures < self.probe_after:
            return
        ejection_s = EJECTION_S * 2 ** (self.failures - 1)
        self.ejected_until_s = now_s + ejection_s

    def clear_failures(self, now_s: float) -> None:
        """Reset the count of failures, as the server delivers tokens.

        Does nothing while the server is ejected.
        """
        if now_s >= max(self.ejected_until_s, self.ended_until_s):
            self.failures = 0

    def eject(self, until_s: float) -> None:
        """Give a server whose process has ended no requests until a time."""
        self.ended_until_s = max(self.ended_until_s, until_s)

    def is_restricted(self, now_s: float) -> bool:
        """Return whether failures keep it from its usual requests."""
        return self.failures >= self.probe_after or now_s < max(
            self.ejected_until_s, self.ended_until_s
        )

    @property
    def is_probably_gone(self) -> bool:
        """Return whether it has failed every one of many requests.

        It is then more likely gone than one of many that fail some.
        """
        return self.failures >= MAX_COUNTED_FAILURES

    @property
    def factor(self) -> float:
        """Return its speed against the median server of the service."""
        return self.speed.factor

    @property
    def granted_slots(self) -> int:
        """Return its slots, 0 while it is leaving."""
        return 0 if self.view.leaving else self.limit.slots

    @property
    def is_timed(self) -> bool:
        """Return whether its time to the first token is known."""
        return self.limit.first_token_s > 0

    @property
    def is_idle(self) -> bool:
        """Return whether no instance is known to have a request on it."""
        return not self.load.running

    @property
    def turn_s(self) -> float:
        """Return the time before which a limit allows no request."""
        if not self.places:
            return math.inf
        return 0.0 if self.pace is None else self.pace.next_s

    def set_share(self, share: Share | None, now_s: float) -> None:
        """Set this instance's share of the server's limit.

        :param share: ``None`` if the server states no limit.
        """
        self.changed.add(self.view.name)
        self.places = math.inf if share is None else share.places
        if share is None:
            self.pace = None
        elif self.pace is None:
            self.pace = Pace(share, now_s)
        else:
            self.pace.update(share, now_s)

    def take_turn(self, now_s: float) -> None:
        """Record that a request is sent to the server."""
        if self.pace is not None:
            self.pace.take(now_s)

    def free_slots(self, now_s: float) -> int:
        """Return the free slots, below 0 while more than allowed are in use."""
        if self.view.leaving or now_s < max(self.ended_until_s, self.turn_s):
            return 0
        if now_s < self.ejected_until_s and not self.is_needed:
            return 0
        if self.failures >= self.probe_after and not self.is_needed:
            # Probe a server that has failed with one request at a time.
            return 1 - self.running
        slots = min(self.limit.slots, self.places)
        if self.slow:
            # The tokens of the remaining slot show whether it has recovered.
            slots = min(slots, SLOW_SLOTS)
        return int(slots - self.running)


Chooser = Callable[['ServerTable', Ticket], Server | None]


class ServerTable:
    """The backend servers of one group and the choice between them."""

    def __init__(
        self,
        policy: LimitPolicy,
        *,
        at_random: bool,
        chooser: Chooser | None = None,
        cache: CacheMap | None = None,
        probe_after: int = 1,
        learns_speeds: bool = True,
    ) -> None:
        """Initialize a table without servers.

        :param policy: bounds of the slots of each server.
        :param at_random: choose any server with a free slot, regardless of
            load and speed.
        :param chooser: chooses among the servers with a free slot; replaces
            the cost by slots and token time.
        :param cache: cached prompt parts of each server, ``None`` for none.
        :param probe_after: failures in a row after which a server gets one
            request at a time.
        :param learns_speeds: whether servers may count as faster or slower
            than others.
        :ivar zones: cost of other zones; no zone counts until it is replaced.
        """
        self._policy = policy
        self._learns_speeds = learns_speeds
        self.speeds = ServerSpeeds()
        self.zones = ZoneChoice('')
        self._chooser = chooser
        self.now_s = 0.0
        self._probe_after = probe_after
        self.cache = cache or CacheMap(0)
        self.changed: set[str] = set()
        self.order: LoadOrder | None = None
        # Rises when the list of servers or their speeds change.
        self.version = 1
        self._at_random = at_random
        self._servers: dict[str, Server] = {}
        self._prefixes: OrderedDict[int, str] = OrderedDict()

    @property
    def servers(self) -> Iterable[Server]:
        """Return the servers in the order in which they were first listed."""
        return self._servers.values()

    @property
    def size(self) -> int:
        """Return the number of servers."""
        return len(self._servers)

    @property
    def slots(self) -> int:
        """Return the total slots of the servers that are not leaving."""
        if self.order is not None:
            self.order.refresh(self.now_s)
            return self.order.totals.slots
        return sum(server.granted_slots for server in self._servers.values())

    @property
    def first_token_s(self) -> float:
        """Return the mean time to first token of the servers not marked slow.

        :returns: seconds, 0 before any observation.
        """
        if self.order is not None and not self.order.totals.timed:
            return 0.0
        times = [
            server.limit.first_token_s
            for server in self._servers.values()
            if server.limit.first_token_s > 0 and not server.slow
        ]
        return sum(times) / len(times) if times else 0.0

    def free_slots(self, now_s: float) -> int:
        """Return the total number of slots that can be granted now."""
        self.now_s = now_s
        if self.order is not None:
            self.order.refresh(now_s)
            return self.order.totals.free
        return sum(
            max(0, server.free_slots(now_s))
            for server in self._servers.values()
        )

    def find(self, name: str) -> Server | None:
        """Return a server by its name, or ``None`` if it is not known."""
        return self._servers.get(name)

    def replace(self, views: Iterable[ServerView]) -> None:
        """Replace the list of servers.

        A known server keeps its observations, but a new incarnation of it
        starts with an empty cache. A server that is no longer listed is
        removed, or marked as leaving while it still runs requests.
        """
        listed = {view.name: view for view in views}
        for name, view in sorted(listed.items()):
            known = self._servers.get(name)
            if known is None or known.view.incarnation != view.incarnation:
                self.cache.remove_server(name)
                if known is not None:
                    known.ejected_until_s = 0.0
                    known.ended_until_s = 0.0
            if known is None:
                self._servers[name] = Server(
                    view,
                    SlotLimit(self._policy),
                    probe_after=self._probe_after,
                    changed=self.changed,
                )
            else:
                known.view = view
        for removed in self._servers.keys() - listed.keys():
            server = self._servers[removed]
            if server.running:
                _mark_leaving(server)
            else:
                self._servers.pop(removed)
                self.cache.remove_server(removed)
        self._update_list()

    def observe_first(
        self, server: Server, tokens: int, passed_s: float, now_s: float
    ) -> None:
        """Record the time from a request's placement to its first event.

        :param tokens: tokens that the server had to prefill until then.
        """
        name = server.view.name
        if self._learns_speeds and self.speeds.observe_first(
            name, tokens, passed_s, now_s
        ):
            self.update_speeds()

    def observe_pace(
        self, server: Server, pace: StreamPace, now_s: float
    ) -> None:
        """Record how long a stream took after its first event."""
        name = server.view.name
        if self._learns_speeds and self.speeds.observe_pace(name, pace, now_s):
            self.update_speeds()

    def _update_list(self) -> None:
        if self.order is not None:
            self.order.invalidate()
        self.zones.replace(server.view for server in self._servers.values())
        self.speeds.replace(server.view for server in self._servers.values())
        self.update_speeds()

    def update_speeds(self) -> None:
        """Give each server its speed as estimated now."""
        self.version += 1
        for name, server in self._servers.items():
            speed = self.speeds.speed_of(name)
            if speed != server.speed:
                server.speed = speed
                self.changed.add(name)

    def rank(self, weigh: Callable[[Server, int], float]) -> LoadOrder:
        """Return the order of the servers by load, made on the first call.

        :param weigh: returns the cost of a server's load for a tier.
        """
        if self.order is None:
            self.order = LoadOrder(self._servers, self.changed, weigh)
        self.order.refresh(self.now_s)
        return self.order

    def open_servers(self) -> list[Server]:
        """Return the servers that had a free slot at ``now_s``."""
        return [
            server
            for server in self._servers.values()
            if server.free_slots(self.now_s) > 0
        ]

    def set_peer_loads(self, loads: Mapping[str, ServerLoad]) -> None:
        """Replace the loads of the other instances.

        :param loads: by server name; servers left out have no load.
        """
        for name, server in self._servers.items():
            server.set_peer_load(loads.get(name, NO_LOAD))
        if self.order is not None:
            self.order.refresh_if_crowded()

    def update_zones(self, now_s: float) -> None:
        """Adapt the cost of other zones to the load of all of them."""
        if not self.zones.is_active:
            return
        loads: dict[str, ZoneLoad] = {}
        for server in self._servers.values():
            zone = server.view.zone
            if not server.view.leaving:
                loads[zone] = loads.get(zone, ZoneLoad()) + ZoneLoad(
                    sum(server.load.unread), server.factor
                )
        self.zones.update(loads, now_s)

    def set_shares(self, shares: Mapping[str, Share], now_s: float) -> None:
        """Replace this instance's shares of the servers' limits.

        :param shares: by server name; servers left out state no limit.
        """
        for name, server in self._servers.items():
            server.set_share(shares.get(name), now_s)

    def judge_failures(self, now_s: float) -> None:
        """Compare the servers' failures after one of them has failed.

        Answers services most of whose servers fail at once: at least half of
        them stay in use, those with the oldest failures first, and a failure
        rate counts only as far as it exceeds the common one.
        """
        listed = [one for one in self.servers if not one.view.leaving]
        if not listed:
            return
        rates = sorted(one.decayed_rate(now_s) for one in listed)
        common_rank = math.ceil(len(rates) * COMMON_RATE_FRACTION) - 1
        used = sum(not one.is_restricted(now_s) for one in listed)
        missing = max(0, int(len(listed) * MIN_USED_FRACTION) - used)
        restricted = sorted(
            (
                one
                for one in listed
                if one.is_restricted(now_s) and now_s >= one.ended_until_s
            ),
            key=attrgetter('last_failure_s'),
        )
        candidates = [one for one in restricted if not one.is_probably_gone]
        if not (used or candidates):
            # Nothing speaks for another one, and refusing helps nobody.
            candidates = restricted[:1]
            missing = 1
        needed = {one.view.name for one in candidates[:missing]}
        for server in listed:
            server.common_rate = rates[common_rank]
            if server.is_needed != (server.view.name in needed):
                server.is_needed = not server.is_needed
                self.changed.add(server.view.name)

    def mark_slow(self, now_s: float) -> None:
        """Mark the servers whose token time is far above the median.

        Token times are divided by what the server's group is expected to need:
        a server of a slow group is slow only beside others of its group. At
        most ``SLOW_FRACTION`` of the servers with a known token time are
        marked, but at least one may be; the slowest ones go first. A server
        without recent observations is not marked. Nothing changes while fewer
        than two servers have a known token time.
        """
        speeds = {
            name: server.limit.token_s * server.speed.group
            for name, server in self._servers.items()
            if server.limit.token_s > 0 and not server.view.leaving
        }
        if len(speeds) < 2:
            return
        threshold = SLOW_RATIO * statistics.median_low(speeds.values())
        candidates = sorted(
            (name for name in speeds if speeds[name] > threshold),
            key=speeds.__getitem__,
            reverse=True,
        )
        outliers = candidates[: max(1, int(len(speeds) * SLOW_FRACTION))]
        for name, server in self._servers.items():
            server.slow = name in outliers and not server.limit.is_stale(now_s)
            self.changed.add(name)

    def choose(self, ticket: Ticket, now_s: float) -> Server | None:
        """Return the best server with a free slot, or ``None``."""
        self.now_s = now_s
        if self._chooser is not None:
            return self._chooser(self, ticket)
        best = None
        best_cost = float('inf')
        holder = self._prefixes.get(ticket.prefix) if ticket.prefix else None
        for server in self._servers.values():
            if server.free_slots(now_s) <= 0 or ticket.excludes(
                server.view, now_s
            ):
                continue
            if self._at_random:
                cost = _random_cost(ticket, server)
            else:
                cost = _cost(server, ticket, holder)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def record_prefix(self, prefix: int, name: str) -> None:
        """Record which server has a prompt prefix in its cache.

        Only the last ``MAX_PREFIXES`` prefixes are kept; 0 stands for an
        unknown prefix and is ignored.
        """
        if not prefix:
            return
        self._prefixes[prefix] = name
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)


def _mark_leaving(server: Server) -> None:
    server.view = replace(server.view, leaving=True)


def _random_cost(ticket: Ticket, server: Server) -> float:
    text = f'{ticket.ticket_id}/{server.view.name}'
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return float(int.from_bytes(digest))


def _cost(server: Server, ticket: Ticket, holder: str | None) -> float:
    load = float(server.running)
    if server.view.name == holder and not server.slow:
        load -= AFFINITY_SLOTS
    # AFFINITY_SLOTS is added for all servers, so that the cost stays above 0.
    cost = (load + AFFINITY_SLOTS + 1) / max(1, server.limit.slots)
    if server.limit.token_s > 0:
        cost *= server.limit.token_s
    if server.view.name == ticket.avoid:
        cost *= PENALTY_FACTOR
    if server.slow:
        cost *= PENALTY_FACTOR
    return cost
