"""Hold this instance's part of the retry budget of each service."""

import asyncio
from collections.abc import Callable

from siskinpass.request.retry_window import RetryWindow


class RetryBudgets:
    """Hold this instance's part of the retry budget of each service.

    :param make: returns a window with the operator's bounds.
    :param instances: returns how many instances share the budget.
    """

    def __init__(
        self,
        make_window: Callable[[], RetryWindow],
        instance_count: Callable[[], int],
    ) -> None:
        """Start with unused budgets."""
        self._make_window = make_window
        self._instance_count = instance_count
        self._loop = asyncio.get_running_loop()
        self._windows: dict[str, RetryWindow] = {}

    def note_request(self, service: str) -> None:
        """Count one request of a service."""
        self._window(service).note_request(self._loop.time())

    def spend(self, service: str) -> bool:
        """Take one send, and tell whether there was one."""
        return self._window(service).spend(
            self._loop.time(), self._instance_count()
        )

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._make_window()
            self._windows[service] = window
        return window
