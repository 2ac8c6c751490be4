"""Read the configuration and the backend servers from the store.

The store counts and prices each call, a waiting watch as one. An instance
therefore reads it only while it has a reason to.
"""

import asyncio
from collections.abc import Generator
from contextlib import contextmanager
from functools import partial

from siskinpass.platform.config import CONFIG_KIND
from siskinpass.platform.part_records import PARTS_KIND
from siskinpass.platform.servers import SERVERS_KIND
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.crash_guard import CrashGuard
from siskinpass.process.fleet.feed import StateFeed
from siskinpass.process.fleet.settings import OperatorBounds
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import (
    KindWatch,
    StoreUnavailable,
    StoreUpdate,
    watch_wait_s,
)

# Time for which an instance goes on reading without a reason, so that a
# follower that returns finds the state.
LINGER_S = 5.0
# Kinds without which the state of an instance may be out of date.
STATE_KINDS = frozenset((CONFIG_KIND, SERVERS_KIND))
# Instances announce parts that crash servers, so that a lost answer
# of this watch may be noticed late. The store lets a watch wait for up to 30 s.
PARTS_WAIT_S = 29.0


class StoreReader:
    """Owner of the watches, which run while anyone needs them.

    :param feed: learns whether the state is that of the store.
    :param operator_bounds: determine how long a watch may wait.
    """

    def __init__(
        self,
        store: StoreClient,
        state: StoredState,
        guard: CrashGuard,
        feed: StateFeed,
        operator_bounds: OperatorBounds,
    ) -> None:
        self._store = store
        self._feed = feed
        self._operator_bounds = operator_bounds
        self._loop = asyncio.get_running_loop()
        self._apply = {
            CONFIG_KIND: state.apply_config,
            SERVERS_KIND: state.apply_servers,
            PARTS_KIND: guard.apply_store,
        }
        self._received: set[str] = set()
        self._users = 0
        self._background = BackgroundTasks()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_timer: asyncio.TimerHandle | None = None

    @property
    def is_needed(self) -> bool:
        """Return whether anyone needs the watches."""
        return self._users > 0

    @contextmanager
    def reading(self) -> Generator[None, None, None]:
        """Keep the watches running."""
        self._users += 1
        self._start()
        try:
            yield
        finally:
            self._users -= 1
            if not self._users:
                self._stop_timer = self._loop.call_later(LINGER_S, self._stop)

    def _start(self) -> None:
        if self._stop_timer is not None:
            self._stop_timer.cancel()
            self._stop_timer = None
        if not self._tasks:
            self._tasks = [
                self._background.keep(self._watch(kind).run)
                for kind in self._apply
            ]

    def _stop(self) -> None:
        self._stop_timer = None
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._received.clear()
        self._feed.set_fresh(on=False)

    def _watch(self, kind: str) -> KindWatch:
        wait_s = self._wait_s if kind in STATE_KINDS else _parts_wait_s
        return KindWatch(
            self._store, kind, wait_s, partial(self._receive, kind)
        )

    def _wait_s(self) -> float:
        return watch_wait_s(
            self._operator_bounds, has_followers=self._feed.followers > 0
        )

    def _receive(self, kind: str, update: StoreUpdate) -> None:
        if isinstance(update, StoreUnavailable):
            self._received.discard(kind)
        else:
            self._received.add(kind)
        self._apply[kind](update)
        self._feed.set_fresh(on=self._received >= STATE_KINDS)


def _parts_wait_s() -> float:
    return PARTS_WAIT_S
