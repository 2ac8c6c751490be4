"""Acquire and renew the lease of the duties.

Pure logic without I/O. It differs from ``process/lease.py`` in what the fleet's
store requires: the store may be restored from an older copy, which begins a new
era and ends the lease; the fencing token comes from the store's era and
revision, so that neither a restore nor a deletion resets it; and the object
carries what a holder hands on to the next one.

All times are ``CLOCK_BOOTTIME``, which also counts the time of a suspension. An
instance takes over a lease only after it has seen the object unchanged for the
whole length of the lease on its own clock. The holder counts the validity of
its lease from before the write was sent, and only a confirmed write extends it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from siskinpass.process.duties.calls import CapacityOrder, UsageReport

MARGIN_S = 1.0  # before the end of the lease, from which nothing relies on it
# Wait of each candidate after the one before it, so that they do not all write.
RANK_STEP_S = 0.5
# Further wait after a restore for all but the last holder, which alone knows
# for certain which usage windows it has fixed.
RESTORED_WAIT_S = 1.5
ERA_SHIFT = 32  # bits of a fencing token that hold a revision
NEVER_S = float('-inf')


@dataclass(frozen=True, slots=True)
class DutyContent:
    """What a holder hands on to the next one, in the lease object.

    :param next_window: usage windows below it were fixed or skipped, and must
        not be fixed again.
    :param windows: fixed usage windows whose reports may still be sent.
    :param orders: last order for each kind of servers.
    """

    next_window: int = 0
    windows: tuple[UsageReport, ...] = ()
    orders: tuple[CapacityOrder, ...] = ()


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """Lease object as stored.

    :param holder: name and incarnation of the holder, empty in an object that
        nobody has held yet.
    :param fence: fencing token of the holder.
    :param length_s: time after which an unchanged lease has expired.
    :param renewals: number of times that this holder has renewed it.
    """

    holder: str
    fence: int
    length_s: float
    renewals: int = 0
    content: DutyContent = field(default_factory=DutyContent)

    @property
    def era(self) -> int:
        """Return the era of the store in which the holder took over."""
        return self.fence >> ERA_SHIFT


@dataclass(frozen=True, slots=True)
class LeaseReading:
    """Lease object as it was read.

    :param record: ``None`` if the object does not exist.
    :param revision: store revision of the object, 0 if it does not exist.
    :param era: era of the store in the answer.
    """

    record: DutyRecord | None
    revision: int
    era: int


@dataclass(frozen=True, slots=True)
class DutyWrite:
    """Conditional write of the lease object.

    :param revision: revision that the object must have, 0 if it must not exist.
    :param era: era of the store in which the write was decided.
    :param decided_s: boot time of the decision.
    """

    record: DutyRecord
    revision: int
    era: int
    decided_s: float


class DutyLease:
    """State of the lease as seen by one instance.

    :param own: name and incarnation of this instance.
    """

    def __init__(self, own: str, length_s: float) -> None:
        self._own = own
        self._length_s = length_s
        self._era = 0
        self._reading: LeaseReading | None = None
        self._needs_fresh = False
        self._changed_s = NEVER_S
        self._valid_until_s = NEVER_S
        self._extra_wait_s = 0.0
        self._informed_until_s = NEVER_S

    @property
    def era(self) -> int:
        """Return the latest era of the store, 0 before any."""
        return self._era

    @property
    def record(self) -> DutyRecord | None:
        """Return the lease object as last seen, ``None`` if unknown."""
        return self._reading.record if self._reading else None

    @property
    def needs_fresh(self) -> bool:
        """Return whether the object must be read, and not from an old copy."""
        return self._needs_fresh or self._reading is None

    @property
    def changed_s(self) -> float:
        """Return when the object was first seen as it is now."""
        return self._changed_s

    @property
    def is_own(self) -> bool:
        """Return whether the object names this instance as the holder."""
        return self._is_own(self.record)

    @property
    def is_complete(self) -> bool:
        """Return whether the record or this instance knows all fixed windows.

        A record of an earlier era is a restored copy, or was written late by
        an instance that had not heard of the restore: later writes may be
        missing. A record without a holder was created in place of one that was
        deleted, by an instance that may not have seen its last change. An
        instance that held the lease when it heard of the restore knows all of
        them, if the object has not changed since the earliest time of another
        takeover.
        """
        record = self.record
        if record is not None and record.holder and record.era == self._era:
            return True
        return self._changed_s <= self._informed_until_s

    def remaining_s(self, now_s: float) -> float:
        """Return how much longer the lease is valid, 0 if it is not."""
        return max(0, self._valid_until_s - now_s)

    def token(self, now_s: float) -> int | None:
        """Return the fencing token, ``None`` if the lease is not held."""
        record = self.record
        if record is None or not self.remaining_s(now_s):
            return None
        return record.fence

    def note_era(self, era: int, now_s: float) -> None:
        """End the lease and restart the wait if the store was restored."""
        if era <= self._era:
            return
        self._informed_until_s = NEVER_S
        if self.remaining_s(now_s):
            # Nobody else can have taken over before then, neither before the
            # restore nor after it.
            self._informed_until_s = self._valid_until_s + MARGIN_S
        elif self._era:
            self._extra_wait_s = RESTORED_WAIT_S
        self._era = era
        self._reading = None
        self._changed_s = now_s
        self._valid_until_s = NEVER_S

    def observe(
        self, reading: LeaseReading, now_s: float, *, is_fresh: bool
    ) -> None:
        """Record a reading of the object.

        :param is_fresh: whether it is certainly not from an old copy.
        """
        self.note_era(reading.era, now_s)
        if reading.era < self._era:
            self._needs_fresh = True
            return
        known = self._reading
        is_older = known is not None and reading.revision < known.revision
        if is_older and not is_fresh:
            # Either this copy is older than the last, or the object was
            # deleted.
            self._needs_fresh = True
            return
        if known is None or reading.revision != known.revision:
            self._changed_s = now_s
        self._reading = reading
        if is_fresh:
            self._needs_fresh = False
        if not self.is_own:
            self._valid_until_s = NEVER_S

    def takeover_s(self, rank: int) -> float:
        """Return the boot time from which the lease may be taken over."""
        record = self.record
        length_s = max(self._length_s, record.length_s if record else 0)
        wait_s = length_s + rank * RANK_STEP_S + self._extra_wait_s
        return self._changed_s + wait_s

    def next_write(
        self, now_s: float, rank: int, fill: Callable[[], DutyContent]
    ) -> DutyWrite | None:
        """Return the write to attempt now.

        A missing object is created without a holder, which starts the wait
        anew. A lease is renewed by its holder, also after it has expired, as
        long as nobody else has taken it over; the same token may then be used
        on.

        :param rank: number of candidates before this one.
        :param fill: returns the content to write.
        :returns: ``None`` if the object is unknown, or another instance's lease
            may not have expired.
        """
        reading = self._reading
        if self.needs_fresh or reading is None:
            return None
        record = reading.record
        if record is None:
            fence = self._era << ERA_SHIFT
            empty = DutyRecord('', fence, self._length_s, content=fill())
            return self._write(empty, now_s)
        if self._is_own(record):
            renewed = replace(record, renewals=record.renewals + 1)
        elif now_s >= self.takeover_s(rank):
            # Only one conditional write on a revision succeeds, and it gets a
            # higher revision, so that no other takeover has the same token and
            # later ones have higher tokens.
            fence = (self._era << ERA_SHIFT) + reading.revision
            renewed = DutyRecord(self._own, fence, self._length_s)
        else:
            return None
        filled = replace(renewed, length_s=self._length_s, content=fill())
        return self._write(filled, now_s)

    def confirm(
        self, write: DutyWrite, revision: int, era: int, now_s: float
    ) -> bool:
        """Record that the store answered that it executed a write.

        :param revision: revision of the object after the write, 0 if the answer
            does not state it; the object is then read before the next write.
        :param era: era of the store in the answer.
        :returns: whether the write counts: one that was executed in another
            era than it was decided in has replaced an unknown object.
        """
        self.note_era(era, now_s)
        if era != write.era or era != self._era:
            self.fail()
            return False
        self._reading = LeaseReading(
            write.record, revision or write.revision, era
        )
        self._needs_fresh = not revision
        self._changed_s = now_s
        if self.is_own:
            self._extra_wait_s = 0
            held_s = self._length_s - MARGIN_S
            self._valid_until_s = write.decided_s + held_s
        return True

    def fail(self) -> None:
        """Record that it is unknown whether a write was executed.

        The validity of the lease is not extended, and the object must be read
        before the next write.
        """
        self._needs_fresh = True

    def _is_own(self, record: DutyRecord | None) -> bool:
        return (
            record is not None
            and record.holder == self._own
            and record.era == self._era
        )

    def _write(self, record: DutyRecord, now_s: float) -> DutyWrite:
        revision = self._reading.revision if self._reading else 0
        return DutyWrite(record, revision, self._era, now_s)
