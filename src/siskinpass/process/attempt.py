"""One attempt to run a request on a backend server."""

import asyncio
from collections.abc import Callable

from siskinpass.codes import Code
from siskinpass.connection.backend import (
    STATUS_OK,
    AnswerSink,
    BackendConnection,
)
from siskinpass.exceptions import BackendError, SiskinpassError
from siskinpass.request.inbound import Header
from siskinpass.request.stream import TokenStreamParser

STATUS_UNAVAILABLE = 503


class CallerDisconnectedError(SiskinpassError):
    """The caller disconnected before its answer was complete."""


class Attempt(AnswerSink):
    """Receiver of one answer, which it checks and passes on.

    :param pool: name of the pool of the backend server.
    :param server: name of the backend server.
    :param parser: parser of a token stream, ``None`` for a whole answer.
    :param forward: is called with each piece that may be passed on.
    :ivar finished: completed when the attempt has ended; holds the error if it
        failed.
    :ivar status: HTTP status of the answer, 0 before its head has arrived.
    :ivar headers: headers of the answer, by name in lower case.
    :ivar sent_s: when the request was sent, on the event loop's clock.
    :ivar first_token_s: when the first token arrived, 0 before it.
    :ivar stalled_s: since when the caller does not read, 0 while it reads.
    """

    def __init__(
        self,
        pool: str,
        server: str,
        parser: TokenStreamParser | None,
        forward: Callable[[bytes], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._forward = forward
        self._connection: BackendConnection | None = None
        self.finished: asyncio.Future[None] = self._loop.create_future()
        self.pool = pool
        self.server = server
        self.parser = parser
        self.status = 0
        self.headers: dict[str, str] = {}
        self.sent_s = self._loop.time()
        self.first_token_s = 0.0
        self.stalled_s = 0.0

    @property
    def answered(self) -> bool:
        """Return whether the backend server sent the head of an answer."""
        return bool(self.status)

    def start(self, connection: BackendConnection, request: bytes) -> None:
        """Send the request."""
        self._connection = connection
        self.sent_s = self._loop.time()
        connection.send(request, self)

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Store the head; fail a token stream with a status other than 200.

        A status of 503 means that the engine is leaving and did not run the
        request.
        """
        self.status = status
        self.headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in headers
        }
        if self.parser is not None and status != STATUS_OK:
            code = Code.backend_error
            if status == STATUS_UNAVAILABLE:
                code = Code.retry_backend_leaving
            self.abort(BackendError(code, f'status {status}'))
        return True

    def receive_body(self, piece: bytes) -> None:
        """Pass on the bytes; those of a token stream in complete events."""
        if self.finished.done():
            return
        if self.parser is None:
            self._forward(piece)
            return
        now_s = self._loop.time()
        try:
            events = self.parser.feed(piece, now_s)
        except BackendError as error:
            self.abort(error)
            return
        if events:
            self.first_token_s = self.first_token_s or now_s
            self._forward(events)

    def receive_end(self) -> None:
        """End the attempt, as failed if a stream lacks its end marker."""
        self._connection = None
        if self.finished.done():
            return
        if self.parser is not None and not self.parser.done:
            self.finished.set_exception(BackendError(Code.stream_cut))
        else:
            self.finished.set_result(None)

    def receive_failure(self, error: BackendError) -> None:
        """End the attempt with an error of the connection."""
        self._connection = None
        if not self.finished.done():
            self.finished.set_exception(error)

    def abort(self, error: SiskinpassError) -> None:
        """End the attempt with an error and stop the backend server's work."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.cancel()
        if not self.finished.done():
            self.finished.set_exception(error)

    def drop_caller(self) -> None:
        """End the attempt because its caller does not read."""
        self.abort(CallerDisconnectedError(Code.stream_cut))

    def set_reading(self, *, on: bool) -> None:
        """Pause or resume reading, to match the speed of the caller.

        A pause also sets ``stalled_s``, from which the time-out of a caller
        that does not read is measured.
        """
        self.stalled_s = 0.0 if on else self._loop.time()
        if self._connection is not None:
            self._connection.set_reading(on=on)
