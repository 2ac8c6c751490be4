"""Bytes that were received and are taken from the front."""


class ByteQueue:
    """Queue of bytes; the work is linear in what goes through it.

    A ``bytes`` or ``bytearray`` that is cut at the front is copied for each
    cut, which for many short requests in one piece takes time that grows with
    the square of its length.
    """

    def __init__(self) -> None:
        self._held = bytearray()
        self._taken = 0  # bytes at the front that were taken

    def __len__(self) -> int:
        """Return how many bytes are left."""
        return len(self._held) - self._taken

    def add(self, piece: bytes) -> None:
        """Append bytes."""
        self._held += piece

    def take(self, size: int) -> bytes:
        """Return bytes from the front and remove them."""
        with memoryview(self._held) as view:
            piece = bytes(view[self._taken : self._taken + size])
        self._taken += len(piece)
        # What is copied is never more than what was taken since the last time.
        if self._taken >= len(self):
            self._held = self._held[self._taken :]
            self._taken = 0
        return piece

    def find(self, text: bytes, start: int = 0) -> int:
        """Return the place of a text from the front, -1 if it is missing."""
        place = self._held.find(text, self._taken + start)
        return max(place - self._taken, -1)

    def count_leading(self, allowed: bytes, most: int) -> int:
        """Return how many bytes at the front are among the allowed ones.

        :param most: number of bytes that are looked at.
        """
        count = 0
        for byte in memoryview(self._held)[self._taken : self._taken + most]:
            if byte not in allowed:
                break
            count += 1
        return count

    def clear(self) -> None:
        """Remove everything."""
        self._held = bytearray()
        self._taken = 0
