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
PERIOD_S = 1.0
# A reader that stalls costs lines, not memory: about a second of them.
HELD_BYTES_MOST = 262_144


class LineWriter:
    """Write lines to a pipe without ever waiting for its reader.

    Lines that do not fit are dropped and counted; the count is written once
    there is room again.
    """

    def __init__(self, pipe: BinaryIO) -> None:
        """Take a pipe over; it is set to never block."""
        self._descriptor = pipe.fileno()
        os.set_blocking(self._descriptor, False)  # noqa: FBT003
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self.dropped = 0

    def write(self, text: str | bytes) -> None:
        """Take in one line."""
        line = text.encode() if isinstance(text, str) else text
        if self._held_bytes + len(line) > HELD_BYTES_MOST:
            self.dropped += 1
            return
        self._held.append(line)
        self._held_bytes += len(line)

    def flush(self) -> None:
        """Write what the pipe takes now."""
        while self._held:
            line = self._held.popleft()
            written = self._write(line)
            self._held_bytes -= written
            if written < len(line):
                self._held.appendleft(line[written:])
                return
        self._tell_dropped()

    def _write(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0

    def _tell_dropped(self) -> None:
        dropped, self.dropped = self.dropped, 0
        if dropped:
            self._write(
                b'{"message_type":"log:dropped","lines":%d}\n' % dropped
            )


class ComponentLog:
    """Log for one part of the process.

    :param part: fixed prefix, as ``relay`` or ``tree``.
    """

    def __init__(self, part: str) -> None:
        """Keep the prefix."""
        self._part = part
        self._period = 0
        self._lines = 0
        self._left_out: Counter[str] = Counter()

    def often(self, sentence: str, **fields: Any) -> None:
        """Log ordinary work, of which some is left out under load."""
        period = int(time.monotonic() / PERIOD_S)
        if period != self._period:
            self._start_period(period)
        self._lines += 1
        if self._lines > MAX_ROUTINE_LINES:
            self._left_out[sentence] += 1
        else:
            self.note(sentence, **fields)

    def note(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence."""
        eliot.log_message(
            message_type=f'{self._part}:note',
            text=sentence,
            **fields,
        )

    def warn(self, sentence: str, **fields: Any) -> None:
        """Log one short sentence that an operator should see."""
        eliot.log_message(
            message_type=f'{self._part}:warning',
            text=sentence,
            **fields,
        )

    def _start_period(self, period: int) -> None:
        left_out, self._left_out = self._left_out, Counter()
        self._period = period
        self._lines = 0
        for sentence, lines in left_out.items():
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
