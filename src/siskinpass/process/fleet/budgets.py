"""Retry budgets of one instance."""

import asyncio
from collections.abc import Callable

from siskinpass.process.fleet.settings import RetryBounds
from siskinpass.request.retry_window import RetryNeed, RetryWindow


class RetryBudgets:
    """This instance's share of the retry budget of each service.

    :param bounds: the operator's bounds.
    :param instance_count: returns how many instances share the budget.
    """

    def __init__(
        self,
        bounds: RetryBounds,
        instance_count: Callable[[], int],
    ) -> None:
        self._bounds = bounds
        self._instance_count = instance_count
        self._loop = asyncio.get_running_loop()
        self._windows: dict[str, RetryWindow] = {}

    def note_request(self, service: str) -> None:
        """Count one request, which adds to the budget of its service."""
        self._window(service).note_request(self._loop.time())

    def spend(self, service: str, need: RetryNeed) -> bool:
        """Spend one retry and return whether the budget had one left."""
        return self._window(service).spend(
            self._loop.time(), self._instance_count(), need
        )

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            bounds = self._bounds
            window = RetryWindow(bounds.ratio, bounds.slack, bounds.window_s)
            self._windows[service] = window
        return window
