"""Send a stream to its caller, not before others can take it up."""

import asyncio
from typing import Any

from siskinpass.connection.http_caller import HttpCaller
from siskinpass.request.inbound import AnswerHead

# Longest time for which the first events are held. A pause of this length goes
# unnoticed; a store that takes longer is slow or away.
MAX_HOLD_S = 0.08


class StreamOutput:
    """Stream to one caller, whose first events may have to wait.

    A caller that has events may take the stream up anywhere, so that what began
    it has to be recorded before they are sent.
    """

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller
        self._head: AnswerHead | None = None
        self._held: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self, head: AnswerHead, recorded: asyncio.Future[None] | None
    ) -> None:
        """Send the head, or hold the stream until it is recorded.

        :param recorded: done when the stream is recorded, ``None`` if it needs
            no record.
        """
        self._head = head
        if recorded is None:
            self._release()
            return
        self._timer = asyncio.get_running_loop().call_later(
            MAX_HOLD_S, self._release
        )
        recorded.add_done_callback(self._release)

    def write(self, events: bytes) -> None:
        """Send complete events, after those that are held."""
        if self._head is None:
            self._caller.write_piece(events)
        else:
            self._held.append(events)

    def end(self) -> None:
        """Send what is held and end the stream."""
        self._release()
        self._caller.end_stream()

    def truncate(self) -> None:
        """Send what is held and close the connection without an end."""
        self._release()
        self._caller.truncate_stream()

    def _release(self, *_: Any) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        head, self._head = self._head, None
        held, self._held = self._held, []
        if head is None or not self._caller.is_open:
            return
        self._caller.start_stream(head.status, head.headers)
        for events in held:
            self._caller.write_piece(events)
