"""Test parsing and resuming token streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError
from siskinpass.request.stream import DONE_EVENT, TokenStreamParser

MARKER = b'"id":"r1"'


def event(index, name='r1'):
    """Return one event with a token, for the request ``name``."""
    return b'data: {"id":"%b","text":"t%d"}\n\n' % (name.encode(), index)


def split(wire, cuts):
    """Return the bytes split at the offsets ``cuts``, modulo their length."""
    offsets = sorted({cut % (len(wire) + 1) for cut in cuts})
    starts = [0, *offsets]
    return [
        wire[start:end]
        for start, end in zip(starts, [*offsets, len(wire)], strict=True)
    ]


class TestTokenStreamParser:
    """Test counting, checking and buffering."""

    @given(st.integers(1, 8), st.lists(st.integers(0, 400), max_size=12))
    def test_any_split_passes_the_same_bytes(self, count, cuts):
        """The caller gets the same stream however it was split on arrival."""
        wire = b''.join(event(index) for index in range(count)) + DONE_EVENT
        parser = TokenStreamParser(MARKER)
        passed = b''.join(
            parser.feed(piece, 1.0) for piece in split(wire, cuts)
        )
        assert passed == wire
        assert (parser.tokens, parser.done) == (count, True)

    @given(
        st.integers(1, 6),
        st.integers(0, 300),
        st.lists(st.integers(0, 400), max_size=6),
    )
    def test_resume_neither_loses_nor_repeats_tokens(self, count, broken, cuts):
        """A stream that broke off anywhere is resumed at the next token."""
        wire = b''.join(event(index) for index in range(count)) + DONE_EVENT
        parser = TokenStreamParser(MARKER)
        first = wire[: broken % len(wire)]
        passed = b''.join(
            parser.feed(piece, 1.0) for piece in split(first, cuts)
        )
        parser.drop_partial()
        if not parser.done:
            rest = b''.join(
                event(index) for index in range(parser.tokens, count)
            )
            passed += parser.feed(rest + DONE_EVENT, 2.0)
        assert passed == wire

    @pytest.mark.parametrize(
        'wire',
        [
            event(0, 'other'),
            event(0) + event(1, 'other'),
            event(0) + DONE_EVENT + event(1),
            DONE_EVENT + DONE_EVENT,
        ],
    )
    def test_event_of_another_request_is_not_passed_on(self, wire):
        """Events of other requests and bytes after the end are errors."""
        parser = TokenStreamParser(MARKER)
        with pytest.raises(BackendError) as caught:
            parser.feed(wire, 1.0)
            parser.feed(event(2), 1.0)
        assert caught.value.code is Code.answer_crossed

    def test_event_without_end_is_bounded(self):
        """An event that never ends raises an error instead of using memory."""
        parser = TokenStreamParser(MARKER)
        with pytest.raises(BackendError):
            for _ in range(100):
                parser.feed(b'x' * 10_000, 1.0)
