"""Run an entry instance whose wall clock steps by 2 s on signals.

SIGUSR1 steps it forward, SIGUSR2 back. Other clocks are left alone.
"""

import runpy
import signal
import time

STEP_S = 2.0
NS_PER_S = 1_000_000_000


class SteppedClock:
    """Wall clock with an offset."""

    def __init__(self) -> None:
        """Start without an offset."""
        self._time = time.time
        self._time_ns = time.time_ns
        self._offset_s = 0.0

    def step(self, number: int, frame: object) -> None:
        """Step the clock as a signal says."""
        is_forward = number == signal.SIGUSR1
        self._offset_s += STEP_S if is_forward else -STEP_S

    def time(self) -> float:
        """Return the Unix time."""
        return self._time() + self._offset_s

    def time_ns(self) -> int:
        """Return the Unix time in ns."""
        return self._time_ns() + int(self._offset_s * NS_PER_S)


if __name__ == '__main__':
    clock = SteppedClock()
    time.time = clock.time
    time.time_ns = clock.time_ns
    for one in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(one, clock.step)
    runpy.run_module('siskinpass.process.fleet', run_name='__main__')
