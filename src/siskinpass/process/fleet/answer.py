"""Take in one backend server's answer to one request."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.connection.backend import AnswerSink, BackendConnection
from siskinpass.exceptions import BackendError
from siskinpass.platform.headers import decode_answer
from siskinpass.request.events import EventTap
from siskinpass.request.inbound import AnswerHead, Header
from siskinpass.request.resend import Ending
from siskinpass.request.silence import SilenceLimits

# The server closes an idle connection after the time that it states; it is
# not used in the last part of that.
IDLE_MARGIN_S = 1.0
IDLE_LEAST_S = 0.2


class EventWriter(Protocol):
    """Pass events on to the caller as they arrive."""

    def begin(self, head: AnswerHead) -> None:
        """Pass on the head, once for all attempts."""

    def write(self, events: bytes) -> None:
        """Pass on whole events."""


@dataclass(frozen=True, slots=True)
class Ended:
    """Tell how an attempt ended.

    :param ending: none where a stream was passed on to its end.
    :param head: head of the answer, where one came.
    :param body: whole body of an answer that is not a stream.
    :param cause: what went wrong, for the log.
    """

    ending: Ending | None
    head: AnswerHead | None = None
    body: bytes = b''
    cause: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the answer is whole and a success."""
        return self.ending is None


class AnswerTaker(AnswerSink):
    """Check an answer and pass on the events of a stream.

    :param call_id: id that the answer must bear.
    :param tap: follows the events over all attempts; none for an answer that
        is handed out whole.
    :param writer: passes on events.
    """

    def __init__(
        self,
        call_id: str,
        tap: EventTap | None,
        writer: EventWriter,
    ) -> None:
        """Start before anything was sent."""
        self._call_id = call_id
        self._tap = tap
        self._writer = writer
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._streams = False
        self._fault = ''
        self._heard_s = 0.0
        self._has_signs = False
        self._connection: BackendConnection | None = None
        self._loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[Ended] = self._loop.create_future()

    @property
    def has_begun(self) -> bool:
        """Return whether an event of this request was passed on."""
        return self._tap is not None and self._tap.count > 0

    def start(self, connection: BackendConnection, request: bytes) -> None:
        """Send the request."""
        self._connection = connection
        self._heard_s = self._loop.time()
        connection.send(request, self)

    def cancel(self) -> None:
        """Break off; the server stops its work."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()

    async def wait(self, limits: SilenceLimits | None) -> Ended:
        """Wait for the end of the attempt.

        :param limits: bounds of the server's silence, none for no bound.
        """
        while limits and not self.finished.done():
            allowed_s = limits.pause_s if self._has_signs else limits.first_s
            left_s = self._heard_s + allowed_s - self._loop.time()
            if left_s <= 0:
                self._break_off(f'silent for {allowed_s:.1f} s')
            await asyncio.wait((self.finished,), timeout=max(0, left_s))
        return await self.finished

    def set_flow(self, *, on: bool) -> None:
        """Slow down or go on, by the pace of the caller."""
        if self._connection is not None:
            self._connection.set_reading(on=on)

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Check whose answer it is and what it says."""
        head = decode_answer(status, headers)
        if head.call_id and head.call_id != self._call_id:
            return False
        self._head = head
        self._fault = _fault_of(head)
        if self._connection is not None and head.idle_s:
            idle_s = head.idle_s - IDLE_MARGIN_S
            self._connection.idle_s = max(IDLE_LEAST_S, idle_s)
        if self._tap is not None and head.is_success and not self._fault:
            self._streams = True
        return True

    def receive_body(self, piece: bytes) -> None:
        """Collect a body, or pass on the whole events of a stream."""
        self._heard_s = self._loop.time()
        self._has_signs = True
        if self._fault:
            return
        if not self._streams:
            self._body += piece
            return
        try:
            events = self._tap.feed(piece, self._loop.time())
        except BackendError as error:
            self._break_off(str(error))
            return
        if events:
            self._writer.begin(self._head)
            self._writer.write(events)

    def receive_end(self) -> None:
        """End the attempt."""
        self._connection = None
        if self._fault:
            self._end(self._broken(self._fault))
        elif self._streams:
            self._end_stream()
        else:
            self._end_body()

    def receive_failure(self, error: BackendError) -> None:
        """End an attempt that broke off."""
        self._connection = None
        if self._head is not None and self._head.not_run:
            self._end(Ended(Ending.declined, self._head))
        else:
            self._end(self._broken(str(error) or 'closed'))

    def _end_stream(self) -> None:
        if self._tap.is_whole and self._tap.count:
            self._writer.begin(self._head)
            self._end(Ended(None, self._head))
        else:
            self._end(self._broken('the stream ended inside an event'))

    def _end_body(self) -> None:
        body = bytes(self._body)
        if self._head.not_run:
            self._end(Ended(Ending.declined, self._head, body))
        elif self._head.is_success:
            self._end(Ended(None, self._head, body))
        else:
            self._end(Ended(Ending.failed, self._head, body))

    def _break_off(self, cause: str) -> None:
        self.cancel()
        self._end(self._broken(cause))

    def _broken(self, cause: str) -> Ended:
        if self._tap is not None:
            self._tap.drop_partial()
        ending = Ending.cut if self.has_begun else Ending.lost
        return Ended(ending, self._head, cause=cause)

    def _end(self, ended: Ended) -> None:
        if not self.finished.done():
            self.finished.set_result(ended)


def _fault_of(head: AnswerHead) -> str:
    """Return why an answer cannot be the server's own, empty where it can."""
    if head.not_run:
        return ''
    if not head.call_id:
        return 'the answer names no request'
    if head.is_encoded:
        return 'the body is encoded'
    if head.is_success and not head.receipt:
        return f'{Code.backend_error.name}: no receipt'
    return ''
