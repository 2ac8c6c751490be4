"""Carry heartbeats as datagrams, each with a keyed hash of its bytes."""

import asyncio
import hashlib
import hmac
from collections.abc import Callable

from google.protobuf.message import DecodeError

from siskinpass.process.codec import decode_packet, encode_packet
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import (
    Member,
    Membership,
    PacketArrived,
    SeedsListed,
    SelfChanged,
    SendPacket,
    TimePassed,
)

TICK_S = 0.05
MAC_BYTES = 16
DATAGRAM_BYTES_MOST = 1400


class Gossip(asyncio.DatagramProtocol):
    """Own the datagram socket and the membership behind it.

    :param on_change: called when the set of live members changed.
    """

    def __init__(
        self,
        membership: Membership,
        key: str,
        on_change: Callable[[], None],
    ) -> None:
        """Wait for the socket."""
        self._membership = membership
        self._key = key.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._seen: tuple[Member, ...] = ()
        self._log = ComponentLog('member')
        self.bytes_sent = 0
        self.packets_sent = 0

    @property
    def membership(self) -> Membership:
        """Return the members as this instance sees them."""
        return self._membership

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: object) -> None:
        """Take in one heartbeat; a forged or broken one is dropped."""
        mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            return
        try:
            packet = decode_packet(body)
        except DecodeError:
            return
        self._apply(PacketArrived(packet))

    def list_seeds(self, members: tuple[Member, ...]) -> None:
        """Take the instances of the platform's list."""
        self._apply(SeedsListed(members))

    def tell_self(self, *, leaving: bool, tree_version: int) -> None:
        """Change what this instance tells of itself."""
        own = self._membership.own
        same_state = bool(own.state) == leaving
        if same_state and own.tree_version == tree_version:
            return
        self._apply(SelfChanged(leaving, tree_version))

    async def run(self) -> None:
        """Let time pass."""
        while True:
            await asyncio.sleep(TICK_S)
            self._apply(TimePassed())

    def _apply(
        self,
        event: PacketArrived | SeedsListed | SelfChanged | TimePassed,
    ) -> None:
        for command in self._membership.apply(event, self._loop.time()):
            self._send(command)
        members = tuple(self._membership.live)
        if members != self._seen:
            self._note_states(members)
            self._seen = members
            self._on_change()

    def _note_states(self, members: tuple[Member, ...]) -> None:
        before = {member.name for member in self._seen}
        after = {member.name for member in members}
        for joined in sorted(after - before):
            self._log.note('An instance is live.', instance=joined)
        for lost in sorted(before - after):
            self._log.warn('An instance is dead.', instance=lost)

    def _send(self, command: SendPacket) -> None:
        body = encode_packet(command.packet)
        host, port = command.address.rsplit(':', 1)
        datagram = self._mac(body) + body
        self.bytes_sent += len(datagram)
        self.packets_sent += 1
        self._transport.sendto(datagram, (host, int(port)))

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body,
            digest_size=MAC_BYTES,
            key=self._key,
        ).digest()
