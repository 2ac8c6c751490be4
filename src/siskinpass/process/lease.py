"""Hold a lease with a fencing number.

Pure logic: readings of the lease object and a clock go in, what to write
comes out. A lease is taken over only after its object has not changed for
its whole length by the taker's own clock, so that no two clocks are compared.
A holder trusts its lease from before it asked for it, less a margin.
"""

from dataclasses import asdict, dataclass

import orjson


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Hold the lease object.

    :param holder: name and incarnation of the holder.
    :param fence: counts up with each new holder.
    :param length_s: time after which an unchanged lease is void.
    """

    holder: str
    fence: int
    length_s: float
    renewals: int = 0

    def dump(self) -> bytes:
        """Return the lease as it is stored."""
        return orjson.dumps(asdict(self))

    @classmethod
    def load(cls, stored: bytes) -> 'LeaseRecord':
        """Read a stored lease."""
        return cls(**orjson.loads(stored))


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """Ask for a conditional write of the lease object.

    :param version: version that the object must have, 0 for a new one.
    :param asked_s: clock when the write was decided.
    """

    record: LeaseRecord
    version: int
    decided_s: float


class LeaseLogic:
    """Decide when to take, renew and distrust a lease."""

    def __init__(self, own: str, length_s: float, margin_s: float) -> None:
        """Start without the lease.

        :param margin_s: time by which the holder stops early.
        """
        self._own = own
        self._length_s = length_s
        self._margin_s = margin_s
        self._record: LeaseRecord | None = None
        self._version = 0
        self._changed_s = float('-inf')
        self._valid_until_s = float('-inf')

    def fence(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is held, else none."""
        if self._record is None or now_s >= self._valid_until_s:
            return None
        return self._record.fence

    def observe(
        self,
        record: LeaseRecord | None,
        version: int,
        now_s: float,
    ) -> None:
        """Take in a reading of the lease object."""
        if version != self._version or self._record is None:
            self._changed_s = now_s
        if record is None or record.holder != self._own:
            self._valid_until_s = float('-inf')
        self._record = record
        self._version = version

    def next_write(self, now_s: float) -> LeaseWrite | None:
        """Return the write to try now, or none while another holds it."""
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
        """Take in that a write was confirmed."""
        self._record = write.record
        self._version = version
        self._changed_s = write.decided_s
        self._valid_until_s = write.decided_s + self._length_s - self._margin_s

    def write_failed(self) -> None:
        """Take in that a write failed or has an unknown outcome.

        The lease counts only as long as it did before; the next reading
        tells what the object is now.
        """
        self._version = -1
