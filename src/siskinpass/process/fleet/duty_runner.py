"""Hold the lease of the duties, report usage and let capacity be planned."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.exceptions import (
    BackendError,
    ConnectError,
    FormatError,
    LeaseLostError,
    StoreError,
)
from siskinpass.platform.duties import (
    LEASE_KIND,
    LEASE_NAME,
    decode_record,
    decode_status,
    encode_call,
    encode_record,
)
from siskinpass.process.duties.calls import (
    CapacityOrder,
    DutyStatus,
    UsageReport,
)
from siskinpass.process.duties.holder import DutyHolder, DutyIdentity
from siskinpass.process.duties.lease import (
    MARGIN_S,
    DutyWrite,
    LeaseReading,
)
from siskinpass.process.fleet.cloud_client import CloudClient, boot_s
from siskinpass.process.fleet.settings import DutySettings
from siskinpass.process.fleet.store_client import ObjectAnswer, StoreClient
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics

POLL_S = 1.0  # between two readings by an instance that waits
RENEWALS = 4  # in the length of a lease
STORE_RETRY_S = 0.5
MIN_PAUSE_S = 0.05
CALL_TIMEOUT_S = 1.0
REPORT_TICK_S = 0.1
PLAN_INTERVAL_S = 1.0
# Waits before a report is sent again; the last one is repeated.
REPORT_RETRIES_S = (0.5, 1.0, 2.0)
# Time without any answer of the API after which a holder lets another candidate
# take over, and for which it does not try to hold the lease then: perhaps only
# this instance does not reach the API. Both together let the next holder send
# a report within 10 s after the end of its window.
UNANSWERED_S = 1.5
STEP_BACK_S = 8.0

DutyCall = UsageReport | CapacityOrder


class Planner(Protocol):
    """Part that orders servers while this instance holds the lease."""

    def adopt(self, orders: Iterable[CapacityOrder]) -> None:
        """Begin from the last orders of the holder before."""

    async def step(self) -> None:
        """Look at the demand and send what orders are needed."""


@dataclass(frozen=True, slots=True)
class DutyContext:
    """Dependencies of the runner.

    :param rank: returns the number of candidates before this instance, ``None``
        if it is not a candidate.
    :param candidates: returns the number of candidates.
    :param announce: called with each confirmed write, before its reports are
        sent.
    """

    settings: DutySettings
    identity: DutyIdentity
    holder: DutyHolder
    store: StoreClient
    cloud: CloudClient
    metrics: Metrics
    rank: Callable[[], int | None]
    candidates: Callable[[], int]
    announce: Callable[[DutyWrite], None]


class DutyRunner:
    """Owner of the tasks of one candidate; sends calls as the holder.

    :ivar planner: called while this instance holds the lease, if set.
    """

    def __init__(self, context: DutyContext) -> None:
        self._context = context
        self._holder = context.holder
        self._log = ComponentLog('duties')
        self.planner: Planner | None = None
        self._host = context.settings.address
        self._calling = asyncio.Lock()
        self._next_call_s = 0.0
        self._unanswered_s: float | None = None
        self._step_back_s = 0.0
        self._seen_holder = ''
        self._was_holder = False
        self._is_failing = False
        self._reports = _ReportLog()
        self._skipped = 0
        # Kept here, as the task starts again after an exception.
        self._planned_token: int | None = None

    @property
    def is_holder(self) -> bool:
        """Return whether this instance certainly holds the lease now."""
        return self._holder.may_send(boot_s(), self._context.store.era)

    @property
    def orders(self) -> tuple[CapacityOrder, ...]:
        """Return the last orders of this holder and those before it."""
        return self._holder.orders

    async def send(self, call: DutyCall) -> DutyStatus:
        """Send one call while the lease certainly holds.

        :raises LeaseLostError: if it does not; nothing was sent.
        """
        async with self._calling:
            await asyncio.sleep(max(0, self._next_call_s - boot_s()))
            self._check_lease()
            self._next_call_s = (
                boot_s() + 1 / self._context.settings.calls_per_s
            )
            return await self._send_now(call)

    async def hold_lease(self) -> None:
        """Read and write the lease object while a candidate."""
        while True:
            pause_s = await self._step_lease()
            self._update_states()
            await asyncio.sleep(pause_s)

    async def report_usage(self) -> None:
        """Send the reports of fixed windows while holding the lease."""
        while True:
            await asyncio.sleep(REPORT_TICK_S)
            if self.is_holder:
                await self._send_reports()

    async def plan_capacity(self) -> None:
        """Let the planner work while this instance holds the lease."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            if self.planner is None or not self.is_holder:
                continue
            token = self._holder.lease.token(boot_s())
            if token != self._planned_token:
                self._planned_token = token
                self.planner.adopt(self.orders)
            try:
                await self.planner.step()
            except LeaseLostError:
                self._log.routine('The lease ended during planning.')

    async def _send_now(self, call: DutyCall) -> DutyStatus:
        is_written = True
        try:
            status = await self._context.cloud.call(lambda: self._prepare(call))
        except BackendError as error:
            is_written = not isinstance(error, ConnectError)
            self._note_unanswered()
            outcome, cause = DutyStatus.unknown, str(error)
        else:
            self._unanswered_s = None
            outcome, cause = decode_status(status), f'status {status}'
        may_be_done = outcome in (DutyStatus.done, DutyStatus.unknown)
        if isinstance(call, CapacityOrder) and is_written and may_be_done:
            self._holder.note_order(call)
        self._context.metrics.duty_called(_duty_of(call), outcome.value)
        if outcome is not DutyStatus.done:
            self._log.note(
                'A call of the cloud API was not carried out.',
                duty=_duty_of(call),
                outcome=outcome.value,
                cause=cause,
            )
        return outcome

    def _prepare(self, call: DutyCall) -> tuple[bytes, float]:
        """Return a request that is written at once, and its time limit.

        :raises LeaseLostError: if the lease does not certainly hold.
        """
        fixed = self._holder.reportable(boot_s())
        if isinstance(call, UsageReport) and call not in fixed:
            raise LeaseLostError(Code.store_down, 'the report is outdated')
        name = self._context.identity.name
        lease = self._holder.lease
        token = lease.token(boot_s())
        request = encode_call(call, self._host, name, token or 0)
        # Nothing comes between this check and the write but system calls.
        self._check_lease()
        return request, min(CALL_TIMEOUT_S, lease.remaining_s(boot_s()))

    def _check_lease(self) -> None:
        if not self.is_holder:
            raise LeaseLostError(
                Code.store_down, 'the lease of the duties does not hold'
            )

    def _note_unanswered(self) -> None:
        now_s = boot_s()
        if self._unanswered_s is None:
            self._unanswered_s = now_s
        is_long = now_s - self._unanswered_s >= UNANSWERED_S
        if is_long and self._context.candidates() > 1:
            self._unanswered_s = None
            if now_s >= self._step_back_s:
                self._step_back_s = now_s + STEP_BACK_S
                self._log.warn(
                    'The cloud API does not answer this instance;'
                    ' another one may take over the duties.'
                )

    async def _step_lease(self) -> float:
        """Read or write the lease object; return the time to the next step."""
        rank = self._context.rank()
        if rank is None or boot_s() < self._step_back_s:
            return POLL_S
        started_s = boot_s()
        lease = self._holder.lease
        try:
            await self._read_and_write(rank)
        except (StoreError, FormatError) as error:
            if isinstance(error, FormatError):
                self._context.metrics.duty_called('lease', 'unreadable')
            if not self._is_failing:
                self._log.note(
                    'The lease of the duties was not read or written.',
                    cause=str(error),
                )
            self._is_failing = True
            return STORE_RETRY_S
        self._is_failing = False
        if lease.is_own:
            length_s = self._context.settings.hold_s + MARGIN_S
            return max(MIN_PAUSE_S, started_s + length_s / RENEWALS - boot_s())
        wait_s = lease.takeover_s(rank) - boot_s()
        return max(MIN_PAUSE_S, min(POLL_S, wait_s))

    async def _read_and_write(self, rank: int) -> None:
        lease = self._holder.lease
        lease.note_era(self._context.store.era, boot_s())
        if lease.needs_fresh:
            await self._read(is_fresh=True)
        elif not lease.is_own:
            await self._read(is_fresh=False)
            if lease.needs_fresh:
                await self._read(is_fresh=True)
        write = self._holder.next_write(boot_s(), rank)
        if write is not None:
            # Until an answer says otherwise, the write may have been executed.
            lease.fail()
            await self._write(write)

    async def _read(self, *, is_fresh: bool) -> None:
        answer = await self._context.store.read_object(
            LEASE_KIND, LEASE_NAME, stale=not is_fresh
        )
        self._observe(answer, is_fresh=is_fresh)

    async def _write(self, write: DutyWrite) -> None:
        answer = await self._context.store.write_if(
            LEASE_KIND, LEASE_NAME, encode_record(write.record), write.revision
        )
        if not answer.is_done:
            self._observe(answer, is_fresh=True)
            return
        revision = answer.stored.revision if answer.stored else 0
        is_confirmed = self._holder.confirm(
            write, revision, answer.era, boot_s()
        )
        if is_confirmed and self._holder.lease.is_own:
            self._context.announce(write)
            self._log_skipped()

    def _observe(self, answer: ObjectAnswer, *, is_fresh: bool) -> None:
        stored = answer.stored
        reading = (
            LeaseReading(None, 0, answer.era)
            if stored is None
            else LeaseReading(
                decode_record(stored.body), stored.revision, answer.era
            )
        )
        self._holder.observe(reading, boot_s(), is_fresh=is_fresh)

    def _log_skipped(self) -> None:
        for window in self._holder.take_skipped():
            self._skipped += 1
            self._log.warn('A usage window is not reported.', window=window)

    def _update_states(self) -> None:
        metrics = self._context.metrics
        record = self._holder.lease.record
        is_holder = self.is_holder
        holder = record.holder if record else self._seen_holder
        if holder != self._seen_holder:
            self._seen_holder = holder
            self._log.note(
                'The duties have another holder.',
                holder=holder,
                fence=record.fence,
            )
        if is_holder != self._was_holder:
            self._was_holder = is_holder
            sentence = (
                'This instance holds the duties.'
                if is_holder
                else 'This instance no longer holds the duties.'
            )
            self._log.note(sentence, fence=record.fence if record else 0)
        while self._holder.conflicts:
            self._log.warn(
                'A usage window has two sets of counts and is not reported.',
                window=self._holder.conflicts.pop(),
            )
        due = self._reports.unsent(self._holder.reportable(boot_s()))
        metrics.set_state('duty_holder', int(is_holder))
        metrics.set_state(
            'duty_fence', record.fence if is_holder and record else 0
        )
        metrics.set_state('usage_windows_due', len(due))
        metrics.set_state('usage_windows_late', self._skipped)

    async def _send_reports(self) -> None:
        fixed = self._holder.reportable(boot_s())
        for report in self._reports.unsent(fixed):
            if not self._reports.is_time(report, boot_s()):
                continue
            try:
                status = await self.send(report)
            except LeaseLostError:
                return
            self._reports.note(report, status, boot_s())
            if status is DutyStatus.done:
                self._log.note(
                    'Reported the usage of a window.',
                    window=report.window,
                    requests=sum(report.counts.values()),
                )


class _ReportLog:
    """Which reports were accepted, and when others are sent again."""

    def __init__(self) -> None:
        """Start without any."""
        self._done: set[int] = set()
        self._tries: dict[int, int] = {}
        self._next_s: dict[int, float] = {}

    def unsent(self, reports: Iterable[UsageReport]) -> list[UsageReport]:
        """Return the reports that were not accepted yet."""
        given = list(reports)
        current = {report.window for report in given}
        self._done &= current
        for table in (self._tries, self._next_s):
            for window in table.keys() - current:
                table.pop(window)
        return [one for one in given if one.window not in self._done]

    def is_time(self, report: UsageReport, now_s: float) -> bool:
        """Return whether a report may be sent now."""
        return now_s >= self._next_s.get(report.window, 0)

    def note(
        self, report: UsageReport, status: DutyStatus, now_s: float
    ) -> None:
        """Record the outcome of a report that was sent."""
        window = report.window
        if status is DutyStatus.done:
            self._done.add(window)
            return
        tries = self._tries.get(window, 0)
        self._tries[window] = tries + 1
        last = len(REPORT_RETRIES_S) - 1
        self._next_s[window] = now_s + REPORT_RETRIES_S[min(tries, last)]


def _duty_of(call: DutyCall) -> str:
    return 'usage' if isinstance(call, UsageReport) else 'scale'
