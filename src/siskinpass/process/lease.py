"""Acquire and renew a lease with a fencing number.

Pure logic without I/O: readings of the lease object and of a monotonic clock go
in, the writes to attempt come out. An instance takes over a lease only after
it has seen the object unchanged for the whole length of the lease on its own
clock, so clocks of different machines are never compared. The holder counts
the validity of its lease from before the write was sent, and ends it early by
a safety margin.
"""

from dataclasses import asdict, dataclass

import orjson


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Lease object as stored.

    :param holder: name and incarnation of the holder.
    :param fence: fencing number, incremented with each new holder.
    :param length_s: time after which an unchanged lease has expired.
    :param renewals: number of times that this holder has renewed it.
    """

    holder: str
    fence: int
    length_s: float
    renewals: int = 0

    def dump(self) -> bytes:
        """Return the lease in its stored form, as JSON."""
        return orjson.dumps(asdict(self))

    @classmethod
    def load(cls, stored: bytes) -> 'LeaseRecord':
        """Return the lease that is stored in JSON."""
        return cls(**orjson.loads(stored))


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """Conditional write of the lease object.

    :param version: version that the object must have, 0 if it must not exist.
    :param decided_s: clock reading when the write was decided on.
    """

    record: LeaseRecord
    version: int
    decided_s: float


class LeaseLogic:
    """State of one lease as seen by one instance."""

    def __init__(self, own: str, length_s: float, margin_s: float) -> None:
        """Start without the lease.

        :param own: identifies this instance and its incarnation as the holder.
        :param margin_s: time before the end of the lease from which the holder
            no longer relies on it.
        """
        self._own = own
        self._length_s = length_s
        self._margin_s = margin_s
        self._record: LeaseRecord | None = None
        self._version = 0
        self._changed_s = float('-inf')
        self._valid_until_s = float('-inf')

    def fence(self, now_s: float) -> int | None:
        """Return the fencing number, or None if the lease is not held."""
        if self._record is None or now_s >= self._valid_until_s:
            return None
        return self._record.fence

    def observe(
        self,
        record: LeaseRecord | None,
        version: int,
        now_s: float,
    ) -> None:
        """Record a reading of the lease object.

        :param record: None if the object does not exist.
        :param version: store's version of the object.
        """
        if version != self._version or self._record is None:
            self._changed_s = now_s
        if record is None or record.holder != self._own:
            self._valid_until_s = float('-inf')
        self._record = record
        self._version = version

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Return the write to attempt now.

        It creates a missing lease object, renews the lease while it is held, or
        takes over an expired one.

        :returns: None while a lease that is not held has not expired.
        """
        record = self._record
        if record is None:
            first = LeaseRecord(self._own, 1, self._length_s)
            return LeaseWrite(first, 0, now_s)
        if self.fence(now_s) is not None:
            renewed = LeaseRecord(
                self._own,
                record.fence,
                self._length_s,
                record.renewals + 1,
            )
            return LeaseWrite(renewed, self._version, now_s)
        if now_s - self._changed_s < record.length_s:
            return None
        takeover = LeaseRecord(self._own, record.fence + 1, self._length_s)
        return LeaseWrite(takeover, self._version, now_s)

    def write_confirmed(self, write: LeaseWrite, version: int) -> None:
        """Record that the store confirmed a write.

        :param version: version of the object after the write.
        """
        self._record = write.record
        self._version = version
        self._changed_s = write.decided_s
        self._valid_until_s = write.decided_s + self._length_s - self._margin_s

    def write_failed(self) -> None:
        """Record that a write failed or has an unknown outcome.

        The validity of the lease is not extended. The version of the object is
        then unknown, so that it cannot be replaced before the next reading.
        """
        self._version = -1
