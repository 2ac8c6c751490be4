"""Track the running and waiting requests of each tier.

Pure logic. The demand of the upper tiers determines how many slots a lower
tier must leave free.
"""

from collections import Counter

from siskinpass.process.reserve import PeakDemandReserve


class Demand:
    """Number of running and waiting requests per tier, with its peaks."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self._reserves: dict[int, PeakDemandReserve] = {}

    def add(self, tier: int, step: int, now_s: float) -> None:
        """Change the number of requests of a tier.

        :param step: 1 for a request that arrived, -1 for one that ended.
        """
        self._counts[tier] += step
        self._record(tier, now_s)

    def tick(self, now_s: float) -> None:
        """Record the demand of all tiers, so that old peaks expire."""
        for tier in self._counts:
            self._record(tier, now_s)

    def reserved_above(self, tier: int, capacity: int, floor: int) -> int:
        """Return the slots that a tier must leave free for the tiers above.

        It is the largest reserve of any tier above; 0 if none was seen yet.

        :param capacity: slots of the whole group.
        :param floor: minimum reserve of each tier above.
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
