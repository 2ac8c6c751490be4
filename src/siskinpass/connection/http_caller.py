"""Own one HTTP connection of a caller."""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import httptools

from siskinpass.codes import MEANINGS, Code
from siskinpass.connection.sockets import tune_socket
from siskinpass.connection.timer import Timer
from siskinpass.request.inbound import Header, WireRequest
from siskinpass.version.routes import CallerLimits

MAX_PIPELINED = 16  # requests that wait behind the one in progress
WRITE_HIGH_WATER_BYTES = 262_144
WRITE_TIMEOUT_S = 30.0  # as long as the longest route keeps a caller waiting
LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CLOSE_HEADER = (b'Connection', b'close')


class WritableCallback(Protocol):
    """Take in that the caller reads again, or does not."""

    def __call__(self, *, on: bool) -> None:
        """Slow down, or go on."""


Serve = Callable[['HttpCaller', WireRequest], None]


class RequestCollector:
    """Collect the requests that httptools parses."""

    def __init__(self, send_continue: Callable[[], None]) -> None:
        """Start without a request.

        :param ask_continue: lets a caller send the body that it holds back.
        """
        self._send_continue = send_continue
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[Header] = []
        self._target = bytearray()
        self.complete: deque[WireRequest] = deque()
        self.body = bytearray()
        self.in_head = False
        self.received_bytes = 0

    def feed(self, piece: bytes) -> Code | None:
        """Take in bytes and return what is wrong with them, if anything."""
        self.received_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return Code.malformed_head
        return None

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        self._headers = []
        self._target = bytearray()
        self.body = bytearray()
        self.in_head = True

    def on_url(self, piece: bytes) -> None:
        """Collect the target."""
        self._target += piece

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect one header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Go on with the body."""
        self.in_head = False
        if any(
            name.lower() == b'expect' and text.lower() == b'100-continue'
            for name, text in self._headers
        ):
            self._send_continue()

    def on_body(self, piece: bytes) -> None:
        """Collect the body."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Keep a whole request until those before it are answered."""
        self.received_bytes = 0
        self.complete.append(
            WireRequest(
                self._parser.get_method(),
                bytes(self._target),
                tuple(self._headers),
                bytes(self.body),
                keeps_open=self._parser.should_keep_alive(),
            ),
        )
        self.body = bytearray()


class HttpCaller(asyncio.Protocol):
    """Read whole requests and write answers, one after the other.

    :param limits: returns the bounds in force for what callers send.
    :param serve: starts to answer a whole request.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        serve: Serve,
    ) -> None:
        """Wait for the connection."""
        loop = asyncio.get_running_loop()
        self._limits = limits
        self._serve = serve
        self._collector = RequestCollector(self._send_continue)
        self._timer = Timer(loop, self._expire)
        self._fault: Code | None = None
        self._method = b''
        self._keep_alive = True
        self.is_busy = False
        self.is_leaving = False
        self.arrived_s = 0.0
        self.on_lost: Callable[[], None] | None = None
        self.on_writable: WritableCallback | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the caller can still be answered."""
        return not self._transport.is_closing()

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived."""
        return not (self.is_busy or self._collector.received_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a head."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        tune_socket(transport)
        self._timer.start(self._limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever answers that the caller went away."""
        self._timer.clear()
        if self.on_lost is not None:
            self.on_lost()

    def eof_received(self) -> bool:
        """Take the end of what the caller sends for its leaving."""
        return False

    def data_received(self, piece: bytes) -> None:
        """Take in bytes."""
        if not self.is_busy and not self._collector.received_bytes:
            self._timer.start(self._limits().head_timeout_s)
        self._fault = self._collector.feed(piece) or self._fault
        self._check_bounds()
        if len(self._collector.complete) > MAX_PIPELINED:
            self._transport.pause_reading()
        if not self.is_busy:
            self._start_next()

    def pause_writing(self) -> None:
        """Slow down whoever answers."""
        self._timer.start(WRITE_TIMEOUT_S)
        if self.on_writable is not None:
            self.on_writable(on=False)

    def resume_writing(self) -> None:
        """Let whoever answers go on."""
        self._timer.clear()
        if self.on_writable is not None:
            self.on_writable(on=True)

    def answer(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
        body: bytes = b'',
    ) -> None:
        """Send a whole answer."""
        keep_alive = self._should_keep_alive()
        sent_headers = (*headers, (b'Content-Length', b'%d' % len(body)))
        if not keep_alive:
            sent_headers = (*sent_headers, CLOSE_HEADER)
        sent_body = b'' if self._method == b'HEAD' else body
        self._transport.write(encode_head(status, sent_headers) + sent_body)
        self._finish(keep_alive=keep_alive)

    def start_stream(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of an answer whose pieces follow."""
        sent_headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        if not self._should_keep_alive():
            sent_headers = (*sent_headers, CLOSE_HEADER)
            self._keep_alive = False
        self._transport.write(encode_head(status, sent_headers))

    def write_piece(self, piece: bytes) -> None:
        """Send a piece of a stream."""
        self._transport.write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def end_stream(self) -> None:
        """End a stream as complete."""
        self._transport.write(LAST_CHUNK)
        self._finish(keep_alive=self._should_keep_alive())

    def truncate_stream(self) -> None:
        """Close without the end mark, so that a cut is seen as cut."""
        self._finish(keep_alive=False)

    def leave(self) -> None:
        """Close now if idle, else after the answer that is under way."""
        self.is_leaving = True
        if self.is_idle:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def _check_bounds(self) -> None:
        limits = self._limits()
        if len(self._collector.body) > limits.body_bytes:
            self._fault = Code.body_too_large
        elif (
            self._collector.in_head
            and self._collector.received_bytes > limits.head_bytes
        ):
            self._fault = Code.header_too_large

    def _start_next(self) -> None:
        if self._collector.complete:
            self._timer.clear()
            self.is_busy = True
            request = self._collector.complete.popleft()
            self._method = request.method
            self._keep_alive = request.keeps_open
            self.arrived_s = asyncio.get_running_loop().time()
            self._serve(self, request)
        elif self._fault is not None:
            self._refuse(self._fault)

    def _refuse(self, code: Code) -> None:
        self.is_busy = True
        self._keep_alive = False
        meaning = MEANINGS[code]
        self.answer(meaning.status, (), meaning.text.encode())

    def _send_continue(self) -> None:
        if not self.is_busy:
            self._transport.write(CONTINUE)

    def _should_keep_alive(self) -> bool:
        return self._keep_alive and not self.is_leaving

    def _finish(self, *, keep_alive: bool) -> None:
        self.on_lost = None
        self.on_writable = None
        self.is_busy = False
        if not keep_alive or not self.is_open:
            self._transport.close()
            return
        self._timer.start(self._limits().idle_timeout_s)
        if self._collector.complete or self._fault is not None:
            self._transport.resume_reading()
            asyncio.get_running_loop().call_soon(self._start_waiting)

    def _start_waiting(self) -> None:
        if self.is_open and not self.is_busy:
            self._start_next()

    def _expire(self) -> None:
        if self.is_busy:
            self._transport.abort()
        elif self._collector.received_bytes:
            self._refuse(Code.slow_sender)
        else:
            self._transport.close()


def encode_head(status: int, headers: tuple[Header, ...]) -> bytes:
    """Return the head of an answer."""
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = 'Status'
    lines = [f'HTTP/1.1 {status} {reason}'.encode()]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'\r\n'.join((*lines, b'', b''))
