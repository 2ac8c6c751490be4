"""Bound the retries of each class to a fraction of its traffic.

Pure logic: a token bucket that each request fills by the fraction and each
retry empties by one.
"""

from collections import OrderedDict

BURST = 5.0
MAX_NODES = 20_000


class RetryBudget:
    """Hold the budgets of all classes."""

    def __init__(self) -> None:
        """Start each class with a full burst."""
        self._left: OrderedDict[str, float] = OrderedDict()

    def earn(self, node: str, fraction: float) -> None:
        """Count one request of a class."""
        left = self._left.pop(node, BURST)
        self._left[node] = min(BURST, left + fraction)
        if len(self._left) > MAX_NODES:
            self._left.popitem(last=False)

    def spend(self, node: str) -> bool:
        """Take one retry from the budget, and tell whether there was one."""
        left = self._left.get(node, BURST)
        if left < 1:
            return False
        self._left[node] = left - 1
        return True
