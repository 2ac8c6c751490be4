"""Join the lease with the usage windows that its object carries. Pure logic.

All ``now_s`` are ``CLOCK_BOOTTIME`` readings.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from siskinpass.process.duties.calls import CapacityOrder, UsageReport
from siskinpass.process.duties.clock import TrueClock
from siskinpass.process.duties.lease import (
    DutyContent,
    DutyLease,
    DutyWrite,
    LeaseReading,
)
from siskinpass.process.duties.usage import (
    UsageTable,
    WindowLedger,
    WindowTimes,
)

NS_PER_S = 1_000_000_000
# A call is sent only if the lease is valid for this much longer.
MIN_REMAINING_S = 0.2
# A longer gap between two steps means that this process did not run. Counts
# that were sent meanwhile may be unread or lost; all are sent again every 2 s.
MAX_GAP_S = 1.0
CATCH_UP_S = 2.5


@dataclass(frozen=True, slots=True)
class DutyIdentity:
    """Process that may hold the lease.

    :param incarnation: start time in Unix ns.
    """

    name: str
    incarnation: int

    @property
    def holder(self) -> str:
        """Return the identity as it stands in the lease object."""
        return f'{self.name}/{self.incarnation}'


class DutyHolder:
    """What one candidate knows of the lease, and what it does as the holder.

    :param started_s: boot time of the start of this process.
    :ivar table: counts of all instances.
    :ivar conflicts: windows of which two sets of counts were known.
    """

    def __init__(
        self,
        identity: DutyIdentity,
        lease_s: float,
        times: WindowTimes,
        clock: TrueClock,
        started_s: float,
    ) -> None:
        self._lease = DutyLease(identity.holder, lease_s)
        self._ledger = WindowLedger(times)
        self._times = times
        self._clock = clock
        self._started_s = started_s
        self._ran_s = started_s
        self._fix_from_s = started_s
        self._orders: dict[tuple[str, str, bool], CapacityOrder] = {}
        self._skipped: tuple[int, ...] = ()
        self.table = UsageTable()
        self.conflicts: list[int] = []

    @property
    def lease(self) -> DutyLease:
        """Return the state of the lease."""
        return self._lease

    @property
    def next_window(self) -> int:
        """Return the first window that may still be fixed."""
        return self._ledger.next_window

    @property
    def orders(self) -> tuple[CapacityOrder, ...]:
        """Return the last order for each kind of servers."""
        return tuple(self._orders.values())

    def may_send(self, now_s: float, era: int) -> bool:
        """Return whether a call may be sent at once.

        :param era: latest era of the store that any answer has stated.
        """
        return (
            era == self._lease.era
            and self._lease.remaining_s(now_s) >= MIN_REMAINING_S
        )

    def note_order(self, order: CapacityOrder) -> None:
        """Record an order that was, or may have been, carried out."""
        self._orders[order.service, order.zone, order.is_spot] = order

    def observe(
        self, reading: LeaseReading, now_s: float, *, is_fresh: bool
    ) -> None:
        """Record a reading of the lease object."""
        self._lease.observe(reading, now_s, is_fresh=is_fresh)
        record = self._lease.record
        if record is None or self._lease.needs_fresh:
            return
        if record.era == self._lease.era:
            self.conflicts += self._ledger.merge_record(
                record.content, self._clock.true_s(now_s)
            )
            if not self._lease.is_own:
                self._adopt(record.content.orders)
        else:
            # Its windows were fixed, but perhaps with other counts that are
            # missing in the copy.
            self._ledger.merge(
                DutyContent(record.content.next_window),
                self._clock.true_s(now_s),
            )

    def receive_fixed(self, content: DutyContent, now_s: float) -> None:
        """Add windows that the holder announced."""
        true_s = self._clock.true_s(now_s)
        self.conflicts += self._ledger.merge(content, true_s)

    def note_running(self, now_s: float) -> None:
        """Record that this process runs; call several times a second.

        After a gap no window is fixed until the counts have come again.
        """
        if now_s - self._ran_s > MAX_GAP_S:
            self._fix_from_s = now_s + CATCH_UP_S
        self._ran_s = now_s

    def next_write(self, now_s: float, rank: int) -> DutyWrite | None:
        """Return the write of the lease object to attempt now."""
        self.note_running(now_s)
        return self._lease.next_write(now_s, rank, lambda: self._fill(now_s))

    def confirm(
        self, write: DutyWrite, revision: int, era: int, now_s: float
    ) -> bool:
        """Record that the store answered that it executed a write.

        :returns: whether the write counts.
        """
        is_confirmed = self._lease.confirm(write, revision, era, now_s)
        if is_confirmed:
            self.conflicts += self._ledger.merge_record(
                write.record.content, self._clock.true_s(now_s)
            )
        return is_confirmed

    def take_skipped(self) -> tuple[int, ...]:
        """Return the windows that the last write skipped, once."""
        skipped, self._skipped = self._skipped, ()
        return skipped

    def reportable(self, now_s: float) -> list[UsageReport]:
        """Return the fixed windows whose reports are not past their time."""
        true_s = self._clock.true_s(now_s)
        self._ledger.expire(true_s)
        return self._ledger.reportable(true_s)

    def _fill(self, now_s: float) -> DutyContent:
        """Return the content of the next write."""
        lease = self._lease
        if not lease.is_complete:
            # The last holder may have fixed windows that are unknown here, up
            # to when the object was first seen as it is now.
            true_s = self._clock.true_s(lease.changed_s)
            self._ledger.close_before(self._times.first_unfixed(true_s))
        record = lease.record
        if record is not None and not self._orders:
            # Those of a restored copy are better than none.
            self._adopt(record.content.orders)
        proposal = self._ledger.propose(
            self._clock.true_s(now_s),
            self._counts_of,
            may_fix=record is not None and now_s >= self._fix_from_s,
        )
        self._skipped = proposal.skipped
        return replace(proposal.content, orders=self.orders)

    def _adopt(self, orders: tuple[CapacityOrder, ...]) -> None:
        self._orders.clear()
        for order in orders:
            self.note_order(order)

    def _counts_of(self, window: int) -> Mapping[str, int] | None:
        """Return the counts of a window, ``None`` if nobody may know them.

        What was counted in the processes that ran before is lost if all of
        them ended together.
        """
        start_s = self._times.start_s(window)
        oldest_ns = self.table.oldest_ns(window)
        is_own = self._clock.true_s(self._started_s) <= start_s
        if is_own or (
            oldest_ns is not None and oldest_ns / NS_PER_S <= start_s
        ):
            return self.table.total(window)
        return None
