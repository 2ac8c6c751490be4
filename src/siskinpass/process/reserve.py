"""Size the slot reserve of upper tiers from their recent peak demand.

Pure logic. The demand of a tier is the number of running or waiting requests
of that tier and all above it. The reserve is the peak demand of a sliding
window minus the current demand, so that demand can return to its peak without
waiting for slots held by lower tiers.
"""

from collections import deque

WINDOW_S = 20.0  # time for which a peak of the demand counts
BUCKET_S = 0.5
MAX_FRACTION = 0.5


class PeakDemandReserve:
    """Peak demand of one tier and those above it, over a sliding window."""

    def __init__(self) -> None:
        self._peaks: deque[tuple[float, int]] = deque()

    def observe(self, demand: int, now_s: float) -> None:
        """Record the current demand.

        Only the peak of each ``BUCKET_S`` is kept.

        :param demand: requests of these tiers that run or wait now.
        """
        while self._peaks and self._peaks[0][0] < now_s - WINDOW_S:
            self._peaks.popleft()
        if self._peaks and now_s - self._peaks[-1][0] < BUCKET_S:
            bucket_s, peak = self._peaks[-1]
            self._peaks[-1] = (bucket_s, max(peak, demand))
        else:
            self._peaks.append((now_s, demand))

    def slots(self, demand: int, capacity: int, floor: int) -> int:
        """Return the number of slots to keep free for these tiers.

        It never exceeds ``MAX_FRACTION`` of the capacity, so that a past peak
        cannot lock out the lower tiers.

        :param demand: requests of these tiers that run or wait now.
        :param capacity: slots of the whole group.
        :param floor: minimum number of slots to keep free.
        """
        peak = max((high for _, high in self._peaks), default=0)
        reserved = max(floor, peak - demand)
        return min(reserved, int(capacity * MAX_FRACTION))
