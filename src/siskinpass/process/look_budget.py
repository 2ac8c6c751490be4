"""Bound how often waiting tickets are tried between clock ticks.

Pure logic. Trying a ticket may look at every server. Under overload each of
hundreds of events a second would be a reason to try all waiting tickets, and
the instance would have time for nothing else.
"""

# A look takes a few microseconds, so that this is about a tenth of a core.
LOOKS_PER_S = 15_000.0
MAX_SAVED_LOOKS = 3000.0


class LookBudget:
    """Budget of looks that grows with the time, up to a limit."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED_LOOKS
        self._updated_s = 0.0

    def take(self, looks: int, now_s: float) -> bool:
        """Take looks from the budget if it has as many.

        :returns: whether they were taken.
        """
        grown = (now_s - self._updated_s) * LOOKS_PER_S
        self._updated_s = now_s
        self._saved = min(MAX_SAVED_LOOKS, self._saved + grown)
        if looks > self._saved:
            return False
        self._saved -= looks
        return True
