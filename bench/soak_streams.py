"""Callers that lose the connection of a stream and take it up again."""

import asyncio
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.fleet import Fleet
from bench.soak_checks import STATUS_OK, STREAM, StreamSeen, TakeUp

PATH = '/stream/x'
EVENTS = 8
MAX_TAKE_UPS = 3
MAX_PAUSE_S = 1.2  # before a caller comes back
EVENT = re.compile(rb'id: (\d+)\ndata: ([\w.]*)x\d+\n\n')


@dataclass(slots=True)
class _Progress:
    """What a caller has of its stream.

    :param root: id of the attempt that brought the first event.
    """

    root: str = ''
    events: list[tuple[int, bytes]] = field(default_factory=list)

    @property
    def last_id(self) -> int:
        """Return the id of the last event, 0 before the first."""
        return self.events[-1][0] if self.events else 0

    @property
    def is_whole(self) -> bool:
        """Return whether the last event has arrived."""
        return self.last_id == EVENTS


class StreamCaller:
    """Caller of one stream.

    :param rng: decides when it loses its connection and where it comes back.
    :param running: returns how many servers of a version serve.
    """

    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        running: Callable[[str], int],
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._running = running
        self._progress = _Progress()

    async def run(self, number: int) -> StreamSeen:
        """Begin a stream and take it up until it is whole or given up."""
        take_ups: list[TakeUp] = []
        name, status, at_s = await self._attempt(f'{STREAM}-{number}-0')
        first = TakeUp(name, at_s, status == STATUS_OK, 0)
        for attempt in range(1, MAX_TAKE_UPS + 1):
            if self._progress.is_whole or not self._progress.events:
                break
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
            version = self._progress.events[0][1].decode()
            servers = self._running(version)
            name, status, at_s = await self._attempt(
                f'{STREAM}-{number}-{attempt}'
            )
            take_ups.append(TakeUp(name, at_s, status == STATUS_OK, servers))
        return StreamSeen(
            f'{STREAM}-{number}', first, tuple(take_ups), self._progress.events
        )

    async def _attempt(self, call: str) -> tuple[str, int, float]:
        """Send one attempt; return its instance, status and time."""
        name = self._rng.choice(sorted(self._fleet.processes))
        progress = self._progress
        count = self._rng.randrange(1, EVENTS + 4)
        at_s = time.monotonic()
        more = (
            f'Last-Event-Id: {progress.last_id}\r\nResumes: {progress.root}\r\n'
            if progress.events
            else ''
        )
        try:
            status, body = await self._fleet.read_events(
                PATH, count, name=name, call=call, more=more
            )
        except (OSError, TimeoutError):
            return name, 0, at_s
        found = EVENT.findall(body) if status == STATUS_OK else []
        if found and not progress.events:
            progress.root = call
        progress.events.extend((int(one), text) for one, text in found)
        return name, status, at_s
