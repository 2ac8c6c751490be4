"""Estimate how long a ticket will wait from the recent rate of grants.

Pure logic. The rate of a tier counts the grants of that tier and of all tiers
above it in a sliding window. Too few grants or too short a span of them give no
estimate.
"""

from collections import Counter, deque

WINDOW_S = 5.0
MIN_GRANTS = 8
# Shorter spans after a start or a pause show the speed of the first grants, not
# a sustained rate.
MIN_WINDOW_S = 0.5 * WINDOW_S


class GrantRate:
    """Number of grants of each tier in a sliding window."""

    def __init__(self) -> None:
        self._grants: deque[tuple[float, int]] = deque()
        self._counts: Counter[int] = Counter()

    def record(self, tier: int, now_s: float) -> None:
        """Record one grant."""
        self._grants.append((now_s, tier))
        self._counts[tier] += 1
        self._expire(now_s)

    def wait_s(self, tier: int, ahead: int, now_s: float) -> float:
        """Return the expected wait of a new ticket.

        :param tier: tier of the ticket.
        :param ahead: number of tickets that are served before it.
        :returns: seconds, 0 while there is no estimate.
        """
        self._expire(now_s)
        granted = sum(
            count for other, count in self._counts.items() if other <= tier
        )
        if granted < MIN_GRANTS or ahead == 0:
            return 0.0
        window_s = now_s - self._grants[0][0]
        return ahead * window_s / granted if window_s >= MIN_WINDOW_S else 0.0

    def _expire(self, now_s: float) -> None:
        while self._grants and self._grants[0][0] < now_s - WINDOW_S:
            _, tier = self._grants.popleft()
            self._counts[tier] -= 1
