"""Speak to the platform's object store.

The only module that knows the store's dialect. Calls run on a few threads of
their own through urllib3; each is counted.
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
WATCH_MARGIN_S = 2.0
MAX_OPEN_CALLS = 64

STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_FOUND = 404
STATUS_PRECONDITION = 412


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object as it was read.

    :param version: the store's version of the object.
    :param body: its value, at most 1 MB.
    """

    version: int
    body: bytes


class Store:
    """Read and conditionally write versioned objects."""

    def __init__(
        self,
        base_url: str,
        on_call: Callable[[str], None],
    ) -> None:
        """Prepare connections; none is opened yet.

        :param base_url: ``http://ip:port`` of the store.
        :param note_call: told the kind of each call.
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
        """Return an object, or none where there is none.

        :raises StoreError: where the store does not answer.
        """
        return await self._call('read', self._read, key, '', READ_TIMEOUT_S)

    async def watch(
        self,
        key: str,
        version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Return an object once it is newer, or as it is after a time."""
        query = f'?watch={version}&wait_s={wait_s}'
        timeout_s = wait_s + WATCH_MARGIN_S
        return await self._call('watch', self._read, key, query, timeout_s)

    async def create(self, key: str, body: bytes) -> int:
        """Write an object that must not exist and return its version.

        :raises StoreConflictError: where it exists.
        :raises StoreUnconfirmedError: where the write may have happened.
        """
        return await self._write('PUT', key, body, {'If-None-Match': '*'})

    async def replace(self, key: str, body: bytes, version: int) -> int:
        """Write an object that must have a version; return the new one."""
        expected = {'If-Match': str(version)}
        return await self._write('PUT', key, body, expected)

    async def delete(self, key: str, version: int) -> None:
        """Remove an object that must have a version."""
        await self._write('DELETE', key, b'', {'If-Match': str(version)})

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        listed = await self._call('read', self._list_keys, prefix)
        return sorted(listed)

    def close(self) -> None:
        """Drop the connections and threads."""
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
            self._put,
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

    def _put(
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
        # The request may have reached the store before the connection broke.
        raise StoreUnconfirmedError(
            Code.edit_unconfirmed,
            str(error),
        ) from error
