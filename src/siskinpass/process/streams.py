"""Watch all open streams for their speed and their silence."""

import asyncio
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError
from siskinpass.process.dispatcher import Dispatcher
from siskinpass.request.stream import TokenStreamParser
from siskinpass.request.ticket import TokensObserved

SWEEP_S = 0.1
SILENT_LEAST_S = 1.0
SILENT_UNKNOWN_S = 5.0  # 1 s resumed streams whose tokens take a second
SILENT_TOKEN_TIMES = 20
FIRST_SILENT_S = 8.0
WHOLE_SILENT_S = 15.0
CALLER_STALLED_S = 30.0


class Watched(Protocol):
    """Describe what the watch needs of one attempt."""

    pool: str
    server: str
    parser: TokenStreamParser | None
    sent_s: float
    stalled_s: float

    def break_off(self, error: BackendError) -> None:
        """End the attempt."""

    def drop_caller(self) -> None:
        """Give up a caller that does not read."""


class _Progress:
    """Remember what the last sweep saw of one attempt."""

    __slots__ = ('first_told', 'last_s', 'token_s', 'tokens')

    def __init__(self, attempt: Watched) -> None:
        self.tokens = attempt.parser.tokens if attempt.parser else 0
        self.last_s = attempt.sent_s
        self.token_s = 0.0
        self.first_told = False

    @property
    def silent_bound_s(self) -> float:
        """Return how long a stream that has begun may be silent."""
        if self.token_s <= 0:
            return SILENT_UNKNOWN_S
        return max(SILENT_LEAST_S, SILENT_TOKEN_TIMES * self.token_s)


class _Speed:
    """Add up what one sweep saw of one backend server."""

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


class StreamWatch:
    """Sweep over the open attempts."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Start without attempts."""
        self._dispatcher = dispatcher
        self._attempts: dict[Watched, _Progress] = {}
        self._speeds: dict[tuple[str, str], _Speed] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def open_streams(self) -> int:
        """Return how many attempts are open."""
        return len(self._attempts)

    def add(self, attempt: Watched) -> None:
        """Watch an attempt."""
        self._attempts[attempt] = _Progress(attempt)

    def discard(self, attempt: Watched) -> None:
        """Stop watching an attempt; its last tokens are still told of."""
        progress = self._attempts.pop(attempt, None)
        if progress is not None:
            self._measure(attempt, progress)

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = self._loop.time()
            for attempt, progress in tuple(self._attempts.items()):
                self._measure(attempt, progress)
                self._check(attempt, progress, now_s)
            self._tell()

    def _tell(self) -> None:
        """Tell the brokers of each server's speed, once a sweep."""
        speeds, self._speeds = self._speeds, {}
        for (pool, server), speed in speeds.items():
            self._dispatcher.observe(pool, speed.observed(server))

    def _measure(self, attempt: Watched, progress: _Progress) -> None:
        parser = attempt.parser
        if parser is None or attempt.stalled_s:
            return
        count = parser.tokens - progress.tokens
        if count <= 0:
            return
        first_s = 0.0
        if not progress.first_told:
            # The first token's time is told apart from the time between
            # tokens; a resumed stream counts from its own start.
            progress.first_told = True
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
        attempt: Watched,
        progress: _Progress,
        now_s: float,
    ) -> None:
        if attempt.stalled_s:
            if now_s - attempt.stalled_s > CALLER_STALLED_S:
                attempt.drop_caller()
            return
        if attempt.parser is None:
            silent_s, bound_s = now_s - attempt.sent_s, WHOLE_SILENT_S
        elif progress.first_told:
            silent_s = now_s - progress.last_s
            bound_s = progress.silent_bound_s
        else:
            silent_s, bound_s = now_s - attempt.sent_s, FIRST_SILENT_S
        if silent_s > bound_s:
            attempt.break_off(BackendError(Code.stream_silent))
