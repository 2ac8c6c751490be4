"""Spread the servers of a service over zones and kinds.

Pure logic. Spot servers are used first, over all zones and with somewhat more
in the cheaper ones; normal servers fill what spot servers cannot provide.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from siskinpass.version.routes import Scaling

# Largest part of all servers in one zone, relative to an even spread.
MAX_ZONE_SHARE = 1.5
ROUNDING = 1e-9  # sums of speeds are not exact

# Zone, and whether it is the spot servers of the zone.
Kind = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """Servers of a service in one zone.

    :param price: of a normal server.
    :param normal: normal servers that are listed and ready.
    :param spot: spot servers that are listed and ready.
    :param ordered_normal: count of the last order, ``None`` before the first.
    :param ordered_spot: the same for spot servers.
    :param spot_closed_until_s: until when no spot servers are available.
    :param normal_closed_until_s: until when no normal ones are available.
    :param speed: of the zone's servers, relative to the stated speed.
    """

    zone: str
    price: float = 1.0
    normal: int = 0
    spot: int = 0
    ordered_normal: int | None = None
    ordered_spot: int | None = None
    spot_closed_until_s: float = -math.inf
    normal_closed_until_s: float = -math.inf
    speed: float = 1.0

    def listed(self, *, is_spot: bool) -> int:
        """Return the servers of a kind that are listed and ready."""
        return self.spot if is_spot else self.normal

    def ordered(self, *, is_spot: bool) -> int | None:
        """Return the count of the last order for a kind."""
        return self.ordered_spot if is_spot else self.ordered_normal

    def committed(self, *, is_spot: bool) -> int:
        """Return the servers of a kind that are ordered, else listed."""
        ordered = self.ordered(is_spot=is_spot)
        return self.listed(is_spot=is_spot) if ordered is None else ordered

    def is_closed(self, now_s: float, *, is_spot: bool) -> bool:
        """Return whether no servers of a kind are available now."""
        if is_spot:
            return now_s < self.spot_closed_until_s
        return now_s < self.normal_closed_until_s


@dataclass(frozen=True, slots=True)
class Need:
    """Capacity that is wanted, in servers of the stated speed.

    :param wanted: capacity of all servers together.
    :param kept: capacity that must remain if the spot servers of any one zone
        are reclaimed.
    """

    wanted: float
    kept: float


class Spread:
    """Counts of servers by zone and kind for one need.

    :param limits: servers of a kind in a zone that may be counted on; kinds
        left out are limited by the bounds only.
    """

    def __init__(
        self,
        zones: Iterable[ZoneCapacity],
        scaling: Scaling,
        limits: Mapping[Kind, int],
    ) -> None:
        self._zones = {one.zone: one for one in zones}
        self._scaling = scaling
        self._limits = limits
        self.counts: dict[Kind, int] = {}

    def fill(self, need: Need) -> dict[Kind, int]:
        """Return the number of servers by zone and kind."""
        floor = min(self._scaling.least, self._scaling.most)
        for zone in self._zones:
            self.counts[zone, False] = floor
            self.counts[zone, True] = 0
        if self._scaling.spot_price < 1:
            lost = need.wanted - need.kept
            for most in (need.wanted, math.inf):
                caps = self._spot_caps(most, lost)
                self._add(caps, need.wanted, is_spot=True)
        # Normal servers that are there already need no boot.
        there = {
            zone: min(room, self._zones[zone].committed(is_spot=False))
            for zone, room in self._normal_caps().items()
        }
        self._add(there, need.wanted, is_spot=False)
        self._add(self._normal_caps(), need.wanted, is_spot=False)
        return self.counts

    @property
    def capacity(self) -> float:
        """Return the capacity of all servers counted so far."""
        return sum(
            count * self._zones[zone].speed
            for (zone, _), count in self.counts.items()
        )

    def _spot_caps(self, most: float, lost: float) -> dict[str, int]:
        """Return the most spot servers of each zone.

        :param most: capacity of which a zone may hold only a share.
        :param lost: capacity that may be lost with one zone.
        """
        share = MAX_ZONE_SHARE / len(self._zones)
        caps = {}
        for zone, view in self._zones.items():
            normal = self.counts[zone, False]
            cap = min(
                self._scaling.most - max(normal, view.committed(is_spot=False)),
                self._limits.get((zone, True), self._scaling.most),
                _whole(lost / view.speed),
                _whole(most * share / view.speed) - normal,
            )
            caps[zone] = max(0, cap)
        return caps

    def _normal_caps(self) -> dict[str, int]:
        caps = {}
        for zone, view in self._zones.items():
            spot = max(self.counts[zone, True], view.committed(is_spot=True))
            cap = min(
                self._scaling.most - spot,
                self._limits.get((zone, False), self._scaling.most),
            )
            caps[zone] = max(0, cap)
        return caps

    def _add(
        self, caps: Mapping[str, int], wanted: float, *, is_spot: bool
    ) -> None:
        """Add servers of a kind one by one until the capacity is reached."""
        left = wanted - self.capacity - ROUNDING
        while left > 0:
            open_zones = [
                zone
                for zone, cap in caps.items()
                if self.counts[zone, is_spot] < cap
            ]
            if not open_zones:
                return
            zone = min(open_zones, key=self._fullness)
            self.counts[zone, is_spot] += 1
            left -= self._zones[zone].speed

    def _fullness(self, zone: str) -> tuple[float, str]:
        """Return how full a zone is for its price, to fill the emptiest."""
        view = self._zones[zone]
        held = self.counts[zone, False] + self.counts[zone, True] + 1
        return held * view.price / view.speed, zone


def _whole(count: float) -> int | float:
    return math.floor(count + ROUNDING) if math.isfinite(count) else count
