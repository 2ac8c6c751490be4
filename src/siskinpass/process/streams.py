"""Measure the token times of open streams and abort those that time out."""

import asyncio
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError
from siskinpass.process.dispatcher import Dispatcher
from siskinpass.request.stream import TokenStreamParser
from siskinpass.request.ticket import TokensObserved

SWEEP_INTERVAL_S = 0.1
MIN_GAP_TIMEOUT_S = 1.0
# Used until a token time is known. With 1 s, healthy streams that took a second
# per token were cut and resumed.
DEFAULT_GAP_TIMEOUT_S = 5.0
GAP_TIMEOUT_TOKENS = 20  # multiple of the stream's latest token time
FIRST_TOKEN_TIMEOUT_S = 8.0
WHOLE_ANSWER_TIMEOUT_S = 15.0  # for answers that are not streamed
CALLER_STALL_TIMEOUT_S = 30.0


class MonitoredAttempt(Protocol):
    """Interface that the monitor needs of an attempt.

    :ivar parser: counts the tokens of a stream, ``None`` for a whole answer.
    :ivar sent_s: when the request was sent.
    :ivar stalled_s: since when the caller does not read, 0 while it reads.
    """

    pool: str
    server: str
    parser: TokenStreamParser | None
    sent_s: float
    stalled_s: float

    def abort(self, error: BackendError) -> None:
        """Fail the attempt and stop the backend server's work on it."""

    def drop_caller(self) -> None:
        """End the attempt because its caller does not read."""


class _Progress:
    """State of one attempt at the last sweep."""

    __slots__ = ('first_reported', 'last_s', 'token_s', 'tokens')

    def __init__(self, attempt: MonitoredAttempt) -> None:
        self.tokens = attempt.parser.tokens if attempt.parser else 0
        self.last_s = attempt.sent_s
        self.token_s = 0.0
        self.first_reported = False

    @property
    def gap_timeout_s(self) -> float:
        """Return the time without a token after which a stream fails."""
        if self.token_s <= 0:
            return DEFAULT_GAP_TIMEOUT_S
        return max(MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_TOKENS * self.token_s)


class _Speed:
    """Token times of one backend server, summed over one sweep."""

    __slots__ = ('count', 'first_count', 'first_sum_s', 'sum_s')

    def __init__(self) -> None:
        self.count = 0
        self.sum_s = 0.0
        self.first_count = 0
        self.first_sum_s = 0.0

    def add(self, token_s: float, count: int, first_s: float) -> None:
        self.count += count
        self.sum_s += token_s * count
        if first_s > 0:
            self.first_count += 1
            self.first_sum_s += first_s

    def observed(self, server: str) -> TokensObserved:
        return TokensObserved(
            server,
            self.sum_s / self.count if self.count else 0.0,
            self.first_sum_s / self.first_count if self.first_count else 0.0,
            self.count,
        )


class StreamMonitor:
    """Periodically checks all open attempts."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create a monitor; requires a running event loop.

        :param dispatcher: receives the speeds of the backend servers.
        """
        self._dispatcher = dispatcher
        self._attempts: dict[MonitoredAttempt, _Progress] = {}
        self._speeds: dict[tuple[str, str], _Speed] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def open_streams(self) -> int:
        """Return the number of open attempts."""
        return len(self._attempts)

    def add(self, attempt: MonitoredAttempt) -> None:
        """Start monitoring an attempt."""
        self._attempts[attempt] = _Progress(attempt)

    def discard(self, attempt: MonitoredAttempt) -> None:
        """Stop monitoring an attempt; its last tokens are still reported."""
        progress = self._attempts.pop(attempt, None)
        if progress is not None:
            self._measure(attempt, progress)

    async def run(self) -> None:
        """Check all attempts every ``SWEEP_INTERVAL_S`` until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = self._loop.time()
            for attempt, progress in tuple(self._attempts.items()):
                self._measure(attempt, progress)
                self._check(attempt, progress, now_s)
            self._report()

    def _report(self) -> None:
        """Report the speed of each server to its broker, once per sweep."""
        speeds, self._speeds = self._speeds, {}
        for (pool, server), speed in speeds.items():
            self._dispatcher.observe(pool, speed.observed(server))

    def _measure(self, attempt: MonitoredAttempt, progress: _Progress) -> None:
        parser = attempt.parser
        if parser is None or attempt.stalled_s:
            return
        count = parser.tokens - progress.tokens
        if count <= 0:
            return
        first_s = 0.0
        if not progress.first_reported:
            # The time to first token is reported apart from the time between
            # tokens. For a resumed stream it counts from the current attempt.
            progress.first_reported = True
            first_s = max(0.0, attempt.first_token_s - attempt.sent_s)
            progress.last_s = attempt.first_token_s
            count -= 1
        token_s = (parser.last_s - progress.last_s) / count if count else 0.0
        progress.token_s = token_s or progress.token_s
        progress.tokens, progress.last_s = parser.tokens, parser.last_s
        key = (attempt.pool, attempt.server)
        speed = self._speeds.get(key)
        if speed is None:
            speed = _Speed()
            self._speeds[key] = speed
        speed.add(token_s, count, first_s)

    def _check(
        self,
        attempt: MonitoredAttempt,
        progress: _Progress,
        now_s: float,
    ) -> None:
        if attempt.stalled_s:
            if now_s - attempt.stalled_s > CALLER_STALL_TIMEOUT_S:
                attempt.drop_caller()
            return
        if attempt.parser is None:
            idle_s, timeout_s = now_s - attempt.sent_s, WHOLE_ANSWER_TIMEOUT_S
        elif progress.first_reported:
            idle_s = now_s - progress.last_s
            timeout_s = progress.gap_timeout_s
        else:
            idle_s, timeout_s = now_s - attempt.sent_s, FIRST_TOKEN_TIMEOUT_S
        if idle_s > timeout_s:
            attempt.abort(BackendError(Code.stream_silent))
