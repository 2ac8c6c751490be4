"""Call the platform's object store.

The only client of the store in a fleet's process. A call that gets no answer
ends its connection, since nothing further comes on it.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool, PoolPolicy
from siskinpass.connection.fetch import FetchedAnswer, fetch
from siskinpass.exceptions import (
    BackendError,
    ConnectError,
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
)
from siskinpass.platform import objects

# Twenty times the answer time that the platform states.
CALL_TIMEOUT_S = 1.0
# A watch that is silent for longer than it was asked to wait is given up.
WATCH_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.5
IDLE_KEPT_S = 10.0
IDLE_KEPT_MOST = 4
STORE_POOL = PoolPolicy(CONNECT_TIMEOUT_S, IDLE_KEPT_S, IDLE_KEPT_MOST)


class StoreClient:
    """List, watch and write objects.

    :param address: ``ip:port`` of the store.
    :param note_call: told the kind and the outcome of each call.
    """

    def __init__(
        self,
        address: str,
        note_call: Callable[[str, str], None],
    ) -> None:
        """Prepare a pool; no connection is opened yet."""
        self._address = address
        self._note_call = note_call
        self._pool = BackendPool(asyncio.get_running_loop(), STORE_POOL)

    async def list_kind(self, kind: str) -> objects.Page:
        """Return all objects of a kind and the revision to watch from.

        :raises StoreError: where the store does not answer.
        """
        found: list[objects.StoredObject] = []
        after = ''
        while True:
            path = objects.list_path(kind, after)
            answer = await self._read('list', path, CALL_TIMEOUT_S)
            page = objects.decode_list(answer.body)
            found.extend(page.stored)
            after = page.next_name
            if not after:
                return objects.Page(tuple(found), page.revision)

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> objects.Page | None:
        """Return the changes after a revision once there are any.

        :returns: none where the history since then is gone.
        :raises StoreError: where the store does not answer.
        """
        path = objects.watch_path(kind, revision, int(wait_s * 1000))
        answer = await self._read('watch', path, wait_s + WATCH_MARGIN_S)
        if answer.status == objects.STATUS_GONE:
            return None
        return objects.decode_watch(answer.body)

    async def create(self, kind: str, name: str, body: Any) -> None:
        """Create an object.

        :raises StoreConflictError: where it exists.
        :raises StoreUnconfirmedError: where the write may have happened.
        """
        answer = await self._write(
            'POST',
            objects.kind_path(kind),
            objects.encode_object(name, body),
        )
        if answer.status == objects.STATUS_CONFLICT:
            raise StoreConflictError(Code.tree_conflict, name)
        _check(answer, objects.STATUS_OK, objects.STATUS_CREATED)

    async def replace(self, kind: str, name: str, body: Any) -> None:
        """Replace an object, whatever its revision.

        :raises StoreUnconfirmedError: where the write may have happened.
        """
        path = objects.object_path(kind, name)
        answer = await self._write(
            'PUT', path, objects.encode_object(name, body)
        )
        _check(answer, objects.STATUS_OK, objects.STATUS_CREATED)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is missing is no error."""
        path = objects.object_path(kind, name)
        answer = await self._write('DELETE', path, b'')
        _check(answer, objects.STATUS_OK, objects.STATUS_NOT_FOUND)

    async def _read(
        self, call: str, path: str, timeout_s: float
    ) -> FetchedAnswer:
        answer = await self._noted(call, 'GET', path, b'', timeout_s)
        _check(answer, objects.STATUS_OK, objects.STATUS_GONE)
        return answer

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> FetchedAnswer:
        call = method.lower()
        return await self._noted(call, method, path, body, CALL_TIMEOUT_S)

    async def _noted(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> FetchedAnswer:
        request = self._encode(method, path, body)
        try:
            answer = await fetch(self._pool, self._address, request, timeout_s)
        except BackendError as error:
            self._note_call(call, Code.store_down.name)
            sent = not isinstance(error, ConnectError)
            unsure = sent and method != 'GET'
            failure = StoreUnconfirmedError if unsure else StoreError
            raise failure(Code.store_down, str(error)) from error
        self._note_call(call, str(answer.status))
        return answer

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self._address}']
        if body:
            lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _check(answer: FetchedAnswer, *allowed: int) -> None:
    if answer.status not in allowed:
        raise StoreError(Code.store_down, f'status {answer.status}')
