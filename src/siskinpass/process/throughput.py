"""Estimate how long a ticket will wait from the recent rate of grants.

Pure logic. The rate of a tier counts the grants of that tier and of all
above it over a sliding window; a window that is not full gives no estimate.
"""

from collections import Counter, deque

WINDOW_S = 5.0
MIN_GRANTS = 8
# Grants that began a moment ago tell the speed of a start, not a rate.
MIN_WINDOW_S = 0.5 * WINDOW_S


class GrantRate:
    """Count the grants of each tier over a sliding window."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._grants: deque[tuple[float, int]] = deque()
        self._counts: Counter[int] = Counter()

    def record(self, tier: int, now_s: float) -> None:
        """Count one grant."""
        self._grants.append((now_s, tier))
        self._counts[tier] += 1
        self._expire(now_s)

    def wait_s(self, tier: int, ahead: int, now_s: float) -> float:
        """Return the expected wait behind a number of tickets.

        :param tier: tier of the new ticket.
        :param ahead: tickets that are served before it.
        :returns: seconds, 0 while too little is known.
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
