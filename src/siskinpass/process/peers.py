"""Carry messages between instances over grpclib.

A broker session is one stream each way. While tickets are open, both sides
send at least a heartbeat, so that a silent connection is noticed.
"""

import asyncio
import hmac
import itertools
import ssl
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.codec import (
    decode_command,
    decode_event,
    encode_command,
    encode_event,
)
from siskinpass.process.desk import Desk, Port
from siskinpass.process.hosting import BrokerHost, Session
from siskinpass.process.peer_grpc import PeerBase, PeerStub
from siskinpass.request.ticket import Command, Event

HEARTBEAT_S = 0.15
SILENT_S = 0.45
ENTRY_SILENT_S = 2.0
CALL_TIMEOUT_S = 2.0
KEY_HEADER = 'x-siskinpass-peer-key'
MESSAGES_WAITING_MOST = 20_000

STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
)


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """Hold what instances show each other.

    :param key: shared key, also of the heartbeats.
    :param server: TLS context of the listening side, none without TLS.
    :param client: TLS context of the dialling side, none without TLS.
    """

    key: str
    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


class PeerState(Protocol):
    """Answer what peers read."""

    def tree_newer_than(self, number: int) -> tuple[int, str]:
        """Return number and text of the version in force."""

    def counts_after(self, second: int) -> pb.CountsReply:
        """Return the counts of the seconds after one."""


class PeerService(PeerBase):
    """Answer the calls of other instances."""

    def __init__(self, host: BrokerHost, state: PeerState, key: str) -> None:
        """Keep the brokers and the state that peers may read."""
        self._host = host
        self._state = state
        self._key = key

    async def Tickets(
        self,
        stream: Stream[pb.EntryBatch, pb.BrokerBatch],
    ) -> None:
        """Serve one broker session."""
        self._check_key(stream)
        first = await stream.recv_message()
        if first is None:
            return
        outbox = _Outbox()
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
        """Answer with the version in force."""
        self._check_key(stream)
        request = await stream.recv_message()
        number, text = self._state.tree_newer_than(request.newer_than)
        await stream.send_message(pb.TreeReply(version=number, text=text))

    async def ReadCounts(
        self,
        stream: Stream[pb.CountsRequest, pb.CountsReply],
    ) -> None:
        """Answer with this instance's counts."""
        self._check_key(stream)
        request = await stream.recv_message()
        reply = self._state.counts_after(request.after_second)
        await stream.send_message(reply)

    async def _receive(
        self,
        stream: Stream,
        session: Session,
        first: pb.EntryBatch,
        outbox: '_Outbox',
    ) -> None:
        loop = asyncio.get_running_loop()
        batch = first
        while batch is not None:
            now_s = loop.time()
            outbox.heard = batch.sequence
            session.tell([
                decode_event(message, session.entry, now_s)
                for message in batch.messages
            ])
            with suppress(TimeoutError):
                async with asyncio.timeout(ENTRY_SILENT_S):
                    batch = await stream.recv_message()
                    continue
            return

    def _check_key(self, stream: Stream) -> None:
        told = str(stream.metadata.get(KEY_HEADER, ''))
        if not hmac.compare_digest(told.encode(), self._key.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, 'wrong peer key')


class _Outbox:
    """Hold messages until the sender takes them all at once."""

    def __init__(self) -> None:
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


async def _send_commands(stream: Stream, outbox: _Outbox) -> None:
    with suppress(*STREAM_ERRORS):
        while True:
            commands: list[Command] = await outbox.take()
            await stream.send_message(
                pb.BrokerBatch(
                    messages=[encode_command(command) for command in commands],
                    heard=outbox.heard,
                ),
            )


class RemotePort:
    """Speak to a broker at another instance."""

    def __init__(
        self,
        stub: PeerStub,
        own: str,
        desk: Desk,
        on_lost: Callable[[Port], None],
    ) -> None:
        """Start the session; it reports its own end once."""
        self._stub = stub
        self._own = own
        self._desk = desk
        self._on_lost = on_lost
        self._outbox = _Outbox()
        self._unheard: deque[tuple[int, float]] = deque()
        self._task = asyncio.ensure_future(self._run())

    def send(self, events: list[Event]) -> None:
        """Send events in order."""
        self._outbox.put(events)

    def close(self) -> None:
        """End the session."""
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
                self._unheard.append((sequence, now_s))
                await stream.send_message(
                    pb.EntryBatch(
                        entry=self._own,
                        group=self._desk.group,
                        messages=[
                            encode_event(event, now_s) for event in events
                        ],
                        sequence=sequence,
                    ),
                )

    async def _receive(self, stream) -> None:
        while True:
            async with asyncio.timeout(SILENT_S):
                batch = await stream.recv_message()
            if batch is None or not self._is_heard(batch.heard):
                return
            if batch.messages:
                self._desk.take(
                    self,
                    [
                        decode_command(message, self._own)
                        for message in batch.messages
                    ],
                )

    def _is_heard(self, sequence: int) -> bool:
        """Tell whether the broker still hears this entry.

        A connection can go silent one way; what the broker sends proves
        nothing of what it receives.
        """
        while self._unheard and self._unheard[0][0] <= sequence:
            self._unheard.popleft()
        if not self._unheard:
            return True
        waited_s = asyncio.get_running_loop().time() - self._unheard[0][1]
        return waited_s < SILENT_S


class PeerLinks:
    """Own the channels to other instances."""

    def __init__(
        self,
        own: str,
        local_host: str,
        security: PeerSecurity,
    ) -> None:
        """Start without channels."""
        self._own = own
        self._local_host = local_host
        self._security = security
        self._channels: dict[str, Channel] = {}
        self._addresses: dict[str, str] = {}

    def take_addresses(self, addresses: dict[str, str]) -> None:
        """Take the peer addresses of the live instances by name."""
        for name, channel in tuple(self._channels.items()):
            if addresses.get(name) != self._addresses.get(name):
                channel.close()
                self._channels.pop(name)
        self._addresses = addresses

    def dial(
        self,
        name: str,
        desk: Desk,
        on_lost: Callable[[Port], None],
    ) -> Port:
        """Open a broker session with another instance."""
        return RemotePort(self.stub(name), self._own, desk, on_lost)

    def stub(self, name: str) -> PeerStub:
        """Return a stub for another instance.

        :raises KeyError: where its address is not known.
        """
        channel = self._channels.get(name)
        if channel is None:
            host, port = self._addresses[name].rsplit(':', 1)
            channel = _KeyedChannel(
                host,
                int(port),
                ssl=self._security.client,
            )
            channel.key = self._security.key
            channel.local_host = self._local_host
            self._channels[name] = channel
        return PeerStub(channel)

    def drop(self, name: str) -> None:
        """Close the channel to an instance, so that the next is new."""
        channel = self._channels.pop(name, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for name in tuple(self._channels):
            self.drop(name)


class _KeyedChannel(Channel):
    """Show the peer key on every call, from this instance's own address."""

    key = ''
    local_host = ''

    async def _create_connection(self) -> H2Protocol:
        _, protocol = await self._loop.create_connection(
            self._protocol_factory,
            self._host,
            self._port,
            ssl=self._ssl,
            server_hostname=self._host if self._ssl else None,
            local_addr=(self.local_host, 0),
        )
        return protocol

    def request(self, *args, metadata=None, **kwargs):
        """Open a call with the key among its metadata."""
        keyed = (*(metadata or ()), (KEY_HEADER, self.key))
        return super().request(*args, metadata=keyed, **kwargs)


async def start_peer_server(
    service: PeerService,
    address: str,
    security: PeerSecurity,
) -> Server:
    """Listen for the calls of other instances."""
    server = Server([service])
    host, port = address.rsplit(':', 1)
    await server.start(host, int(port), ssl=security.server)
    return server
