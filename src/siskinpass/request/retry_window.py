"""Retry budget over a sliding window, divided among all instances.

Pure logic without I/O. The operator limits the retries of all instances
together, that is, the sends beyond the first of each request. Each instance
keeps to its own part without communication, so that the limit also holds
during a network partition.

It answers services all of whose servers fail: the retries that callers want
then exceed the budget, and it goes to those who need it most.
"""

from collections import deque
from dataclasses import dataclass

# Only this fraction of the limit is used, because the windows of the instances
# do not slide in step.
USED_FRACTION = 0.8
# At most this fraction of the budget is reserved for urgent retries, and no
# more than were wanted in the last RESERVED_S. With a fixed half 62 of 467
# retries were left unused in a fault of 4 s.
RESERVED_FRACTION = 0.5
RESERVED_S = 2.0


@dataclass(frozen=True, slots=True)
class RetryNeed:
    """What a request would gain from a retry.

    :param is_upper: whether its tier is in the upper half of all tiers.
    :param has_time: whether its latency target can still be met, or its stream
        has begun.
    :param may_repeat: whether it may run more than once.
    """

    is_upper: bool = True
    has_time: bool = True
    may_repeat: bool = True

    @property
    def is_urgent(self) -> bool:
        """Return whether the reserved part of the budget is for it."""
        return self.is_upper and self.has_time and self.may_repeat


URGENT = RetryNeed()


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
        self._urgent: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count one request of a caller, which adds to the budget."""
        # Services that need no retries would keep all requests otherwise.
        _drop_before(self._requests, now_s - self._window_s)
        self._requests.append(now_s)

    def spend(
        self, now_s: float, instances: int, need: RetryNeed = URGENT
    ) -> bool:
        """Take one retry from the budget if it allows one.

        Once less than half of the budget is left, the part that urgent requests
        are likely to need is kept for them. Any request may take the first
        retry of a window, so that an instance with few requests is not left
        without retries for the others.

        :param instances: number of instances that share the slack.
        :param need: decides whether it may use the reserved part.
        :returns: whether the retry is allowed.
        """
        first_s = now_s - self._window_s
        _drop_before(self._requests, first_s)
        _drop_before(self._spent, first_s)
        _drop_before(self._urgent, now_s - RESERVED_S)
        bound = self._ratio * len(self._requests) + self._slack / instances
        allowed = USED_FRACTION * bound
        if need.is_urgent:
            self._urgent.append(now_s)
        else:
            reserved = min(len(self._urgent), RESERVED_FRACTION * allowed)
            allowed = max(min(1, allowed), allowed - reserved)
        if len(self._spent) + 1 > allowed:
            return False
        self._spent.append(now_s)
        return True


def _drop_before(times: deque[float], first_s: float) -> None:
    while times and times[0] < first_s:
        times.popleft()
