"""Bound one wait at a time."""

import asyncio
from collections.abc import Callable


class Timer:
    """Call back when the wait that was started last takes too long."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_expiry: Callable[[], None],
    ) -> None:
        """Start without a wait."""
        self._loop = loop
        self._on_expiry = on_expiry
        self._timer: asyncio.TimerHandle | None = None

    def start(self, after_s: float) -> None:
        """Start a wait in place of the one before."""
        self.clear()
        self._timer = self._loop.call_later(after_s, self._on_expiry)

    def clear(self) -> None:
        """End the wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
