"""Follow how many requests of each tier run or wait.

Pure logic: from the demand of the tiers above follows how many slots a tier
must leave free.
"""

from collections import Counter

from siskinpass.process.reserve import PeakDemandReserve


class Demand:
    """Count the requests of each tier that run or wait."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: Counter[int] = Counter()
        self._reserves: dict[int, PeakDemandReserve] = {}

    def add(self, tier: int, step: int, now_s: float) -> None:
        """Count a request that came or went."""
        self._counts[tier] += step
        self._record(tier, now_s)

    def tick(self, now_s: float) -> None:
        """Note the demand of all tiers as time passes."""
        for tier in self._counts:
            self._record(tier, now_s)

    def reserved_above(self, tier: int, capacity: int, floor: int) -> int:
        """Return the slots that a tier must leave to those above.

        :param capacity: slots of the whole group.
        :param floor: slots to leave in any case.
        """
        reserved = [
            reserve.slots(self._cumulative(upper), capacity, floor)
            for upper, reserve in self._reserves.items()
            if upper < tier
        ]
        return max(reserved, default=0)

    def _record(self, tier: int, now_s: float) -> None:
        reserve = self._reserves.setdefault(tier, PeakDemandReserve())
        reserve.observe(self._cumulative(tier), now_s)

    def _cumulative(self, tier: int) -> int:
        return sum(
            count for other, count in self._counts.items() if other <= tier
        )
