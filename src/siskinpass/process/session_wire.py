"""Parts that both ends of a remote broker session share."""

import asyncio
from contextlib import suppress

from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)

HEARTBEAT_S = 0.15  # time without messages before an empty batch is sent
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
)


class Outbox:
    """Messages that wait to be sent in one batch.

    :ivar heard: sequence number of the last batch received from the other end,
        to be acknowledged with the next batch.
    """

    def __init__(self) -> None:
        self._waiting: list = []
        self._filled = asyncio.Event()
        self.heard = 0

    def put(self, messages: list) -> None:
        """Add messages and wake up the sender."""
        self._waiting.extend(messages)
        self._filled.set()

    async def take(self) -> list:
        """Wait for messages and return all of them.

        :returns: an empty list if none was added for ``HEARTBEAT_S``, in which
            case an empty batch is sent as a heartbeat.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_S):
                await self._filled.wait()
        self._filled.clear()
        taken, self._waiting = self._waiting, []
        return taken
