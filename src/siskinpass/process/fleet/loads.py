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

TELL_EVERY_S = 0.1  # docs/design/platform.md: the sketch's interval
REPEAT_EVERY_S = 1.0  # unchanged loads are told again, datagrams may be lost
NS_PER_MS = 1_000_000
EXPIRE_S = 3 * REPEAT_EVERY_S


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what one instance told last.

    :param order: counts up with each report of one process.
    """

    order: int
    heard_s: float
    loads: Mapping[str, ServerLoad]


class PeerLoadTable:
    """Add up what the other instances told. Pure logic."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self._reports: dict[str, LoadReport] = {}

    def hear(self, name: str, report: LoadReport) -> None:
        """Take in a report; one that was overtaken is dropped."""
        known = self._reports.get(name)
        if known is None or report.order > known.order:
            self._reports[name] = report

    def expire(self, now_s: float) -> None:
        """Forget the reports of instances that fell silent."""
        for name, report in tuple(self._reports.items()):
            if now_s - report.heard_s > EXPIRE_S:
                self._reports.pop(name)

    def total(self) -> dict[str, ServerLoad]:
        """Return the sum of all reports."""
        summed: dict[str, ServerLoad] = {}
        for report in self._reports.values():
            for server, load in report.loads.items():
                summed[server] = summed.get(server, ServerLoad()) + load
        return summed


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
        self._heard = PeerLoadTable()
        self._log = PartLog('loads')
        self._told: Mapping[str, ServerLoad] = {}
        self._told_s = 0.0
        self._has_news = False
        # A restarted process has to count on from where it was.
        self._order = time.time_ns() // NS_PER_MS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, datagram: bytes, addr: object) -> None:
        """Take in one report."""
        try:
            self._take(orjson.loads(datagram))
        except (ValueError, TypeError, KeyError) as error:
            self._log.warn('A load report cannot be read.', cause=str(error))

    def _take(self, told: Any) -> None:
        if isinstance(told, dict):
            self._on_placed(_decode_placed(told))
            return
        name, order, rows = told
        loads = {
            server: ServerLoad(running, tight, tuple(unread))
            for server, running, tight, unread in rows
        }
        self._heard.hear(name, LoadReport(order, self._loop.time(), loads))
        self._has_news = True

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
            await asyncio.sleep(TELL_EVERY_S)
            self._tell()
            self._heard.expire(self._loop.time())
            if self._has_news:
                self._has_news = False
                self._on_loads(self._heard.total())

    def _tell(self) -> None:
        now_s = self._loop.time()
        loads = self._own_loads()
        if loads == self._told and now_s - self._told_s < REPEAT_EVERY_S:
            return
        self._told = loads
        self._told_s = now_s
        self._order += 1
        rows = [
            (server, load.running, load.tight, load.unread)
            for server, load in loads.items()
        ]
        self._send(orjson.dumps((self._own, self._order, rows)))

    def _send(self, datagram: bytes) -> None:
        for address in self._peers():
            self._transport.sendto(datagram, address)


def _decode_placed(told: dict[str, Any]) -> PromptPlaced:
    pieces = tuple(starmap(PromptPiece, told['pieces']))
    return PromptPlaced(
        told['server'],
        pieces,
        told['unread'],
        told['tier'],
        told['is_tight'],
    )
