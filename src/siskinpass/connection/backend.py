"""Connections to backend servers and the pool that reuses them."""

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
from siskinpass.request.inbound import Header, is_framed

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 8.0
MAX_IDLE_PER_SERVER = 64
# The server closes an idle connection after the keep-alive time that it states.
# The connection is not reused in the last part of that time, because a request
# could cross with the close.
IDLE_MARGIN_S = 1.0
MIN_IDLE_S = 0.2
# Bytes that may arrive without any of them belonging to the response's body: a
# head, interim responses, or a response to another request.
MAX_UNUSED_BYTES = 262_144
HEAD = b'HEAD '
STATUS_OK = 200
STATUS_CONTINUE = 100
LAST_STATUS = 599
INTERIM_STATUSES = range(STATUS_CONTINUE, STATUS_OK)
FINAL_STATUSES = range(STATUS_OK, LAST_STATUS + 1)
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Equal to the time that callers wait for the next event of a stream: a backend
# server that acknowledges nothing for that long is treated as unreachable.
UNACKED_TIMEOUT_MS = 3000
BACKEND_SOCKET_TIMEOUTS = SocketTimeouts(
    idle_s=2, interval_s=1, probes=2, user_timeout_ms=UNACKED_TIMEOUT_MS
)


class AnswerSink(Protocol):
    """Receiver of one response of a backend server."""

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Receive the status and the headers, with names as they were sent.

        :returns: whether the response belongs to this sink's request; if
            not, the connection skips it.
        """

    def receive_body(self, piece: bytes) -> None:
        """Receive a piece of the body."""

    def receive_end(self) -> None:
        """Receive the end of a complete response."""

    def receive_failure(self, error: BackendError) -> None:
        """Receive the error that cut the response off."""


class BackendConnection(asyncio.Protocol):
    """HTTP/1.1 client connection that runs one request at a time.

    The response is passed to the sink given with the request.

    :ivar is_lost: whether the other side closed it before a response ended.
    """

    def __init__(
        self,
        on_idle: Callable[['BackendConnection'], None],
        on_closed: Callable[['BackendConnection'], None],
    ) -> None:
        """Create an unconnected protocol.

        :param on_idle: called when the connection can be reused after a
            complete response.
        :param on_closed: called when the connection is closed.
        """
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._sink: AnswerSink | None = None
        self._headers: list[Header] = []
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._is_skipping = False
        self._has_unsolicited_answer = False
        self._ends_at_close = False
        self._is_ending = False
        # Whether the response has no body, whatever length it states.
        self._is_bodiless = False
        self._is_reusable = False
        self._unused_bytes = 0
        self._has_used_bytes = False
        self.idle_until_s = 0.0
        self.idle_s = IDLE_TIMEOUT_S
        self.is_lost = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection is neither closed nor closing."""
        return not self._transport.is_closing()

    @property
    def is_reused(self) -> bool:
        """Return whether the connection has carried an earlier request."""
        return self.idle_until_s > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = transport
        # Has ``resume_writing`` called as soon as all is written.
        transport.set_write_buffer_limits(high=0)
        tune_socket(transport, BACKEND_SOCKET_TIMEOUTS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an incomplete response to the sink as cut off."""
        self._on_closed(self)
        self.is_lost = self._sink is not None
        self._fail(BackendError(Code.stream_cut, str(exc or '')))

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the connection close.

        While the request is still being written, a reset looks like a regular
        end of file. The writing half stays open then, and the response is
        complete only if the rest of the request can be written.
        """
        if not self._ends_at_close or self._is_skipping:
            return False
        if self._transport.get_write_buffer_size():
            self._is_ending = True
            return True
        self._end_at_close()
        return False

    def resume_writing(self) -> None:
        """Complete a response that ended before its request was written."""
        if self._is_ending:
            self._end_at_close()
            self._transport.close()

    def pause_writing(self) -> None:
        """Do nothing: a request is written whole."""

    def data_received(self, piece: bytes) -> None:
        """Parse received data; close the connection on unsolicited data.

        A server in trouble may send bytes without end that belong to no
        response; the connection is closed after ``MAX_UNUSED_BYTES`` of them.
        """
        if self._sink is None:
            self._transport.abort()
            return
        self._has_used_bytes = False
        try:
            self._parser.feed_data(piece)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._pass_body()
            # Errors of callbacks are wrapped by the parser.
            self._fail_and_close(str(error.__context__ or error))
            return
        self._pass_body()
        self._unused_bytes = (
            0 if self._has_used_bytes else self._unused_bytes + len(piece)
        )
        if self._unused_bytes > MAX_UNUSED_BYTES:
            self._fail_and_close('too many bytes that belong to no response')
            return
        self._release()

    def send(self, request: bytes, sink: AnswerSink) -> None:
        """Send a request and pass its response to the sink.

        A connection that has been closed meanwhile fails with
        :exc:`ConnectError`, which tells the sink that nothing was sent.
        """
        if not self.is_open:
            sink.receive_failure(ConnectError(Code.backend_unreachable))
            return
        self._sink = sink
        self._is_bodiless = request.startswith(HEAD)
        self._is_reusable = False
        self._unused_bytes = 0
        self._transport.write(request)

    def give_back(self) -> None:
        """Return a connection to the pool on which nothing was sent."""
        if self.is_open:
            self._on_idle(self)

    def limit_idle(self, stated_s: float) -> None:
        """Limit how long the connection may be idle before it is reused.

        :param stated_s: how long the server keeps it open, 0 if unknown.
        """
        if stated_s:
            self.idle_s = max(MIN_IDLE_S, stated_s - IDLE_MARGIN_S)

    def cancel(self) -> None:
        """Close the connection at once, so that the backend server stops."""
        self._sink = None
        self._transport.abort()

    def set_reading(self, *, on: bool) -> None:
        """Resume or pause reading, to match the speed of the caller."""
        if not self.is_open:
            return
        if on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Start a response; record one that no request is waiting for."""
        self._headers = []
        self._ends_at_close = False
        if self._sink is None:
            self._has_unsolicited_answer = True

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink; informational (1xx) ones are ignored.

        :raises BackendError: if the status is neither informational nor final.
        """
        status = self._parser.get_status_code()
        if self._sink is None or status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            raise BackendError(Code.backend_error, f'status {status}')
        headers = tuple(self._headers)
        self._ends_at_close = _ends_at_close(status, headers)
        self._is_skipping = not self._sink.receive_head(status, headers)
        if self._is_bodiless and not self._is_skipping:
            # The parser waits for a body, so that the connection is closed.
            self._end()

    def on_body(self, piece: bytes) -> None:
        """Collect a piece of the body unless it is being skipped.

        :raises BackendError: if an informational response has a body.
        """
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            raise BackendError(
                Code.backend_error, f'status {status} with a body'
            )
        if self._sink is not None and not self._is_skipping:
            self._has_used_bytes = True
            self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Complete the response unless it is informational or skipped."""
        if self._parser.get_status_code() in INTERIM_STATUSES:
            return
        self._is_reusable = (
            self._parser.should_keep_alive() and not self._is_bodiless
        )
        self._pass_body()
        if not self._is_skipping:
            self._end()
        self._is_skipping = False

    def _pass_body(self) -> None:
        """Pass the pieces of one read to the sink, in one call.

        A server may send chunks of a byte each.
        """
        pieces, self._pieces = self._pieces, []
        if pieces and self._sink is not None:
            self._sink.receive_body(b''.join(pieces))

    def _end_at_close(self) -> None:
        """Complete the response, unless the connection was reset.

        libuv reports a reset that arrives together with data as a regular end
        of file; the socket still holds the error.
        """
        sock = self._transport.get_extra_info('socket')
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._end()

    def _end(self) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.receive_end()

    def _release(self) -> None:
        """Release the connection for reuse, or close it, after a response."""
        if self._sink is not None:
            return
        if self._has_unsolicited_answer or not self._is_reusable:
            self._transport.abort()
        elif self.is_open:
            # The response may have ended in the read in which it was paused.
            self._transport.resume_reading()
            self._on_idle(self)

    def _fail_and_close(self, cause: str) -> None:
        self._fail(BackendError(Code.backend_error, cause))
        self._transport.abort()

    def _fail(self, error: BackendError) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.receive_failure(error)


def _ends_at_close(status: int, headers: tuple[Header, ...]) -> bool:
    if status in STATUSES_WITHOUT_BODY:
        return False
    return not is_framed(headers)


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Limits of a connection pool.

    :param connect_s: connect timeout.
    :param idle_s: how long an idle connection is kept, unless its server
        announces a shorter time.
    :param max_idle: number of idle connections kept for each server.
    :param local_host: address that connections leave from, empty for any.
    """

    connect_s: float = CONNECT_TIMEOUT_S
    idle_s: float = IDLE_TIMEOUT_S
    max_idle: int = MAX_IDLE_PER_SERVER
    local_host: str = ''


class BackendPool:
    """Pool of idle connections to backend servers, by address."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: PoolPolicy | None = None,
    ) -> None:
        """Create an empty pool.

        :param policy: limits of the pool; ``None`` for the defaults.
        """
        self._loop = loop
        self._policy = policy or PoolPolicy()
        self._idle: dict[str, list[BackendConnection]] = {}

    @property
    def _local_addr(self) -> tuple[str, int] | None:
        local_host = self._policy.local_host
        return (local_host, 0) if local_host else None

    async def connect(self, address: str, *, fresh: bool) -> BackendConnection:
        """Return an idle connection, or open one if there is none.

        :param address: ``host:port`` of the backend server.
        :param fresh: whether to open a new connection in any case.
        :raises ConnectError: if no connection can be opened; nothing was
            sent.
        """
        idle = None if fresh else self.reuse(address)
        if idle is not None:
            return idle
        host, port = address.rsplit(':', 1)
        opening = self._loop.create_connection(
            partial(
                BackendConnection,
                partial(self._add_idle, address),
                partial(self._remove_closed, address),
            ),
            host,
            int(port),
            local_addr=self._local_addr,
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

    def reuse(self, address: str) -> BackendConnection | None:
        """Return an idle connection, ``None`` if there is none."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if (
                connection.is_open
                and connection.idle_until_s > self._loop.time()
            ):
                return connection
            connection.cancel()
        return None

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.cancel()

    def _add_idle(self, address: str, connection: BackendConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self._policy.max_idle:
            connection.cancel()
            return
        idle_s = min(self._policy.idle_s, connection.idle_s)
        connection.idle_until_s = self._loop.time() + idle_s
        idle.append(connection)

    def _remove_closed(
        self, address: str, connection: BackendConnection
    ) -> None:
        idle = self._idle.get(address, [])
        if connection in idle:
            idle.remove(connection)
