"""Choose backend servers by the cost of a request on each of them.

Pure logic, for services of model engines under bursty load. The cost of a
server is counted in prompt tokens. It is the sum of

- the unread tokens: prompt tokens of requests that are already placed on the
  engine and whose prefill is not done,
- the tokens of this prompt that the engine does not have cached,
- a cost for each running request, as each one makes every generated token of
  the others slower,
- a cost for the server's recent failure rate,
- a cost for servers other than the prompt's home, which is chosen by
  rendezvous hashing of its last shared part,
- a penalty for mixing tight streams and long prompts on one engine. A tight
  stream (``Ticket.is_tight``) has a strict limit on the pause between tokens,
  and the prefill of another prompt makes its pauses longer.

Some of the servers are reserved for tight streams; their number follows the
number of these streams. Long prompts are placed on other servers if possible.

Tokens that another server has cached count more than once, because each engine
has memory for only some of the shared parts.

What a server has to do is divided by its speed, so that costs compare expected
times. Faster servers are the home of more prompt parts, and a part is cached
again sooner on a server that is faster than those that have it.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from siskinpass.process.load_order import RankedList
from siskinpass.process.placement import Server, ServerTable
from siskinpass.process.prefill import PREFILL_TOKENS_PER_S
from siskinpass.process.rendezvous import (
    first_holders,
    rank,
    weighted_holder,
)
from siskinpass.process.zone_choice import CROSSING_TOKENS, shared_key
from siskinpass.request.isolation import isolated
from siskinpass.request.ticket import Ticket

# With fewer servers none are reserved for tight streams.
MIN_SERVERS_FOR_RESERVING = 3
# A plain server (one without a model engine) that fails all requests costs as
# much as one with this many requests for each of its slots.
PLAIN_FAILURE_WEIGHT = 3.0
# Requests that a plain server of another zone must have fewer.
PLAIN_CROSSING_REQUESTS = 1.0
# Servers that are known in the order in which they may be the home of a key. At
# least one in twelve is fit for a prompt where there are three zones. In one of
# 250 cases none of these is, and all servers are compared.
MAX_KNOWN_HOMES = 64
MAX_KNOWN_KEYS = 2048


@dataclass(frozen=True, slots=True)
class AffinityPolicy:
    """Weights and limits of the choice.

    :param running_request_tokens: cost of one running request. Engines are
        specified to need 0.165 ms more for a decoding step with each running
        request. Over 40 steps that is the prefill time of about 400 tokens.
    :param lower_tier_weight: weight of unread tokens of lower tiers. They count
        because an engine finishes the prefill chunk that it has begun, and the
        pauses of its streams grow.
    :param duplicate_prefill_factor: weight of tokens that another server has
        cached. A lower factor sends more prompts to an engine that has to
        prefill again what another engine has cached. With a factor of 3 there
        were 1.5 times as many such prompts; see docs/design/platform.md.
    :param non_home_tokens: additional cost of a server that is not the home of
        the prompt's last shared part. It decides between otherwise equal
        servers, so that the parts spread over the memory of all engines and
        two instances make the same choice.
    :param tight_non_home_factor: limits ``non_home_tokens`` for tight streams
        to this multiple of the tokens of their shared parts. These parts are
        short, and an even prefill pace on the reserved servers is worth more
        than avoiding another prefill of them.
    :param reservation_penalty: cost of a tight stream on a server that is not
        reserved, or of a long prompt on one that is: ten seconds of prefill, so
        that this happens only after failures.
    :param streams_per_reserved_server: tight streams for each reserved server.
        A decoding step then takes 1.5 times as long as with one stream; with
        more streams the prefill of their own prompts makes their pauses longer.
    :param max_slot_fraction: limits the streams for each reserved server to
        this fraction of its slots, where it has few.
    :param min_reserved_fraction: smallest fraction of the servers that are
        reserved.
    :param max_reserved_fraction: largest fraction of the servers that may be
        reserved.
    :param reserved_decay_s: time in which the stream count that determines the
        number of reserved servers falls to about a third once the streams have
        ended. Bursts come less than 15 s apart; with a shorter time the cached
        parts of the reserved servers would move after each burst and back at
        the next.
    :param failure_tokens: cost of a server that fails all requests: two seconds
        of prefill.
    :param long_prompt_tokens: prompts above this length do not belong on
        reserved servers. An engine prefills 4,096 tokens between two decoding
        steps.
    :param backlog_s: estimated prefill backlog up to which an engine gets
        another prompt. Requests that wait in the broker instead keep their
        order by tier and target.
    :param max_tight_wait_s: longest time that a tight stream waits until the
        paced prefill of the prompts before it is done: a fifth of the shortest
        latency target, 0.5 s.
    :param max_unread_tokens: unread tokens of a tier and those above it up to
        which an engine gets another prompt of that tier: one second of prefill.
        This bounds the backlog of an engine that is slower than estimated.
    :param extra_tight_streams: requests beyond the slots of an engine up to
        which it still gets tight streams; it preempts others for them.
    :param preemption_tokens: cost of a request for which an engine has no free
        slot.
    :param plain_requests_per_slot: requests for each slot of a plain server.
        The additional half covers the network round trip.
    """

    running_request_tokens: float = 400.0
    lower_tier_weight: float = 0.5
    duplicate_prefill_factor: float = 10.0
    non_home_tokens: float = 8000.0
    tight_non_home_factor: float = 0.6
    reservation_penalty: float = 500_000.0
    streams_per_reserved_server: int = 20
    max_slot_fraction: float = 0.8
    min_reserved_fraction: float = 0.25
    max_reserved_fraction: float = 0.5
    reserved_decay_s: float = 15.0
    failure_tokens: float = 100_000.0
    long_prompt_tokens: int = 4096
    backlog_s: float = 0.25
    max_tight_wait_s: float = 0.1
    max_unread_tokens: int = 50_000
    extra_tight_streams: int = 2
    preemption_tokens: float = 40_000.0
    plain_requests_per_slot: float = 1.5


class AffinityChooser:
    """Callable that chooses a server for a ticket by its cost."""

    def __init__(self, policy: AffinityPolicy | None = None) -> None:
        self._policy = policy or AffinityPolicy()
        self._reserved = _ReservedServers(self._policy)
        self._homes = _Homes()

    def __call__(self, table: ServerTable, ticket: Ticket) -> Server | None:
        """Return the cheapest server, or ``None`` if the ticket should wait.

        A server that has just failed for this ticket is used only if no other
        server is free, and one that asked for a pause not at all. Tickets
        without prompt parts are placed by load and failure rate only. A ticket
        under which servers have ended is kept apart from other requests.
        """
        if not ticket.pieces:
            best = self._choose_from_all(table, ticket)
            return best if best and self._has_slot(best) else None
        if ticket.avoid or ticket.crashes or _is_restricted(table, ticket):
            best = self._choose_from_all(table, ticket)
        else:
            best = self._choose_from_few(table, ticket)
        if best is None:
            return None
        return best if self._has_room(best, ticket, table.now_s) else None

    def _choose_from_all(
        self, table: ServerTable, ticket: Ticket
    ) -> Server | None:
        """Return the cheapest of all open servers that the ticket may use."""
        free = [
            server
            for server in table.open_servers()
            if not ticket.excludes(server.view, table.now_s)
        ]
        allowed = isolated(free, ticket.crashes, listed=table.size)
        preferred = [one for one in allowed if one.view.name != ticket.avoid]
        servers = preferred or allowed
        if not servers:
            return None
        if not ticket.pieces:
            return min(servers, key=partial(_plain_cost, table))
        reserved = self._reserved.names(
            frozenset(server.view.name for server in free),
            sum(server.load.tight for server in free),
            max(server.view.slots for server in free),
            table.now_s,
        )
        names = frozenset(server.view.name for server in servers)
        places = self._homes.locate(table, names, ticket, reserved)
        cost = _PromptCost(self._policy, table, ticket, places)
        return min(servers, key=cost.of)

    def _choose_from_few(
        self, table: ServerTable, ticket: Ticket
    ) -> Server | None:
        """Return the same server, but look only at those that may be cheapest.

        These are the servers that have a part of the prompt cached, its home,
        and of each list of the order by load those before the first one whose
        load alone makes it too expensive.
        """
        order = table.rank(partial(_load_cost, self._policy))
        if not order.names:
            return None
        reserved = self._reserved.names(
            order.names, order.totals.tight, order.engine_slots, table.now_s
        )
        order.reserve(reserved)
        places = self._homes.locate(table, order.names, ticket, reserved)
        cost = _PromptCost(self._policy, table, ticket, places)
        search = _Search(table, cost)
        search.consider(places.home)
        for name in cost.cached:
            search.consider(name)
        for listed in order.lists(ticket.tier):
            search.consider_cheapest(listed)
        return search.best

    def _has_slot(self, server: Server) -> bool:
        slots = server.view.slots
        return (
            not slots
            or server.load.running
            < slots * self._policy.plain_requests_per_slot
        )

    def _has_room(
        self,
        server: Server,
        ticket: Ticket,
        now_s: float,
    ) -> bool:
        """Return whether the engine's prefill backlog is short enough.

        Requests that wait here instead of at the engine keep their order by
        tier and target.
        """
        policy = self._policy
        unread = server.load.unread_at_or_above(ticket.tier)
        if unread > policy.max_unread_tokens * server.speed.factor:
            return False
        extra = policy.extra_tight_streams if ticket.is_tight else 0
        if _is_full(server, extra):
            return False
        if ticket.is_tight:
            # Prefilling one prompt at a time lengthens the pauses of the
            # running streams least.
            return (
                server.prefill.paced_backlog_s(now_s) == 0
                or now_s - ticket.opened_s > policy.max_tight_wait_s
            )
        return server.prefill.backlog_s(ticket.tier, now_s) <= policy.backlog_s


class _ReservedServers:
    """Servers reserved for tight streams, as many as these streams need."""

    def __init__(self, policy: AffinityPolicy) -> None:
        self._policy = policy
        self._streams = 0.0
        self._updated_s = 0.0
        self._ranked_names: frozenset[str] = frozenset()
        self._ranked: tuple[str, ...] = ()
        self._taken: frozenset[str] = frozenset()

    def names(
        self, names: frozenset[str], tight: int, slots: int, now_s: float
    ) -> frozenset[str]:
        """Return the names of the servers that are reserved now.

        :param names: of those with a free slot.
        :param tight: tight streams on them.
        :param slots: the most requests that one of them runs at once.
        :returns: empty if there are fewer than ``MIN_SERVERS_FOR_RESERVING``.
        """
        if len(names) < MIN_SERVERS_FOR_RESERVING:
            return frozenset()
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        held = self._streams * math.exp(
            -passed_s / self._policy.reserved_decay_s
        )
        self._streams = max(float(tight), held)
        wanted_size = max(
            round(self._policy.min_reserved_fraction * len(names)),
            math.ceil(self._streams / self._streams_per_server(slots)),
        )
        max_size = int(len(names) * self._policy.max_reserved_fraction)
        size = max(1, min(wanted_size, max_size))
        if names != self._ranked_names:
            # The same order on all instances.
            self._ranked_names = names
            self._ranked = tuple(rank('', names))
            self._taken = frozenset()
        if len(self._taken) != size:
            self._taken = frozenset(self._ranked[:size])
        return self._taken

    def _streams_per_server(self, slots: int) -> float:
        policy = self._policy
        if not slots:
            return policy.streams_per_reserved_server
        return min(
            policy.streams_per_reserved_server, slots * policy.max_slot_fraction
        )


@dataclass(frozen=True, slots=True)
class _Places:
    """Where the parts of a prompt are and belong.

    :param holders: servers whose cached parts count.
    :param reserved: names of the servers reserved for tight streams.
    """

    home: str
    holders: Sequence[Server]
    reserved: frozenset[str]


class _Homes:
    """Homes of prompt parts."""

    def __init__(self) -> None:
        self._version = 0
        self._weights: dict[str, float] = {}
        self._first: OrderedDict[str, list[str]] = OrderedDict()
        self._near: frozenset[str] = frozenset()

    def locate(
        self,
        table: ServerTable,
        names: frozenset[str],
        ticket: Ticket,
        reserved: frozenset[str],
    ) -> _Places:
        """Return where the parts of a prompt are and belong.

        The home is that of the last shared part. Tight streams have it on a
        reserved server and other prompts on one that is not reserved, as long
        as there are such servers. A common part has a home in each zone.

        :param names: of the servers that the ticket may be placed on.
        """
        self._refresh(table)
        holders = [
            server
            for server in map(table.find, table.cache.holders(ticket.pieces))
            if server is not None
        ]
        copies = _near_copies(table, ticket, holders)
        if copies is None:
            home = self._find(names, ticket, reserved)
            return _Places(home, holders, reserved)
        near = (names & self._near) or names
        return _Places(self._find(near, ticket, reserved), copies, reserved)

    def _find(
        self,
        names: frozenset[str],
        ticket: Ticket,
        reserved: frozenset[str],
    ) -> str:
        key = str(shared_key(ticket.pieces))
        for name in self._first_of(key):
            is_fit = not reserved or (name in reserved) == ticket.is_tight
            if is_fit and name in names:
                return name
        fit = names
        if reserved:
            fit = names & reserved if ticket.is_tight else names - reserved
        return weighted_holder(
            key, {name: self._weights[name] for name in fit or names}
        )

    def _refresh(self, table: ServerTable) -> None:
        if table.version == self._version:
            return
        self._version = table.version
        self._first.clear()
        self._weights = {
            server.view.name: server.speed.home for server in table.servers
        }
        self._near = frozenset(
            server.view.name
            for server in table.servers
            if server.view.zone == table.zones.own
        )

    def _first_of(self, key: str) -> list[str]:
        """Return the first few servers that may be the home of a key."""
        first = self._first.get(key)
        if first is None:
            first = first_holders(key, self._weights, MAX_KNOWN_HOMES)
            self._first[key] = first
            if len(self._first) > MAX_KNOWN_KEYS:
                self._first.popitem(last=False)
        return first


class _Search:
    """Search for the cheapest server."""

    def __init__(self, table: ServerTable, cost: '_PromptCost') -> None:
        """Begin without a result.

        :ivar best: cheapest server so far, ``None`` before any.
        """
        self._table = table
        self._cost = cost
        self._seen: set[str] = set()
        self._lowest = (math.inf, '')
        self.best: Server | None = None

    def consider(self, name: str) -> None:
        """Look at one server, unless it has no free slot."""
        self._seen.add(name)
        server = self._table.find(name)
        if server is None or server.free_slots(self._table.now_s) <= 0:
            return
        cost = self._cost.of(server)
        if cost < self._lowest:
            self._lowest = cost
            self.best = server

    def consider_cheapest(self, listed: RankedList) -> None:
        """Look at the servers of a list that may be cheaper than the best."""
        other_cost = self._cost.other_than_load(
            0, listed.factor, listed.zone, is_reserved=listed.is_reserved
        )
        for load_cost, name in listed.ranked:
            if (load_cost + other_cost, name) >= self._lowest:
                return
            if name not in self._seen:
                self.consider(name)


class _PromptCost:
    """Compute the cost of each server for one ticket."""

    def __init__(
        self,
        policy: AffinityPolicy,
        table: ServerTable,
        ticket: Ticket,
        places: _Places,
    ) -> None:
        """Look up the cached tokens of the prompt.

        :ivar cached: cached tokens of the servers that have any.
        """
        self._policy = policy
        self._ticket = ticket
        self._reserved = places.reserved
        self._home = places.home
        self._now_s = table.now_s
        self.cached: dict[str, int] = {}
        self._max_cached = 0
        # Speed of the fastest server that has most of the prompt cached.
        self._holder_speed = 1.0
        self._zones = table.zones
        for server in places.holders:
            name = server.view.name
            tokens = table.cache.cached_tokens(name, ticket.pieces)
            self.cached[name] = tokens
            known = self._max_cached, self._holder_speed
            if not self._max_cached or (tokens, server.factor) > known:
                self._max_cached = tokens
                self._holder_speed = server.factor

    def of(self, server: Server) -> tuple[float, str]:
        """Return the cost of a server, and its name as a tie-break."""
        policy = self._policy
        name = server.view.name
        is_reserved = name in self._reserved
        cost = _load_cost(policy, server, self._ticket.tier)
        cost += self.other_than_load(
            self.cached.get(name, 0),
            server.factor,
            server.view.zone,
            is_reserved=is_reserved,
            is_home=name == self._home,
        )
        cost += server.failure_rate_at(self._now_s) * policy.failure_tokens
        if self._reserved and self._ticket.is_tight:
            # Only reserved servers have a paced backlog that differs from
            # their load.
            cost += (
                server.prefill.paced_backlog_s(self._now_s)
                * PREFILL_TOKENS_PER_S
            )
        return cost, name

    def other_than_load(
        self,
        cached_tokens: int,
        factor: float,
        zone: str,
        *,
        is_reserved: bool,
        is_home: bool = False,
    ) -> float:
        """Return the cost of this prompt alone on a server that has no faults.

        :param factor: speed of the server.
        :param zone: availability zone of the server.
        """
        duplicate = (self._max_cached - cached_tokens) * (
            self._policy.duplicate_prefill_factor - 1
        )
        work = self._ticket.tokens_in - cached_tokens
        cost = (work + duplicate * self._holder_speed) / factor
        cost += self._zones.crossing_tokens(zone)
        if not is_home:
            cost += self._non_home_cost()
        return cost + self._reservation_cost(is_reserved=is_reserved)

    def _non_home_cost(self) -> float:
        policy = self._policy
        if not self._ticket.is_tight:
            return policy.non_home_tokens
        shared = sum(piece.tokens for piece in self._ticket.pieces[:-1])
        return min(
            policy.non_home_tokens,
            shared * policy.tight_non_home_factor,
        )

    def _reservation_cost(self, *, is_reserved: bool) -> float:
        if not self._reserved:
            return 0.0
        is_long = self._ticket.tokens_in > self._policy.long_prompt_tokens
        is_misplaced = (
            not is_reserved
            if self._ticket.is_tight
            else is_reserved and is_long
        )
        return self._policy.reservation_penalty if is_misplaced else 0.0


def _near_copies(
    table: ServerTable, ticket: Ticket, holders: Sequence[Server]
) -> Sequence[Server] | None:
    """Return the servers whose copies count for a part of each zone.

    A common part is cached in each zone: until a server of this instance's zone
    has it, the copies of other zones do not count, unless there is no time to
    make another one.

    :returns: ``None`` for a part that has one home in the fleet.
    """
    zones = table.zones
    if not zones.is_common(shared_key(ticket.pieces), table.now_s):
        return None
    shared = sum(piece.tokens for piece in ticket.pieces[:-1])
    near = [server for server in holders if server.view.zone == zones.own]
    if any(
        table.cache.cached_tokens(server.view.name, ticket.pieces) >= shared
        for server in near
    ):
        return holders
    return None if zones.is_busy else near


def _load_cost(policy: AffinityPolicy, server: Server, tier: int) -> float:
    """Return the cost of what already runs on a server."""
    load = server.load
    ahead = load.unread_at_or_above(tier)
    behind = sum(load.unread) - ahead
    work = ahead + behind * policy.lower_tier_weight
    work += load.running * policy.running_request_tokens
    cost = work / server.factor
    return cost + policy.preemption_tokens if _is_full(server) else cost


def _is_restricted(table: ServerTable, ticket: Ticket) -> bool:
    """Return whether a ticket may not use some of the servers."""
    return ticket.version is not None or any(
        table.now_s < until_s and table.find(name) is not None
        for name, until_s in ticket.paused
    )


def _is_full(server: Server, extra: int = 0) -> bool:
    """Return whether an engine has no free slot.

    :param extra: requests that it may run in addition to its slots.
    """
    slots = server.view.slots
    return slots > 0 and server.load.running >= slots + extra


def _plain_cost(table: ServerTable, server: Server) -> tuple[float, str]:
    slots = max(1, server.view.slots)
    crossing = table.zones.crossing_tokens(server.view.zone) / CROSSING_TOKENS
    running = server.load.running + crossing * PLAIN_CROSSING_REQUESTS
    cost = (running + 1) / slots / server.speed.factor
    cost += server.failure_rate_at(table.now_s) * PLAIN_FAILURE_WEIGHT
    return cost, server.view.name
