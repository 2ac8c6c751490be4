"""Keep the open servers of a service in the order of their load.

Pure logic. The order is brought up to date for the servers that have changed,
so that a decision need not look at all of them. Reports of the other instances
change most servers at once; the order is then made anew as they arrive.

A server may open by itself as time passes. Closed servers are therefore looked
at before each decision; open ones close only by an event.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from siskinpass.request.ticket import ServerLoad, ServerView

# Share of the servers whose change is a reason to make the order anew.
REBUILD_FRACTION = 0.25
# All servers are looked at this often, as a safeguard against a change that was
# not noted.
REBUILD_S = 5.0
MAX_TIERS = 10  # lower tiers have the load of the last one

Ranked = list[tuple[float, str]]


class RankedServer(Protocol):
    """Server whose state determines its place in the order."""

    view: ServerView
    load: ServerLoad

    @property
    def factor(self) -> float:
        """Return its speed."""

    @property
    def granted_slots(self) -> int:
        """Return its slots, 0 while it is leaving."""

    @property
    def is_timed(self) -> bool:
        """Return whether its time to the first token is known."""

    def free_slots(self, now_s: float) -> int:
        """Return its free slots."""


class RankedList(NamedTuple):
    """Servers of one zone and speed that are reserved, or that are not.

    :param ranked: cost of each server's load for a tier, and its name.
    """

    tier: int
    is_reserved: bool
    factor: float
    zone: str
    ranked: Ranked


class _Place(NamedTuple):
    """State of a server as it is in the order.

    :param costs: of its load, each with its tier.
    """

    is_reserved: bool
    factor: float
    zone: str
    costs: tuple[tuple[int, float], ...]
    tight: int
    free: int
    slots: int
    is_timed: bool


@dataclass(slots=True)
class Totals:
    """Sums over all servers.

    :param free: free slots.
    :param slots: slots of the servers that are not leaving.
    :param tight: tight streams on open servers.
    :param timed: servers with a known time to the first token.
    """

    free: int = 0
    slots: int = 0
    tight: int = 0
    timed: int = 0

    def add(self, place: _Place, sign: int) -> None:
        """Add the state of a server, or subtract it with a sign of -1."""
        self.slots += sign * place.slots
        self.timed += sign * place.is_timed
        if place.free > 0:
            self.free += sign * place.free
            self.tight += sign * place.tight


class LoadOrder:
    """Open servers by the cost of their load, for each tier."""

    def __init__(
        self,
        servers: Mapping[str, RankedServer],
        changed: set[str],
        weigh: Callable[[RankedServer, int], float],
    ) -> None:
        """Begin with an empty order.

        :param servers: all servers of the service, by name; kept up to date by
            the caller.
        :param changed: names of changed servers, which the caller adds to.
        :param weigh: returns the cost of a server's load for a tier.
        """
        self._servers = servers
        self._changed = changed
        self._weigh = weigh
        self._places: dict[str, _Place] = {}
        self._closed: set[str] = set()
        self._tiers: tuple[int, ...] = ()
        self._lists: dict[tuple[int, bool, float, str], RankedList] = {}
        self._reserved: frozenset[str] = frozenset()
        self._names: frozenset[str] | None = None
        self._engine_slots = 0
        self._rebuilt_s = -math.inf
        self._now_s = -math.inf
        self.totals = Totals()

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the open servers."""
        if self._names is None:
            self._names = frozenset(self._places.keys() - self._closed)
            self._engine_slots = max(
                (self._servers[name].view.slots for name in self._names),
                default=0,
            )
        return self._names

    @property
    def engine_slots(self) -> int:
        """Return the most requests that an open server runs at once."""
        return self._engine_slots if self.names else 0

    def refresh(self, now_s: float) -> None:
        """Bring the order up to date."""
        self._now_s = now_s
        if (
            len(self._changed) > len(self._servers) * REBUILD_FRACTION
            or now_s - self._rebuilt_s > REBUILD_S
        ):
            self._rebuild()
            return
        opened = [
            name
            for name in self._closed
            if self._servers[name].free_slots(now_s) > 0
        ]
        for name in (*self._changed, *opened):
            self._move(name)
        self._changed.clear()

    def invalidate(self) -> None:
        """Make the order anew at the next refresh, for new servers."""
        self._rebuilt_s = -math.inf

    def refresh_if_crowded(self) -> None:
        """Make the order anew now if so many servers have changed."""
        if len(self._changed) > len(self._servers) * REBUILD_FRACTION:
            self._rebuild()

    def reserve(self, reserved: frozenset[str]) -> None:
        """Set the names of the reserved servers, which have their own lists."""
        if reserved != self._reserved:
            moved = (reserved ^ self._reserved) & self._places.keys()
            self._reserved = reserved
            for name in moved:
                self._move(name)

    def lists(self, tier: int) -> Iterator[RankedList]:
        """Return the open servers by ascending cost of their load.

        :returns: one list for each speed and zone, of reserved servers or of
            others; without empty ones.
        """
        tier = min(tier, MAX_TIERS - 1)
        if tier not in self._tiers:
            self._tiers = (*self._tiers, tier)
            self._rebuild()
        for listed in self._lists.values():
            if listed.tier == tier and listed.ranked:
                yield listed

    def _rebuild(self) -> None:
        self._changed.clear()
        self._rebuilt_s = self._now_s
        self.totals = Totals()
        self._lists = {}
        self._closed = set()
        self._places = {}
        self._names = None
        for name in self._servers:
            place = self._place_of(name)
            self._places[name] = place
            self.totals.add(place, 1)
            if place.free <= 0:
                self._closed.add(name)
                continue
            for tier, cost in place.costs:
                self._list_of(tier, place).append((cost, name))
        for listed in self._lists.values():
            listed.ranked.sort()

    def _move(self, name: str) -> None:
        """Replace the place of a server by the one that it has now."""
        known = self._places[name]
        place = self._place_of(name)
        if place == known:
            return
        self.totals.add(known, -1)
        self.totals.add(place, 1)
        self._places[name] = place
        if (place.free > 0) != (known.free > 0):
            self._names = None
        if known.free > 0:
            for tier, cost in known.costs:
                ranked = self._list_of(tier, known)
                ranked.pop(bisect_left(ranked, (cost, name)))
        if place.free > 0:
            self._closed.discard(name)
            for tier, cost in place.costs:
                insort(self._list_of(tier, place), (cost, name))
        else:
            self._closed.add(name)

    def _place_of(self, name: str) -> _Place:
        server = self._servers[name]
        return _Place(
            name in self._reserved,
            server.factor,
            server.view.zone,
            tuple((tier, self._weigh(server, tier)) for tier in self._tiers),
            server.load.tight,
            server.free_slots(self._now_s),
            server.granted_slots,
            server.is_timed,
        )

    def _list_of(self, tier: int, place: _Place) -> Ranked:
        key = tier, place.is_reserved, place.factor, place.zone
        listed = self._lists.get(key)
        if listed is None:
            listed = RankedList(*key, [])
            self._lists[key] = listed
        return listed.ranked
