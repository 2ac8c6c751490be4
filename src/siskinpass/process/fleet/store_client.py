"""Client of the platform's object store.

All calls to the store by a fleet's process go through it. A call without an
answer closes its connection, since the connection cannot be used again.

The store can be restored from an older copy, which begins a new era. An answer
of an earlier era than the latest known one counts as a failure.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool, PoolPolicy
from siskinpass.connection.fetch import FetchedAnswer, fetch
from siskinpass.exceptions import (
    BackendError,
    ConnectError,
    FormatError,
    StoreConflictError,
    StoreError,
    StoreSilentError,
    StoreUnconfirmedError,
)
from siskinpass.platform import objects
from siskinpass.process.logs import ComponentLog

# Far above the store's stated response time of 4 ms, because the store can be
# slow.
CALL_TIMEOUT_S = 1.0
# A watch is aborted if it has not answered this long after its requested wait.
WATCH_MARGIN_S = 0.5
CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 10.0
MAX_IDLE = 4
# Longer bodies are decoded in a thread.
INLINE_BYTES = 65_536
STORE_POOL = PoolPolicy(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, MAX_IDLE)

Decoded = TypeVar('Decoded', objects.Page, objects.StoredObject)


@dataclass(frozen=True, slots=True)
class ObjectAnswer:
    """Answer about one object.

    :param stored: the object as it is now, ``None`` if it does not exist, or
        if the answer to a write that was executed does not show it.
    :param era: era of the store in this answer.
    :param is_done: whether a write was executed; ``stored`` is the object after
        it, or the one that was found instead of the expected one.
    """

    stored: objects.StoredObject | None
    era: int
    is_done: bool = True


class StoreClient:
    """Reader and writer of the store's objects.

    :param address: ``ip:port`` of the store.
    :param on_call: called with the kind and the outcome of each call, for the
        metrics.
    :param local_host: address that connections leave from, empty for any.
    """

    def __init__(
        self,
        address: str,
        on_call: Callable[[str, str], None],
        local_host: str = '',
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._pool = BackendPool(
            asyncio.get_running_loop(),
            replace(STORE_POOL, local_host=local_host),
        )
        self._log = ComponentLog('store')
        self._era = 0

    @property
    def era(self) -> int:
        """Return the latest era of the store, 0 before any answer."""
        return self._era

    async def list_kind(
        self, kind: str, *, stale: bool = False
    ) -> objects.Page:
        """Return all objects of a kind and the revision to watch from.

        :param stale: whether the answer may be some seconds old.
        :raises StoreError: if the store does not answer or reports an error.
        """
        found: list[objects.StoredObject] = []
        after = ''
        # Changes made between the pages are watched from the first one on.
        revision = None
        while True:
            path = objects.list_path(kind, after, stale=stale)
            answer = await self._read('list', path, CALL_TIMEOUT_S)
            # Other calls may find a later era while the page is decoded.
            page_era = self._era
            page = await _decode(objects.decode_list, answer.body)
            if revision is None:
                revision, era = page.revision, page_era
            elif era != page_era:
                raise StoreError(
                    Code.store_down, 'restored between two pages of a listing'
                )
            found.extend(page.stored)
            after = page.next_name
            if not after:
                return objects.Page(tuple(found), revision, era=era)

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> objects.Page | None:
        """Wait for changes after a revision and return them.

        :param wait_s: time after which the store answers without changes.
        :returns: ``None`` if the store no longer has the history since then.
        :raises StoreError: if the store does not answer or reports an error.
        """
        path = objects.watch_path(kind, revision, int(wait_s * 1000))
        answer = await self._read('watch', path, wait_s + WATCH_MARGIN_S)
        if answer.status == objects.STATUS_GONE:
            return None
        era = self._era
        page = await _decode(objects.decode_watch, answer.body)
        return replace(page, era=era)

    async def create(self, kind: str, name: str, body: Any) -> None:
        """Create an object.

        :raises StoreConflictError: if it exists.
        :raises StoreUnconfirmedError: if the write may have happened.
        :raises StoreError: if the store cannot be reached or reports an error.
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
        """Replace an object, regardless of its revision.

        :raises StoreUnconfirmedError: if the write may have happened.
        :raises StoreError: if the store cannot be reached or reports an error.
        """
        path = objects.object_path(kind, name)
        answer = await self._write(
            'PUT', path, objects.encode_object(name, body)
        )
        _check(answer, objects.STATUS_OK, objects.STATUS_CREATED)

    async def read_object(
        self, kind: str, name: str, *, stale: bool
    ) -> ObjectAnswer:
        """Return one object.

        :param stale: whether the answer may be some seconds old.
        :raises StoreError: if the store does not answer or reports an error.
        :raises FormatError: if the answer cannot be read.
        """
        path = objects.object_path(kind, name, stale=stale)
        answer = await self._call('get', 'GET', path, b'', CALL_TIMEOUT_S)
        if answer.status == objects.STATUS_NOT_FOUND:
            return ObjectAnswer(None, self._era_of(answer))
        _check(answer, objects.STATUS_OK)
        found = await _decode(objects.decode_object, answer.body)
        return ObjectAnswer(found, self._era_of(answer))

    async def write_if(
        self, kind: str, name: str, body: Any, revision: int
    ) -> ObjectAnswer:
        """Write an object if it still has a revision.

        :param revision: revision that it must have, 0 if it must not exist.
        :raises StoreUnconfirmedError: if the write may have happened.
        :raises StoreError: if the store cannot be reached or reports an error.
        :raises FormatError: if the answer cannot be read; the write may have
            happened.
        """
        encoded = objects.encode_object(name, body, revision)
        answer = await (
            self._write('PUT', objects.object_path(kind, name), encoded)
            if revision
            else self._write('POST', objects.kind_path(kind), encoded)
        )
        era = self._era_of(answer)
        if answer.status == objects.STATUS_NOT_FOUND:
            return ObjectAnswer(None, era, is_done=False)
        _check(
            answer,
            objects.STATUS_OK,
            objects.STATUS_CREATED,
            objects.STATUS_CONFLICT,
        )
        if answer.status == objects.STATUS_CONFLICT:
            found = await _decode(objects.decode_object, answer.body)
            return ObjectAnswer(found, era, is_done=False)
        return ObjectAnswer(await _written(answer), era)

    def _era_of(self, answer: FetchedAnswer) -> int:
        """Return the era that an answer states.

        :raises FormatError: if it cannot be read: the answer may be of a store
            that was restored meanwhile.
        """
        era = objects.decode_era(answer.headers)
        return self._era if era is None else era

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing one is not an error.

        :raises StoreUnconfirmedError: if the deletion may have happened.
        :raises StoreError: if the store cannot be reached or reports an error.
        """
        path = objects.object_path(kind, name)
        answer = await self._write('DELETE', path, b'')
        _check(answer, objects.STATUS_OK, objects.STATUS_NOT_FOUND)

    async def _read(
        self, call: str, path: str, timeout_s: float
    ) -> FetchedAnswer:
        answer = await self._call(call, 'GET', path, b'', timeout_s)
        _check(answer, objects.STATUS_OK, objects.STATUS_GONE)
        return answer

    async def _write(
        self, method: str, path: str, body: bytes
    ) -> FetchedAnswer:
        call = method.lower()
        return await self._call(call, method, path, body, CALL_TIMEOUT_S)

    async def _call(
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
            self._on_call(call, Code.store_down.name)
            sent = not isinstance(error, ConnectError)
            if sent and method != 'GET':
                failure = StoreUnconfirmedError
            elif error.code is Code.stream_silent:
                failure = StoreSilentError
            else:
                failure = StoreError
            raise failure(Code.store_down, str(error)) from error
        self._on_call(call, str(answer.status))
        self._check_era(answer)
        return answer

    def _check_era(self, answer: FetchedAnswer) -> None:
        try:
            era = objects.decode_era(answer.headers)
        except FormatError as error:
            self._on_call('era', Code.document_wrong.name)
            self._log.warn('Ignored an unreadable era.', cause=str(error))
            return
        if era is None:
            return
        if era < self._era:
            raise StoreError(
                Code.store_down, f'answer of era {era} after era {self._era}'
            )
        if self._era and era > self._era:
            self._log.warn(
                'The store was restored from a copy.',
                era=era,
                previous=self._era,
            )
        self._era = era

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self._address}']
        if body:
            lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _check(answer: FetchedAnswer, *allowed: int) -> None:
    if answer.status not in allowed:
        raise StoreError(Code.store_down, f'status {answer.status}')


async def _written(answer: FetchedAnswer) -> objects.StoredObject | None:
    try:
        return await _decode(objects.decode_object, answer.body)
    except FormatError:
        return None


async def _decode(decode: Callable[[bytes], Decoded], body: bytes) -> Decoded:
    """Return a decoded body, without holding the event loop up for long.

    :raises FormatError: if the body cannot be read.
    """
    if len(body) <= INLINE_BYTES:
        return decode(body)
    return await asyncio.to_thread(decode, body)
