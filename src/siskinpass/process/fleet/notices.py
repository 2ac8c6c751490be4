"""Act on what backend servers say about themselves in their answers."""

import asyncio
from collections.abc import Callable

from siskinpass.process.fleet.server_limits import ServerLimits
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pauses import ServerPauses
from siskinpass.request.inbound import ServerNotice
from siskinpass.request.ticket import ServerView

# Brittle servers count the requests that they turn away in each second.
BRITTLE_PAUSE_S = 1.0


class ServerNotices:
    """Receiver of the servers' notices.

    :param pauses: where a server's request for a pause is recorded.
    :param limits: where the rate limits that servers state are recorded.
    :param on_leaving: called with each server that announces its end.
    """

    def __init__(
        self,
        pauses: ServerPauses,
        limits: ServerLimits,
        on_leaving: Callable[[ServerView], None],
        metrics: Metrics,
    ) -> None:
        self._pauses = pauses
        self._limits = limits
        self._on_leaving = on_leaving
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('notices')

    def receive(
        self, server: ServerView, sent_s: float, notice: ServerNotice
    ) -> None:
        """Act on one notice; what cannot be read changes nothing.

        :param server: as it was when the request was sent to it.
        :param sent_s: when that was, on the event loop's clock.
        """
        if notice.is_leaving:
            self._metrics.noticed('leaving')
            self._on_leaving(server)
        if notice.refusals_per_s is not None:
            self._limits.note_brittle(server, notice.refusals_per_s)
            if notice.is_full:
                self._start_pause(server, BRITTLE_PAUSE_S)
        if notice.pause_s:
            self._start_pause(server, notice.pause_s)
        if notice.unreadable:
            self._metrics.noticed('unreadable')
            self._log.warn(
                'Ignored unreadable headers of an answer.',
                server=server.name,
                cause='; '.join(notice.unreadable),
            )
        else:
            self._limits.note(server, notice.limit_per_s, sent_s)

    def _start_pause(self, server: ServerView, pause_s: float) -> None:
        self._metrics.noticed('pause')
        used_s = self._pauses.pause(server.name, pause_s, self._loop.time())
        self._log.note(
            'A server gets a pause.',
            server=server.name,
            asked_s=pause_s,
            pause_s=used_s,
        )
