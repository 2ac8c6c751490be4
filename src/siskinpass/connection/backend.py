"""Own one connection to a backend server."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

import httptools

from siskinpass.codes import Code
from siskinpass.connection.sockets import tune_socket
from siskinpass.exceptions import BackendError, ConnectError

CONNECT_TIMEOUT_S = 1.0
IDLE_KEPT_S = 8.0
IDLE_KEPT_MOST = 64
STATUS_OK = 200


class AnswerSink(Protocol):
    """Take in the answer of a backend server."""

    def take_head(self, status: int, headers: dict[str, str]) -> None:
        """Take in status and headers, names in lower case."""

    def take_piece(self, piece: bytes) -> None:
        """Take in a piece of the body."""

    def take_end(self) -> None:
        """Take in that the answer is whole."""

    def take_failure(self, error: BackendError) -> None:
        """Take in that the answer broke off."""


class BackendConnection(asyncio.Protocol):
    """Send one request at a time and pass its answer to a sink."""

    def __init__(self, keep: Callable[['BackendConnection'], None]) -> None:
        """Wait for the connection.

        :param keep: takes the connection back after a whole answer.
        """
        self._keep = keep
        self._sink: AnswerSink | None = None
        self._headers: dict[str, str] = {}
        self._parser = httptools.HttpResponseParser(self)
        self.idle_since_s = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take a request."""
        return not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        tune_socket(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the sink that the answer broke off."""
        self._fail(BackendError(Code.stream_cut, str(exc or '')))

    def data_received(self, piece: bytes) -> None:
        """Parse what came."""
        if self._sink is None:
            self._transport.abort()
            return
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            self._fail(BackendError(Code.backend_error, str(error)))
            self._transport.abort()

    def send(self, request: bytes, sink: AnswerSink) -> None:
        """Send a request whose answer goes to a sink."""
        self._sink = sink
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

    def on_header(self, name: bytes, text: bytes) -> None:
        """Note one header."""
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        if self._sink is not None:
            status = self._parser.get_status_code()
            self._sink.take_head(status, self._headers)

    def on_body(self, piece: bytes) -> None:
        """Pass a piece on."""
        if self._sink is not None:
            self._sink.take_piece(piece)

    def on_message_complete(self) -> None:
        """Pass the end on and take the connection back."""
        sink, self._sink = self._sink, None
        keep_alive = self._parser.should_keep_alive()
        self._headers = {}
        if keep_alive:
            self._keep(self)
        else:
            self._transport.close()
        if sink is not None:
            sink.take_end()

    def _fail(self, error: BackendError) -> None:
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.take_failure(error)


class BackendPool:
    """Keep idle connections to backend servers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without connections."""
        self._loop = loop
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
            partial(BackendConnection, partial(self._keep, address)),
            host,
            int(port),
        )
        try:
            _, connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            raise ConnectError(
                Code.backend_unreachable,
                str(error),
            ) from error
        return connection

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.cancel()

    def _pop_idle(self, address: str) -> BackendConnection | None:
        kept = self._idle.get(address, [])
        oldest_s = self._loop.time() - IDLE_KEPT_S
        while kept:
            connection = kept.pop()
            if connection.is_open and connection.idle_since_s > oldest_s:
                return connection
            connection.cancel()
        return None

    def _keep(self, address: str, connection: BackendConnection) -> None:
        kept = self._idle.setdefault(address, [])
        if len(kept) >= IDLE_KEPT_MOST:
            connection.cancel()
            return
        connection.idle_since_s = self._loop.time()
        kept.append(connection)
