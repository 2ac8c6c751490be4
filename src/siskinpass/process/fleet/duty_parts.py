"""Create the parts of the duties, and exchange usage with other instances."""

import asyncio
import reprlib
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

from siskinpass.exceptions import FormatError
from siskinpass.platform.duties import decode_window, decode_windows
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.duties.clock import TrueClock
from siskinpass.process.duties.holder import DutyHolder, DutyIdentity
from siskinpass.process.duties.lease import (
    MARGIN_S,
    DutyContent,
    DutyWrite,
)
from siskinpass.process.duties.service_demand import DemandMeter
from siskinpass.process.duties.usage import (
    UsageCounter,
    UsageSource,
    WindowCounts,
    WindowTimes,
    split_rows,
)
from siskinpass.process.fleet.capacity_planner import (
    CapacityPlanner,
    PlannerInputs,
)
from siskinpass.process.fleet.cloud_client import CloudClient, boot_s
from siskinpass.process.fleet.demand_reporter import (
    DEMAND_TOPIC,
    DemandReporter,
    Reporter,
)
from siskinpass.process.fleet.duty_runner import DutyContext, DutyRunner
from siskinpass.process.fleet.loads import UNREADABLE, LoadExchange
from siskinpass.process.fleet.members import FleetMembers
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.usage_meter import CountUsage, count_nothing
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics

USAGE = 'usage'
USAGE_TIME = 'usage-time'
USAGE_FIXED = 'usage-fixed'
LOADS_PORT_STEP = 2  # offset of the load port from the heartbeat port
SEND_INTERVAL_S = 0.2
FULL_INTERVAL_S = 2.0  # datagrams may be lost, and candidates may change
CLOCK_INTERVAL_S = 1.0  # between two answers to the same instance
UNDECODABLE = (FormatError, *UNREADABLE)

Socket = tuple[str, int]


@dataclass(frozen=True, slots=True)
class FleetParts:
    """Parts of the instance that the duties use.

    :param demand: meter of the work that arrives at this instance.
    :param inputs: what orders of servers are planned from.
    """

    store: StoreClient
    members: FleetMembers
    loads: LoadExchange
    metrics: Metrics
    demand: DemandMeter
    inputs: PlannerInputs


class Duties:
    """Owner of the parts of the duties.

    :ivar runner: holds the lease and sends calls; ``None`` without duties.
    :ivar count: counts a request of a workspace that begins to run.
    """

    def __init__(self, settings: FleetSettings, parts: FleetParts) -> None:
        self.runner: DutyRunner | None = None
        self.count: CountUsage = count_nothing
        self._tasks: list[Callable[[], Coroutine[None, None, None]]] = []
        duties = settings.duties
        if duties is None:
            return
        identity = DutyIdentity(settings.name, time.time_ns())
        clock = TrueClock(time.time(), boot_s())
        times = WindowTimes(duties.window_s, duties.late_s)
        holder = DutyHolder(
            identity, duties.hold_s + MARGIN_S, times, clock, boot_s()
        )
        exchange = UsageExchange(parts, identity, holder, clock, times)
        self.runner = DutyRunner(
            DutyContext(
                duties,
                identity,
                holder,
                parts.store,
                CloudClient(duties.address, settings.ip),
                parts.metrics,
                parts.members.duty_rank,
                lambda: len(parts.members.duty_candidates),
                exchange.announce_fixed,
            )
        )
        self._tasks = [self.runner.hold_lease]
        if duties.orders_capacity:
            reporter = _plan_capacity(
                settings.zone, identity, parts, self.runner
            )
            self._tasks += (self.runner.plan_capacity, reporter.run)
        if duties.reports_usage:
            self.count = exchange.count
            self._tasks += (exchange.run, self.runner.report_usage)

    def start(self, background: BackgroundTasks) -> None:
        """Start the tasks, none without duties."""
        for run in self._tasks:
            background.keep(run)


class UsageExchange:
    """Sender of own counts to the candidates, and receiver as one of them."""

    def __init__(
        self,
        parts: FleetParts,
        identity: DutyIdentity,
        holder: DutyHolder,
        clock: TrueClock,
        times: WindowTimes,
    ) -> None:
        self._members = parts.members
        self._loads = parts.loads
        self._metrics = parts.metrics
        self._source = UsageSource(identity.name, identity.incarnation)
        self._holder = holder
        self._clock = clock
        self._times = times
        self._counter = UsageCounter()
        self._log = ComponentLog('usage')
        self._sent_to: set[Socket] = set()
        self._full_s = 0.0
        self._answered_s: dict[Socket, float] = {}
        self._late: set[int] = set()
        self._late_requests = 0
        for topic, receive in (
            (USAGE, self._receive_usage),
            (USAGE_TIME, self._receive_time),
            (USAGE_FIXED, self._receive_fixed),
        ):
            self._loads.subscribe_direct(
                topic, partial(self._receive_guarded, receive)
            )

    def count(self, workspace: str, begun_s: float) -> None:
        """Count a request of a workspace that began at a boot time."""
        window = self._times.window_at(self._clock.true_s(begun_s))
        self._counter.add(workspace, window)

    async def run(self) -> None:
        """Send the counts of this instance, until cancelled."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self._send()

    def announce_fixed(self, write: DutyWrite) -> None:
        """Send the windows that are fixed by a confirmed write."""
        content = write.record.content
        rows = [[one.window, dict(one.counts)] for one in content.windows]
        self._loads.send_to(
            USAGE_FIXED, [content.next_window, rows], self._sockets()
        )

    def _send(self) -> None:
        now_s = boot_s()
        self._holder.note_running(now_s)
        self._clock.note_own(time.time(), now_s)
        sockets = set(self._sockets())
        changed = self._counter.changed()
        is_full_due = now_s - self._full_s >= FULL_INTERVAL_S
        if is_full_due:
            self._full_s = now_s
            self._send_windows(self._counter.all(), sockets)
        else:
            self._send_windows(self._counter.all(), sockets - self._sent_to)
            if changed:
                self._send_windows(changed, sockets & self._sent_to)
        self._sent_to = sockets
        if self._is_candidate:
            self._merge(self._source, self._counter.all())

    def _send_windows(
        self, windows: list[WindowCounts], sockets: set[Socket]
    ) -> None:
        if not sockets:
            return
        for part in split_rows(windows):
            rows = [[window, dict(counts)] for window, counts in part]
            source = self._source
            row = [source.name, source.incarnation, time.time(), rows]
            self._loads.send_to(USAGE, row, sockets)

    def _receive_usage(self, payload: Any, sender: Socket) -> None:
        name, incarnation, wall_s, rows = payload
        source = UsageSource(_text(name), _whole(incarnation))
        windows = [decode_window(row) for row in rows]
        now_s = boot_s()
        self._clock.hear(source.name, float(wall_s), now_s)
        if self._is_candidate:
            self._answer(sender, now_s)
            self._merge(source, windows)

    def _receive_time(self, payload: Any, sender: Socket) -> None:
        name, wall_s = payload
        self._clock.hear(_text(name), float(wall_s), boot_s())

    def _receive_fixed(self, payload: Any, sender: Socket) -> None:
        next_window, rows = payload
        content = DutyContent(_whole(next_window), decode_windows(rows))
        self._holder.receive_fixed(content, boot_s())

    def _answer(self, sender: Socket, now_s: float) -> None:
        if now_s - self._answered_s.get(sender, 0) >= CLOCK_INTERVAL_S:
            self._answered_s[sender] = now_s
            self._loads.send_to(
                USAGE_TIME, [self._source.name, time.time()], (sender,)
            )

    def _merge(self, source: UsageSource, windows: list[WindowCounts]) -> None:
        current = self._times.window_at(self._clock.true_s(boot_s()))
        added = self._holder.table.merge(source, windows, current)
        # Only the holder has fixed windows of which it can tell what is late.
        if not self._holder.lease.is_own:
            return
        for window, requests in added.items():
            if window < self._holder.next_window:
                self._note_late(window, requests, source)

    def _note_late(
        self, window: int, requests: int, source: UsageSource
    ) -> None:
        self._late_requests += requests
        self._metrics.set_state('usage_late_requests', self._late_requests)
        if window not in self._late:
            self._late.add(window)
            self._log.warn(
                'Counts arrived after their window was fixed.',
                window=window,
                requests=requests,
                instance=source.name,
            )

    def _receive_guarded(
        self,
        receive: Callable[[Any, Socket], None],
        payload: Any,
        sender: Socket,
    ) -> None:
        """Receive a payload; one that cannot be decoded changes nothing."""
        try:
            receive(payload, sender)
        except UNDECODABLE as error:
            self._metrics.duty_called('decode', 'unreadable')
            self._log.warn(
                'Ignored an unreadable usage message.', cause=str(error)
            )

    @property
    def _is_candidate(self) -> bool:
        return self._members.duty_rank() is not None

    def _sockets(self) -> list[Socket]:
        return candidate_sockets(self._members)


def _plan_capacity(
    zone: str, identity: DutyIdentity, parts: FleetParts, runner: DutyRunner
) -> DemandReporter:
    """Give the runner a planner, and return what reports to the planners."""
    planner = CapacityPlanner(runner, parts.inputs, parts.metrics)
    runner.planner = planner
    parts.loads.subscribe_direct(
        DEMAND_TOPIC, partial(_receive_demand, planner, parts.metrics)
    )
    return DemandReporter(
        Reporter(identity.name, identity.incarnation, zone),
        parts.demand,
        parts.inputs.services,
        lambda topic, payload: parts.loads.send_to(
            topic, payload, candidate_sockets(parts.members)
        ),
        planner.seen_demand,
    )


def _receive_demand(
    planner: CapacityPlanner, metrics: Metrics, payload: Any, sender: Socket
) -> None:
    """Receive a report; one that cannot be decoded changes nothing."""
    try:
        planner.receive(payload)
    except UNREADABLE as error:
        metrics.duty_called('decode', 'unreadable')
        ComponentLog('capacity').warn(
            'Ignored an unreadable demand.', cause=str(error)
        )


def candidate_sockets(members: FleetMembers) -> list[Socket]:
    """Return the sockets of the other candidates for the lease."""
    return members.peer_sockets(members.duty_candidates, LOADS_PORT_STEP)


def _text(found: Any) -> str:
    if not isinstance(found, str):
        raise TypeError(f'expected a name, got {reprlib.repr(found)}')
    return found


def _whole(found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int) or found < 0:
        raise TypeError(f'expected a whole number, got {reprlib.repr(found)}')
    return found
