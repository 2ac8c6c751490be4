"""HTTP/1.1 server connection of a caller."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from http import HTTPStatus
from types import MappingProxyType

from siskinpass.codes import MEANINGS, Code
from siskinpass.connection.held_bytes import HeldBytes
from siskinpass.connection.held_connection import HeldConnection
from siskinpass.connection.holdings import SMALL_BYTES, Stage
from siskinpass.connection.request_reader import RequestCollector, request_cost
from siskinpass.connection.timer import Timer
from siskinpass.request.inbound import Header, WireRequest
from siskinpass.request.kept_body import Piece
from siskinpass.version.routes import CallerLimits

# Received behind the request in progress; more is left to the sender's side.
MAX_PIPELINED_BYTES = 65_536
# For which a refused caller may still send before the connection is reset, as
# a reset may overtake the refusal.
LINGER_S = 0.5
LATE_ARRIVAL_S = 0.3  # within which a request may cross with a close
LAST_CHUNK = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CLOSE_HEADER = (b'Connection', b'close')
RETRY_AT_ONCE = ((b'Retry-After', b'0'),)  # at another instance
RETRY_LATER = ((b'Retry-After', b'1'),)
RETRIES = MappingProxyType({
    Code.instance_leaving: RETRY_AT_ONCE,
    Code.memory_full: RETRY_LATER,
    Code.too_many_connections: RETRY_LATER,
})

Serve = Callable[['HttpCaller', WireRequest], None]


class HttpCaller(HeldConnection):
    """Reads complete requests and writes responses, one at a time.

    :param limits: returns the current limits on what callers may send.
    :param serve: starts to answer a complete request.
    :param held: account of what all callers' connections hold.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        serve: Serve,
        held: HeldBytes | None = None,
    ) -> None:
        super().__init__(held)
        self._limits = partial(_fitting_limits, limits, self._held)
        self._serve = serve
        self._collector = RequestCollector(
            partial(self.write, CONTINUE), self._limits
        )
        self._timer = Timer(asyncio.get_running_loop(), self._expire)
        # Whether the timer runs for a request that has arrived in part, and
        # since when bytes wait that are not parsed.
        self._is_timing = False
        self._waits_since_s: float | None = None
        self._is_refused = False
        self._request_bytes = 0
        self._answer_bytes = 0
        self._method = b''
        self._keep_alive = True
        self.is_busy = False
        self.is_leaving = False
        self.arrived_s = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether a response can still be sent to the caller."""
        return not (self._is_refused or self._transport.is_closing())

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or was received."""
        return not (self.is_busy or self._collector.has_any)

    @property
    def is_settled(self) -> bool:
        """Return whether no request and no answer is on its way."""
        if self._is_lost or self._transport is None:
            return True
        return self.is_idle and not self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        super().connection_made(transport)
        self._timer.start(self._limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was received."""
        self._timer.clear()
        self._collector.clear()
        super().connection_lost(exc)

    def eof_received(self) -> bool:
        """Close the connection; a half-close counts as a disconnect."""
        self._start_write_timer()
        return False

    def data_received(self, piece: bytes) -> None:
        """Keep received bytes and start the next request, if complete."""
        if not self.is_open:
            return
        if self._waits_since_s is None:
            self._waits_since_s = _now_s()
        self._collector.add(piece)
        self._go_on()
        self._update()

    def resume_writing(self) -> None:
        """Go on with the request in progress, or with the next one."""
        super().resume_writing()
        asyncio.get_running_loop().call_soon(self._go_on)

    def hold(self, *, on: bool) -> None:
        """Take in no more data, or go on; see ``Holder``."""
        if not on and self._is_timing:
            # The time for which nothing was read is not the caller's.
            self._timer.start(self._limits().head_timeout_s)
        super().hold(on=on)

    def give_up(self, code: Code) -> None:
        """Refuse the request that arrives, or close; see ``Holder``."""
        if self._unread_bytes > SMALL_BYTES:
            self.abort()
        elif self.is_open and self._collector.has_any and not self.is_busy:
            self._refuse(code)
        elif code is Code.too_many_connections:
            self._give_place()
        else:
            # What was unread has been read since it was booked.
            self._update()

    def hold_answer(self, held_bytes: int) -> None:
        """State how much of an answer is kept until its end."""
        self._answer_bytes = held_bytes
        self._update()

    def answer(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
        body: bytes | tuple[Piece, ...] = b'',
        *,
        is_last: bool = False,
    ) -> None:
        """Send a complete response.

        :param body: the body, or the pieces of it.
        :param is_last: whether to close the connection after it.
        """
        keep_alive = self._should_keep_alive() and not is_last
        pieces = (body,) if isinstance(body, bytes) else body
        length = sum(len(piece) for piece in pieces)
        is_head = self._method == b'HEAD'
        sent_headers = headers
        if not is_head:
            # The length that a GET would be answered with is not known.
            sent_headers = (*headers, (b'Content-Length', b'%d' % length))
        if not keep_alive:
            sent_headers = (*sent_headers, CLOSE_HEADER)
        self.write(encode_head(status, sent_headers))
        for piece in () if is_head else pieces:
            self.write(piece)
        self._finish(keep_alive=keep_alive)

    def start_stream(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of a chunked response."""
        sent_headers = (*headers, (b'Transfer-Encoding', b'chunked'))
        if not self._should_keep_alive():
            sent_headers = (*sent_headers, CLOSE_HEADER)
            self._keep_alive = False
        self.write(encode_head(status, sent_headers))

    def write_piece(self, piece: bytes) -> None:
        """Send one chunk of a chunked response."""
        self.write(b'%x\r\n%b\r\n' % (len(piece), piece))

    def end_stream(self) -> None:
        """Send the last chunk and finish the response as complete."""
        self.write(LAST_CHUNK)
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
        if not self.is_busy and self._collector.has_any and self.is_open:
            self._refuse(Code.instance_leaving)

    def _go_on(self) -> None:
        """Parse what was received and start the next request.

        Not while one is in progress or its answer is unread: each answer takes
        memory until it is read.
        """
        if self.is_busy or self._is_unread or not self.is_open:
            return
        self._collector.parse()
        if self._collector.complete:
            self._start(self._collector.take())
        elif self._collector.fault is not None:
            self._refuse(self._collector.fault)
        elif self._collector.has_any:
            self._time_arrival()
        self._waits_since_s = (
            _now_s() if self._collector.waiting_bytes else None
        )
        self._update()

    def _time_arrival(self) -> None:
        """Start the time for a request, which counts from its first byte."""
        if self._is_timing:
            return
        now_s = _now_s()
        waited_s = now_s - (self._waits_since_s or now_s)
        if not self._is_reading:
            # The time for which nothing was read is not the caller's.
            waited_s = 0
        self._is_timing = True
        self._timer.start(max(0, self._limits().head_timeout_s - waited_s))

    def _start(self, request: WireRequest) -> None:
        self._timer.clear()
        self._is_timing = False
        self._method = request.method
        # The body is held once more while it is sent to a server.
        self._request_bytes = request_cost(request) + len(request.body)
        held_bytes = self._request_bytes + self._collector.held_bytes
        if not self._held.may_start(self, held_bytes):
            self._refuse(Code.memory_full)
            return
        self.is_busy = True
        self._has_served = True
        self._keep_alive = request.keep_alive
        self.arrived_s = _now_s()
        self._update()
        self._serve(self, request)

    def _refuse(self, code: Code) -> None:
        """Answer with a refusal, drop what is still sent, and close."""
        meaning = MEANINGS[code]
        headers = (*RETRIES.get(code, ()), CLOSE_HEADER)
        body = meaning.text.encode()
        length = (b'Content-Length', b'%d' % len(body))
        self.write(encode_head(meaning.status, (*headers, length)))
        self.write(body)
        self._collector.clear()
        self._request_bytes = 0
        if not self.is_open or code is Code.too_many_connections:
            # A connection that others need the place of is not kept open.
            self._close_when_sent()
            return
        self._is_refused = True
        self._transport.write_eof()
        self._timer.start(LINGER_S)
        self._update()

    def _should_keep_alive(self) -> bool:
        """Return whether to go on; a leaving instance answers what it read."""
        is_last = self.is_leaving and not self._collector.has_any
        return self._keep_alive and not is_last

    def _finish(self, *, keep_alive: bool) -> None:
        self.on_lost = None
        self.on_writable = None
        self.is_busy = False
        self._request_bytes = 0
        self._answer_bytes = 0
        if not keep_alive or not self.is_open:
            self._close_when_sent()
            return
        idle_s = self._limits().idle_timeout_s
        if self.is_leaving and not self._collector.has_any:
            # The answer has announced no close: a request may cross with it.
            idle_s = LATE_ARRIVAL_S
        self._timer.start(idle_s)
        self._update()
        if self._collector.has_any or self._collector.fault is not None:
            asyncio.get_running_loop().call_soon(self._go_on)

    def _activity(self) -> Stage:
        if self._is_refused:
            return Stage.leaving
        if self._answer_bytes:
            return Stage.collecting
        if self.is_busy:
            return Stage.running
        if self._collector.has_any:
            return Stage.arriving
        return Stage.idle if self._has_served else Stage.unused

    def _kept_bytes(self) -> int:
        received = self._collector.held_bytes
        return received + self._request_bytes + self._answer_bytes

    def _wants_data(self) -> bool:
        return self._collector.waiting_bytes <= MAX_PIPELINED_BYTES

    def _expire(self) -> None:
        if self._is_refused:
            self._transport.abort()
        elif self._is_timing:
            self._refuse(
                Code.memory_full if self._is_on_hold else Code.slow_sender
            )
        elif not self.is_busy:
            self._transport.close()


def _fitting_limits(
    limits: Callable[[], CallerLimits], held: HeldBytes
) -> CallerLimits:
    """Return the limits; a body has to fit into the memory."""
    given = limits()
    largest = held.limits.max_body_bytes
    if given.body_bytes > largest:
        return replace(given, body_bytes=largest)
    return given


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def encode_head(status: int, headers: tuple[Header, ...]) -> bytes:
    """Return the status line and headers of a response."""
    try:
        reason = HTTPStatus(status).phrase
    except ValueError:
        reason = 'Status'
    lines = [f'HTTP/1.1 {status} {reason}'.encode()]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'\r\n'.join((*lines, b'', b''))
