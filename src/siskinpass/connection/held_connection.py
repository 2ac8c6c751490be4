"""Connection of a caller that is limited in what it holds."""

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.connection.held_bytes import HeldBytes
from siskinpass.connection.holdings import SMALL_BYTES, Stage
from siskinpass.connection.sockets import tune_socket
from siskinpass.connection.timer import Timer
from siskinpass.request.kept_body import Piece

WRITE_HIGH_WATER_BYTES = 262_144
# Within which a caller has to read anything of an answer; as long as the
# longest timeout of a route.
WRITE_TIMEOUT_S = 30.0
# Until what is unread is looked at again, as nothing tells that it was read.
RECHECK_S = 0.2


class WritableCallback(Protocol):
    """Callback for the flow control of a response."""

    def __call__(self, *, on: bool) -> None:
        """Resume or pause writing.

        :param on: whether the caller's connection accepts more data.
        """


class HeldConnection(asyncio.Protocol):
    """Connection that books what it holds and pauses when it is told to.

    Subclasses state what they do and hold, and call ``_update`` when that has
    changed.

    :param held: account of what all callers' connections hold.
    """

    def __init__(self, held: HeldBytes | None = None) -> None:
        self._held = held or HeldBytes()
        self._write_timer = Timer(
            asyncio.get_running_loop(), self._check_progress
        )
        self._written_bytes = 0
        self._sent_bytes_before = 0  # when the write timer was started
        # Set once the connection is accepted, which the listener knows before.
        self._transport: asyncio.Transport | None = None
        self._is_lost = False
        self._is_reading = True
        self._is_on_hold = False
        self._is_unread = False
        self._has_served = False
        self._booked_timer = Timer(asyncio.get_running_loop(), self._update)
        self.on_lost: Callable[[], None] | None = None
        self.on_writable: WritableCallback | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a response can still be sent to the caller."""
        return not self._transport.is_closing()

    @property
    def is_lost(self) -> bool:
        """Return whether the connection is closed, with all data sent."""
        return self._is_lost

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and book the connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        tune_socket(transport)
        self._held.enter(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the current handler that the caller disconnected."""
        self._is_lost = True
        self._write_timer.clear()
        self._booked_timer.clear()
        self._held.leave(self)
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        """Ask the current handler to pause; the write buffer is full."""
        self._is_unread = True
        self._start_write_timer()
        self._update()
        if self.on_writable is not None:
            self.on_writable(on=False)

    def resume_writing(self) -> None:
        """Ask the current handler to resume writing."""
        self._is_unread = False
        self._write_timer.clear()
        self._update()
        if self.on_writable is not None and not self._is_on_hold:
            self.on_writable(on=True)

    def hold(self, *, on: bool) -> None:
        """Take in no more data, or go on; see ``Holder``."""
        self._is_on_hold = on
        if self.on_writable is not None:
            self.on_writable(on=not (on or self._is_unread))
        if not self._transport.is_closing():
            self._update()

    @abstractmethod
    def give_up(self, code: Code) -> None:
        """Refuse the request that arrives, or close; see ``Holder``."""

    def write(self, wire: Piece) -> None:
        """Send data as is, unless the caller has disconnected.

        uvloop raises an error for a write to a closed transport.
        """
        if self.is_open:
            self._written_bytes += len(wire)
            self._transport.write(wire)
            if self._transport.get_write_buffer_size() > SMALL_BYTES:
                self._update()

    def abort(self) -> None:
        """Close at once, discarding data that was not sent yet."""
        self._transport.abort()

    @property
    def _unread_bytes(self) -> int:
        if self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    @abstractmethod
    def _activity(self) -> Stage:
        """Return what the connection does, apart from what is unread."""

    @abstractmethod
    def _kept_bytes(self) -> int:
        """Return the memory of what was received and of kept answers."""

    @abstractmethod
    def _wants_data(self) -> bool:
        """Return whether more may be received, as far as this connection."""

    def _update(self) -> None:
        """Book what is held, and read as the account and the request allow."""
        if self._is_lost or self._transport is None:
            return
        unread = self._unread_bytes
        stage = self._activity()
        if unread > SMALL_BYTES and stage is not Stage.leaving:
            stage = Stage.unread
            self._booked_timer.start(RECHECK_S)
        self._held.book(self, stage, unread + self._kept_bytes())
        is_stopped = self._is_on_hold and stage is Stage.arriving
        reads = self._wants_data() and not is_stopped
        if reads is self._is_reading or self._transport.is_closing():
            return
        self._is_reading = reads
        if reads:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _close_when_sent(self) -> None:
        """Close once everything was sent, or the caller reads no more."""
        if self._unread_bytes:
            self._start_write_timer()
        self._transport.close()

    def _give_place(self) -> None:
        """Close for others; an answer that is ready is still sent."""
        if self._unread_bytes:
            self._close_when_sent()
        else:
            self.abort()

    @property
    def _sent_bytes(self) -> int:
        return self._written_bytes - self._transport.get_write_buffer_size()

    def _start_write_timer(self) -> None:
        self._sent_bytes_before = self._sent_bytes
        self._write_timer.start(WRITE_TIMEOUT_S)

    def _check_progress(self) -> None:
        """Abort a connection whose caller has read nothing for too long."""
        if self._sent_bytes > self._sent_bytes_before:
            self._start_write_timer()
        else:
            self.abort()
