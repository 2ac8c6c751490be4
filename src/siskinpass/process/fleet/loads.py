"""Exchange loads and announcements with the other instances."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import starmap
from typing import Any

import orjson

from siskinpass.process.logs import ComponentLog
from siskinpass.request.ticket import (
    PromptPiece,
    PromptPlaced,
    ServerLoad,
)

SEND_INTERVAL_S = 0.1  # the interval given in docs/design/platform.md
# Used while no instance reports any load to this one.
IDLE_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 1.0  # resend unchanged loads: datagrams may be lost
# An announcement is sent twice, since datagrams may be lost.
ANNOUNCE_AGAIN_S = 0.3
NS_PER_MS = 1_000_000
# What an unexpected message can raise where it is read.
UNREADABLE = (ValueError, TypeError, LookupError, AttributeError, OverflowError)
EXPIRY_S = 3 * REPEAT_INTERVAL_S

# Receives a payload and the ``(ip, port)`` that it came from.
DirectReceiver = Callable[[Any, tuple[str, int]], None]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Latest report of one instance.

    :param sequence: increases with each report of one process and over its
        restarts.
    :param received_s: when it was received, on the event loop's clock.
    :param loads: load of the instance by server.
    :param sender: ``(ip, port)`` that it came from.
    """

    sequence: int
    received_s: float
    loads: Mapping[str, ServerLoad]
    sender: tuple[str, int] = ('', 0)


class PeerLoadTable:
    """Sum of the other instances' load reports. Pure logic."""

    def __init__(self) -> None:
        self._reports: dict[str, LoadReport] = {}

    def update(self, name: str, report: LoadReport) -> None:
        """Store a report; one not newer than the stored one is dropped."""
        known = self._reports.get(name)
        if known is None or report.sequence > known.sequence:
            self._reports[name] = report

    def expire(self, now_s: float) -> None:
        """Remove the reports that were not renewed within ``EXPIRY_S``."""
        for name, report in tuple(self._reports.items()):
            if now_s - report.received_s > EXPIRY_S:
                self._reports.pop(name)

    @property
    def is_loaded(self) -> bool:
        """Return whether any instance has reported load."""
        return any(report.loads for report in self._reports.values())

    @property
    def senders(self) -> set[tuple[str, int]]:
        """Return the sockets of the instances that have reported load."""
        return {
            report.sender for report in self._reports.values() if report.loads
        }

    def total(self) -> dict[str, ServerLoad]:
        """Return the sum of all reports by server."""
        totals: dict[str, ServerLoad] = {}
        for report in self._reports.values():
            for server, load in report.loads.items():
                totals[server] = totals.get(server, ServerLoad()) + load
        return totals


@dataclass(frozen=True, slots=True)
class _Announcement:
    """Announcement that is to be repeated.

    :param receivers: sockets that it was sent to.
    """

    datagram: bytes
    receivers: set[tuple[str, int]] = field(default_factory=set)


class LoadExchange(asyncio.DatagramProtocol):
    """Sender and receiver of loads, placements and announcements over UDP.

    :param own: name of this instance.
    :param own_loads: returns this instance's load by server.
    :param peers: returns the ``(ip, port)`` of the instances that get reports
        in any case; instances that report load get them too.
    :param on_loads: called with the other instances' summed load, at most once
        per send interval and only after a report was received.
    :param on_placed: called for each prompt that another instance placed.
    """

    def __init__(
        self,
        own: str,
        own_loads: Callable[[], Mapping[str, ServerLoad]],
        peers: Callable[[], Iterable[tuple[str, int]]],
        on_loads: Callable[[Mapping[str, ServerLoad]], None],
        on_placed: Callable[[PromptPlaced], None],
    ) -> None:
        self._own = own
        self._own_loads = own_loads
        self._peers = peers
        self._on_loads = on_loads
        self._on_placed = on_placed
        self._subscribers: dict[str, Callable[[Any], None]] = {}
        self._direct: dict[str, DirectReceiver] = {}
        self._loop = asyncio.get_running_loop()
        self._peer_loads = PeerLoadTable()
        self._log = ComponentLog('loads')
        self._sent_loads: Mapping[str, ServerLoad] = {}
        self._sent_s = 0.0
        self._unrepeated: deque[_Announcement] = deque()
        self._has_updates = False
        # Starts at the wall clock, so that a restarted process continues above
        # the numbers it used before.
        self._sequence = time.time_ns() // NS_PER_MS

    def subscribe(self, topic: str, receive: Callable[[Any], None]) -> None:
        """Pass the payloads of a topic's announcements to a function.

        The same payload may arrive several times.
        """
        self._subscribers[topic] = receive

    def subscribe_direct(self, topic: str, receive: DirectReceiver) -> None:
        """Pass payloads that were sent to this instance, and their senders."""
        self._direct[topic] = receive

    def send_to(
        self, topic: str, payload: Any, addresses: Iterable[tuple[str, int]]
    ) -> None:
        """Send a payload to some instances, once.

        :param payload: of types that JSON has.
        :param addresses: ``(ip, port)`` of their sockets for loads.
        """
        datagram = orjson.dumps({topic: payload})
        for address in addresses:
            self._transport.sendto(datagram, address)

    def announce(self, topic: str, payload: Any) -> None:
        """Send a payload to the others, and once more a little later.

        :param payload: of types that JSON has, or a data class.
        """
        announcement = _Announcement(orjson.dumps({topic: payload}))
        self._unrepeated.append(announcement)
        self._send_to_new(announcement)
        self._loop.call_later(ANNOUNCE_AGAIN_S, self._repeat)

    def greet_peers(self) -> None:
        """Send what was just announced to peers that were not known then."""
        for announcement in self._unrepeated:
            self._send_to_new(announcement)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Process one datagram; an unreadable one is logged and dropped."""
        try:
            self._decode(orjson.loads(datagram), addr)
        except UNREADABLE as error:
            self._log.warn(
                'Dropped an unreadable load report.', cause=str(error)
            )

    def _decode(self, message: Any, sender: tuple[str, int]) -> None:
        if isinstance(message, dict):
            self._decode_announcement(message, sender)
            return
        name, sequence, rows = message
        loads = {
            server: ServerLoad(running, tight, tuple(unread))
            for server, running, tight, unread in rows
        }
        self._peer_loads.update(
            name, LoadReport(sequence, self._loop.time(), loads, sender)
        )
        self._has_updates = True

    def _decode_announcement(
        self, message: dict[str, Any], sender: tuple[str, int]
    ) -> None:
        topics = self._subscribers.keys() & message.keys()
        for topic in topics:
            self._subscribers[topic](message[topic])
        direct = self._direct.keys() & message.keys()
        for topic in direct:
            self._direct[topic](message[topic], sender)
        if not topics and not direct:
            self._on_placed(_decode_placed(message))

    def send_placement(self, placed: PromptPlaced) -> None:
        """Send a prompt's placement to the other instances immediately."""
        pieces = [(piece.key, piece.tokens) for piece in placed.pieces]
        self._send(
            orjson.dumps({
                'server': placed.server,
                'pieces': pieces,
                'unread': placed.unread,
                'tier': placed.tier,
                'is_tight': placed.is_tight,
            })
        )

    async def run(self) -> None:
        """Send and apply reports at the send interval, until cancelled."""
        while True:
            is_idle = not (self._sent_loads or self._peer_loads.is_loaded)
            await asyncio.sleep(IDLE_INTERVAL_S if is_idle else SEND_INTERVAL_S)
            self._send_report()
            self._peer_loads.expire(self._loop.time())
            if self._has_updates:
                self._has_updates = False
                self._on_loads(self._peer_loads.total())

    def _send_report(self) -> None:
        now_s = self._loop.time()
        loads = self._own_loads()
        if (
            loads == self._sent_loads
            and now_s - self._sent_s < REPEAT_INTERVAL_S
        ):
            return
        self._sent_loads = loads
        self._sent_s = now_s
        self._sequence += 1
        rows = [
            (server, load.running, load.tight, load.unread)
            for server, load in loads.items()
        ]
        self._send(orjson.dumps((self._own, self._sequence, rows)))

    def _repeat(self) -> None:
        self._send(self._unrepeated.popleft().datagram)

    def _send_to_new(self, announcement: _Announcement) -> None:
        addresses = self._addresses - announcement.receivers
        for address in addresses:
            self._transport.sendto(announcement.datagram, address)
        announcement.receivers.update(addresses)

    @property
    def _addresses(self) -> set[tuple[str, int]]:
        return self._peer_loads.senders.union(self._peers())

    def _send(self, datagram: bytes) -> None:
        for address in self._addresses:
            self._transport.sendto(datagram, address)


def _decode_placed(message: dict[str, Any]) -> PromptPlaced:
    pieces = tuple(starmap(PromptPiece, message['pieces']))
    return PromptPlaced(
        message['server'],
        pieces,
        message['unread'],
        message['tier'],
        message['is_tight'],
    )
