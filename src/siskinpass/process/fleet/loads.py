"""Tell the other instances what this one runs on each backend server."""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import starmap
from typing import Any

import orjson

from siskinpass.process.logs import PartLog
from siskinpass.request.ticket import PromptPiece, PromptPlaced, ServerLoad

SEND_INTERVAL_S = 0.1  # docs/design/platform.md: the sketch's interval
REPEAT_INTERVAL_S = 1.0  # unchanged loads are told again, datagrams may be lost
NS_PER_MS = 1_000_000
EXPIRY_S = 3 * REPEAT_INTERVAL_S


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what one instance told last.

    :param order: counts up with each report of one process.
    """

    sequence: int
    received_s: float
    loads: Mapping[str, ServerLoad]


class PeerLoadTable:
    """Add up what the other instances told. Pure logic."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self._reports: dict[str, LoadReport] = {}

    def update(self, name: str, report: LoadReport) -> None:
        """Take in a report; one that was overtaken is dropped."""
        known = self._reports.get(name)
        if known is None or report.sequence > known.sequence:
            self._reports[name] = report

    def expire(self, now_s: float) -> None:
        """Forget the reports of instances that fell silent."""
        for name, report in tuple(self._reports.items()):
            if now_s - report.received_s > EXPIRY_S:
                self._reports.pop(name)

    def total(self) -> dict[str, ServerLoad]:
        """Return the sum of all reports."""
        totals: dict[str, ServerLoad] = {}
        for report in self._reports.values():
            for server, load in report.loads.items():
                totals[server] = totals.get(server, ServerLoad()) + load
        return totals


class LoadExchange(asyncio.DatagramProtocol):
    """Own the socket of the load reports.

    :param own: name of this instance.
    :param own_loads: returns what this instance runs.
    :param peers: returns the ``(ip, port)`` of the other instances.
    :param on_loads: takes what the others run, as often as it is told.
    :param on_placed: takes each prompt that another instance placed.
    """

    def __init__(
        self,
        own: str,
        own_loads: Callable[[], Mapping[str, ServerLoad]],
        peers: Callable[[], Iterable[tuple[str, int]]],
        on_loads: Callable[[Mapping[str, ServerLoad]], None],
        on_placed: Callable[[PromptPlaced], None],
    ) -> None:
        """Wait for the socket."""
        self._own = own
        self._own_loads = own_loads
        self._peers = peers
        self._on_loads = on_loads
        self._on_placed = on_placed
        self._loop = asyncio.get_running_loop()
        self._peer_loads = PeerLoadTable()
        self._log = PartLog('loads')
        self._sent_loads: Mapping[str, ServerLoad] = {}
        self._sent_s = 0.0
        self._has_updates = False
        # A restarted process has to count on from where it was.
        self._sequence = time.time_ns() // NS_PER_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: object) -> None:
        """Take in one report."""
        try:
            self._decode(orjson.loads(datagram))
        except (ValueError, TypeError, KeyError) as error:
            self._log.warn('A load report cannot be read.', cause=str(error))

    def _decode(self, message: Any) -> None:
        if isinstance(message, dict):
            self._on_placed(_decode_placed(message))
            return
        name, sequence, rows = message
        loads = {
            server: ServerLoad(running, tight, tuple(unread))
            for server, running, tight, unread in rows
        }
        self._peer_loads.update(
            name, LoadReport(sequence, self._loop.time(), loads)
        )
        self._has_updates = True

    def send_placement(self, placed: PromptPlaced) -> None:
        """Tell at once of a prompt that this instance placed."""
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
        """Tell and take in reports at an even pace."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
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

    def _send(self, datagram: bytes) -> None:
        for address in self._peers():
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
