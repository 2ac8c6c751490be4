"""Choose backend servers by what a request costs there.

Pure logic, for services of model engines under bursts. The cost of a server
is in prompt tokens that are read before or because of the request:

- what the engine has yet to read for requests that are placed there,
- what it has to read of this prompt, beyond what it has cached,
- what each running request adds to the time of a generated token,
- a penalty where streams with a tight pause and long prompts would share an
  engine: a prompt that is read beside a stream stretches its pauses.

A prompt part that is cached elsewhere weighs more than its reading takes, as
each engine has memory for only a part of the shared prompts.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import partial

from siskinpass.process.placement import Server, ServerTable
from siskinpass.process.reading import READ_TOKENS_S
from siskinpass.process.rendezvous import holder, rank
from siskinpass.request.ticket import Ticket

LANE_SERVERS_LEAST = 3
# A plain server that fails all requests counts as this many times full.
PLAIN_TROUBLE = 3.0


@dataclass(frozen=True, slots=True)
class AffinityPolicy:
    """Set the weights of the cost.

    :param running_tokens: cost of one running request. On the sheets a step
        takes 0.165 ms longer for it; over 40 steps that is the time in which
        an engine reads about 400 prompt tokens.
    :param reread_factor: weight of tokens that another server has cached;
        3 diverted half again as many, see docs/design/platform.md.
    :param behind_weight: weight of unread prompts of lower tiers. An engine
        goes on with the chunk that it reads, and its streams' pauses grow.
    :param home_tokens: what a server that is not the home of the prompt's
        last shared part costs more. Equal servers are told apart by it, so
        that parts spread over all memories and two instances choose alike.
    :param tight_home_factor: bounds the same for streams with a tight pause,
        by the tokens of their short shared parts: the lane's even pace is
        worth more than reading these again.
    :param lane_penalty: cost of sharing an engine against the lanes: ten
        seconds of reading, so that only failures bring it about.
    :param lane_streams: streams with a tight pause for each engine of their
        lane; a step then takes 1.5 times as long as alone, and with more
        their own prompts stretch their pauses.
    :param lane_least: part of the engines that the lane takes at least.
    :param lane_most: part of the engines that the lane may take.
    :param lane_hold_s: time in which an unused lane shrinks to about a third:
        longer than the sheets' bursts are apart, so that the parts of its
        engines need not move twice.
    :param trouble_tokens: cost of a server that fails all requests, two
        seconds of reading.
    :param long_tokens: prompts above this length do not belong in the lane.
        An engine reads 4,096 tokens between two steps.
    :param ahead_s: reading time that is placed on an engine ahead of a
        request. What waits here instead keeps its order by tier and target.
    :param tight_wait_s: longest time that a stream with a tight pause waits
        for its prompt's turn; a fifth of the shortest target of the sheets.
    :param unread_most: prompt tokens of a tier and those above it that an
        engine may have unread, should it be slower than expected: a second.
    :param plain_overfull: requests for each slot of a plain service; the half
        beyond it covers the way to the server and back.
    """

    running_tokens: float = 400.0
    behind_weight: float = 0.5
    reread_factor: float = 10.0
    home_tokens: float = 8000.0
    tight_home_factor: float = 0.6
    lane_penalty: float = 500_000.0
    lane_streams: int = 20
    lane_least: float = 0.25
    lane_most: float = 0.5
    lane_hold_s: float = 15.0
    trouble_tokens: float = 100_000.0
    long_tokens: int = 4096
    ahead_s: float = 0.25
    tight_wait_s: float = 0.1
    unread_most: int = 50_000
    plain_overfull: float = 1.5


class AffinityChooser:
    """Choose a server for a ticket."""

    def __init__(self, policy: AffinityPolicy | None = None) -> None:
        """Keep the weights."""
        self._policy = policy or AffinityPolicy()
        self._lane = _LaneSize(self._policy)

    def __call__(self, table: ServerTable, ticket: Ticket) -> Server | None:
        """Return the cheapest server, none where the ticket should wait."""
        free = table.open_servers()
        fresh = [one for one in free if one.view.name != ticket.avoid]
        servers = fresh or free
        if not servers:
            return None
        if not ticket.pieces:
            best = min(servers, key=partial(_plain_cost, now_s=table.now_s))
            return best if self._has_slot(best) else None
        lane = self._lane.names(free, table.now_s)
        cost = _PromptCost(self._policy, table, ticket, lane, servers)
        best = min(servers, key=cost.of)
        return best if self._has_room(best, ticket, table.now_s) else None

    def _has_slot(self, server: Server) -> bool:
        slots = server.view.slots
        return (
            not slots
            or server.load.running < slots * self._policy.plain_overfull
        )

    def _has_room(
        self,
        server: Server,
        ticket: Ticket,
        now_s: float,
    ) -> bool:
        """Tell whether the engine's backlog is short enough.

        What waits here instead of at the engine keeps its order by target.
        """
        policy = self._policy
        if server.load.unread_at_or_above(ticket.tier) > policy.unread_most:
            return False
        if ticket.is_tight:
            # One prompt after the other stretches the streams' pauses least.
            return (
                server.reading.paced_s(now_s) == 0
                or now_s - ticket.opened_s > policy.tight_wait_s
            )
        return server.reading.ahead_s(ticket.tier, now_s) <= policy.ahead_s


class _LaneSize:
    """Size the lane by the streams with a tight pause that run."""

    def __init__(self, policy: AffinityPolicy) -> None:
        """Start with the least lane."""
        self._policy = policy
        self._streams = 0.0
        self._seen_s = 0.0
        self._open: frozenset[str] = frozenset()
        self._ranked: tuple[str, ...] = ()

    def names(
        self,
        servers: Sequence[Server],
        now_s: float,
    ) -> frozenset[str]:
        """Return the servers of the lane, none where there are too few.

        :param servers: those that may get a request now.
        """
        if len(servers) < LANE_SERVERS_LEAST:
            return frozenset()
        tight = sum(server.load.tight for server in servers)
        passed_s = now_s - self._seen_s
        self._seen_s = now_s
        held = self._streams * math.exp(-passed_s / self._policy.lane_hold_s)
        self._streams = max(float(tight), held)
        wanted = max(
            round(self._policy.lane_least * len(servers)),
            math.ceil(self._streams / self._policy.lane_streams),
        )
        most = int(len(servers) * self._policy.lane_most)
        ordered = self._rank(server.view.name for server in servers)
        return frozenset(ordered[: max(1, min(wanted, most))])

    def _rank(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return the order in which servers join the lane."""
        given = frozenset(names)
        if given != self._open:
            self._open = given
            self._ranked = tuple(rank('', given))
        return self._ranked


class _PromptCost:
    """Work out the cost of each server for one ticket."""

    def __init__(
        self,
        policy: AffinityPolicy,
        table: ServerTable,
        ticket: Ticket,
        lane: frozenset[str],
        servers: Sequence[Server],
    ) -> None:
        """Look up what each server has cached."""
        self._policy = policy
        self._ticket = ticket
        self._lane = lane
        self._now_s = table.now_s
        self._cached = {
            server.view.name: table.cache.cached(
                server.view.name,
                ticket.pieces,
            )
            for server in table.servers
        }
        self._most_cached = max(self._cached.values())
        self._home = self._find_home(servers)

    def of(self, server: Server) -> tuple[float, str]:
        """Return the cost of a server, its name to break ties."""
        policy = self._policy
        name = server.view.name
        cached = self._cached[name]
        load = server.load
        ahead = load.unread_at_or_above(self._ticket.tier)
        behind = sum(load.unread) - ahead
        cost = ahead + behind * policy.behind_weight
        cost += self._ticket.tokens_in - cached
        cost += (self._most_cached - cached) * (policy.reread_factor - 1)
        cost += load.running * policy.running_tokens
        cost += server.trouble_at(self._now_s) * policy.trouble_tokens
        cost += 0 if name == self._home else self._away_cost()
        return cost + self._lane_cost(server), name

    def _find_home(self, servers: Sequence[Server]) -> str:
        """Return the home of the prompt among the servers of its lane."""
        names = {server.view.name for server in servers}
        if self._lane:
            same = self._lane if self._ticket.is_tight else names - self._lane
            names = (names & same) or names
        shared = self._ticket.pieces[:-1] or self._ticket.pieces
        return holder(str(shared[-1].key), names)

    def _away_cost(self) -> float:
        policy = self._policy
        if not self._ticket.is_tight:
            return policy.home_tokens
        shared = sum(piece.tokens for piece in self._ticket.pieces[:-1])
        return min(policy.home_tokens, shared * policy.tight_home_factor)

    def _lane_cost(self, server: Server) -> float:
        in_lane = server.view.name in self._lane
        if not self._lane:
            return 0.0
        if self._ticket.is_tight:
            # The pace differs from the load only for servers of the lane.
            pace = server.reading.paced_s(self._now_s) * READ_TOKENS_S
            return pace if in_lane else pace + self._policy.lane_penalty
        is_long = self._ticket.tokens_in > self._policy.long_tokens
        return self._policy.lane_penalty if in_lane and is_long else 0.0


def _plain_cost(server: Server, now_s: float) -> tuple[float, str]:
    slots = max(1, server.view.slots)
    cost = (server.load.running + 1) / slots
    cost += server.trouble_at(now_s) * PLAIN_TROUBLE
    return cost, server.view.name
