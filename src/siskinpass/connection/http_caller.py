"""HTTP/1.1 server connection of a caller."""

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
LATE_ARRIVAL_S = 0.3  # within which a request may cross with a close
WRITE_TIMEOUT_S = 30.0  # as long as the longest timeout of a route
LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CLOSE_HEADER = (b'Connection', b'close')
RETRY_AT_ONCE = ((b'Retry-After', b'0'),)  # at another instance


class WritableCallback(Protocol):
    """Callback for the flow control of a response."""

    def __call__(self, *, on: bool) -> None:
        """Resume or pause writing.

        :param on: whether the caller's connection accepts more data.
        """


Serve = Callable[['HttpCaller', WireRequest], None]


class RequestCollector:
    """Builds complete requests from the callbacks of httptools."""

    def __init__(self, send_continue: Callable[[], None]) -> None:
        """Create a collector without requests.

        :param send_continue: sends an interim 100 response to a caller that
            waits for one before it sends the body.
        """
        self._send_continue = send_continue
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[Header] = []
        self._target = bytearray()
        self.complete: deque[WireRequest] = deque()
        self.body = bytearray()
        self.in_head = False
        self.received_bytes = 0

    @property
    def has_any(self) -> bool:
        """Return whether any part of a request was received."""
        return bool(self.complete or self.received_bytes)

    def feed(self, piece: bytes) -> Code | None:
        """Parse received bytes.

        :returns: the code of a syntax error, ``None`` if there is none.
        """
        self.received_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return Code.malformed_head
        return None

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._headers = []
        self._target = bytearray()
        self.body = bytearray()
        self.in_head = True

    def on_url(self, piece: bytes) -> None:
        """Append a piece of the request target."""
        self._target += piece

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header."""
        self._headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Finish the head; answer ``Expect: 100-continue``."""
        self.in_head = False
        if any(
            name.lower() == b'expect' and text.lower() == b'100-continue'
            for name, text in self._headers
        ):
            self._send_continue()

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Queue the complete request until earlier ones are answered."""
        self.received_bytes = 0
        self.complete.append(
            WireRequest(
                self._parser.get_method(),
                bytes(self._target),
                tuple(self._headers),
                bytes(self.body),
                keep_alive=self._parser.should_keep_alive(),
            ),
        )
        self.body = bytearray()


class HttpCaller(asyncio.Protocol):
    """Reads complete requests and writes responses, one at a time.

    :param limits: returns the current limits on what callers may send.
    :param serve: starts to answer a complete request.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        serve: Serve,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._limits = limits
        self._serve = serve
        self._collector = RequestCollector(self._send_continue)
        self._timer = Timer(loop, self._expire)
        self._fault: Code | None = None
        self._method = b''
        self._keep_alive = True
        self._is_lost = False
        # Set once the connection is accepted, which the listener knows before.
        self._transport: asyncio.Transport | None = None
        self.is_busy = False
        self.is_leaving = False
        self.arrived_s = 0.0
        self.on_lost: Callable[[], None] | None = None
        self.on_writable: WritableCallback | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a response can still be sent to the caller."""
        return not self._transport.is_closing()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or was received."""
        return not (self.is_busy or self._collector.has_any)

    @property
    def is_lost(self) -> bool:
        """Return whether the connection is closed, with all data sent."""
        return self._is_lost

    @property
    def is_settled(self) -> bool:
        """Return whether no request and no answer is on its way."""
        if self._is_lost or self._transport is None:
            return True
        return self.is_idle and not self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and start the idle timeout."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        tune_socket(transport)
        self._timer.start(self._limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the current handler that the caller disconnected."""
        self._is_lost = True
        self._timer.clear()
        if self.on_lost is not None:
            self.on_lost()

    def eof_received(self) -> bool:
        """Close the connection; a half-close counts as a disconnect."""
        return False

    def data_received(self, piece: bytes) -> None:
        """Parse received bytes and start the next request, if complete."""
        if not self.is_busy and not self._collector.received_bytes:
            self._timer.start(self._limits().head_timeout_s)
        self._fault = self._collector.feed(piece) or self._fault
        self._check_bounds()
        if len(self._collector.complete) > MAX_PIPELINED and self.is_open:
            self._transport.pause_reading()
        if not self.is_busy:
            self._start_next()

    def pause_writing(self) -> None:
        """Ask the current handler to pause; the write buffer is full."""
        self._timer.start(WRITE_TIMEOUT_S)
        if self.on_writable is not None:
            self.on_writable(on=False)

    def resume_writing(self) -> None:
        """Ask the current handler to resume writing."""
        self._timer.clear()
        if self.on_writable is not None:
            self.on_writable(on=True)

    def answer(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
        body: bytes = b'',
    ) -> None:
        """Send a complete response."""
        keep_alive = self._should_keep_alive()
        sent_headers = (*headers, (b'Content-Length', b'%d' % len(body)))
        if not keep_alive:
            sent_headers = (*sent_headers, CLOSE_HEADER)
        sent_body = b'' if self._method == b'HEAD' else body
        self._write(encode_head(status, sent_headers) + sent_body)
        self._finish(keep_alive=keep_alive)

    def start_stream(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a chunked response."""
        sent_headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        if not self._should_keep_alive():
            sent_headers = (*sent_headers, CLOSE_HEADER)
            self._keep_alive = False
        self._write(encode_head(status, sent_headers))

    def write_piece(self, piece: bytes) -> None:
        """Send one chunk of a chunked response."""
        self._write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def end_stream(self) -> None:
        """Send the last chunk and finish the response as complete."""
        self._write(LAST_CHUNK)
        self._finish(keep_alive=self._keep_alive)

    def truncate_stream(self) -> None:
        """Close without the last chunk, so that the caller sees a cut stream.

        Without the last chunk the caller cannot take the response for a
        complete one.
        """
        self._finish(keep_alive=False)

    def leave(self) -> None:
        """Close now if idle, otherwise after the response in progress."""
        self.is_leaving = True
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def refuse_incomplete(self) -> None:
        """Refuse a request that has not arrived whole."""
        if not self.is_busy and self._collector.received_bytes:
            self._refuse(Code.instance_leaving)

    def abort(self) -> None:
        """Close at once, discarding data that was not sent yet."""
        self._transport.abort()

    def _write(self, wire: bytes) -> None:
        """Send data, unless the caller has disconnected.

        uvloop raises an error for a write to a closed transport.
        """
        if self.is_open:
            self._transport.write(wire)

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
            self._keep_alive = request.keep_alive
            self.arrived_s = asyncio.get_running_loop().time()
            self._serve(self, request)
        elif self._fault is not None:
            self._refuse(self._fault)

    def _refuse(self, code: Code) -> None:
        self.is_busy = True
        self._keep_alive = False
        meaning = MEANINGS[code]
        headers = RETRY_AT_ONCE if code is Code.instance_leaving else ()
        self.answer(meaning.status, headers, meaning.text.encode())

    def _send_continue(self) -> None:
        if not self.is_busy:
            self._transport.write(CONTINUE)

    def _should_keep_alive(self) -> bool:
        """Return whether to go on; a leaving instance answers what it read."""
        is_last = self.is_leaving and not self._collector.has_any
        return self._keep_alive and not is_last

    def _finish(self, *, keep_alive: bool) -> None:
        self.on_lost = None
        self.on_writable = None
        self.is_busy = False
        if not keep_alive or not self.is_open:
            self._transport.close()
            return
        idle_s = self._limits().idle_timeout_s
        if self.is_leaving and not self._collector.has_any:
            # The answer has announced no close: a request may cross with it.
            idle_s = LATE_ARRIVAL_S
        self._timer.start(idle_s)
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
    """Return the status line and headers of a response."""
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = 'Status'
    lines = [f'HTTP/1.1 {status} {reason}'.encode()]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'\r\n'.join((*lines, b'', b''))
