"""Limit the retries of each request class to a fraction of its requests.

Pure logic without I/O: a token bucket per class, to which each request adds
the fraction and from which each retry takes one.
"""

from collections import OrderedDict

BURST = 5.0  # capacity of a bucket, in retries
MAX_NODES = 20_000


class RetryBudget:
    """Retry budgets of all request classes.

    Only the ``MAX_NODES`` classes that had requests most recently are kept.
    """

    def __init__(self) -> None:
        """Start each class with a full bucket."""
        self._left: OrderedDict[str, float] = OrderedDict()

    def earn(self, node: str, fraction: float) -> None:
        """Credit one request of a class.

        :param node: path of the class in the settings tree.
        :param fraction: retries allowed for each request.
        """
        left = self._left.pop(node, BURST)
        self._left[node] = min(BURST, left + fraction)
        if len(self._left) > MAX_NODES:
            self._left.popitem(last=False)

    def spend(self, node: str) -> bool:
        """Take one retry from the budget of a class if it allows one.

        :returns: whether the retry is allowed.
        """
        left = self._left.get(node, BURST)
        if left < 1:
            return False
        self._left[node] = left - 1
        return True
