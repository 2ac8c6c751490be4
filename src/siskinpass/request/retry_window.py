"""Retry budget over a sliding window, divided among all instances.

Pure logic without I/O. The operator limits the retries of all instances
together, that is, the sends beyond the first of each request. Each instance
keeps to its own part without communication, so that the limit also holds
during a network partition.
"""

from collections import deque

# Only this fraction of the limit is used, because the windows of the instances
# do not slide in step.
USED_FRACTION = 0.8


class RetryWindow:
    """One instance's part of the retry budget of one service.

    :param ratio: retries allowed for each request in the window.
    :param slack: retries that are always allowed in a window, over all
        instances together.
    :param window_s: length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Start with an empty window."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count one request of a caller, which adds to the budget."""
        self._requests.append(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Take one retry from the budget if it allows one.

        :param instances: number of instances that share the slack.
        :returns: whether the retry is allowed.
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
