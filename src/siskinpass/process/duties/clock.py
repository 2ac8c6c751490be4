"""Estimate true time from the wall clocks of several instances. Pure logic.

A wall clock may step by seconds in either direction. True time is therefore
``CLOCK_BOOTTIME``, which also counts the time of a suspension, plus an offset:
the median of what the instances' wall clocks say. A step of some clocks does
not move it.
"""

from dataclasses import dataclass

HEARD_S = 10.0  # time for which the clock of another instance counts
MAX_WALL_S = 1e11  # later times cannot be true
# Time without an estimate after which this process was suspended. What it then
# hears first has waited, so that the clocks in it seem to be slow.
SUSPENDED_S = 1.0
DEAF_S = 0.5


@dataclass(frozen=True, slots=True)
class _Sample:
    """Offset of one instance's wall clock from this instance's boot time."""

    offset_s: float
    heard_s: float


class TrueClock:
    """Estimate of true time. All ``boot_s`` are ``CLOCK_BOOTTIME`` readings."""

    def __init__(self, wall_s: float, boot_s: float) -> None:
        """Start from the own wall clock."""
        self._offset_s = wall_s - boot_s
        self._own_s = self._offset_s
        self._samples: dict[str, _Sample] = {}
        self._noted_s = boot_s
        self._deaf_until_s = boot_s

    def true_s(self, boot_s: float) -> float:
        """Return the Unix time at a boot time."""
        return boot_s + self._offset_s

    def hear(self, name: str, wall_s: float, boot_s: float) -> None:
        """Record the wall clock of another instance as it is heard."""
        is_late = (
            boot_s < self._deaf_until_s or boot_s - self._noted_s > SUSPENDED_S
        )
        if not is_late and 0 < wall_s < MAX_WALL_S:
            self._samples[name] = _Sample(wall_s - boot_s, boot_s)

    def note_own(self, wall_s: float, boot_s: float) -> None:
        """Estimate true time anew; called several times a second.

        The own wall clock counts as one among the others.
        """
        if boot_s - self._noted_s > SUSPENDED_S:
            self._deaf_until_s = boot_s + DEAF_S
        self._noted_s = boot_s
        self._own_s = wall_s - boot_s
        self._update(boot_s)

    def _update(self, boot_s: float) -> None:
        self._samples = {
            name: sample
            for name, sample in self._samples.items()
            if boot_s - sample.heard_s < HEARD_S
        }
        if not self._samples:
            # A step of the own clock cannot be told from the truth.
            return
        offsets = sorted((
            self._own_s,
            *(sample.offset_s for sample in self._samples.values()),
        ))
        # Of the two in the middle of an even number, the one that agrees with
        # the estimate so far: with two instances, the other one has stepped.
        middle = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        self._offset_s = min(
            middle, key=lambda offset: abs(offset - self._offset_s)
        )
