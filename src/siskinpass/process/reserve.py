"""Keep slots free for upper tiers by the swings they recently showed.

Pure logic. For each tier the demand is the number of its requests, and of
those above it, that run or wait. The reserve is the difference between the
highest demand of the window and the demand now.
"""

from collections import deque

WINDOW_S = 20.0
BUCKET_S = 0.5
MAX_FRACTION = 0.5


class PeakDemandReserve:
    """Track the demand of one tier and all above it."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._peaks: deque[tuple[float, int]] = deque()

    def observe(self, demand: int, now_s: float) -> None:
        """Note the demand of now."""
        while self._peaks and self._peaks[0][0] < now_s - WINDOW_S:
            self._peaks.popleft()
        if self._peaks and now_s - self._peaks[-1][0] < BUCKET_S:
            bucket_s, peak = self._peaks[-1]
            self._peaks[-1] = (bucket_s, max(peak, demand))
        else:
            self._peaks.append((now_s, demand))

    def slots(self, demand: int, capacity: int, floor: int) -> int:
        """Return the slots to keep free for this tier and those above.

        :param demand: requests of these tiers that run or wait now.
        :param capacity: slots of the whole group.
        :param floor: slots to keep free in any case.
        """
        peak = max((high for _, high in self._peaks), default=0)
        reserved = max(floor, peak - demand)
        return min(reserved, int(capacity * MAX_FRACTION))
