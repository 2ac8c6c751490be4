"""gRPC service for the other instances, over grpclib."""

import asyncio
import hmac
from contextlib import suppress
from typing import Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.codec import decode_event, encode_command
from siskinpass.process.hosting import BrokerHost, EntrySession
from siskinpass.process.peer_grpc import PeerBase
from siskinpass.process.peers import KEY_HEADER, PeerSecurity
from siskinpass.process.session_wire import STREAM_ERRORS, Outbox
from siskinpass.request.ticket import Command

ENTRY_TIMEOUT_S = 2.0  # silence after which an entry counts as lost


class PeerState(Protocol):
    """State of this instance that other instances may read."""

    def tree_newer_than(self, number: int) -> tuple[int, str]:
        """Return the number and YAML of the settings tree in force.

        The text is empty if the number is not above the given one.
        """

    def counts_after(self, second: int) -> pb.CountsReply:
        """Return the counts of all complete seconds after a given one."""


class PeerService(PeerBase):
    """Implementation of the service; each call must carry the peer key."""

    def __init__(self, host: BrokerHost, state: PeerState, key: str) -> None:
        """Create the service.

        :param host: the brokers that sessions are opened with.
        :param key: peer key that callers must present.
        """
        self._host = host
        self._state = state
        self._key = key

    async def Tickets(
        self,
        stream: Stream[pb.EntryBatch, pb.BrokerBatch],
    ) -> None:
        """Serve one session with a broker.

        The first batch names the group and the entry instance. The session ends
        with the stream, or if nothing arrives for ``ENTRY_TIMEOUT_S``.
        """
        self._check_key(stream)
        first = await stream.recv_message()
        if first is None:
            return
        outbox = Outbox()
        session = self._host.open(first.group, first.entry, outbox.put)
        sender = asyncio.ensure_future(_send_commands(stream, outbox))
        try:
            await self._receive(stream, session, first, outbox)
        finally:
            sender.cancel()
            session.close()

    async def ReadTree(
        self,
        stream: Stream[pb.TreeRequest, pb.TreeReply],
    ) -> None:
        """Send the version in force, its text only if newer than requested."""
        self._check_key(stream)
        request = await stream.recv_message()
        number, text = self._state.tree_newer_than(request.newer_than)
        await stream.send_message(pb.TreeReply(version=number, text=text))

    async def ReadCounts(
        self,
        stream: Stream[pb.CountsRequest, pb.CountsReply],
    ) -> None:
        """Send this instance's counts of the seconds after the given one."""
        self._check_key(stream)
        request = await stream.recv_message()
        reply = self._state.counts_after(request.after_second)
        await stream.send_message(reply)

    async def _receive(
        self,
        stream: Stream,
        session: EntrySession,
        first: pb.EntryBatch,
        outbox: Outbox,
    ) -> None:
        loop = asyncio.get_running_loop()
        batch = first
        while batch is not None:
            now_s = loop.time()
            outbox.heard = batch.sequence
            session.apply([
                decode_event(message, session.entry, now_s)
                for message in batch.messages
            ])
            with suppress(TimeoutError):
                async with asyncio.timeout(ENTRY_TIMEOUT_S):
                    batch = await stream.recv_message()
                    continue
            return

    def _check_key(self, stream: Stream) -> None:
        presented = str(stream.metadata.get(KEY_HEADER, ''))
        if not hmac.compare_digest(presented.encode(), self._key.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, 'wrong peer key')


async def start_peer_server(
    service: PeerService,
    address: str,
    security: PeerSecurity,
) -> Server:
    """Start to listen for calls of other instances.

    :param address: ``ip:port``.
    """
    server = Server([service])
    host, port = address.rsplit(':', 1)
    await server.start(host, int(port), ssl=security.server)
    return server


async def _send_commands(stream: Stream, outbox: Outbox) -> None:
    with suppress(*STREAM_ERRORS):
        while True:
            commands: list[Command] = await outbox.take()
            await stream.send_message(
                pb.BrokerBatch(
                    messages=[encode_command(command) for command in commands],
                    heard=outbox.heard,
                ),
            )
