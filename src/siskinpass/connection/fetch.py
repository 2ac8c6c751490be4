"""Fetch complete responses over a connection pool."""

import asyncio
from dataclasses import dataclass

from siskinpass.codes import Code
from siskinpass.connection.backend import AnswerSink, BackendPool
from siskinpass.exceptions import BackendError
from siskinpass.request.inbound import Header

# The store's lists have pages of about 1 MB; no answer is larger than a few.
MAX_BODY_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A complete response."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()


class _Collector(AnswerSink):
    """Sink that collects one response and completes a future with it."""

    def __init__(self) -> None:
        """Start empty."""
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._pieces = bytearray()
        loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[FetchedAnswer] = loop.create_future()

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Store the status and headers; accept every response."""
        self._status = status
        self._headers = headers
        return True

    def receive_body(self, piece: bytes) -> None:
        """Append a piece of the body; fail if it becomes too large."""
        self._pieces += piece
        if len(self._pieces) > MAX_BODY_BYTES:
            self._pieces.clear()
            self.receive_failure(
                BackendError(Code.backend_error, 'the body is too large')
            )

    def receive_end(self) -> None:
        """Complete the future with the response."""
        if not self.finished.done():
            self.finished.set_result(
                FetchedAnswer(self._status, bytes(self._pieces), self._headers)
            )

    def receive_failure(self, error: BackendError) -> None:
        """Complete the future with the error."""
        if not self.finished.done():
            self.finished.set_exception(error)


async def fetch(
    pool: BackendPool,
    address: str,
    request: bytes,
    timeout_s: float,
) -> FetchedAnswer:
    """Send a request and return its complete response.

    If no complete response arrives, the connection is closed instead of
    reused, because nothing else is expected on it. After a timeout idle ones
    to the same address are closed too: they may be as silent.

    :param timeout_s: longest time from sending the request to the end of the
        response.
    :raises ConnectError: if no connection can be opened; nothing was sent.
    :raises BackendError: if the response was cut off or did not arrive in
        time.
    """
    connection = await pool.connect(address, fresh=False)
    collector = _Collector()
    connection.send(request, collector)
    try:
        return await asyncio.wait_for(collector.finished, timeout_s)
    except TimeoutError as error:
        pool.close_idle(address)
        raise BackendError(
            Code.stream_silent, 'no complete answer in time'
        ) from error
    finally:
        if not _is_answered(collector):
            connection.cancel()


def _is_answered(collector: _Collector) -> bool:
    finished = collector.finished
    return (
        finished.done()
        and not finished.cancelled()
        and finished.exception() is None
    )
