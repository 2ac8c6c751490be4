"""Buffer that returns the complete events of a stream.

Pure logic without I/O. Its work grows with the bytes of the stream, however
small the pieces are in which they arrive.
"""

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError

EVENT_END = b'\n\n'
# Far above the size of any event; limits the memory used per stream.
MAX_BUFFERED_BYTES = 262_144


class EventBuffer:
    """Buffer of one stream, which holds at most a part of one event."""

    def __init__(self) -> None:
        """Start empty."""
        self._partial = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes of the partial event."""
        return len(self._partial)

    def feed(self, piece: bytes) -> bytes:
        """Add bytes, cut anywhere, and return the events now complete.

        :raises BackendError: if an event is too large.
        """
        # The end of an event may be split between two pieces.
        searched = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += piece
        end = self._partial.rfind(EVENT_END, searched)
        whole = b''
        if end >= 0:
            end += len(EVENT_END)
            whole = bytes(self._partial[:end])
            del self._partial[:end]  # noqa: WPS420
        if len(self._partial) > MAX_BUFFERED_BYTES:
            raise BackendError(Code.backend_error, 'an event is too large')
        return whole

    def clear(self) -> None:
        """Discard the partial event."""
        self._partial.clear()
