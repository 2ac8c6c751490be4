"""Priority queue of the tickets that wait for a slot.

Pure logic without I/O. The more urgent tier goes first; a guaranteed share of
the freed slots, accounted by deficit round robin, prevents starvation of the
lower tiers. Within a tier, streams that have already delivered tokens go
first, then the tickets that can still meet their target, earliest due time
first, then those that are already late. Late tickets go last so that under
overload they do not make the following ones late too. Behind all of them go the
tickets of the workspaces that are beyond their share of the tier.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain, filterfalse, islice

from sortedcontainers import SortedDict

from siskinpass.codes import Code
from siskinpass.request.ticket import Ticket

MAX_SHARE_CREDIT = 2.0  # slots that a tier can be owed at most


class TierQueue:
    """Waiting tickets of one tier.

    ``share`` is the fraction of freed slots guaranteed to the tier, ``credit``
    the number of slots that it is owed under that guarantee, ``deferred`` the
    workspaces that are beyond their share.
    """

    def __init__(self) -> None:
        """Start without tickets and credit."""
        self._on_time: SortedDict = SortedDict()
        self._late: SortedDict = SortedDict()
        self._counts: Counter[str] = Counter()
        self.deferred: frozenset[str] = frozenset()
        self.share = 0.0
        self.credit = 0.0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._on_time) + len(self._late)

    def add(self, ticket: Ticket) -> None:
        """Add a ticket and use its share as the share of the tier."""
        self._on_time[_rank(ticket)] = ticket
        self._counts[ticket.workspace] += 1
        self.share = ticket.share

    def remove(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        rank = _rank(ticket)
        if self._on_time.pop(rank, None) is None:
            self._late.pop(rank)
        self._counts[ticket.workspace] -= 1
        if not self._counts[ticket.workspace]:
            self._counts.pop(ticket.workspace)

    def is_deferred(self, ticket: Ticket) -> bool:
        """Return whether a ticket waits behind those of other workspaces.

        Streams that have begun never do.
        """
        return ticket.workspace in self.deferred and not ticket.resumed

    @property
    def undeferred(self) -> int:
        """Return the number of tickets of workspaces within their share."""
        return len(self) - sum(self._counts[name] for name in self.deferred)

    def demote_late(self, due_s: float) -> None:
        """Move tickets due before ``due_s`` behind those still on time.

        Tickets of resumed streams keep their place.
        """
        while self._on_time:
            rank, ticket = self._on_time.peekitem(self._first_unstarted())
            if ticket.resumed or ticket.due_s >= due_s:
                return
            self._late[rank] = self._on_time.pop(rank)

    def first(self) -> Ticket:
        """Return the ticket to serve next.

        :raises IndexError: where none waits.
        """
        if self.deferred:
            return self.next_tickets(1)[0]
        queue = self._on_time or self._late
        return queue.peekitem(0)[1]

    def next_tickets(self, count: int) -> list[Ticket]:
        """Return up to ``count`` tickets in the order of service."""
        ordered: Iterable[Ticket] = self._by_time()
        if self.deferred:
            ordered = chain(
                filterfalse(self.is_deferred, self._by_time()),
                filter(self.is_deferred, self._by_time()),
            )
        return list(islice(ordered, count))

    def last(self) -> Ticket:
        """Return the ticket to serve last.

        :raises IndexError: where none waits.
        """
        queue = self._late or self._on_time
        usual_last = queue.peekitem(-1)[1]
        if not self.deferred or self.is_deferred(usual_last):
            return usual_last
        backwards = chain(
            reversed(self._late.values()), reversed(self._on_time.values())
        )
        return next(filter(self.is_deferred, backwards), usual_last)

    def _by_time(self) -> Iterator[Ticket]:
        return chain(self._on_time.values(), self._late.values())

    def _first_unstarted(self) -> int:
        """Return the index of the first ticket whose stream has not begun.

        Where all have begun, this is the index of the last ticket.
        """
        index = self._on_time.bisect_left(_FIRST_UNSTARTED_RANK)
        return min(index, len(self._on_time) - 1)


class WaitingTickets:
    """Waiting tickets of all tiers."""

    def __init__(self) -> None:
        """Start without tickets."""
        self._tiers: SortedDict = SortedDict()
        self._tickets: dict[str, Ticket] = {}
        self._unstarted = 0

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is waiting."""
        return ticket_id in self._tickets

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over a copy of the waiting tickets, in no useful order."""
        return iter(tuple(self._tickets.values()))

    @property
    def tiers(self) -> list[int]:
        """Return the tiers that have waiting tickets, most urgent first."""
        return [tier for tier, queue in self._tiers.items() if queue]

    @property
    def unstarted(self) -> int:
        """Return the number of waiting tickets whose stream has not begun."""
        return self._unstarted

    def add(self, ticket: Ticket) -> None:
        """Add a ticket to the queue of its tier."""
        self._tickets[ticket.ticket_id] = ticket
        self._unstarted += not ticket.resumed
        queue = self._tiers.get(ticket.tier)
        if queue is None:
            queue = TierQueue()
            self._tiers[ticket.tier] = queue
        queue.add(ticket)

    def pop(self, ticket_id: str) -> Ticket | None:
        """Remove and return a ticket, or return None where it is unknown."""
        ticket = self._tickets.pop(ticket_id, None)
        if ticket is not None:
            self._unstarted -= not ticket.resumed
            self._tiers[ticket.tier].remove(ticket)
        return ticket

    def demote_late(self, due_s: float) -> None:
        """Move tickets due before ``due_s`` behind the others of their tier."""
        for queue in self._tiers.values():
            queue.demote_late(due_s)

    def first(self, tier: int) -> Ticket:
        """Return the next ticket of a tier that has one waiting."""
        return self._tiers[tier].first()

    def next_tickets(self, tier: int, count: int) -> list[Ticket]:
        """Return up to ``count`` tickets of a tier in the order of service."""
        queue = self._tiers.get(tier)
        return queue.next_tickets(count) if queue else []

    def lowest(self) -> Ticket | None:
        """Return the ticket to shed first, or None where there is none.

        Tickets of streams that have already delivered tokens are never shed.
        """
        for tier in reversed(self.tiers):
            # Streams that have begun are at the front of their tier.
            last = self._tiers[tier].last()
            if not last.resumed:
                return last
        return None

    def count_at_or_above(self, tier: int) -> int:
        """Return the number waiting in this tier and more urgent ones."""
        return sum(
            len(queue) for other, queue in self._tiers.items() if other <= tier
        )

    def count_before(self, ticket: Ticket) -> int:
        """Return the number that may be served before a ticket.

        The ticket itself counts if it waits.
        """
        queue = self._tiers.get(ticket.tier)
        if queue is None or not queue.deferred or queue.is_deferred(ticket):
            return self.count_at_or_above(ticket.tier)
        return self.count_at_or_above(ticket.tier - 1) + queue.undeferred

    def defer(self, tier: int, workspaces: frozenset[str]) -> None:
        """Set the workspaces that are beyond their share of a tier."""
        queue = self._tiers.get(tier)
        if queue is not None:
            queue.deferred = workspaces

    def goes_before(self, ticket: Ticket, other: Ticket) -> bool:
        """Return whether only the other one's workspace is beyond its share.

        Both are of one tier.
        """
        queue = self._tiers.get(ticket.tier)
        if queue is None or ticket.tier != other.tier:
            return False
        return queue.is_deferred(other) and not queue.is_deferred(ticket)

    def code_for(self, ticket: Ticket, code: Code) -> Code:
        """Return the code of a refusal.

        :param code: the one of a workspace that is not beyond its share.
        """
        queue = self._tiers.get(ticket.tier)
        is_deferred = queue is not None and queue.is_deferred(ticket)
        return Code.workspace_share if is_deferred else code

    def tier_with_credit(self) -> int | None:
        """Return the least urgent tier that is owed a slot, or None."""
        for tier in reversed(self.tiers):
            if self._tiers[tier].credit >= 1:
                return tier
        return None

    def charge(self, granted: Ticket, *, owed: bool) -> None:
        """Account for one granted slot.

        :param owed: whether the slot was granted out of the tier's guaranteed
            share. Otherwise the less urgent tiers that have tickets waiting
            earn credit, and tiers without waiting tickets lose theirs.
        """
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
