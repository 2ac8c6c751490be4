"""Fetch one whole answer over a pool of connections."""

import asyncio
from dataclasses import dataclass

from siskinpass.codes import Code
from siskinpass.connection.backend import AnswerSink, BackendPool
from siskinpass.exceptions import BackendError
from siskinpass.request.inbound import Header


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """Hold one answer."""

    status: int
    body: bytes


class _Collector(AnswerSink):
    """Collect one answer."""

    def __init__(self) -> None:
        """Start empty."""
        self._status = 0
        self._pieces = bytearray()
        loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[FetchedAnswer] = loop.create_future()

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Take in the status."""
        self._status = status
        return True

    def receive_body(self, piece: bytes) -> None:
        """Take in a piece of the body."""
        self._pieces += piece

    def receive_end(self) -> None:
        """Hand the answer out."""
        if not self.finished.done():
            answer = FetchedAnswer(self._status, bytes(self._pieces))
            self.finished.set_result(answer)

    def receive_failure(self, error: BackendError) -> None:
        """Hand the failure out."""
        if not self.finished.done():
            self.finished.set_exception(error)


async def fetch(
    pool: BackendPool,
    address: str,
    request: bytes,
    timeout_s: float,
) -> FetchedAnswer:
    """Send a request and return its answer.

    A connection without a whole answer is closed, as nothing further is due
    on it.

    :param timeout_s: longest time from the sending to the end of the answer.
    :raises ConnectError: where no connection can be opened; nothing was sent.
    :raises BackendError: where the answer broke off or does not come in time.
    """
    connection = await pool.connect(address, fresh=False)
    collector = _Collector()
    connection.send(request, collector)
    try:
        return await asyncio.wait_for(collector.finished, timeout_s)
    except TimeoutError as error:
        raise BackendError(Code.stream_silent, 'silent') from error
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
