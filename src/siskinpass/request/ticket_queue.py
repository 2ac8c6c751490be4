"""Keep waiting tickets in the order in which they are served.

Pure logic. Between tiers the more urgent tier goes first, and a guaranteed
share of the freed slots (deficit round robin) keeps every tier moving. Within
a tier, streams that have begun go first, then the tickets that can still meet
their target, the earliest due first, then those that are late already: under
overload a late ticket does not make the next one late too.
"""

from collections.abc import Iterator
from itertools import chain, islice

from sortedcontainers import SortedDict

from siskinpass.request.ticket import Ticket

MAX_SHARE_CREDIT = 2.0


class TierQueue:
    """Hold the waiting tickets of one tier."""

    def __init__(self) -> None:
        """Start empty and without credit."""
        self._on_time: SortedDict = SortedDict()
        self._late: SortedDict = SortedDict()
        self.share = 0.0
        self.credit = 0.0

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return len(self._on_time) + len(self._late)

    def add(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._on_time[_rank(ticket)] = ticket
        self.share = ticket.share

    def discard(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        rank = _rank(ticket)
        if self._on_time.pop(rank, None) is None:
            self._late.pop(rank, None)

    def demote_late(self, due_s: float) -> None:
        """Set the tickets back whose first token was due before a time."""
        while self._on_time:
            rank, ticket = self._on_time.peekitem(self._first_unstarted())
            if ticket.resumed or ticket.due_s >= due_s:
                return
            self._late[rank] = self._on_time.pop(rank)

    def first(self) -> Ticket:
        """Return the ticket to serve next."""
        queue = self._on_time or self._late
        return queue.peekitem(0)[1]

    def next_tickets(self, count: int) -> list[Ticket]:
        """Return the tickets to serve next, in order."""
        ordered = chain(self._on_time.values(), self._late.values())
        return list(islice(ordered, count))

    def last(self) -> Ticket:
        """Return the ticket to serve last."""
        queue = self._late or self._on_time
        return queue.peekitem(-1)[1]

    def _first_unstarted(self) -> int:
        """Return the place of the first ticket whose stream has not begun."""
        index = self._on_time.bisect_left(_FIRST_UNSTARTED_RANK)
        return min(index, len(self._on_time) - 1)


class WaitingTickets:
    """Hold the waiting tickets of all tiers."""

    def __init__(self) -> None:
        """Start empty."""
        self._tiers: SortedDict = SortedDict()
        self._tickets: dict[str, Ticket] = {}
        self._unstarted = 0

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Tell whether a ticket waits."""
        return ticket_id in self._tickets

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiting tickets in no useful order."""
        return iter(tuple(self._tickets.values()))

    @property
    def tiers(self) -> list[int]:
        """Return the tiers that have waiting tickets, most urgent first."""
        return [tier for tier, queue in self._tiers.items() if queue]

    @property
    def unstarted(self) -> int:
        """Return how many tickets wait whose stream has not begun."""
        return self._unstarted

    def add(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._tickets[ticket.ticket_id] = ticket
        self._unstarted += not ticket.resumed
        queue = self._tiers.get(ticket.tier)
        if queue is None:
            queue = TierQueue()
            self._tiers[ticket.tier] = queue
        queue.add(ticket)

    def pop(self, ticket_id: str) -> Ticket | None:
        """Remove a ticket and return it, or none where it is unknown."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            self._unstarted -= not ticket.resumed
            self._tiers[ticket.tier].discard(ticket)
        return ticket

    def demote_late(self, due_s: float) -> None:
        """Set the tickets back whose first token was due before a time."""
        for queue in self._tiers.values():
            queue.demote_late(due_s)

    def first(self, tier: int) -> Ticket:
        """Return the next ticket of a tier."""
        return self._tiers[tier].first()

    def next_tickets(self, tier: int, count: int) -> list[Ticket]:
        """Return the next tickets of a tier, in order."""
        queue = self._tiers.get(tier)
        return queue.next_tickets(count) if queue else []

    def lowest(self) -> Ticket | None:
        """Return the ticket to shed first, never a stream that has begun."""
        for tier in reversed(self.tiers):
            # Within a tier the streams that have begun stand first.
            last = self._tiers[tier].last()
            if not last.resumed:
                return last
        return None

    def count_at_or_above(self, tier: int) -> int:
        """Return how many tickets wait in this tier and those above."""
        return sum(
            len(queue) for other, queue in self._tiers.items() if other <= tier
        )

    def tier_with_credit(self) -> int | None:
        """Return a lower tier whose guaranteed share is due, or none."""
        for tier in reversed(self.tiers):
            if self._tiers[tier].credit >= 1:
                return tier
        return None

    def charge(self, granted: Ticket, *, owed: bool) -> None:
        """Account for one granted slot."""
        if owed:
            self._tiers[granted.tier].credit -= 1
            return
        for tier, queue in self._tiers.items():
            if not queue:
                queue.credit = 0.0
            elif tier > granted.tier:
                credit = queue.credit + queue.share
                queue.credit = min(MAX_SHARE_CREDIT, credit)


_FIRST_UNSTARTED_RANK = (True, float('-inf'), '')


def _rank(ticket: Ticket) -> tuple[bool, float, str]:
    return (not ticket.resumed, ticket.due_s, ticket.ticket_id)
