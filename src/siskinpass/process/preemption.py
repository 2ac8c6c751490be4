"""Choose which streams to pause for upper tiers or move off slow servers.

Pure logic over the granted slots of one group.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.placement import Server, ServerTable
from siskinpass.request.ticket import ServerLoad, Ticket

MAX_CONCURRENT_PAUSES = 8  # streams of the group that are ending
MAX_TIERS = 10  # lower tiers share the last element of ``ServerLoad.unread``


def ticket_load(ticket: Ticket, unread: int) -> ServerLoad:
    """Return the load that one ticket puts on its server.

    :param unread: tokens of its prompt that are not prefilled yet.
    """
    return ServerLoad(1, int(ticket.is_tight), unread_by_tier(ticket, unread))


def unread_by_tier(ticket: Ticket, unread: int) -> tuple[int, ...]:
    """Return ``ServerLoad.unread`` of one ticket, zero above its tier."""
    tier = min(max(0, ticket.tier), MAX_TIERS - 1)
    return (*(0 for _ in range(tier)), unread)


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """State of a server as it sent the first event of a stream.

    :param running: requests on it.
    :param placed_tokens: prompt tokens that had been placed on it by then.
    """

    at_s: float
    running: int
    placed_tokens: int


@dataclass(slots=True)
class ActiveGrant:
    """A granted slot.

    :param server: name of the backend server.
    :param protected: granted from the guaranteed share of its tier, so never
        paused.
    :param ending: asked to pause or move, but its slot is not released yet.
    :param unread: prompt tokens that its server has not prefilled yet.
    :param ahead: tokens that the server had to prefill before its first event.
    :param placed_s: when it was granted, 0 for a grant of a previous broker.
    :param begun: its first event, ``None`` before it.
    """

    ticket: Ticket
    server: str
    protected: bool = False
    ending: bool = False
    unread: int = 0
    ahead: int = 0
    placed_s: float = 0.0
    begun: StreamBegun | None = None

    @property
    def load(self) -> ServerLoad:
        """Return its current contribution to the load of its server."""
        return ticket_load(self.ticket, self.unread)


def choose_pauses(
    running: Iterable[ActiveGrant],
    tier: int,
    waiting: int,
) -> list[ActiveGrant]:
    """Return the streams of lower tiers to pause for waiting tickets.

    One stream is paused per waiting ticket, less the grants that are ending
    already. The lowest tier is paused first, and within a tier the stream
    whose request arrived last.

    :param tier: only streams of lower tiers than this one are paused.
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
    """Return the streams to move because a slow server misses their target.

    The target is that of the mean time between tokens. Streams of the most
    urgent tiers are moved first.

    :param free: free slots of the group, the maximum number of moves.
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
