"""Test that only complete events of a stream are passed on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.exceptions import BackendError
from siskinpass.request.event_buffer import MAX_BUFFERED_BYTES
from siskinpass.request.events import EventStreamParser
from siskinpass.request.stream import TokenStreamParser

EVENTS = tuple(
    f'id: {number}\ndata: x{number}\n\n'.encode() for number in range(1, 9)
)
STREAM = b''.join(EVENTS)


def pieces(cuts):
    """Return the stream split at the offsets ``cuts``."""
    offsets = [0, *sorted(cuts), len(STREAM)]
    return [
        STREAM[low:high]
        for low, high in zip(offsets, offsets[1:], strict=False)
    ]


CUTS = st.lists(st.integers(0, len(STREAM)), max_size=12)


class TestEventStreamParser:
    """Test splitting a stream into events."""

    @given(CUTS)
    def test_passes_the_stream_on_unchanged(self, cuts):
        """The complete stream is passed on however it was split on arrival."""
        parser = EventStreamParser()
        assert b''.join(map(parser.feed, pieces(cuts))) == STREAM
        assert (parser.count, parser.last_id, parser.is_whole) == (8, '8', True)

    @given(CUTS, st.integers(0, len(STREAM)))
    def test_resumes_without_a_gap(self, cuts, broken_at):
        """A stream cut at any byte resumes after the last id without loss."""
        parser = EventStreamParser()
        passed = parser.feed(STREAM[:broken_at])
        parser.drop_partial()
        done = int(parser.last_id or 0)
        passed += parser.feed(b''.join(EVENTS[done:]))
        assert passed == STREAM

    @pytest.mark.parametrize(
        ('times', 'first_ms', 'pause_ms'),
        [((1.5,), 500, 0), ((1.5, 1.75, 1.8), 500, 250)],
    )
    def test_measures_first_event_and_longest_pause(
        self, times, first_ms, pause_ms
    ):
        """The times for the log are accurate to one millisecond."""
        parser = EventStreamParser(began_s=1.0)
        for now_s, event in zip(times, EVENTS, strict=False):
            parser.feed(event, now_s)
        assert abs(parser.first_ms - first_ms) <= 1
        assert abs(parser.pause_ms - pause_ms) <= 1

    def test_oversized_event_is_an_error(self):
        """An event over the buffer limit raises an error."""
        with pytest.raises(BackendError):
            EventStreamParser().feed(b'x' * (MAX_BUFFERED_BYTES + 1))


class CountingBytes(bytearray):  # noqa: WPS600
    """Buffer that counts the bytes that are searched or copied."""

    work = 0

    def rfind(self, part, start=0):
        """Search from the end back to an offset."""
        CountingBytes.work += len(self) - start
        return super().rfind(part, start)

    def __getitem__(self, index):
        """Copy a slice."""
        found = super().__getitem__(index)
        CountingBytes.work += len(found)
        return found

    def __add__(self, piece):
        """Copy all."""
        CountingBytes.work += len(self) + len(piece)
        return CountingBytes(super().__add__(piece))


class TestWork:
    """Test that work does not grow with the square of what arrives."""

    @pytest.mark.parametrize(
        'parser',
        [EventStreamParser, lambda: TokenStreamParser(b'id: ')],
        ids=['events', 'tokens'],
    )
    @pytest.mark.parametrize(
        'stream',
        [b'x' * MAX_BUFFERED_BYTES, b'id: 1\n\n' * 9000],
        ids=['no event', 'events'],
    )
    def test_single_bytes_are_searched_once(self, parser, stream, monkeypatch):
        """Guards against an instance that stands still over one stream."""
        monkeypatch.setattr(
            'siskinpass.request.event_buffer.bytearray',
            CountingBytes,
            raising=False,
        )
        CountingBytes.work = 0
        created = parser()
        for byte in stream:
            created.feed(bytes((byte,)), 1.0)
        assert CountingBytes.work <= 4 * len(stream)
