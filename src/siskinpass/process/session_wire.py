"""Hold what both ends of a broker session share."""

import asyncio
from contextlib import suppress

from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)

HEARTBEAT_S = 0.15
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
)


class Outbox:
    """Hold messages until the sender takes them all at once.

    :ivar heard: number of the latest batch that came the other way.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: list = []
        self._filled = asyncio.Event()
        self.heard = 0

    def put(self, messages: list) -> None:
        """Add messages."""
        self._waiting.extend(messages)
        self._filled.set()

    async def take(self) -> list:
        """Return all messages, or none after a heartbeat's time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_S):
                await self._filled.wait()
        self._filled.clear()
        taken, self._waiting = self._waiting, []
        return taken
