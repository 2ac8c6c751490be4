"""Call the platform's object store.

The only client of the store in a fleet's process. A call that gets no answer
ends its connection, since nothing further comes on it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from siskinpass.codes import Code
from siskinpass.connection.backend import (
    AnswerSink,
    BackendConnection,
    BackendPool,
    PoolPolicy,
)
from siskinpass.exceptions import (
    BackendError,
    ConnectError,
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
)
from siskinpass.platform import objects
from siskinpass.request.inbound import Header

# Twenty times the answer time that the platform states.
CALL_TIMEOUT_S = 1.0
# A watch that is silent for longer than it was asked to wait is given up.
WATCH_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.5
IDLE_KEPT_S = 10.0
IDLE_KEPT_MOST = 4
STORE_POOL = PoolPolicy(CONNECT_TIMEOUT_S, IDLE_KEPT_S, IDLE_KEPT_MOST)


@dataclass(slots=True)
class _Reply:
    """Hold a whole answer of the store."""

    status: int = 0
    body: bytes = b''


class _Collector(AnswerSink):
    """Collect one answer."""

    def __init__(self) -> None:
        """Start empty."""
        self._reply = _Reply()
        self._pieces = bytearray()
        self.finished = asyncio.get_running_loop().create_future()

    def take_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Take in the status."""
        self._reply.status = status
        return True

    def take_piece(self, piece: bytes) -> None:
        """Take in a piece of the body."""
        self._pieces += piece

    def take_end(self) -> None:
        """Hand the answer out."""
        self._reply.body = bytes(self._pieces)
        if not self.finished.done():
            self.finished.set_result(self._reply)

    def take_failure(self, error: BackendError) -> None:
        """Hand the failure out."""
        if not self.finished.done():
            self.finished.set_exception(error)


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

    async def list_kind(
        self, kind: str, *, stale: bool = False
    ) -> objects.Page:
        """Return all objects of a kind and the revision to watch from.

        :param stale: whether an answer that is seconds old will do.
        :raises StoreError: where the store does not answer.
        """
        found: list[objects.StoredObject] = []
        after = ''
        while True:
            path = objects.list_path(kind, after, stale=stale)
            reply = await self._read('list', path, CALL_TIMEOUT_S)
            page = objects.decode_list(reply.body)
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
        reply = await self._read('watch', path, wait_s + WATCH_MARGIN_S)
        if reply.status == objects.STATUS_GONE:
            return None
        return objects.decode_watch(reply.body)

    async def create(self, kind: str, name: str, body: Any) -> None:
        """Create an object.

        :raises StoreConflictError: where it exists.
        :raises StoreUnconfirmedError: where the write may have happened.
        """
        reply = await self._write(
            'POST',
            objects.kind_path(kind),
            objects.encode_object(name, body),
        )
        if reply.status == objects.STATUS_CONFLICT:
            raise StoreConflictError(Code.tree_conflict, name)
        _check(reply, objects.STATUS_OK, objects.STATUS_CREATED)

    async def replace(self, kind: str, name: str, body: Any) -> None:
        """Replace an object, whatever its revision.

        :raises StoreUnconfirmedError: where the write may have happened.
        """
        path = objects.object_path(kind, name)
        reply = await self._write(
            'PUT', path, objects.encode_object(name, body)
        )
        _check(reply, objects.STATUS_OK, objects.STATUS_CREATED)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is missing is no error."""
        path = objects.object_path(kind, name)
        reply = await self._write('DELETE', path, b'')
        _check(reply, objects.STATUS_OK, objects.STATUS_NOT_FOUND)

    async def _read(self, call: str, path: str, timeout_s: float) -> _Reply:
        reply = await self._noted(call, 'GET', path, b'', timeout_s)
        _check(reply, objects.STATUS_OK, objects.STATUS_GONE)
        return reply

    async def _write(self, method: str, path: str, body: bytes) -> _Reply:
        call = method.lower()
        return await self._noted(call, method, path, body, CALL_TIMEOUT_S)

    async def _noted(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> _Reply:
        try:
            reply = await self._call(method, path, body, timeout_s)
        except StoreError as error:
            self._note_call(call, error.code.name)
            raise
        self._note_call(call, str(reply.status))
        return reply

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> _Reply:
        try:
            connection = await self._pool.connect(self._address, fresh=False)
        except ConnectError as error:
            raise StoreError(Code.store_down, str(error)) from error
        collector = _Collector()
        connection.send(self._encode(method, path, body), collector)
        return await self._finish(method, connection, collector, timeout_s)

    async def _finish(
        self,
        method: str,
        connection: BackendConnection,
        collector: _Collector,
        timeout_s: float,
    ) -> _Reply:
        failure = StoreError if method == 'GET' else StoreUnconfirmedError
        try:
            return await asyncio.wait_for(collector.finished, timeout_s)
        except (BackendError, TimeoutError) as error:
            connection.cancel()
            raise failure(Code.store_down, str(error) or 'silent') from error
        except asyncio.CancelledError:
            connection.cancel()
            raise

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self._address}']
        if body:
            lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _check(reply: _Reply, *allowed: int) -> None:
    if reply.status not in allowed:
        raise StoreError(Code.store_down, f'status {reply.status}')
