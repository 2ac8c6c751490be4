"""Choose the streams that make room or go on elsewhere.

Pure logic over the granted slots of one group.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.placement import Server, ServerTable
from siskinpass.request.ticket import ServerLoad, Ticket

MAX_CONCURRENT_PAUSES = 8


MAX_TIERS = 10  # tiers beyond it share the last place of a load


def ticket_load(ticket: Ticket, unread: int) -> ServerLoad:
    """Return the load of a ticket with a number of unread tokens."""
    return ServerLoad(1, int(ticket.is_tight), unread_by_tier(ticket, unread))


def unread_by_tier(ticket: Ticket, unread: int) -> tuple[int, ...]:
    """Return unread tokens at the place of the ticket's tier."""
    tier = min(max(0, ticket.tier), MAX_TIERS - 1)
    return (*(0 for _ in range(tier)), unread)


@dataclass(slots=True)
class ActiveGrant:
    """Hold one granted slot.

    :param protected: granted by the share of its tier, so never paused.
    :param ending: told to pause or to move; its slot is not free yet.
    :param unread: prompt tokens that its server has yet to read.
    """

    ticket: Ticket
    server: str
    protected: bool = False
    ending: bool = False
    unread: int = 0

    @property
    def load(self) -> ServerLoad:
        """Return what it adds to its server."""
        return ticket_load(self.ticket, self.unread)


def choose_pauses(
    running: Iterable[ActiveGrant],
    tier: int,
    waiting: int,
) -> list[ActiveGrant]:
    """Return the lower streams to pause, one for each waiting ticket.

    The lowest tier goes first and in it the stream that came last.

    :param waiting: tickets that wait in this tier and those above.
    """
    slots = tuple(running)
    ending = sum(grant.ending for grant in slots)
    wanted = min(waiting, MAX_CONCURRENT_PAUSES) - ending
    if wanted <= 0:
        return []
    lower_grants = [
        grant
        for grant in slots
        if grant.ticket.tier > tier and _may_pause(grant)
    ]
    lower_grants.sort(key=_pause_rank, reverse=True)
    return lower_grants[:wanted]


def choose_moves(
    running: Iterable[ActiveGrant],
    table: ServerTable,
    free: int,
) -> list[ActiveGrant]:
    """Return the streams whose token target a slow server cannot keep.

    :param free: slots free elsewhere, which bound the moves.
    """
    too_slow = [
        grant
        for grant in running
        if _is_too_slow(grant, table.find(grant.server))
    ]
    too_slow.sort(key=_tier)
    return too_slow[: max(0, free)]


def _may_pause(grant: ActiveGrant) -> bool:
    return grant.ticket.pausable and not (grant.protected or grant.ending)


def _pause_rank(grant: ActiveGrant) -> tuple[int, float]:
    return (grant.ticket.tier, grant.ticket.opened_s)


def _tier(grant: ActiveGrant) -> int:
    return grant.ticket.tier


def _is_too_slow(grant: ActiveGrant, server: Server | None) -> bool:
    if server is None or not server.slow:
        return False
    too_slow = 0 < grant.ticket.token_s < server.limit.token_s
    return too_slow and grant.ticket.pausable and not grant.ending
