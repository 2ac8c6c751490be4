"""Choose the streams that make room or go on elsewhere.

Pure logic over the granted slots of one group.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.placement import Server, ServerTable
from siskinpass.request.ticket import ServerLoad, Ticket

MOST_PAUSES_AT_ONCE = 8


MOST_TIERS = 10  # tiers beyond it share the last place of a load


def load_of(ticket: Ticket, unread: int) -> ServerLoad:
    """Return the load of a ticket with a number of unread tokens."""
    return ServerLoad(1, int(ticket.is_tight), unread_of(ticket, unread))


def unread_of(ticket: Ticket, unread: int) -> tuple[int, ...]:
    """Return unread tokens at the place of the ticket's tier."""
    tier = min(max(0, ticket.tier), MOST_TIERS - 1)
    return (*(0 for _ in range(tier)), unread)


@dataclass(slots=True)
class Running:
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
        return load_of(self.ticket, self.unread)


def choose_pauses(
    running: Iterable[Running],
    tier: int,
    waiting: int,
) -> list[Running]:
    """Return the lower streams to pause, one for each waiting ticket.

    The lowest tier goes first and in it the stream that came last.

    :param waiting: tickets that wait in this tier and those above.
    """
    slots = tuple(running)
    ending = sum(held.ending for held in slots)
    wanted = min(waiting, MOST_PAUSES_AT_ONCE) - ending
    if wanted <= 0:
        return []
    lower = [
        held for held in slots if held.ticket.tier > tier and _may_pause(held)
    ]
    lower.sort(key=_pause_rank, reverse=True)
    return lower[:wanted]


def choose_moves(
    running: Iterable[Running],
    table: ServerTable,
    free: int,
) -> list[Running]:
    """Return the streams whose token target a slow server cannot keep.

    :param free: slots free elsewhere, which bound the moves.
    """
    late = [
        held for held in running if _is_too_slow(held, table.find(held.server))
    ]
    late.sort(key=_tier)
    return late[: max(0, free)]


def _may_pause(held: Running) -> bool:
    return held.ticket.pausable and not (held.protected or held.ending)


def _pause_rank(held: Running) -> tuple[int, float]:
    return (held.ticket.tier, held.ticket.opened_s)


def _tier(held: Running) -> int:
    return held.ticket.tier


def _is_too_slow(held: Running, server: Server | None) -> bool:
    if server is None or not server.slow:
        return False
    late = 0 < held.ticket.token_s < server.limit.token_s
    return late and held.ticket.pausable and not held.ending
