"""Write structured logs, each with the fixed prefix of its part."""

import os
import sys
import time
from collections import Counter, deque
from typing import Any, BinaryIO, TextIO

import eliot

# Lines of one part a second that tell of ordinary work; failures always count
# as out of the ordinary. Three times the heaviest minute of the users' days.
MAX_ROUTINE_LINES = 100
RATE_PERIOD_S = 1.0
# A reader that stalls costs lines, not memory: about a second of them.
MAX_BUFFERED_BYTES = 262_144


class LineWriter:
    """Write lines to a pipe without ever waiting for its reader.

    Lines that do not fit are dropped and counted; the count is written once
    there is room again.
    """

    def __init__(self, pipe: BinaryIO) -> None:
        """Take a pipe over; it is set to never block."""
        self._descriptor = pipe.fileno()
        os.set_blocking(self._descriptor, False)  # noqa: FBT003
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, text: str | bytes) -> None:
        """Take in one line."""
        line = text.encode() if isinstance(text, str) else text
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write what the pipe takes now."""
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
    """Log for one part of the process.

    :param part: fixed prefix, as ``relay`` or ``tree``.
    """

    def __init__(self, component: str) -> None:
        """Keep the prefix."""
        self._component = component
        self._period = 0
        self._lines = 0
        self._suppressed: Counter[str] = Counter()

    def often(self, sentence: str, **fields: Any) -> None:
        """Log ordinary work, of which some is left out under load."""
        period = int(time.monotonic() / RATE_PERIOD_S)
        if period != self._period:
            self._start_period(period)
        self._lines += 1
        if self._lines > MAX_ROUTINE_LINES:
            self._suppressed[sentence] += 1
        else:
            self.note(sentence, **fields)

    def note(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence."""
        eliot.log_message(
            message_type=f'{self._component}:note',
            text=sentence,
            **fields,
        )

    def warn(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence that an operator should see."""
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
            self.note('Lines were left out.', kind=sentence, lines=lines)


def start_pipe_logs(pipe: BinaryIO, instance: str) -> None:
    """Send the logs to a pipe as JSON lines, without waiting for its reader.

    :param instance: stands in each line, as logs of many are read together.
    """
    eliot.add_global_fields(instance=instance)
    eliot.to_file(LineWriter(pipe))


def start_logs(stream: TextIO = sys.stderr) -> None:
    """Send the logs to a stream as JSON lines."""
    eliot.to_file(stream)
