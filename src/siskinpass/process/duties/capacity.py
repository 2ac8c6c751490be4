"""Decide how many servers of a service to order in each zone.

Pure logic. It answers a load that comes in waves and in bursts of one request
class that begin within less time than a new server takes to boot, on servers
of which the cheap ones may be reclaimed, all of a zone at once. A missing
server costs callers more than it saves, so capacity is raised at once and
lowered slowly.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from siskinpass.process.duties.calls import CapacityOrder
from siskinpass.process.duties.capacity_spread import (
    ROUNDING,
    Kind,
    Need,
    Spread,
    ZoneCapacity,
)
from siskinpass.version.routes import Scaling

# Bursts of the largest class to 2.5 times its load raise the total to 2.2
# times; the rest keeps servers short of saturation, where waits grow without
# bound.
BURST_HEADROOM = 2.5
# A peak that was seen may return on top of a wave.
PEAK_HEADROOM = 1.3
# Excess over what an even spread must have to carry the peak without the spot
# servers of one zone; cheaper zones hold somewhat more than an even part.
SPREAD_MARGIN = 1.1
# Part of the capacity that is taken as the peak until callers' load is known.
ASSUMED_PEAK = 0.5
MIN_LOADED_S = 20.0  # longer than the period of the slowest wave, 17 s
LOWER_HOLD_S = 20.0
LOWER_INTERVAL_S = 10.0
MAX_LOWERED = 0.25
# A need that is lower by less changes nothing: moves cost calls and caches.
MIN_LOWERED = 0.05
REPEAT_S = 3.0
# Servers that are not listed after this many boot times and the time in which
# an entry becomes known are not counted on any more.
LATE_BOOTS = 2.0
LISTING_S = 2.0


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Work that callers ask of a service, in server seconds a second.

    :param busy: work now.
    :param peak: highest work of the last 60 s.
    :param steady: work that was exceeded in only a fifth of the last 60 s.
    :param loaded_s: how long ago callers' load was first seen, 0 if never.
    :param is_known: whether most of the instances with load have reported.
    """

    busy: float = 0.0
    peak: float = 0.0
    steady: float = 0.0
    loaded_s: float = 0.0
    is_known: bool = True

    @property
    def may_lower(self) -> bool:
        """Return whether enough is known of the load to lower capacity."""
        is_seen = self.loaded_s >= MIN_LOADED_S and self.peak > 0
        return is_seen and self.is_known


@dataclass(slots=True)
class _Shortage:
    """Kind of which fewer servers are listed than ordered."""

    since_s: float
    ordered: int
    listed: int


class CapacityPolicy:
    """Policy for the servers of one service.

    :ivar held: capacity that is wanted now, in servers of the stated speed.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self.held = 0.0
        self._lower_since_s: float | None = None
        self._lowered_s = -math.inf
        self._trimmed_s = -math.inf
        self._sent_s: dict[Kind, float] = {}
        self._short: dict[Kind, _Shortage] = {}

    def plan(
        self,
        demand: ServiceDemand,
        zones: Sequence[ZoneCapacity],
        scaling: Scaling,
        now_s: float,
    ) -> list[CapacityOrder]:
        """Return the orders that are due, those for more servers first.

        Nothing is ordered while no server is known: the list may not have
        arrived yet, and a count from nothing would lower what there is.
        """
        if not any(
            view.committed(is_spot=spot) for view, spot in _kinds(zones)
        ):
            return []
        self._update_held(demand, zones, now_s)
        self.held = min(
            self.held, scaling.most * sum(view.speed for view in zones)
        )
        limits = self._limits(zones, scaling, now_s)
        need = self._need_for(demand)
        spread = Spread(zones, scaling, limits)
        target = spread.fill(need)
        changed = self._raised(zones, target, now_s)
        changed |= self._lowered(zones, target, now_s)
        if spread.capacity < need.kept:
            changed |= _released(zones, now_s)
        return self._orders(
            self._repeated(zones, target, now_s) | changed, now_s
        )

    def _orders(
        self, due: dict[Kind, int], now_s: float
    ) -> list[CapacityOrder]:
        self._sent_s.update(dict.fromkeys(due, now_s))
        return [
            CapacityOrder(self._service, zone, count, is_spot)
            for (zone, is_spot), count in due.items()
        ]

    def _need_for(self, demand: ServiceDemand) -> Need:
        peak = demand.peak if demand.loaded_s else self.held * ASSUMED_PEAK
        return Need(self.held, min(peak, self.held))

    def _update_held(
        self,
        demand: ServiceDemand,
        zones: Sequence[ZoneCapacity],
        now_s: float,
    ) -> None:
        need = _need(demand, len(zones))
        self._start(demand, zones)
        is_high = need >= self.held * (1 - MIN_LOWERED)
        if is_high or not demand.may_lower:
            self.held = max(self.held, need)
            self._lower_since_s = None
        elif self._lower_since_s is None:
            self._lower_since_s = now_s
        elif (
            now_s - self._lower_since_s >= LOWER_HOLD_S
            and now_s - self._lowered_s >= LOWER_INTERVAL_S
        ):
            self.held = max(need, self.held * (1 - MAX_LOWERED))
            self._lowered_s = now_s

    def _start(
        self, demand: ServiceDemand, zones: Sequence[ZoneCapacity]
    ) -> None:
        """Begin with the capacity that is there."""
        if not self.held and demand.may_lower:
            # Orders for servers that were reclaimed meanwhile do not count.
            self.held = _ready_capacity(zones)
        elif not self.held or _is_starting(demand, zones):
            self.held = max(self.held, _start_capacity(zones))

    def _limits(
        self,
        zones: Iterable[ZoneCapacity],
        scaling: Scaling,
        now_s: float,
    ) -> dict[Kind, int]:
        """Return the servers to count on where no more can be had.

        The kind is closed in the zone, or its servers do not come.
        """
        late_s = LATE_BOOTS * scaling.boot_s + LISTING_S
        limits = {}
        for view, is_spot in _kinds(zones):
            kind = (view.zone, is_spot)
            if view.is_closed(now_s, is_spot=is_spot):
                self._short.pop(kind, None)
                limits[kind] = view.listed(is_spot=is_spot)
            elif self._note_shortage(view, now_s, is_spot=is_spot) > late_s:
                limits[kind] = view.listed(is_spot=is_spot)
        return limits

    def _note_shortage(
        self, view: ZoneCapacity, now_s: float, *, is_spot: bool
    ) -> float:
        """Return for how long ordered servers have not come."""
        kind = (view.zone, is_spot)
        ordered = view.committed(is_spot=is_spot)
        listed = view.listed(is_spot=is_spot)
        if listed >= ordered:
            self._short.pop(kind, None)
            return 0.0
        known = self._short.get(kind)
        if known is None or ordered > known.ordered or listed > known.listed:
            known = _Shortage(now_s, ordered, listed)
            self._short[kind] = known
        known.listed = listed
        return now_s - known.since_s

    def _raised(
        self,
        zones: Iterable[ZoneCapacity],
        target: dict[Kind, int],
        now_s: float,
    ) -> dict[Kind, int]:
        return {
            (view.zone, is_spot): target[view.zone, is_spot]
            for view, is_spot in _kinds(zones)
            if target[view.zone, is_spot] > view.committed(is_spot=is_spot)
            and not view.is_closed(now_s, is_spot=is_spot)
        }

    def _lowered(
        self,
        zones: Sequence[ZoneCapacity],
        target: dict[Kind, int],
        now_s: float,
    ) -> dict[Kind, int]:
        """Return the counts that servers beyond the held capacity allow.

        Only servers that are listed as ready count as being there. The dearest
        ones go first.
        """
        surplus = _ready_capacity(zones) - self.held + ROUNDING
        excess = self._excess(zones, target, now_s)
        total = sum(view.speed * count for view, _, count in excess)
        if surplus < min(total, self.held * MIN_LOWERED):
            # Servers become ready one by one; an order for each costs calls.
            return {}
        lowered = {}
        for view, is_spot, count in excess:
            removed = min(count, int(surplus / view.speed))
            if removed <= 0:
                continue
            surplus -= removed * view.speed
            before = view.committed(is_spot=is_spot)
            lowered[view.zone, is_spot] = before - removed
            if is_spot:
                self._trimmed_s = now_s
        return lowered

    def _excess(
        self,
        zones: Iterable[ZoneCapacity],
        target: dict[Kind, int],
        now_s: float,
    ) -> list[tuple[ZoneCapacity, bool, int]]:
        """Return the kinds with more servers than the target, dearest first.

        Normal servers that others have replaced go at once. Spot servers wait
        for the interval between two reductions, as a zone that is open again
        leaves an excess in the others.
        """
        is_due = now_s - self._trimmed_s >= LOWER_INTERVAL_S
        found = [
            (
                view,
                is_spot,
                view.committed(is_spot=is_spot) - target[view.zone, is_spot],
            )
            for view, is_spot in _kinds(zones)
            if not view.is_closed(now_s, is_spot=is_spot)
            and (is_due or not is_spot)
        ]
        found.sort(key=lambda one: (one[1], -one[0].price, one[0].zone))
        return [one for one in found if one[2] > 0]

    def _repeated(
        self,
        zones: Iterable[ZoneCapacity],
        target: dict[Kind, int],
        now_s: float,
    ) -> dict[Kind, int]:
        """Return the orders of which servers are still missing."""
        due = {}
        for view, is_spot in _kinds(zones):
            kind = (view.zone, is_spot)
            sent_s = self._sent_s.get(kind, -math.inf)
            listed = view.listed(is_spot=is_spot)
            count = view.committed(is_spot=is_spot)
            if (
                listed >= count
                or view.is_closed(now_s, is_spot=is_spot)
                or now_s - sent_s < REPEAT_S
            ):
                continue
            if is_spot and sent_s < view.spot_closed_until_s:
                # None boot since the zone was closed, and it may need fewer.
                count = max(listed, min(count, target[kind]))
            due[kind] = count
        return due


def _released(zones: Iterable[ZoneCapacity], now_s: float) -> dict[Kind, int]:
    """Return orders that give up spot servers of closed zones.

    Their orders stand otherwise, and leave no room for normal servers.
    """
    return {
        (view.zone, True): view.spot
        for view in zones
        if view.is_closed(now_s, is_spot=True)
        and view.spot < view.committed(is_spot=True)
    }


def _need(demand: ServiceDemand, zone_count: int) -> float:
    """Return the capacity with which callers' targets survive a burst."""
    spread_headroom = PEAK_HEADROOM
    if zone_count > 1:
        even = zone_count / (zone_count - 1)
        spread_headroom = max(PEAK_HEADROOM, even * SPREAD_MARGIN)
    return max(demand.steady * BURST_HEADROOM, demand.peak * spread_headroom)


def _is_starting(demand: ServiceDemand, zones: Iterable[ZoneCapacity]) -> bool:
    """Return whether the servers of the start may not be all listed yet."""
    return demand.loaded_s < MIN_LOADED_S and all(
        view.ordered_normal is None for view in zones
    )


def _start_capacity(zones: Sequence[ZoneCapacity]) -> float:
    """Return the capacity that an instance without history must not lower.

    While spot servers replace the normal ones of the start, both are there; an
    order for normal servers shows that this is over.
    """
    normal = sum(view.committed(is_spot=False) * view.speed for view in zones)
    spot = sum(view.committed(is_spot=True) * view.speed for view in zones)
    is_replacing = all(view.ordered_normal is None for view in zones) and any(
        view.ordered_spot is not None for view in zones
    )
    return max(normal, spot) if is_replacing else normal + spot


def _ready_capacity(zones: Iterable[ZoneCapacity]) -> float:
    return sum(
        min(view.listed(is_spot=is_spot), view.committed(is_spot=is_spot))
        * view.speed
        for view, is_spot in _kinds(zones)
    )


def _kinds(
    zones: Iterable[ZoneCapacity],
) -> Iterable[tuple[ZoneCapacity, bool]]:
    return [(view, is_spot) for view in zones for is_spot in (True, False)]
