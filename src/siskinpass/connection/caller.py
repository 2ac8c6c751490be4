"""Server connection of a caller whose request heads a thread pool parses."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.connection.parsing import MAX_HEADER_BYTES, ParseResult
from siskinpass.connection.sockets import tune_socket
from siskinpass.connection.timer import Timer
from siskinpass.exceptions import RequestError
from siskinpass.request.answer import error_answer
from siskinpass.request.head import BodyNeeded, PageAnswer, RequestHead

HEAD_END = b'\r\n\r\n'
HEAD_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 4_194_304
MAX_PIPELINED_BYTES = 65_536  # received behind the request in progress
WRITE_HIGH_WATER_BYTES = 262_144
LAST_CHUNK = b'0\r\n\r\n'

Parse = Callable[[bytes, str, Callable[[ParseResult], None]], None]


class WritableCallback(Protocol):
    """Callback for the flow control of a response."""

    def __call__(self, *, on: bool) -> None:
        """Resume or pause writing.

        :param on: whether the caller's connection accepts more data.
        """


Serve = Callable[['CallerConnection', RequestHead], None]


class CallerConnection(asyncio.Protocol):
    """Reads requests and writes responses, one at a time.

    :param parse: queues one head to be parsed by a request thread.
    :param serve: starts to relay a parsed request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parse: Parse,
        serve: Serve,
    ) -> None:
        self._loop = loop
        self._parse = parse
        self._serve = serve
        self._buffer = bytearray()
        self._is_busy = False
        self._body_length = 0
        self._body: asyncio.Future[bytes] | None = None
        self._timer = Timer(loop, self._expire)
        self._is_reading = True
        self._eof_seen = False
        self.on_lost: Callable[[], None] | None = None
        self.on_writable: WritableCallback | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a response can still be sent to the caller."""
        return not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and start the idle timeout."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        tune_socket(transport)
        self._timer.start(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending body read; notify the current handler."""
        self._timer.clear()
        if self._body is not None and not self._body.done():
            self._body.set_exception(RequestError(Code.body_cut_short))
        if self.on_lost is not None:
            self.on_lost()

    def eof_received(self) -> bool:
        """Reject a request that is incomplete at the end of the input.

        A complete request is still answered: the caller may have closed only
        its sending side.
        """
        self._eof_seen = True
        if self._body is not None and not self._body.done():
            self._body.set_exception(RequestError(Code.body_cut_short))
            return True
        if self._buffer and not self._is_busy:
            self.write(error_answer(Code.body_cut_short))
        return self._is_busy

    def data_received(self, piece: bytes) -> None:
        """Buffer received data and check for a complete head or body."""
        if not self._buffer and not self._is_busy:
            self._timer.start(HEAD_TIMEOUT_S)
        self._buffer += piece
        if self._body is not None:
            self._check_for_body()
        elif not self._is_busy:
            self._check_for_head()
        elif len(self._buffer) > MAX_PIPELINED_BYTES and self.is_open:
            self._is_reading = False
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Ask the current handler to pause; the write buffer is full."""
        if self.on_writable is not None:
            self.on_writable(on=False)

    def resume_writing(self) -> None:
        """Ask the current handler to resume writing."""
        if self.on_writable is not None:
            self.on_writable(on=True)

    def read_body(self, length: int) -> asyncio.Future[bytes]:
        """Return a future of the request body.

        The future fails with :exc:`RequestError` if the body is too large,
        is cut short or does not arrive in time.

        :param length: length of the body in bytes.
        """
        self._body = self._loop.create_future()
        self._body_length = length
        if length > MAX_BODY_BYTES:
            self._body.set_exception(RequestError(Code.body_too_large))
        else:
            self._timer.start(BODY_TIMEOUT_S)
            self._check_for_body()
        return self._body

    def write(self, wire: bytes) -> None:
        """Send data as is."""
        # uvloop raises an error for a write to a closed transport.
        if self.is_open:
            self._transport.write(wire)

    def write_chunk(self, piece: bytes) -> None:
        """Send one chunk of a chunked response."""
        self.write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def finish(self, *, keep_alive: bool) -> None:
        """Finish a response, then close or start the next request."""
        self.on_lost = None
        self.on_writable = None
        self._body = None
        if not keep_alive or not self.is_open:
            self._transport.close()
            return
        self._is_busy = False
        self._timer.start(IDLE_TIMEOUT_S)
        if not self._is_reading:
            self._is_reading = True
            self._transport.resume_reading()
        if self._buffer:
            self._check_for_head()

    def close(self) -> None:
        """Close after all buffered data was sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once, discarding data that was not sent yet."""
        self._transport.abort()

    def abort_after_write(self) -> None:
        """Close after buffered data was sent, without the last chunk.

        Without the last chunk the caller cannot take the response for a
        complete one.
        """
        self.on_lost = None
        self.on_writable = None
        self._transport.close()

    def _check_for_head(self) -> None:
        end = self._buffer.find(HEAD_END)
        if end >= 0:
            self._start(end + len(HEAD_END))
        elif len(self._buffer) > MAX_HEADER_BYTES:
            self._refuse(Code.header_too_large)

    def _start(self, head_length: int) -> None:
        self._is_busy = True
        self._timer.clear()
        self._submit_to_parser(self._consume(head_length))

    def _consume(self, length: int) -> bytes:
        consumed = bytes(self._buffer[:length])
        self._buffer = self._buffer[length:]
        return consumed

    def _submit_to_parser(self, received: bytes) -> None:
        remote = self._transport.get_extra_info('peername')
        # The result is delivered from a request thread.
        reply = partial(
            self._loop.call_soon_threadsafe,
            self._handle_parsed,
            received,
        )
        self._parse(received, remote[0] if remote else '', reply)

    def _handle_parsed(self, head: bytes, parsed: ParseResult) -> None:
        if not self.is_open:
            return
        if isinstance(parsed, RequestHead):
            self._serve(self, parsed)
        elif isinstance(parsed, BodyNeeded):
            body = self.read_body(parsed.length)
            body.add_done_callback(
                lambda done: self._handle_page_body(head, done),
            )
        else:
            self._answer_page(parsed)

    def _handle_page_body(
        self,
        head: bytes,
        done: asyncio.Future[bytes],
    ) -> None:
        self._body = None
        error = done.exception()
        if error is None:
            self._submit_to_parser(head + done.result())
        elif isinstance(error, RequestError):
            self._refuse(error.code)

    def _answer_page(self, page: PageAnswer) -> None:
        self.write(page.wire)
        self.finish(keep_alive=page.keep_alive)

    def _check_for_body(self) -> None:
        if self._body.done():
            return
        if len(self._buffer) < self._body_length:
            if self._eof_seen:
                self._body.set_exception(RequestError(Code.body_cut_short))
            return
        self._timer.clear()
        self._body.set_result(self._consume(self._body_length))

    def _refuse(self, code: Code) -> None:
        self.write(error_answer(code))
        self._transport.close()

    def _expire(self) -> None:
        if self._body is not None and not self._body.done():
            self._body.set_exception(RequestError(Code.slow_sender))
        elif self._buffer and not self._is_busy:
            self._refuse(Code.slow_sender)
        elif not self._is_busy:
            self._transport.close()
