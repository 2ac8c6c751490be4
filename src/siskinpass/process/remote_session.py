"""Session with a broker at another instance, over grpclib.

A session is one bidirectional stream. Both ends send a heartbeat when they have
nothing else to send, so that each can detect that the connection is lost.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.broker_client import BrokerClient, BrokerSession
from siskinpass.process.codec import decode_command, encode_event
from siskinpass.process.peer_grpc import PeerStub
from siskinpass.process.session_wire import STREAM_ERRORS, Outbox
from siskinpass.request.ticket import Event

# Three heartbeat intervals. A session in which nothing is received or
# acknowledged for this long is lost.
SILENCE_TIMEOUT_S = 0.45


class RemoteSession:
    """Session with a broker at another instance."""

    def __init__(
        self,
        stub: PeerStub,
        own: str,
        broker_client: BrokerClient,
        on_lost: Callable[[BrokerSession], None],
    ) -> None:
        """Start to connect.

        :param own: name of this instance.
        :param broker_client: gets the broker's commands.
        :param on_lost: called once, with this session, when it has ended other
            than by :meth:`close`.
        """
        self._stub = stub
        self._own = own
        self._broker_client = broker_client
        self._on_lost = on_lost
        self._outbox = Outbox()
        self._unacknowledged: deque[tuple[int, float]] = deque()
        self._task = asyncio.ensure_future(self._run())

    def send(self, events: list[Event]) -> None:
        """Queue events, which are sent in order."""
        self._outbox.put(events)

    def close(self) -> None:
        """End the session and cancel its stream."""
        self._task.cancel()

    async def _run(self) -> None:
        with suppress(*STREAM_ERRORS):
            async with self._stub.Tickets.open() as stream:
                await stream.send_request()
                sender = asyncio.ensure_future(self._send(stream))
                try:
                    await self._receive(stream)
                finally:
                    sender.cancel()
                    await stream.cancel()
        self._on_lost(self)

    async def _send(self, stream) -> None:
        loop = asyncio.get_running_loop()
        with suppress(*STREAM_ERRORS):
            for sequence in itertools.count(1):
                events = await self._outbox.take()
                now_s = loop.time()
                self._unacknowledged.append((sequence, now_s))
                await stream.send_message(
                    pb.EntryBatch(
                        entry=self._own,
                        group=self._broker_client.group,
                        messages=[
                            encode_event(event, now_s) for event in events
                        ],
                        sequence=sequence,
                    ),
                )

    async def _receive(self, stream) -> None:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                batch = await stream.recv_message()
            if batch is None or not self._handle_acknowledgement(batch.heard):
                return
            if batch.messages:
                self._broker_client.handle_commands(
                    self,
                    [
                        decode_command(message, self._own)
                        for message in batch.messages
                    ],
                )

    def _handle_acknowledgement(self, sequence: int) -> bool:
        """Record an acknowledged batch.

        A connection can lose the traffic of one direction only, so messages
        from the broker do not prove that it receives those sent to it.

        :returns: whether all batches older than ``SILENCE_TIMEOUT_S`` are
            acknowledged.
        """
        while self._unacknowledged and self._unacknowledged[0][0] <= sequence:
            self._unacknowledged.popleft()
        if not self._unacknowledged:
            return True
        waited_s = (
            asyncio.get_running_loop().time() - self._unacknowledged[0][1]
        )
        return waited_s < SILENCE_TIMEOUT_S
