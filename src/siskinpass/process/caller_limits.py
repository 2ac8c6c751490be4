"""Tell the operators what was done to callers' connections for want of room."""

import asyncio
from types import MappingProxyType

from siskinpass.connection.held_bytes import HeldBytes, HoldLimits, Limited
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics

LOG_INTERVAL_S = 10.0  # between two lines with the same reason
SENTENCES = MappingProxyType({
    Limited.paused: 'Callers that hold much memory are not read from.',
    Limited.given_up: 'Callers that hold much memory are refused or closed.',
    Limited.not_started: 'Requests are refused for want of memory.',
    Limited.no_room: 'Connections are closed for want of descriptors.',
})


class CallerLimitReports:
    """Metrics and log lines about callers that were limited."""

    def __init__(self, metrics: Metrics, limits: HoldLimits) -> None:
        self._metrics = metrics
        self._log = ComponentLog('callers')
        self._logged_s: dict[Limited, float] = {}
        self._unlogged: dict[Limited, int] = {}
        self.held = HeldBytes(limits, self._note, on_fault=self._note_fault)

    def set_states(self) -> None:
        """Set the metrics that show what is held now."""
        held = self.held
        for name, level in (
            ('callers_held_bytes', held.total_bytes),
            ('callers_budget_bytes', held.limits.budget_bytes),
            ('callers_connections', held.connections),
            ('callers_max_connections', held.limits.connections),
            ('callers_paused', held.paused),
        ):
            self._metrics.set_state(name, level)

    def _note(self, limited: Limited) -> None:
        self._metrics.limited(limited.value)
        count = self._unlogged.get(limited, 0) + 1
        self._unlogged[limited] = count
        now_s = asyncio.get_running_loop().time()
        last_s = self._logged_s.get(limited)
        if last_s is not None and now_s - last_s < LOG_INTERVAL_S:
            return
        self._logged_s[limited] = now_s
        self._unlogged[limited] = 0
        self._log.warn(
            SENTENCES[limited],
            reason=limited.value,
            count=count,
            held_bytes=self.held.total_bytes,
            connections=self.held.connections,
        )

    def _note_fault(self, error: Exception) -> None:
        self._log.warn(
            'A connection has failed and is closed.', cause=repr(error)
        )
