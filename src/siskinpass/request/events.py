"""Incremental parser of event streams that passes on only complete events.

Pure logic without I/O. Partial events are buffered, so that a stream that
breaks off can be continued from another backend server after the last complete
event.
"""

from siskinpass.request.event_buffer import EVENT_END, EventBuffer

ID_FIELD = b'id:'
MS_PER_S = 1000


class EventStreamParser:
    """Splits one stream into complete events and remembers the last id.

    It also measures the time to the first event and the longest pause.
    """

    def __init__(self, began_s: float = 0.0) -> None:
        """Start before the first event.

        :param began_s: the clock in seconds when the request arrived.
        """
        self._began_s = began_s
        self._last_s = 0.0
        self._first_s = 0.0
        self._pause_s = 0.0
        self._buffer = EventBuffer()
        self._last_id = ''
        self._count = 0

    @property
    def last_id(self) -> str:
        """Return the last id among complete events, empty before the first."""
        return self._last_id

    @property
    def count(self) -> int:
        """Return the number of complete events passed on."""
        return self._count

    @property
    def is_whole(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._buffer

    @property
    def first_ms(self) -> int:
        """Return the time from the request to the first event, in ms."""
        return int(self._first_s * MS_PER_S)

    @property
    def pause_ms(self) -> int:
        """Return the longest pause between events, in ms."""
        return int(self._pause_s * MS_PER_S)

    def feed(self, piece: bytes, now_s: float = 0.0) -> bytes:
        """Parse bytes and return the events that are now complete.

        :param piece: bytes from a backend server, cut anywhere.
        :param now_s: the clock in seconds.
        :raises BackendError: where an event is too large.
        """
        whole = self._buffer.feed(piece)
        if not whole:
            return b''
        for event in whole.split(EVENT_END)[:-1]:
            self._note_event(event)
        self._note_time(now_s)
        return whole

    def drop_partial(self) -> None:
        """Discard the buffered part of an event that broke off."""
        self._buffer.clear()

    def _note_time(self, now_s: float) -> None:
        if self._last_s:
            self._pause_s = max(self._pause_s, now_s - self._last_s)
        else:
            self._first_s = now_s - self._began_s
        self._last_s = now_s

    def _note_event(self, event: bytes) -> None:
        self._count += 1
        for line in event.split(b'\n'):
            if line.startswith(ID_FIELD):
                self._last_id = line[len(ID_FIELD) :].strip().decode('latin-1')
