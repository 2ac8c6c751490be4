"""Count each caller's request that begins to run, once."""

import asyncio
from collections.abc import Callable

from siskinpass.process.fleet.cloud_client import boot_s

# Time after which a request without an answer counts as running. Refusals come
# sooner, and counts are added up soon after the end of their window.
REFUSAL_S = 0.5

# Counts a request of a workspace that began to run at a boot time.
CountUsage = Callable[[str, float], None]


def count_nothing(workspace: str, begun_s: float) -> None:
    """Ignore a request, where no usage is reported."""


class RequestMeter:
    """Count of one request over all its attempts.

    :param count: called once, if the request begins to run.
    """

    def __init__(self, count: CountUsage) -> None:
        self._count = count
        self._workspace = ''
        self._is_stream = False
        self._sent_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, workspace: str, *, is_stream: bool) -> None:
        """Set what is to be counted.

        :param workspace: name of the workspace, empty to count nothing.
        :param is_stream: whether the request begins with the first event of its
            answer, not when it is sent.
        """
        self._workspace = workspace
        self._is_stream = is_stream

    def note_event(self) -> None:
        """Count a stream that begins."""
        self._count_once(boot_s())

    def note_sent(self) -> None:
        """Record that the request is sent to a server."""
        is_counted = self._count is not count_nothing
        if is_counted and self._workspace and not self._is_stream:
            self._sent_s = boot_s()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                REFUSAL_S,
                self.note_end,
                True,  # noqa: FBT003
            )

    def note_end(self, may_have_run: bool) -> None:  # noqa: FBT001
        """Record the end of an attempt, or that no refusal has arrived."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
            if may_have_run:
                self._count_once(self._sent_s)

    def _count_once(self, begun_s: float) -> None:
        workspace, self._workspace = self._workspace, ''
        if workspace:
            self._count(workspace, begun_s)
