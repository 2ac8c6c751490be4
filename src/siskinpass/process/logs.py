"""Structured logs, whose message types start with the component's name."""

import os
import sys
import time
from collections import Counter, deque
from typing import Any, BinaryIO, TextIO

import eliot

# Limit of routine lines in each period for one component; failures are not
# routine and not limited. Three times the rate in the users' busiest minute.
MAX_ROUTINE_LINES = 100
RATE_PERIOD_S = 1.0
# While the pipe's reader stalls, about one second of lines is buffered. Further
# lines are dropped, so that memory stays bounded.
MAX_BUFFERED_BYTES = 262_144


class LineWriter:
    """Writer of lines to a pipe that never waits for the pipe's reader.

    Lines that do not fit into the buffer are dropped and counted. The count is
    written as a line of its own once the buffer is empty again.

    :ivar dropped: lines dropped since the count was last written.
    """

    def __init__(self, pipe: BinaryIO) -> None:
        """Set the pipe to non-blocking mode.

        :param pipe: pipe that nothing else writes to.
        """
        self._descriptor = pipe.fileno()
        os.set_blocking(self._descriptor, False)  # noqa: FBT003
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, text: str | bytes) -> None:
        """Append one line to the buffer, or drop it if the buffer is full."""
        line = text.encode() if isinstance(text, str) else text
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts without blocking."""
        while self._buffer:
            line = self._buffer.popleft()
            written = self._write(line)
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer.appendleft(line[written:])
                return
        self._report_dropped()

    def _write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0

    def _report_dropped(self) -> None:
        dropped, self.dropped = self.dropped, 0
        if dropped:
            self._write(
                b'{"message_type":"log:dropped","lines":%d}\n' % dropped
            )


class ComponentLog:
    """Writer of the log lines of one component of the process.

    :param component: prefix of its message types, such as ``relay``.
    """

    def __init__(self, component: str) -> None:
        self._component = component
        self._period = 0
        self._lines = 0
        self._suppressed: Counter[str] = Counter()

    def routine(self, sentence: str, **fields: Any) -> None:
        """Log a routine event; lines above the rate limit are suppressed.

        The number of suppressed lines is logged in a later period.
        """
        period = int(time.monotonic() / RATE_PERIOD_S)
        if period != self._period:
            self._start_period(period)
        self._lines += 1
        if self._lines > MAX_ROUTINE_LINES:
            self._suppressed[sentence] += 1
        else:
            self.note(sentence, **fields)

    def note(self, sentence: str, **fields: Any) -> None:
        """Log an event, described by one short fixed sentence."""
        eliot.log_message(
            message_type=f'{self._component}:note',
            text=sentence,
            **fields,
        )

    def warn(self, sentence: str, **fields: Any) -> None:
        """Log a warning, which an operator should see."""
        eliot.log_message(
            message_type=f'{self._component}:warning',
            text=sentence,
            **fields,
        )

    def _start_period(self, period: int) -> None:
        suppressed, self._suppressed = self._suppressed, Counter()
        self._period = period
        self._lines = 0
        for sentence, lines in suppressed.items():
            self.note(
                'Routine lines were suppressed.', kind=sentence, lines=lines
            )


def start_pipe_logs(pipe: BinaryIO, instance: str) -> None:
    """Send the logs to a pipe as JSON lines, without waiting for its reader.

    :param instance: name of this instance, added to each line because the logs
        of all instances are read together.
    """
    eliot.add_global_fields(instance=instance)
    eliot.to_file(LineWriter(pipe))


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Send the logs to a stream as JSON lines."""
    eliot.to_file(stream)
