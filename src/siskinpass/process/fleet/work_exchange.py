"""Exchange the work of the workspaces with the other instances."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable

from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.fact_topics import WORK, Exchange
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.workspace_shares import (
    WorkReport,
    WorkspaceShares,
    WorkSum,
)

SEND_INTERVAL_S = 0.5
NS_PER_MS = 1_000_000
MAX_SHOWN = 10  # workspaces in the metrics, those with the most work


class WorkExchange:
    """Sender and receiver of the work by workspace.

    :param own: name of this instance.
    """

    def __init__(
        self, own: str, assigner: Assigner, exchange: Exchange, metrics: Metrics
    ) -> None:
        self._own = own
        self._assigner = assigner
        self._exchange = exchange
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('shares')
        self._contended: frozenset[tuple[str, int]] = frozenset()
        self._shown: frozenset[str] = frozenset()
        # Continues above the numbers that the process used before a restart.
        self._sequence = time.time_ns() // NS_PER_MS
        WORK.subscribe(exchange, self.receive)

    def receive(self, reports: Iterable[WorkReport]) -> None:
        """Store reports of other instances."""
        now_s = self._loop.time()
        brokers = dict(self._assigner.brokers)
        for report in reports:
            broker = brokers.get(report.pool)
            if broker is not None and report.name != self._own:
                broker.shares.receive(report, now_s)

    async def run(self) -> None:
        """Send and show this instance's work until cancelled."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self._send()
            self._show()

    def _send(self) -> None:
        """Send the work of services whose room is scarce.

        Nothing is sent if no workspace has a name to share by.
        """
        now_s = self._loop.time()
        self._sequence += 1
        reports = [
            WorkReport(
                self._own,
                self._sequence,
                pool,
                tier,
                workspace,
                round(work.granted, 1),
                round(work.asked, 1),
            )
            for pool, broker in self._assigner.brokers
            if broker.shares.is_scarce(now_s)
            for (tier, workspace), work in broker.shares.own_sums(now_s).items()
        ]
        if any(report.workspace for report in reports):
            WORK.announce(self._exchange, reports)

    def _show(self) -> None:
        """Log the start and end of contention and set the metrics."""
        contended: set[tuple[str, int]] = set()
        granted: Counter[str] = Counter()
        now_s = self._loop.time()
        for pool, broker in self._assigner.brokers:
            tiers = broker.shares.tiers(now_s)
            contended.update(
                (pool, tier)
                for tier in tiers
                if self._show_tier((pool, tier), broker.shares, granted)
            )
        self._log_ends(contended)
        self._set_shares(granted)

    def _show_tier(
        self,
        place: tuple[str, int],
        shares: WorkspaceShares,
        granted: Counter[str],
    ) -> bool:
        """Add up the work of a tier and return whether its room is scarce."""
        now_s = self._loop.time()
        totals = shares.totals(place[1], now_s)
        for workspace, work in totals.items():
            granted[workspace] += work.granted
        beyond = shares.beyond(place[1], now_s)
        if beyond:
            self._log_start(place, beyond, totals)
        return bool(beyond)

    def _log_ends(self, contended: set[tuple[str, int]]) -> None:
        for pool, tier in self._contended - contended:
            self._log.note(
                'The room of a service suffices again.', service=pool, tier=tier
            )
        self._contended = frozenset(contended)

    def _log_start(
        self,
        place: tuple[str, int],
        beyond: Iterable[str],
        totals: dict[str, WorkSum],
    ) -> None:
        if place not in self._contended:
            self._log.note(
                'The room of a service is scarce.',
                service=place[0],
                tier=place[1],
                beyond=sorted(beyond)[:MAX_SHOWN],
                granted=int(sum(one.granted for one in totals.values())),
                asked=int(sum(one.wanted for one in totals.values())),
            )

    def _set_shares(self, granted: Counter[str]) -> None:
        whole = sum(granted.values())
        largest = sorted(granted, key=granted.__getitem__, reverse=True)
        shown = frozenset(largest[:MAX_SHOWN]) if whole else frozenset()
        for workspace in shown:
            self._metrics.set_share(workspace, granted[workspace] / whole)
        for workspace in self._shown - shown:
            self._metrics.set_share(workspace, 0.0)
        self._shown = shown
