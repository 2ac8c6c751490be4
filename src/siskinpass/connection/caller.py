"""Server connection of a caller whose request heads a thread pool parses."""

import asyncio
from collections.abc import Callable
from functools import partial

from siskinpass.codes import Code
from siskinpass.connection.byte_queue import ByteQueue
from siskinpass.connection.held_bytes import HeldBytes
from siskinpass.connection.held_connection import HeldConnection
from siskinpass.connection.holdings import SMALL_BYTES, Stage
from siskinpass.connection.parsing import MAX_HEADER_BYTES, ParseResult
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
RETRY_AFTER_MS = 1000
# A page's body is copied for its request thread, which reads it into another
# copy; a relayed one is held once more while it is sent to a server.
BODY_COPIES = 3
LAST_CHUNK = b'0\r\n\r\n'

Parse = Callable[[bytes, str, Callable[[ParseResult], None]], None]


Serve = Callable[['CallerConnection', RequestHead], None]


class CallerConnection(HeldConnection):
    """Reads requests and writes responses, one at a time.

    :param parse: queues one head to be parsed by a request thread.
    :param serve: starts to relay a parsed request.
    :param held: account of what all callers' connections hold.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parse: Parse,
        serve: Serve,
        held: HeldBytes | None = None,
    ) -> None:
        super().__init__(held)
        self._loop = loop
        self._parse = parse
        self._serve = serve
        self._buffer = ByteQueue()
        self._is_busy = False
        self._body_length = 0
        self._body: asyncio.Future[bytes] | None = None
        self._timer = Timer(loop, self._expire)
        self._searched_bytes = 0  # of the buffer, without the end of a head
        self._request_bytes = 0
        self._eof_seen = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        super().connection_made(transport)
        self._timer.start(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending body read; notify the current handler."""
        self._timer.clear()
        self._buffer.clear()
        if self._awaits_body:
            self._body.set_exception(RequestError(Code.body_cut_short))
        super().connection_lost(exc)

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
        self._buffer.add(piece)
        if self._awaits_body:
            self._check_for_body()
        elif not self._is_busy:
            self._check_for_head()
        self._update()

    def resume_writing(self) -> None:
        """Go on with the request in progress, or with the next one."""
        super().resume_writing()
        if self._buffer and not self._is_busy:
            self._check_for_head()

    def hold(self, *, on: bool) -> None:
        """Take in no more data, or go on; see ``Holder``."""
        if self._awaits_body and not on:
            # The time for which nothing was read is not the caller's.
            self._timer.start(BODY_TIMEOUT_S)
        super().hold(on=on)

    def give_up(self, code: Code) -> None:
        """Refuse the request that arrives, or close; see ``Holder``."""
        if self._unread_bytes > SMALL_BYTES:
            self.abort()
        elif self._awaits_body:
            self._body.set_exception(RequestError(code))
        elif self._buffer and not self._is_busy:
            self._refuse(code)
        elif code is Code.too_many_connections:
            self._give_place()
        else:
            # What was unread has been read since it was booked.
            self._update()

    def read_body(self, length: int) -> asyncio.Future[bytes]:
        """Return a future of the request body.

        The future fails with :exc:`RequestError` if the body is too large,
        is cut short or does not arrive in time.

        :param length: length of the body in bytes.
        """
        self._body = self._loop.create_future()
        self._body_length = length
        code = None
        if length > MAX_BODY_BYTES:
            code = Code.body_too_large
        elif not self._held.may_start(self, BODY_COPIES * length):
            code = Code.memory_full
        if code is None:
            self._timer.start(BODY_TIMEOUT_S)
            self._check_for_body()
            self._update()
        else:
            self._body.set_exception(RequestError(code))
        return self._body

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
        self._request_bytes = 0
        self._timer.start(HEAD_TIMEOUT_S if self._buffer else IDLE_TIMEOUT_S)
        if self._buffer:
            self._check_for_head()
        self._update()

    def close(self) -> None:
        """Close after all buffered data was sent."""
        self._transport.close()

    def abort_after_write(self) -> None:
        """Close after buffered data was sent, without the last chunk.

        Without the last chunk the caller cannot take the response for a
        complete one.
        """
        self.on_lost = None
        self.on_writable = None
        self._transport.close()

    @property
    def _awaits_body(self) -> bool:
        return self._body is not None and not self._body.done()

    def _activity(self) -> Stage:
        if self._awaits_body or (self._buffer and not self._is_busy):
            return Stage.arriving
        if self._is_busy:
            return Stage.running
        return Stage.idle if self._has_served else Stage.unused

    def _kept_bytes(self) -> int:
        return len(self._buffer) + self._request_bytes

    def _wants_data(self) -> bool:
        return self._awaits_body or len(self._buffer) <= MAX_PIPELINED_BYTES

    def _check_for_head(self) -> None:
        # Each answer takes memory until it is read.
        if self._is_unread:
            return
        overlap = len(HEAD_END) - 1
        end = self._buffer.find(
            HEAD_END, max(0, self._searched_bytes - overlap)
        )
        self._searched_bytes = len(self._buffer)
        if end >= 0:
            self._start(end + len(HEAD_END))
        elif len(self._buffer) > MAX_HEADER_BYTES:
            self._refuse(Code.header_too_large)

    def _start(self, head_length: int) -> None:
        self._is_busy = True
        self._has_served = True
        self._timer.clear()
        self._submit_to_parser(self._consume(head_length))

    def _consume(self, length: int) -> bytes:
        consumed = self._buffer.take(length)
        self._searched_bytes = 0
        self._request_bytes += BODY_COPIES * length
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
        retry_after_ms = RETRY_AFTER_MS if code is Code.memory_full else 0
        self.write(error_answer(code, retry_after_ms=retry_after_ms))
        self._transport.close()

    def _expire(self) -> None:
        if self._awaits_body:
            code = Code.memory_full if self._is_on_hold else Code.slow_sender
            self._body.set_exception(RequestError(code))
        elif self._buffer and not self._is_busy:
            self._refuse(Code.slow_sender)
        elif not self._is_busy:
            self._transport.close()
