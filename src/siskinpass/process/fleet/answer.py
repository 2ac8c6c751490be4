"""Receive and check one backend server's answer to one request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.connection.backend import AnswerSink, BackendConnection
from siskinpass.exceptions import BackendError, ConnectError
from siskinpass.platform.headers import decode_answer
from siskinpass.request.events import EventStreamParser
from siskinpass.request.inbound import AnswerHead, Header, ServerNotice
from siskinpass.request.kept_body import KeptBody, Piece
from siskinpass.request.resend import NOT_RUN_OUTCOMES, AttemptOutcome
from siskinpass.request.timeouts import AttemptTimeouts

STATUS_SERVER_ERROR = 500
# Longest answer that is kept until its end. The platform's own pages are at
# most as large.
MAX_BODY_BYTES = 4_194_304
# A body counts as progressing only by so much at a time, so that a server that
# sends a byte now and then counts as silent.
MIN_PROGRESS_BYTES = 1024


class EventWriter(Protocol):
    """Target that passes stream events to the caller as they arrive."""

    def begin(self, head: AnswerHead) -> None:
        """Send the head to the caller unless an earlier call has sent it."""

    def write(self, events: bytes) -> None:
        """Send complete events to the caller."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt.

    :param ending: how the attempt failed, ``None`` for a complete answer that
        reports success.
    :param head: head of the answer, ``None`` if none was received.
    :param body: pieces of the whole body of an answer that is not a stream.
    :param cause: reason of the failure, for the log.
    :param head_age_s: how long before the failure the head arrived, ``None``
        if none was received.
    :param is_broken_off: whether the server's side ended the answer early.
    :param has_progressed: whether any event or much of the body had arrived.
    """

    ending: AttemptOutcome | None
    head: AnswerHead | None = None
    body: tuple[Piece, ...] = ()
    cause: str = ''
    head_age_s: float | None = None
    is_broken_off: bool = False
    has_progressed: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the answer is complete and reports success."""
        return self.ending is None

    @property
    def is_server_error(self) -> bool:
        """Return whether the server reports an error of its own."""
        return self.head is not None and self.head.status >= STATUS_SERVER_ERROR


class AnswerReceiver(AnswerSink):
    """Sink that checks an answer and forwards the events of a stream.

    :param call_id: request id that the answer must carry.
    :param parser: splits the stream into events and counts them over all
        attempts; ``None`` for an answer that is delivered in one piece.
    :param writer: receives complete events.
    :param on_notice: called with what the server says about itself.
    :ivar on_data: called whenever data of the server arrives, if set.
    :ivar on_kept: called with the memory of what is kept until its end, if set.
    """

    def __init__(
        self,
        call_id: str,
        parser: EventStreamParser | None,
        writer: EventWriter,
        on_notice: Callable[[ServerNotice], None],
    ) -> None:
        self._on_notice = on_notice
        self.on_data: Callable[[], None] | None = None
        self.on_kept: Callable[[int], None] | None = None
        self._call_id = call_id
        self._parser = parser
        self._writer = writer
        self._head: AnswerHead | None = None
        self._head_s = 0.0
        self._body = KeptBody()
        self._is_streaming = False
        self._rejection = ''
        self._is_reused = False
        self._last_progress_s = 0.0
        self._has_progressed = False
        self._unreported_bytes = 0
        self._is_paused = False
        self._connection: BackendConnection | None = None
        self._loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[AttemptResult] = (
            self._loop.create_future()
        )

    @property
    def has_begun(self) -> bool:
        """Return whether an event was sent to the caller, on any attempt."""
        return self._parser is not None and self._parser.count > 0

    @property
    def may_have_run(self) -> bool:
        """Return whether the server may have run the request so far."""
        if not self.finished.done():
            return True
        return self.finished.result().ending not in NOT_RUN_OUTCOMES

    def start(self, connection: BackendConnection, request: bytes) -> None:
        """Send the request and start the timeouts of the attempt."""
        self._connection = connection
        self._is_reused = connection.is_reused
        self._last_progress_s = self._loop.time()
        connection.send(request, self)

    def abort(self, cause: str) -> None:
        """Fail the attempt and close the connection."""
        self.cancel()
        self._end(self._failure_result(cause))

    def cancel(self) -> None:
        """Close the connection, so that the server stops its work."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()

    async def wait(self, timeouts: AttemptTimeouts | None) -> AttemptResult:
        """Wait for the end of the attempt.

        An attempt that times out is aborted and counts as failed.

        :param timeouts: longest times without data from the server, ``None``
            for no timeouts.
        """
        while timeouts and not self.finished.done():
            allowed_s = (
                timeouts.pause_s if self._has_progressed else timeouts.first_s
            )
            remaining_s = self._last_progress_s + allowed_s - self._loop.time()
            if self._is_paused:
                remaining_s = allowed_s
            elif remaining_s <= 0:
                self.abort(f'no progress for {allowed_s:.1f} s')
            await asyncio.wait((self.finished,), timeout=max(0, remaining_s))
        return await self.finished

    def set_reading(self, *, on: bool) -> None:
        """Pause or resume reading, as backpressure from the caller requires.

        An answer that is collected makes no progress while it is paused, which
        does not count as silence of the server.
        """
        self._is_paused = not (on or self._is_streaming)
        if on and not self._is_streaming:
            self._last_progress_s = self._loop.time()
        if self._connection is not None:
            self._connection.set_reading(on=on)

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Check the head and return whether it answers this request."""
        self._note_data()
        head = decode_answer(status, headers)
        if not head.may_answer(self._call_id):
            return False
        if head.notice is not None:
            self._on_notice(head.notice)
        self._head = head
        self._head_s = self._loop.time()
        self._rejection = _rejection_of(head, is_reused=self._is_reused)
        if self._connection is not None:
            self._connection.limit_idle(head.idle_s)
        if self._parser is not None and head.is_success and not self._rejection:
            self._is_streaming = True
        return True

    def receive_body(self, piece: bytes) -> None:
        """Collect a body, or forward the complete events of a stream."""
        self._note_data()
        if self._is_streaming:
            self._receive_events(piece)
            return
        self._body.add(piece)
        if self.on_kept is not None:
            self.on_kept(self._body.held_bytes)
        self._unreported_bytes += len(piece)
        if self._unreported_bytes >= MIN_PROGRESS_BYTES:
            self._note_progress()
        if len(self._body) > MAX_BODY_BYTES:
            self.abort('the body is too large')

    def receive_end(self) -> None:
        """End the attempt with the complete answer."""
        self._connection = None
        if self._rejection:
            self._end(self._failure_result(self._rejection))
        elif self._is_streaming:
            self._end_stream()
        else:
            self._end_body()

    def receive_failure(self, error: BackendError) -> None:
        """End an attempt whose connection failed."""
        self._connection = None
        if isinstance(error, ConnectError):
            self._end(AttemptResult(AttemptOutcome.unsent, cause=str(error)))
        elif self._is_refusal:
            self._end(AttemptResult(AttemptOutcome.declined, self._head))
        else:
            self._end(self._broken_off(str(error) or 'closed'))

    def _receive_events(self, piece: bytes) -> None:
        try:
            events = self._parser.feed(piece, self._loop.time())
        except BackendError as error:
            self.abort(str(error))
            return
        if events:
            self._note_progress()
            self._writer.begin(self._head)
            self._writer.write(events)

    @property
    def _is_refusal(self) -> bool:
        head = self._head
        return head is not None and head.not_run and not self._rejection

    def _note_data(self) -> None:
        if self.on_data is not None:
            self.on_data()

    def _note_progress(self) -> None:
        self._last_progress_s = self._loop.time()
        self._has_progressed = True
        self._unreported_bytes = 0

    def _end_stream(self) -> None:
        # A close that follows no event proves nothing.
        is_proved = self._head.is_framed or self._has_progressed
        if self._parser.is_whole and self._parser.count and is_proved:
            self._writer.begin(self._head)
            self._end(AttemptResult(None, self._head))
        else:
            self._end(self._broken_off('the stream ended too early'))

    def _end_body(self) -> None:
        body = self._body.pieces
        if self._is_refusal:
            self._end(AttemptResult(AttemptOutcome.declined, self._head, body))
        elif self._head.is_success:
            self._end(AttemptResult(None, self._head, body))
        else:
            self._end(AttemptResult(AttemptOutcome.failed, self._head, body))

    def _broken_off(self, cause: str) -> AttemptResult:
        return replace(self._failure_result(cause), is_broken_off=True)

    def _failure_result(self, cause: str) -> AttemptResult:
        if self._parser is not None:
            self._parser.drop_partial()
        ending = AttemptOutcome.cut if self.has_begun else AttemptOutcome.lost
        head_age_s = self._loop.time() - self._head_s if self._head else None
        return AttemptResult(
            ending,
            self._head,
            cause=cause,
            head_age_s=head_age_s,
            has_progressed=self._has_progressed,
        )

    def _end(self, attempt_result: AttemptResult) -> None:
        if not self.finished.done():
            self.finished.set_result(attempt_result)


def _rejection_of(head: AnswerHead, *, is_reused: bool) -> str:
    """Return why an answer is rejected, empty for a valid one.

    It must carry the request id, must not be encoded and, if it reports
    success, must carry the server's receipt. An answer that states that the
    request did not run needs none of these, as long as it is the first one on
    its connection.
    """
    if head.is_doubtful(is_reused=is_reused):
        return 'a refusal without a request id'
    if head.not_run:
        return ''
    if not head.call_id:
        return 'the answer carries no request id'
    if head.is_encoded:
        return 'the body has a content encoding'
    if head.is_success and not head.receipt:
        return f'{Code.backend_error.name}: no receipt'
    return ''
