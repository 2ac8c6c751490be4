"""Follow the events of one stream, so that only whole ones are passed on.

Pure logic. A piece of an event is held back, so that a stream that breaks off
can go on elsewhere after the last whole event.
"""

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
MS_PER_S = 1000
MAX_BUFFERED_BYTES = (
    262_144  # far above any event; bounds the memory of a stream
)


class EventStreamParser:
    """Cut a stream into whole events and keep the id of the last."""

    def __init__(self, began_s: float = 0.0) -> None:
        """Start before the first event.

        :param began_s: when the request arrived.
        """
        self._began_s = began_s
        self._last_s = 0.0
        self._first_s = 0.0
        self._pause_s = 0.0
        self._buffer = b''
        self._last_id = ''
        self._count = 0

    @property
    def last_id(self) -> str:
        """Return the id of the last whole event, empty before the first."""
        return self._last_id

    @property
    def count(self) -> int:
        """Return how many whole events were passed on."""
        return self._count

    @property
    def is_whole(self) -> bool:
        """Return whether no piece of an event is held back."""
        return not self._buffer

    @property
    def first_ms(self) -> int:
        """Return the time from the request to the first event, in ms."""
        return int(self._first_s * MS_PER_S)

    @property
    def pause_ms(self) -> int:
        """Return the longest time between events, in ms."""
        return int(self._pause_s * MS_PER_S)

    def feed(self, piece: bytes, now_s: float = 0.0) -> bytes:
        """Take in bytes and return the whole events among them.

        :param now_s: the clock in seconds.
        :raises BackendError: where an event is too large.
        """
        arrived = self._buffer + piece
        end = arrived.rfind(EVENT_END)
        if end < 0:
            self._keep_partial(arrived)
            return b''
        end += len(EVENT_END)
        whole = arrived[:end]
        self._keep_partial(arrived[end:])
        for event in whole.split(EVENT_END)[:-1]:
            self._note_event(event)
        self._note_time(now_s)
        return whole

    def drop_partial(self) -> None:
        """Forget a piece of an event that broke off."""
        self._buffer = b''

    def _keep_partial(self, piece: bytes) -> None:
        if len(piece) > MAX_BUFFERED_BYTES:
            raise BackendError(Code.backend_error, 'an event is too large')
        self._buffer = piece

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
