"""Watch of the objects of one kind in the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from siskinpass.exceptions import (
    FormatError,
    StoreError,
    StoreSilentError,
)
from siskinpass.platform.objects import Page, StoredObject
from siskinpass.process.fleet.settings import OperatorBounds
from siskinpass.process.fleet.store_client import WATCH_MARGIN_S, StoreClient
from siskinpass.process.logs import ComponentLog

# A lost answer leaves its connection open without data. The watch has to be
# repeated within the time after which an instance counts as connected again,
# less the time that the listing that follows may take.
LIST_MARGIN_S = 0.1
# Changes often come in series, and each answer of the store is a call. The
# next watch begins a little later and reports several of them.
COALESCE_S = 0.15
# Bounds of the delay before the watch is repeated after a failure.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6


@dataclass(frozen=True, slots=True)
class Listed:
    """Current list of all objects of the kind.

    :param is_restored: whether it is the first list after the store was
        restored from an older copy.
    """

    stored: tuple[StoredObject, ...]
    is_restored: bool = False


@dataclass(frozen=True, slots=True)
class Changed:
    """Changed and deleted objects, in the order of their changes."""

    stored: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store does not answer."""


StoreUpdate = Listed | Changed | StoreUnavailable


def watch_wait_s(
    operator_bounds: OperatorBounds, *, has_followers: bool
) -> float:
    """Return the longest wait to request from the store, in seconds.

    A lost answer must be noticed within the contact time, and by a reader that
    others follow in half of the time for a new configuration, which leaves them
    the other half to follow another reader.
    """
    limit_s = operator_bounds.contact_s - LIST_MARGIN_S
    if has_followers:
        limit_s = min(limit_s, operator_bounds.config_s / 2)
    return limit_s - WATCH_MARGIN_S


class KindWatch:
    """Watch that lists a kind once, then follows its changes.

    :param wait_s: returns the longest wait to request from the store, without
        ``WATCH_MARGIN_S``.
    :param on_update: called with each update, and after each failed call with
        ``StoreUnavailable``.
    """

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        wait_s: Callable[[], float],
        on_update: Callable[[StoreUpdate], None],
    ) -> None:
        self._store = store
        self._kind = kind
        self._on_update = on_update
        self._wait_s = wait_s
        self._log = ComponentLog('store')
        self._revision: int | None = None
        self._era: int | None = None
        self._failures = 0
        # Watches in a row that found the history gone, each after a listing.
        self._lost_histories = 0
        # Between the last answer and the watch that waits now.
        self._paused_s = 0.0

    async def run(self) -> None:
        """Watch the kind until cancelled, with backoff after failures."""
        # What an earlier run that failed was about to apply is not lost.
        self._revision = None
        while True:
            try:
                await self._step()
            except (StoreError, FormatError) as error:
                self._handle_failure(error)
                await asyncio.sleep(self._backoff_s(error))
            else:
                self._handle_success()

    async def _step(self) -> None:
        if self._revision is None:
            await self._list()
            return
        page = await self._store.watch_kind(
            self._kind,
            self._revision,
            max(0, self._wait_s() - self._paused_s),
        )
        if page is None or page.era != self._era:
            self._log.note(
                'The store no longer has the history; listing again.',
                kind=self._kind,
            )
            self._revision = None
            await self._delay_listing()
            return
        self._lost_histories = 0
        self._apply_page(page)
        self._paused_s = COALESCE_S if page.stored else 0.0
        await asyncio.sleep(self._paused_s)

    async def _delay_listing(self) -> None:
        """Wait before a listing, unless the last one has served a watch.

        While the store forgets its history all the time, each instance would
        list without a pause, and the listings of large kinds would take the
        time and the store's rate from those of small ones.
        """
        if self._lost_histories:
            await asyncio.sleep(_retry_s(self._lost_histories))
        self._lost_histories += 1

    async def _list(self) -> None:
        page = await self._store.list_kind(self._kind)
        is_restored = self._era is not None and page.era > self._era
        self._revision, self._era = page.revision, page.era
        self._paused_s = 0.0
        self._on_update(Listed(page.stored, is_restored))

    def _apply_page(self, page: Page) -> None:
        self._revision = page.revision
        if page.stored:
            self._on_update(Changed(page.stored))

    def _handle_failure(self, error: Exception) -> None:
        self._failures += 1
        # Only a new listing shows changes that were missed.
        self._revision = None
        if self._failures == 1:
            self._log.warn(
                (
                    'The answer of the store cannot be read.'
                    if isinstance(error, FormatError)
                    else 'The store does not answer.'
                ),
                kind=self._kind,
                cause=str(error),
            )
        self._on_update(StoreUnavailable())

    def _handle_success(self) -> None:
        if self._failures:
            self._log.note('The store answers again.', kind=self._kind)
        self._failures = 0

    def _backoff_s(self, error: Exception) -> float:
        if self._failures == 1 and isinstance(error, StoreSilentError):
            # The watch has waited long enough, and other instances have theirs
            # at other times.
            return 0.0
        return _retry_s(self._failures)


def _retry_s(count: int) -> float:
    """Return the delay after so many failures in a row."""
    max_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**count)
    return random.uniform(MIN_RETRY_S, max_s)
