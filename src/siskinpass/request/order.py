"""Keep waiting tickets in the order in which they are served.

Pure logic. Within a tier the ticket whose first token is due earliest goes
first; between tiers the more urgent tier goes first, and a guaranteed share
of the freed slots (deficit round robin) keeps every tier moving.
"""

from collections.abc import Iterator

from sortedcontainers import SortedDict

from siskinpass.request.ticket import Ticket

SHARE_CREDIT_MOST = 2.0


class TierQueue:
    """Hold the waiting tickets of one tier."""

    def __init__(self) -> None:
        """Start empty and without credit."""
        self._order: SortedDict = SortedDict()
        self.share = 0.0
        self.credit = 0.0

    def __len__(self) -> int:
        """Return how many tickets wait."""
        return len(self._order)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the tickets, the next one first."""
        return iter(self._order.values())

    def add(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._order[_rank(ticket)] = ticket
        self.share = ticket.share

    def discard(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        self._order.pop(_rank(ticket), None)

    def first(self) -> Ticket:
        """Return the ticket to serve next."""
        return self._order.peekitem(0)[1]

    def last(self) -> Ticket:
        """Return the ticket to serve last."""
        return self._order.peekitem(-1)[1]


class WaitingTickets:
    """Hold the waiting tickets of all tiers."""

    def __init__(self) -> None:
        """Start empty."""
        self._tiers: SortedDict = SortedDict()
        self._tickets: dict[str, Ticket] = {}
        self._fresh = 0

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
    def fresh(self) -> int:
        """Return how many tickets wait whose stream has not begun."""
        return self._fresh

    def add(self, ticket: Ticket) -> None:
        """Add a ticket."""
        self._tickets[ticket.ticket_id] = ticket
        self._fresh += not ticket.resumed
        queue = self._tiers.get(ticket.tier)
        if queue is None:
            queue = TierQueue()
            self._tiers[ticket.tier] = queue
        queue.add(ticket)

    def pop(self, ticket_id: str) -> Ticket | None:
        """Remove a ticket and return it, or none where it is unknown."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            self._fresh -= not ticket.resumed
            self._tiers[ticket.tier].discard(ticket)
        return ticket

    def first(self, tier: int) -> Ticket:
        """Return the next ticket of a tier."""
        return self._tiers[tier].first()

    def lowest(self) -> Ticket | None:
        """Return the ticket to shed first, never a stream that has begun."""
        for tier in reversed(self.tiers):
            # Within a tier the streams that have begun stand first.
            last = self._tiers[tier].last()
            if not last.resumed:
                return last
        return None

    def count_above(self, tier: int) -> int:
        """Return how many tickets wait in this tier and those above."""
        return sum(
            len(queue) for other, queue in self._tiers.items() if other <= tier
        )

    def owed_tier(self) -> int | None:
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
                queue.credit = min(SHARE_CREDIT_MOST, credit)


def _rank(ticket: Ticket) -> tuple[bool, float, str]:
    return (not ticket.resumed, ticket.due_s, ticket.ticket_id)
