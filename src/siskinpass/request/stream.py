"""Incremental parser that checks token streams and makes them resumable.

Pure logic without I/O. Only complete events are passed on and partial ones are
buffered, so that a stream that breaks off can be continued from another
backend server at the next token.
"""

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError
from siskinpass.request.event_buffer import EVENT_END, EventBuffer

DONE_EVENT = b'data: [DONE]\n\n'


class TokenStreamParser:
    """Counts the tokens of one stream and checks that they belong to it."""

    def __init__(self, marker: bytes) -> None:
        """Start before the first token.

        :param marker: bytes that each event of this request must contain.
        """
        self._marker = marker
        self._buffer = EventBuffer()
        self._tokens = 0
        self._done = False
        self._first_s = 0.0
        self._last_s = 0.0

    @property
    def tokens(self) -> int:
        """Return the number of tokens passed on, over all attempts."""
        return self._tokens

    @property
    def done(self) -> bool:
        """Return whether the end marker ``[DONE]`` has arrived."""
        return self._done

    @property
    def first_s(self) -> float:
        """Return the time at which the first token arrived, 0 before it."""
        return self._first_s

    @property
    def last_s(self) -> float:
        """Return the time of the latest token, 0 before the first."""
        return self._last_s

    def feed(self, piece: bytes, now_s: float) -> bytes:
        """Parse bytes from a backend server and return those to pass on.

        :param piece: the bytes, cut anywhere.
        :param now_s: the clock in seconds.
        :returns: the events that are now complete, empty for none.
        :raises BackendError: where an event belongs to another request, where
            an event follows the end marker, or where one is too large.
        """
        whole = self._buffer.feed(piece)
        if not whole:
            return b''
        if self._done:
            raise BackendError(Code.answer_crossed, 'bytes after the end')
        events = whole.count(EVENT_END)
        ended = whole.endswith(DONE_EVENT)
        if ended:
            events -= 1
        if whole.count(self._marker) != events:
            raise BackendError(Code.answer_crossed)
        self._done = ended
        if events:
            self._first_s = self._first_s or now_s
            self._last_s = now_s
            self._tokens += events
        return whole

    def drop_partial(self) -> None:
        """Discard the buffered part of an event that broke off."""
        self._buffer.clear()
