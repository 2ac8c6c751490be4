"""Bound the sends beyond the first over all instances.

Pure logic. The operator bounds them over a sliding window and all instances
together; each instance keeps to its part without asking the others, so that
the bound holds also while they cannot hear each other.
"""

from collections import deque

# Windows slide differently at each instance; this part of the bound is used.
USED_FRACTION = 0.8


class RetryWindow:
    """Hold one instance's part of the budget of one service.

    :param ratio: sends beyond the first for each request.
    :param slack: sends beyond the first that are always allowed, over all
        instances.
    :param window_s: length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Start with an unused window."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count one request of a caller."""
        self._requests.append(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Take one send from the budget, and tell whether there was one.

        :param instances: instances that share the slack.
        """
        first_s = now_s - self._window_s
        for times in (self._requests, self._spent):
            while times and times[0] < first_s:
                times.popleft()
        bound = self._ratio * len(self._requests) + self._slack / instances
        if len(self._spent) + 1 > USED_FRACTION * bound:
            return False
        self._spent.append(now_s)
        return True
