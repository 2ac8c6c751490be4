"""Check one request against known crashes, and judge its attempts."""

import asyncio
import time
from functools import cached_property

from siskinpass.process.crash_evidence import (
    BEGUN_WEIGHT,
    WAITING_WEIGHT,
    BrokenRequest,
)
from siskinpass.process.fleet.answer import AttemptResult
from siskinpass.process.fleet.crash_guard import CrashGuard
from siskinpass.process.fleet.tickets import shared_part_names
from siskinpass.request.identity import request_identity
from siskinpass.request.inbound import InboundRequest
from siskinpass.request.ticket import ServerView

MS_PER_S = 1000
# Time from the first event after which an answer shows that the parts of its
# prompt crash no server.
SOUND_S = 0.5


class CrashCheck:
    """Check of one request, by the names that it shares with others.

    :param guard: receives what the attempts show.
    :ivar parts: names of the prompt parts that other prompts may share.
    """

    def __init__(self, guard: CrashGuard, call: InboundRequest) -> None:
        self._guard = guard
        self._call = call
        self._loop = asyncio.get_running_loop()
        self._sent_s = 0.0
        self._first_event_s = 0.0
        self.parts = shared_part_names(call.prompt)

    @cached_property
    def identity(self) -> str:
        """Return a digest of the request, the same if it comes again."""
        return request_identity(self._call)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the parts and of the request itself."""
        return (*self.parts, self.identity)

    @property
    def crashes(self) -> int:
        """Return how many servers have ended under the request."""
        if not self._guard.is_watching:
            return 0
        return self._guard.crashes_of(self.identity)

    @property
    def is_blocked(self) -> bool:
        """Return whether the request must not be sent."""
        return self._guard.is_watching and self._guard.is_blocked(self.names)

    @property
    def has_events(self) -> bool:
        """Return whether the current attempt has brought any event."""
        return bool(self._first_event_s)

    async def admit(self) -> None:
        """Refuse the request if it would crash a server.

        Waits for a decision that is about to be made.

        :raises RefusedError: if it must not be sent.
        """
        if self._guard.is_watching:
            await self._guard.admit(self.names)

    def check(self) -> None:
        """Refuse the request if it is known to crash servers.

        :raises RefusedError: if it must not be sent.
        """
        if self._guard.is_watching:
            self._guard.check(self.names)

    def start_attempt(self) -> None:
        """Record that the request is sent to a server."""
        self._sent_s = self._loop.time()
        self._first_event_s = 0.0

    def note_events(self) -> None:
        """Record that events arrived; an answer that goes on is sound."""
        now_s = self._loop.time()
        self._first_event_s = self._first_event_s or now_s
        if now_s - self._first_event_s >= SOUND_S:
            self._clear()

    async def judge(
        self,
        attempt_result: AttemptResult,
        server: ServerView,
        *,
        is_listed: bool,
    ) -> None:
        """Report to the guard what the end of an attempt shows.

        Returns once it is known whether the server has ended too.

        :param is_listed: whether the server should still be there; the end of
            one that was leaving is no crash.
        """
        if attempt_result.is_success:
            self._clear()
        elif is_listed and _is_suspicious(attempt_result):
            request = self._broken_request(attempt_result, server)
            await self._guard.note_broken(request, server)

    def _clear(self) -> None:
        if self._guard.is_watching:
            self._guard.clear(self.names)

    def _broken_request(
        self, attempt_result: AttemptResult, server: ServerView
    ) -> BrokenRequest:
        ended_s = time.time()
        age_s = self._loop.time() - self._sent_s
        has_begun = attempt_result.head and not attempt_result.has_progressed
        return BrokenRequest(
            self._call.call_id,
            f'{server.name}/{server.incarnation}',
            self.names,
            BEGUN_WEIGHT if has_begun else WAITING_WEIGHT,
            int((ended_s - age_s) * MS_PER_S),
            int(ended_s * MS_PER_S),
        )


def _is_suspicious(attempt_result: AttemptResult) -> bool:
    """Return whether the answer broke off before it could prove sound."""
    head_age_s = attempt_result.head_age_s or 0.0
    is_sound = attempt_result.has_progressed and head_age_s >= SOUND_S
    return attempt_result.is_broken_off and not is_sound
