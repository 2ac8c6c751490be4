"""Test that only whole events of a stream are passed on."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.exceptions import BackendError
from siskinpass.request.events import MAX_BUFFERED_BYTES, EventStreamParser

EVENTS = tuple(
    f'id: {number}\ndata: x{number}\n\n'.encode() for number in range(1, 9)
)
STREAM = b''.join(EVENTS)


def pieces(cuts):
    """Return the stream cut at places."""
    places = [0, *sorted(cuts), len(STREAM)]
    return [
        STREAM[low:high] for low, high in zip(places, places[1:], strict=False)
    ]


CUTS = st.lists(st.integers(0, len(STREAM)), max_size=12)


class TestEventTap:
    """Test cutting a stream into events."""

    @given(CUTS)
    def test_passes_the_stream_on_unchanged(self, cuts):
        """However it arrives, the whole stream comes out."""
        parser = EventStreamParser()
        assert b''.join(map(parser.feed, pieces(cuts))) == STREAM
        assert (parser.count, parser.last_id, parser.is_whole) == (8, '8', True)

    @given(CUTS, st.integers(0, len(STREAM)))
    def test_resumes_without_a_gap(self, cuts, broken_at):
        """A cut anywhere and a resume after the last id lose nothing."""
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
    def test_follows_the_pauses(self, times, first_ms, pause_ms):
        """The first event and the longest pause are known for the log."""
        parser = EventStreamParser(began_s=1.0)
        for now_s, event in zip(times, EVENTS, strict=False):
            parser.feed(event, now_s)
        assert abs(parser.first_ms - first_ms) <= 1
        assert abs(parser.pause_ms - pause_ms) <= 1

    def test_an_endless_event_is_an_error(self):
        """The memory of a stream is bounded."""
        with pytest.raises(BackendError):
            EventStreamParser().feed(b'x' * (MAX_BUFFERED_BYTES + 1))
