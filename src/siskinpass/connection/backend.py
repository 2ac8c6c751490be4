"""Own one connection to a backend server."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import httptools

from siskinpass.codes import Code
from siskinpass.connection.sockets import SocketTimeouts, tune_socket
from siskinpass.exceptions import BackendError, ConnectError
from siskinpass.request.inbound import Header

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 8.0
MAX_IDLE_PER_SERVER = 64
STATUS_OK = 200
STATUSES_WITHOUT_BODY = frozenset((204, 304))
UNACKED_TIMEOUT_MS = 3000
# A backend server that acknowledges nothing for as long as callers wait for
# the next event of a stream is as good as gone.
BACKEND_SOCKET_TIMEOUTS = SocketTimeouts(
    idle_s=2, interval_s=1, probes=2, user_timeout_ms=UNACKED_TIMEOUT_MS
)


class AnswerSink(Protocol):
    """Take in the answer of a backend server."""

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Take in status and headers as they were spelled.

        :returns: whether the answer is for this sink; another one is skipped.
        """

    def receive_body(self, piece: bytes) -> None:
        """Take in a piece of the body."""

    def receive_end(self) -> None:
        """Take in that the answer is whole."""

    def receive_failure(self, error: BackendError) -> None:
        """Take in that the answer broke off."""


class BackendConnection(asyncio.Protocol):
    """Send one request at a time and pass its answer to a sink."""

    def __init__(
        self,
        on_idle: Callable[['BackendConnection'], None],
        on_closed: Callable[['BackendConnection'], None],
    ) -> None:
        """Wait for the connection.

        :param keep: takes the connection back after a whole answer.
        :param forget: told that the connection is closed.
        """
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._sink: AnswerSink | None = None
        self._headers: list[Header] = []
        self._parser = httptools.HttpResponseParser(self)
        self._is_skipping = False
        self._has_unsolicited_answer = False
        self._ends_at_close = False
        self._is_reusable = False
        self.idle_until_s = 0.0
        self.idle_s = IDLE_TIMEOUT_S

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take a request."""
        return not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        tune_socket(transport, BACKEND_SOCKET_TIMEOUTS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the sink that the answer broke off."""
        self._on_closed(self)
        self._fail(BackendError(Code.stream_cut, str(exc or '')))

    def eof_received(self) -> bool:
        """End an answer that only the connection's end delimits.

        libuv reports a reset that arrives together with data as an end; the
        socket still holds the error.
        """
        sock = self._transport.get_extra_info('socket')
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self._ends_at_close and not error:
            self._end()
        return False

    def data_received(self, piece: bytes) -> None:
        """Parse what came; bytes beyond an answer belong to no request."""
        if self._sink is None:
            self._transport.abort()
            return
        try:
            self._parser.feed_data(piece)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(BackendError(Code.backend_error, str(error)))
            self._transport.abort()
            return
        self._release()

    def send(self, request: bytes, sink: AnswerSink) -> None:
        """Send a request whose answer goes to a sink."""
        self._sink = sink
        self._is_reusable = False
        self._transport.write(request)

    def cancel(self) -> None:
        """Break off; the backend server stops its work."""
        self._sink = None
        self._transport.abort()

    def set_reading(self, *, on: bool) -> None:
        """Slow down or go on, by the pace of the caller."""
        if not self.is_open:
            return
        if on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Note an answer that no request waits for."""
        self._headers = []
        if self._sink is None:
            self._has_unsolicited_answer = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Note one header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        status = self._parser.get_status_code()
        if self._sink is None or status < STATUS_OK:
            return
        headers = tuple(self._headers)
        self._ends_at_close = _ends_at_close(status, headers)
        self._is_skipping = not self._sink.receive_head(status, headers)

    def on_body(self, piece: bytes) -> None:
        """Pass a piece on."""
        if self._sink is not None and not self._is_skipping:
            self._sink.receive_body(piece)

    def on_message_complete(self) -> None:
        """Pass the end on."""
        if self._parser.get_status_code() < STATUS_OK:
            return
        self._is_reusable = self._parser.should_keep_alive()
        if not self._is_skipping:
            self._end()
        self._is_skipping = False

    def _end(self) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.receive_end()

    def _release(self) -> None:
        """Give the connection back once an answer is whole."""
        if self._sink is not None:
            return
        if self._has_unsolicited_answer or not self._is_reusable:
            self._transport.abort()
        elif self.is_open:
            self._on_idle(self)

    def _fail(self, error: BackendError) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.receive_failure(error)


def _ends_at_close(status: int, headers: tuple[Header, ...]) -> bool:
    if status in STATUSES_WITHOUT_BODY:
        return False
    names = {name.lower() for name, _ in headers}
    return not names & {b'content-length', b'transfer-encoding'}


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Bound the connections of a pool.

    :param connect_s: longest time to open one.
    :param idle_s: time that an idle one is kept unless its server says less.
    :param idle_most: idle ones kept for each server.
    """

    connect_s: float = CONNECT_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    max_idle: int = MAX_IDLE_PER_SERVER


class BackendPool:
    """Keep idle connections to backend servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: PoolPolicy | None = None,
    ) -> None:
        """Start without connections."""
        self._loop = loop
        self._policy = policy or PoolPolicy()
        self._idle: dict[str, list[BackendConnection]] = {}

    async def connect(self, address: str, *, fresh: bool) -> BackendConnection:
        """Return a connection, an idle one unless a fresh one is asked for.

        :raises ConnectError: where none can be opened; nothing was sent.
        """
        kept = None if fresh else self._pop_idle(address)
        if kept is not None:
            return kept
        host, port = address.rsplit(':', 1)
        opening = self._loop.create_connection(
            partial(
                BackendConnection,
                partial(self._keep, address),
                partial(self._remove_closed, address),
            ),
            host,
            int(port),
        )
        try:
            _, connection = await asyncio.wait_for(
                opening,
                self._policy.connect_s,
            )
        except (OSError, TimeoutError) as error:
            raise ConnectError(
                Code.backend_unreachable,
                str(error),
            ) from error
        return connection

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.cancel()

    def _pop_idle(self, address: str) -> BackendConnection | None:
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if (
                connection.is_open
                and connection.idle_until_s > self._loop.time()
            ):
                return connection
            connection.cancel()
        return None

    def _keep(self, address: str, connection: BackendConnection) -> None:
        kept = self._idle.setdefault(address, [])
        if len(kept) >= self._policy.max_idle:
            connection.cancel()
            return
        idle_s = min(self._policy.idle_s, connection.idle_s)
        connection.idle_until_s = self._loop.time() + idle_s
        kept.append(connection)

    def _remove_closed(
        self, address: str, connection: BackendConnection
    ) -> None:
        kept = self._idle.get(address, [])
        if connection in kept:
            kept.remove(connection)
