"""Test that logging is bounded and does not block."""

import os

import orjson
import pytest

from siskinpass.process import logs


@pytest.fixture
def pipe():
    """Yield the read end and the write end of a pipe."""
    reader, writer = os.pipe()
    with (
        os.fdopen(reader, 'rb') as read_end,
        os.fdopen(writer, 'wb') as write_end,
    ):
        yield read_end, write_end


class TestLineWriter:
    """Test writing to a pipe whose reader stalls."""

    def test_full_pipe_drops_and_counts_lines(self, pipe):
        """A full pipe does not block; whole lines are dropped and counted."""
        read_end, write_end = pipe
        writer = logs.LineWriter(write_end)
        line = b'x' * 999 + b'\n'
        for _ in range(1000):
            writer.write(line)
            writer.flush()
        dropped = writer.dropped
        assert dropped > 0
        os.set_blocking(read_end.fileno(), False)
        received = b''
        while chunk := read_end.read(1_000_000):
            received += chunk
            writer.flush()
        lines = received.splitlines(keepends=True)
        assert set(lines[:-1]) == {line}
        assert orjson.loads(lines[-1])['lines'] == dropped
        assert len(lines) - 1 + dropped == 1000


class TestComponentLog:
    """Test the rate limit of routine lines."""

    def test_only_routine_lines_are_suppressed(self, monkeypatch):
        """Routine lines above the limit are counted, warnings still written."""
        logged = []
        now = [5.0]
        monkeypatch.setattr(
            logs.eliot,
            'log_message',
            lambda **fields: logged.append(fields),
        )
        monkeypatch.setattr(logs.time, 'monotonic', lambda: now[0])
        log = logs.ComponentLog('component')
        for _ in range(logs.MAX_ROUTINE_LINES + 7):
            log.routine('Routine.')
        log.warn('A failure.')
        assert len(logged) == logs.MAX_ROUTINE_LINES + 1
        now[0] += logs.RATE_PERIOD_S
        log.routine('Routine.')
        counted = [fields for fields in logged if 'lines' in fields]
        assert [fields['lines'] for fields in counted] == [7]
