"""Test that logging is bounded and never waits."""

import os

import orjson
import pytest

from siskinpass.process import logs


@pytest.fixture
def pipe():
    """Give both ends of a pipe."""
    reader, writer = os.pipe()
    with os.fdopen(reader, 'rb') as read, os.fdopen(writer, 'wb') as written:
        yield read, written


class TestLineWriter:
    """Test a reader that stalls."""

    def test_drops_lines_and_tells_how_many(self, pipe):
        """A full pipe costs lines, in whole ones, and no waiting."""
        read, written = pipe
        writer = logs.LineWriter(written)
        line = b'x' * 999 + b'\n'
        for _ in range(1000):
            writer.write(line)
            writer.flush()
        dropped = writer.dropped
        assert dropped > 0
        os.set_blocking(read.fileno(), False)
        arrived = b''
        while piece := read.read(1_000_000):
            arrived += piece
            writer.flush()
        lines = arrived.splitlines(keepends=True)
        assert set(lines[:-1]) == {line}
        assert orjson.loads(lines[-1])['lines'] == dropped
        assert len(lines) - 1 + dropped == 1000


class TestComponentLog:
    """Test ordinary lines under load."""

    def test_leaves_out_ordinary_lines_only(self, monkeypatch):
        """Beyond the bound ordinary lines are counted, others are written."""
        seen = []
        now = [5.0]
        monkeypatch.setattr(
            logs.eliot,
            'log_message',
            lambda **fields: seen.append(fields),
        )
        monkeypatch.setattr(logs.time, 'monotonic', lambda: now[0])
        part = logs.ComponentLog('part')
        for _ in range(logs.MAX_ROUTINE_LINES + 7):
            part.often('Ordinary.')
        part.warn('A failure.')
        assert len(seen) == logs.MAX_ROUTINE_LINES + 1
        now[0] += logs.RATE_PERIOD_S
        part.often('Ordinary.')
        told = [fields for fields in seen if 'lines' in fields]
        assert [fields['lines'] for fields in told] == [7]
