"""Count request outcomes per second and node of the settings tree.

Pure logic without I/O. Counts of several instances are merged by addition.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

RETENTION_S = 40  # time for which the tallies of a second are kept
MAX_NODES = 8000  # nodes with a tally in one second
# Upper bounds of the buckets of the time to first token, in ms.
FIRST_TOKEN_BOUNDS_MS = (
    10,
    20,
    40,
    60,
    80,
    120,
    160,
    240,
    320,
    480,
    640,
    960,
    1280,
    1920,
    2560,
    3840,
    5120,
    7680,
    10240,
    20480,
    40960,
)


@dataclass(slots=True)
class Tally:
    """Counts of request outcomes.

    :param total: completed or refused requests.
    :param missed: requests that missed a latency target of their class.
    :param refused: refused requests.
    :param slow_backend: requests that missed a target although less than half
        of their time to first token was spent waiting for a slot.
    :param first_token_buckets: requests by time to first token; a key is an
        index into ``FIRST_TOKEN_BOUNDS_MS``, or its length for longer times.
    """

    total: int = 0
    missed: int = 0
    refused: int = 0
    slow_backend: int = 0
    first_token_buckets: Counter[int] = field(default_factory=Counter)

    def add(self, other: 'Tally') -> None:
        """Add another tally to this one in place."""
        self.total += other.total
        self.missed += other.missed
        self.refused += other.refused
        self.slow_backend += other.slow_backend
        self.first_token_buckets.update(other.first_token_buckets)

    def first_ms(self, fraction: float) -> int:
        """Return a quantile of the time to first token in ms.

        :param fraction: the quantile, from 0 to 1.
        :returns: the upper bound of its bucket, the highest bound for longer
            times, 0 if nothing was measured.
        """
        target = fraction * self.first_token_buckets.total()
        seen = 0
        for bucket in sorted(self.first_token_buckets):
            seen += self.first_token_buckets[bucket]
            if seen >= target:
                bucket = min(bucket, len(FIRST_TOKEN_BOUNDS_MS) - 1)
                return FIRST_TOKEN_BOUNDS_MS[bucket]
        return 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    :param node: path of its class in the settings tree.
    :param met: whether all latency targets of its class were met.
    :param first_ms: time from arrival to first token, 0 if no token was sent.
    :param waited_ms: part of ``first_ms`` that was spent waiting for a slot.
    """

    node: str
    met: bool
    refused: bool = False
    first_ms: float = 0
    waited_ms: float = 0


class TallyHistory:
    """Tallies of the last ``RETENTION_S`` seconds, by second and node."""

    def __init__(self) -> None:
        self._seconds: dict[int, dict[str, Tally]] = {}

    def record(self, outcome: Outcome, now_s: float) -> None:
        """Record one outcome.

        Outcomes of new nodes are dropped beyond ``MAX_NODES`` in a second.

        :param now_s: clock in seconds, from which the second is taken.
        """
        tallies = self._tallies_of(int(now_s))
        if outcome.node not in tallies and len(tallies) >= MAX_NODES:
            return
        tally = tallies.setdefault(outcome.node, Tally())
        tally.total += 1
        tally.missed += not outcome.met
        tally.refused += outcome.refused
        started_promptly = outcome.waited_ms * 2 < outcome.first_ms
        tally.slow_backend += not outcome.met and started_promptly
        if outcome.first_ms > 0:
            bucket = bisect_left(FIRST_TOKEN_BOUNDS_MS, outcome.first_ms)
            tally.first_token_buckets[bucket] += 1

    def add(self, second: int, node: str, tally: Tally) -> None:
        """Add the tally of another instance to a second."""
        self._tallies_of(second).setdefault(node, Tally()).add(tally)

    def after(self, second: int) -> Iterable[tuple[int, str, Tally]]:
        """Return second, node and tally for all seconds after a given one."""
        return [
            (at, node, tally)
            for at, tallies in self._seconds.items()
            if at > second
            for node, tally in tallies.items()
        ]

    def nodes(self) -> set[str]:
        """Return the nodes that have a tally in any second."""
        return {node for tallies in self._seconds.values() for node in tallies}

    def window(self, node: str, last: int, seconds: int) -> list[Tally]:
        """Return one tally for each second of a window, the oldest first.

        Seconds without outcomes have an empty tally.

        :param last: last second of the window.
        :param seconds: length of the window.
        """
        return [
            self._seconds.get(second, {}).get(node, Tally())
            for second in range(last - seconds + 1, last + 1)
        ]

    def _forget(self, last: int) -> None:
        for second in tuple(self._seconds):
            if second <= last:
                self._seconds.pop(second)

    def _tallies_of(self, second: int) -> dict[str, Tally]:
        tallies = self._seconds.get(second)
        if tallies is None:
            tallies = {}
            self._seconds[second] = tallies
            self._forget(second - RETENTION_S)
        return tallies


def merge(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    merged = Tally()
    for tally in tallies:
        merged.add(tally)
    return merged
