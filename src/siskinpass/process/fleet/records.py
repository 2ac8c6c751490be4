"""Write, read and remove the system's own records in the store."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from siskinpass.exceptions import (
    FormatError,
    StoreConflictError,
    StoreError,
)
from siskinpass.platform.objects import StoredObject
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.logs import ComponentLog

WRITE_RETRY_S = 1.0

RecordT = TypeVar('RecordT')


class Records:
    """Records of one kind.

    :param kind: kind of their objects in the store.
    :param log: where failures are logged.
    """

    def __init__(
        self, store: StoreClient, kind: str, log: ComponentLog
    ) -> None:
        self._store = store
        self._kind = kind
        self._log = log
        self._background = BackgroundTasks()

    async def write(self, name: str, body: Any) -> None:
        """Create a record, or replace it.

        :raises StoreError: if the store does not answer or reports an error.
        """
        try:
            await self._store.create(self._kind, name, body)
        except StoreConflictError:
            await self.replace(name, body)

    async def write_until_stored(
        self, name: str, body: Any, failure: str
    ) -> None:
        """Write a record, until the store has it.

        :param failure: sentence to log after each write that failed.
        """
        while not await self._try_write(name, body, failure):
            await asyncio.sleep(WRITE_RETRY_S)

    async def replace(self, name: str, body: Any) -> None:
        """Replace a record that exists.

        :raises StoreError: if the store does not answer or reports an error.
        """
        await self._store.replace(self._kind, name, body)

    async def remove(self, name: str) -> None:
        """Remove a record; one that cannot be removed is only logged."""
        try:
            await self._store.delete(self._kind, name)
        except StoreError as error:
            self._log.warn(
                'An expired record stays.', record=name, cause=str(error)
            )

    async def _try_write(self, name: str, body: Any, failure: str) -> bool:
        try:
            await self.write(name, body)
        except StoreError as error:
            self._log.warn(failure, record=name, cause=str(error))
            return False
        return True

    def read(
        self,
        stored: StoredObject,
        decode: Callable[[str, Any], RecordT],
        is_current: Callable[[RecordT], bool],
    ) -> RecordT | None:
        """Return a record; an expired one is removed.

        :returns: ``None`` if it has expired or cannot be read.
        """
        try:
            record = decode(stored.name, stored.body)
        except FormatError as error:
            self._log.warn(
                'Ignored an unreadable record.',
                record=stored.name,
                cause=str(error),
            )
            return None
        if is_current(record):
            return record
        self._background.start(self.remove(stored.name))
        return None
