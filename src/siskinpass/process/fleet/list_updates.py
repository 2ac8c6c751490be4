"""Pass lists of servers on, long ones not too often."""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.request.ticket import ServerView

# A list up to this length is passed on at once, with each change.
LONG_LIST = 500
# Each list costs time by its length at all parts that get it. With 3,000
# servers that are replaced one by one, lists took an eighth of a core at each
# of 300 instances.
INTERVAL_S = 0.2

Apply = Callable[[Iterable[ServerView]], None]


class ListUpdates:
    """Receiver of lists of which only the newest counts."""

    def __init__(self, apply: Apply) -> None:
        self._apply = apply
        self._loop = asyncio.get_running_loop()
        self._next_s = 0.0
        self._newest: tuple[ServerView, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    def receive(self, views: Iterable[ServerView]) -> None:
        """Pass a list on, at the latest ``INTERVAL_S`` later."""
        self._newest = tuple(views)
        wait_s = self._next_s - self._loop.time()
        if len(self._newest) <= LONG_LIST or wait_s <= 0:
            self._pass_on()
        elif self._timer is None:
            self._timer = self._loop.call_later(wait_s, self._pass_on)

    def _pass_on(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._next_s = self._loop.time() + INTERVAL_S
        self._apply(self._newest)
