"""Exchange heartbeats as UDP datagrams, authenticated by a keyed hash."""

import asyncio
import hashlib
import hmac
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from siskinpass.process.codec import decode_packet, encode_packet
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import (
    ALIVE,
    LEAVING,
    Member,
    Membership,
    MembershipEvent,
    MembersRead,
    OwnStateChanged,
    PacketArrived,
    SeedsListed,
    SendPacket,
    TimePassed,
)

TICKS_PER_PROBE = 2
MAC_BYTES = 16
MAX_LOGGED = 8  # changes in one update; a fleet may start all at once
MAX_DATAGRAM_BYTES = 1400


class Gossip(asyncio.DatagramProtocol):
    """Transport of the membership protocol over a datagram socket.

    :ivar received_s: when a heartbeat last arrived, on the event loop's clock.
    """

    def __init__(
        self,
        membership: Membership,
        key: str,
        on_change: Callable[[], None],
    ) -> None:
        """Start without a socket; the event loop attaches it.

        :param key: secret that all instances share, cut to the maximum length
            of a BLAKE2b key.
        :param on_change: called when a live member was added, removed or
            changed its state.
        """
        self._membership = membership
        self._key = key.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._live: tuple[Member, ...] = ()
        self._leaving: set[str] = set()
        self._log = ComponentLog('member')
        self.received_s = self._loop.time()
        self.bytes_sent = 0
        self.packets_sent = 0

    @property
    def membership(self) -> Membership:
        """Return the members known to this instance."""
        return self._membership

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket to send on."""
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: object) -> None:
        """Apply one heartbeat; a forged or malformed one is dropped."""
        mac, body = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            return
        try:
            packet = decode_packet(body)
        except DecodeError:
            return
        self.received_s = self._loop.time()
        self._apply(PacketArrived(packet))

    def set_seeds(self, members: tuple[Member, ...]) -> None:
        """Replace the list of instances that are pinged while not live.

        :param members: as read from the platform; it may contain this instance.
        """
        self._apply(SeedsListed(members))

    def merge(self, members: Iterable[Member]) -> None:
        """Merge the members that another instance knows."""
        self._apply(MembersRead(tuple(members)))

    def update_own_state(self, *, leaving: bool, tree_version: int) -> None:
        """Announce a change of this instance's own state.

        Nothing is sent if neither value has changed.

        :param tree_version: number of the version in force here.
        """
        own = self._membership.own
        same_state = bool(own.state) == leaving
        if same_state and own.tree_version == tree_version:
            return
        self._apply(OwnStateChanged(leaving, tree_version))

    async def run(self) -> None:
        """Drive the time-outs and probes until cancelled."""
        while True:
            await asyncio.sleep(
                self._membership.probe_interval_s / TICKS_PER_PROBE
            )
            self._apply(TimePassed())

    def _apply(self, event: MembershipEvent) -> None:
        for command in self._membership.apply(event, self._loop.time()):
            self._send(command)
        members = tuple(self._membership.live)
        if members != self._live:
            self._log_changes(members)
            self._live = members
            self._on_change()

    def _log_changes(self, members: tuple[Member, ...]) -> None:
        before = {member.name for member in self._live}
        after = {member.name for member in members}
        joined, lost = sorted(after - before), sorted(before - after)
        self._note_leaving(members)
        for name in joined[:MAX_LOGGED]:
            self._log.note('An instance is live.', instance=name)
        for name in lost[:MAX_LOGGED]:
            if name in self._leaving:
                self._log.note('An instance has left.', instance=name)
            else:
                self._log.warn('An instance is dead.', instance=name)
        self._leaving.difference_update(lost)
        left_out = len(joined[MAX_LOGGED:]) + len(lost[MAX_LOGGED:])
        if left_out:
            self._log.note(
                'More instances changed than are logged.',
                left_out=left_out,
                live=len(members),
            )

    def _note_leaving(self, members: tuple[Member, ...]) -> None:
        """Remember which instances have announced that they leave."""
        by_state = {
            state: {member.name for member in members if member.state == state}
            for state in (ALIVE, LEAVING)
        }
        self._leaving = (self._leaving | by_state[LEAVING]) - by_state[ALIVE]

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
