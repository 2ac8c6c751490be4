"""Grant the slots of one group of backend servers in priority order.

Pure logic: events and clock readings go in, commands come out. Where instances
share a broker, one live instance runs it. Its state is kept in memory only;
when the broker moves to another instance, the entry instances send their
tickets and grants to the new one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from siskinpass.codes import Code
from siskinpass.process.cache_map import MAX_PARTS, CacheMap
from siskinpass.process.demand import Demand
from siskinpass.process.grants import ActiveGrants
from siskinpass.process.limits import LimitPolicy
from siskinpass.process.look_budget import LookBudget
from siskinpass.process.placement import Chooser, ServerTable
from siskinpass.process.preemption import choose_moves, choose_pauses
from siskinpass.process.throughput import GrantRate
from siskinpass.process.workspace_shares import WorkspaceShares
from siskinpass.process.zone_choice import ZoneChoice
from siskinpass.request.ticket import (
    ClockTicked,
    Command,
    EntryLost,
    Event,
    Granted,
    GrantReleased,
    GrantReported,
    LoadEvent,
    Moved,
    Paused,
    Refused,
    Ticket,
    TicketOpened,
    TicketWithdrawn,
)
from siskinpass.request.ticket_queue import WaitingTickets

MS_PER_S = 1000
MIN_RETRY_MS = 200  # shortest delay before a retry that a refusal asks for
# Tickets tried per tier in one pass, so that a ticket that no server can take
# now does not block the tickets behind it.
MAX_CANDIDATES = 64
# Servers looked at for the waiting tickets of one tier in one pass. It bounds
# the time of a pass under overload, when no server can take any of them.
MAX_LOOKS = 600
MIN_TRIES = 6


@dataclass(frozen=True, slots=True)
class BrokerPolicy:
    """Configuration of a broker.

    :param limit: bounds of the slots of each backend server.
    :param max_queued: maximum number of waiting tickets in the group; resumed
        streams do not count.
    :param reserve_floor: minimum number of slots that each tier leaves free
        for the tiers above it.
    :param by_priority: whether tiers, latency targets and shares order the
        queue; otherwise tickets are served first come, first served.
    :param pauses: whether streams of lower tiers are paused when requests of
        upper tiers wait.
    :param at_random: whether placement picks a random server with a free slot.
    :param chooser: chooses among the servers with a free slot, in place of
        the built-in placement.
    :param moves: whether servers that became slow are marked as such and
        streams are moved off them.
    :param kv_capacity_tokens: KV cache capacity of each engine in tokens.
    :param max_parts: cached prompt parts that are known at most.
    :param probe_after: consecutive failures after which a server gets only
        one request at a time.
    :param waits_for_ticks: whether waiting tickets are tried on clock ticks
        only once the :class:`LookBudget` is spent, and a new one at once if
        none waits at or above its tier. The time for decisions then does not
        grow with the number of events.
    :param learns_speeds: whether servers may count as faster or slower than
        others of the group; see :mod:`siskinpass.process.server_speed`.
    :param zone: availability zone of this instance, empty if zones do not
        count; see :mod:`siskinpass.process.zone_choice`.
    """

    limit: LimitPolicy = field(default_factory=LimitPolicy)
    max_queued: int = 2000
    reserve_floor: int = 1
    by_priority: bool = True
    pauses: bool = True
    at_random: bool = False
    chooser: Chooser | None = None
    moves: bool = True
    kv_capacity_tokens: int = 0
    max_parts: int = MAX_PARTS
    probe_after: int = 1
    waits_for_ticks: bool = False
    learns_speeds: bool = False
    zone: str = ''


class Broker:
    """Order the tickets of one group and grant its slots.

    :ivar shares: work of the workspaces, of all instances together.
    """

    def __init__(self, policy: BrokerPolicy) -> None:
        self._policy = policy
        self._table = ServerTable(
            policy.limit,
            at_random=policy.at_random,
            chooser=policy.chooser,
            cache=CacheMap(policy.kv_capacity_tokens, policy.max_parts),
            probe_after=policy.probe_after,
            learns_speeds=policy.learns_speeds,
        )
        self._table.zones = ZoneChoice(policy.zone)
        self._waiting = WaitingTickets()
        self._grants = ActiveGrants(self._table)
        self._demand = Demand()
        self._rate = GrantRate()
        self.shares = WorkspaceShares()
        self._commands: list[Command] = []
        self._now_s = 0.0
        self._passes = 0
        self._looks = LookBudget()

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of granted slots."""
        return len(self._grants)

    @property
    def table(self) -> ServerTable:
        """Return the table of the group's backend servers."""
        return self._table

    def apply(self, event: Event, now_s: float) -> list[Command]:
        """Apply one event and return the resulting commands.

        :param now_s: monotonic clock in seconds; a reading earlier than the
            previous one is ignored.
        """
        return self.apply_all((event,), now_s)

    def apply_all(
        self,
        events: Iterable[Event],
        now_s: float,
    ) -> list[Command]:
        """Apply a batch of events, then make decisions once for all of them.

        :param now_s: as in :meth:`apply`.
        """
        self._now_s = max(self._now_s, now_s)
        given = tuple(events)
        for event in given:
            self._handle_event(event)
        if self._is_pass_due(given):
            self._dispatch()
        else:
            self._try_opened(given)
        commands, self._commands = self._commands, []
        return commands

    @singledispatchmethod
    def _handle_event(self, event: Event) -> None:
        raise TypeError(event)

    @_handle_event.register
    def _open(self, event: TicketOpened) -> None:
        ticket = event.ticket
        known = ticket.ticket_id in self._waiting
        if known or ticket.ticket_id in self._grants:
            return
        if not self._policy.by_priority:
            ticket = _without_priority(ticket)
        self.shares.note_asked(ticket, self._now_s)
        if ticket.resumed or self._admit(ticket):
            self._waiting.add(ticket)
            self._add_demand(ticket, 1)

    @_handle_event.register
    def _withdraw(self, event: TicketWithdrawn) -> None:
        ticket = self._waiting.pop(event.ticket_id)
        if ticket is not None:
            self._add_demand(ticket, -1)

    @_handle_event.register
    def _release(self, event: GrantReleased) -> None:
        self._withdraw(TicketWithdrawn(event.ticket_id))
        ticket = self._grants.remove(event, self._now_s)
        if ticket is not None:
            self._add_demand(ticket, -1)

    @_handle_event.register
    def _add_reported(self, event: GrantReported) -> None:
        ticket = event.ticket
        if ticket.ticket_id not in self._grants:
            self._withdraw(TicketWithdrawn(ticket.ticket_id))
            self._grants.add_reported(event)
            self._add_demand(ticket, 1)

    @_handle_event.register
    def _handle_load(self, event: LoadEvent) -> None:
        self._grants.apply(event, self._now_s)

    @_handle_event.register
    def _drop_entry(self, event: EntryLost) -> None:
        for ticket in self._waiting:
            if ticket.entry == event.entry:
                self._withdraw(TicketWithdrawn(ticket.ticket_id))
        for ticket_id in self._grants.held_by(event.entry):
            self._release(GrantReleased(ticket_id))

    @_handle_event.register
    def _tick(self, event: ClockTicked) -> None:
        if self._policy.moves:
            self._table.mark_slow(self._now_s)
            self._move_from_slow()
        for ticket in self._waiting:
            if ticket.expires_s <= self._now_s and not ticket.resumed:
                code = self._waiting.code_for(ticket, Code.wait_too_long)
                self._refuse(ticket, code)
        self._demand.tick(self._now_s)

    def _admit(self, ticket: Ticket) -> bool:
        if self._waiting.count_at_or_above(ticket.tier):
            self._waiting.defer(
                ticket.tier, self.shares.beyond(ticket.tier, self._now_s)
            )
        wait_s = self._expected_wait_s(ticket)
        if wait_s > ticket.max_wait_s:
            code = self._waiting.code_for(ticket, Code.wait_too_long)
            self._reply_refused(ticket, code, wait_s)
            return False
        if self._waiting.unstarted < self._policy.max_queued:
            return True
        shed = self._waiting.lowest()
        if shed is not None and shed.tier > ticket.tier:
            self._refuse(shed, Code.shed_for_upper_tier)
        elif shed is not None and self._waiting.goes_before(ticket, shed):
            self._refuse(shed, Code.workspace_share)
        else:
            code = self._waiting.code_for(ticket, Code.queue_full)
            self._reply_refused(ticket, code, wait_s)
            return False
        return True

    def _expected_wait_s(self, ticket: Ticket) -> float:
        ahead = self._waiting.count_before(ticket)
        return self._rate.wait_s(ticket.tier, ahead, self._now_s)

    def _refuse(self, ticket: Ticket, code: Code) -> None:
        self._withdraw(TicketWithdrawn(ticket.ticket_id))
        self._reply_refused(ticket, code, self._expected_wait_s(ticket))

    def _reply_refused(
        self,
        ticket: Ticket,
        code: Code,
        wait_s: float,
    ) -> None:
        excess_s = max(0, wait_s - ticket.max_wait_s / 2)
        retry_ms = MIN_RETRY_MS + int(excess_s * MS_PER_S)
        self._commands.append(
            Refused(ticket.ticket_id, ticket.entry, code, retry_ms),
        )

    def _dispatch(self) -> None:
        self._waiting.demote_late(self._now_s + self._table.first_token_s)
        for waiting_tier in self._waiting.tiers:
            self._waiting.defer(
                waiting_tier, self.shares.beyond(waiting_tier, self._now_s)
            )
        owed = True
        while owed:
            owed = self._grant_owed()
        for tier in self._waiting.tiers:
            self._dispatch_tier(tier)

    def _is_pass_due(self, events: Iterable[Event]) -> bool:
        if not self._policy.waits_for_ticks:
            return True
        looks = len(self._waiting) * self._table.size
        return self._looks.take(looks, self._now_s) or any(
            isinstance(event, ClockTicked) for event in events
        )

    def _try_opened(self, events: Iterable[Event]) -> None:
        """Try the new tickets that no waiting one goes before."""
        for event in events:
            if isinstance(event, TicketOpened):
                ticket = event.ticket
                ahead = self._waiting.count_before(ticket)
                if ahead == 1 and ticket.ticket_id in self._waiting:
                    self._grant(ticket, owed=False)

    def _grant_owed(self) -> bool:
        tier = self._waiting.tier_with_credit()
        if tier is None:
            return False
        ticket = self._waiting.first(tier)
        return self._grant(ticket, owed=True)

    def _dispatch_tier(self, tier: int) -> None:
        budget = self._free_slots_for(tier)
        tries_left = max(MIN_TRIES, MAX_LOOKS // max(1, self._table.size))
        for ticket in self._candidates(tier, tries_left):
            if budget <= 0 or not tries_left:
                break
            is_granted = self._grant(ticket, owed=False)
            budget -= is_granted
            tries_left -= not is_granted
        if self._policy.pauses and tier in self._waiting.tiers:
            self._pause_for(tier)

    def _candidates(self, tier: int, tries: int) -> list[Ticket]:
        """Return the waiting tickets of a tier to try in this pass.

        If not all can be tried, those behind the first few take turns, so that
        a ticket whose server is free does not wait for those before it.
        """
        tickets = self._waiting.next_tickets(tier, MAX_CANDIDATES)
        if len(tickets) <= tries:
            return tickets
        self._passes += 1
        first = tries // 2
        others = tickets[first:]
        start = self._passes * (tries - first) % len(others)
        return [*tickets[:first], *others[start:], *others[:start]]

    def _free_slots_for(self, tier: int) -> int:
        free = self._table.free_slots(self._now_s)
        return free - self._demand.reserved_above(
            tier,
            self._table.slots,
            self._policy.reserve_floor,
        )

    def _grant(self, ticket: Ticket, *, owed: bool) -> bool:
        """Grant a slot if a server is free, and return whether it was granted.

        :param owed: whether the slot comes from the tier's guaranteed share.
        """
        server = self._table.choose(ticket, self._now_s)
        if server is None:
            return False
        self._waiting.pop(ticket.ticket_id)
        self._waiting.charge(ticket, owed=owed)
        unread = self._grants.start(
            ticket,
            server,
            self._now_s,
            is_protected=owed,
        )
        self._rate.record(ticket.tier, self._now_s)
        self.shares.note_granted(ticket, unread, self._now_s)
        self._commands.append(
            Granted(
                ticket.ticket_id,
                ticket.entry,
                server.view.name,
                ticket.pieces,
                unread,
                server.view.address,
            ),
        )
        return True

    def _pause_for(self, tier: int) -> None:
        """Pause streams below a tier, one per ticket waiting in or above it."""
        waiting = self._waiting.count_at_or_above(tier)
        for grant in choose_pauses(self._grants.running, tier, waiting):
            grant.ending = True
            self._commands.append(
                Paused(grant.ticket.ticket_id, grant.ticket.entry),
            )

    def _move_from_slow(self) -> None:
        free = self._table.free_slots(self._now_s)
        for grant in choose_moves(self._grants.running, self._table, free):
            grant.ending = True
            self._commands.append(
                Moved(grant.ticket.ticket_id, grant.ticket.entry),
            )

    def _add_demand(self, ticket: Ticket, step: int) -> None:
        self._demand.add(ticket.tier, step, self._now_s)


def _without_priority(ticket: Ticket) -> Ticket:
    return replace(ticket, tier=0, target_s=0.0, share=0.0)
