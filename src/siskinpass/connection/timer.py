"""Restartable timeout of a connection."""

import asyncio
from collections.abc import Callable


class Timer:
    """Timeout that runs once at a time and calls back when it expires."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_expiry: Callable[[], None],
    ) -> None:
        """Create a stopped timer.

        :param on_expiry: called when the timer expires.
        """
        self._loop = loop
        self._on_expiry = on_expiry
        self._timer: asyncio.TimerHandle | None = None

    def start(self, after_s: float) -> None:
        """Start the timer, replacing a running one."""
        self.clear()
        self._timer = self._loop.call_later(after_s, self._on_expiry)

    def clear(self) -> None:
        """Stop the timer if it runs."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
