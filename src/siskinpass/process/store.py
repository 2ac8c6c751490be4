"""Client of the platform's object store.

Only this module knows the store's HTTP interface. Calls block in urllib3, so
they run on a small thread pool; each call is counted by its kind.
"""

import asyncio
from collections.abc import Callable, Generator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from siskinpass.codes import Code
from siskinpass.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
)

THREADS = 6
CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
# A watch times out this long after its requested wait.
WATCH_MARGIN_S = 2.0
MAX_OPEN_CALLS = 64

STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION = 412


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as read from the store.

    :param version: changes with each write of the object.
    :param body: its value, at most 1 MB.
    """

    version: int
    body: bytes


class Store:
    """Client for versioned objects with conditional writes.

    Every call to the store raises :exc:`StoreError` if the store is unreachable
    or returns an error, or if ``MAX_OPEN_CALLS`` are already open.
    """

    def __init__(
        self,
        base_url: str,
        on_call: Callable[[str], None],
    ) -> None:
        """Create the client; connections are opened on first use.

        :param base_url: ``http://ip:port`` of the store.
        :param on_call: called with the kind of each call: ``read``, ``watch``
            or ``write``.
        """
        self._base_url = base_url
        self._on_call = on_call
        self._open_calls = 0
        self._http = urllib3.PoolManager(maxsize=THREADS, retries=False)
        self._threads = ThreadPoolExecutor(
            THREADS,
            thread_name_prefix='store',
        )

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        return await self._call('read', self._read, key, '', READ_TIMEOUT_S)

    async def watch(
        self,
        key: str,
        version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until an object is newer than a version, and return it.

        :param version: version known so far, 0 for none.
        :param wait_s: longest wait, after which the object is returned as it
            is.
        :returns: None if it does not exist.
        """
        query = f'?watch={version}&wait_s={wait_s}'
        timeout_s = wait_s + WATCH_MARGIN_S
        return await self._call('watch', self._read, key, query, timeout_s)

    async def create(self, key: str, body: bytes) -> int:
        """Create an object and return its version.

        :raises StoreConflictError: if it already exists.
        :raises StoreUnconfirmedError: if the outcome is unknown.
        """
        return await self._write('PUT', key, body, {'If-None-Match': '*'})

    async def replace(self, key: str, body: bytes, version: int) -> int:
        """Replace an object and return its new version.

        :param version: version that the object must have.
        :raises StoreConflictError: if it has another version.
        :raises StoreUnconfirmedError: if the outcome is unknown.
        """
        expected = {'If-Match': str(version)}
        return await self._write('PUT', key, body, expected)

    async def delete(self, key: str, version: int) -> None:
        """Delete an object.

        :param version: version that the object must have.
        :raises StoreConflictError: if it has another version.
        :raises StoreUnconfirmedError: if the outcome is unknown.
        """
        await self._write('DELETE', key, b'', {'If-Match': str(version)})

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix, sorted."""
        listed = await self._call('read', self._list_keys, prefix)
        return sorted(listed)

    def close(self) -> None:
        """Close the connections and cancel calls that have not started."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._http.clear()

    async def _write(
        self,
        method: str,
        key: str,
        body: bytes,
        headers: dict[str, str],
    ) -> int:
        return await self._call(
            'write',
            self._send_write,
            method,
            key,
            body,
            headers,
        )

    async def _call(self, kind: str, function: Callable, *args: object):
        if self._open_calls >= MAX_OPEN_CALLS:
            raise StoreError(Code.store_down, 'too many open store calls')
        self._on_call(kind)
        self._open_calls += 1
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._threads, function, *args)
        finally:
            self._open_calls -= 1

    def _read(
        self, key: str, query: str, timeout_s: float
    ) -> StoredObject | None:
        url = f'{self._base_url}/objects/{key}{query}'
        with _read_errors():
            answer = self._http.request('GET', url, timeout=_timeout(timeout_s))
        if answer.status == STATUS_NOT_FOUND:
            return None
        if answer.status != STATUS_OK:
            raise StoreError(Code.store_down, f'status {answer.status}')
        return StoredObject(int(answer.headers['ETag']), answer.data)

    def _list_keys(self, prefix: str) -> list[str]:
        url = f'{self._base_url}/objects/?prefix={prefix}'
        with _read_errors():
            answer = self._http.request(
                'GET',
                url,
                timeout=_timeout(READ_TIMEOUT_S),
            )
        if answer.status != STATUS_OK:
            raise StoreError(Code.store_down, f'status {answer.status}')
        return list(answer.json())

    def _send_write(
        self,
        method: str,
        key: str,
        body: bytes,
        headers: dict[str, str],
    ) -> int:
        with _write_errors():
            answer = self._http.request(
                method,
                f'{self._base_url}/objects/{key}',
                body=body,
                headers=headers,
                timeout=_timeout(READ_TIMEOUT_S),
            )
        if answer.status == STATUS_PRECONDITION:
            raise StoreConflictError(Code.tree_conflict, key)
        if answer.status not in {STATUS_OK, STATUS_NO_CONTENT}:
            raise StoreError(Code.store_down, f'status {answer.status}')
        return int(answer.headers['ETag'])


def _timeout(read_s: float) -> urllib3.Timeout:
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)


@contextmanager
def _read_errors() -> Generator[None, None, None]:
    try:
        yield
    except HTTPError as error:
        raise StoreError(Code.store_down, str(error)) from error


@contextmanager
def _write_errors() -> Generator[None, None, None]:
    try:
        yield
    except (NewConnectionError, ConnectTimeoutError, MaxRetryError) as error:
        raise StoreError(Code.store_down, str(error)) from error
    except HTTPError as error:
        # The store may have applied the write before the connection broke.
        raise StoreUnconfirmedError(
            Code.edit_unconfirmed,
            str(error),
        ) from error
