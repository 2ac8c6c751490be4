"""Report the work that arrives at this instance to the holder's candidates."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from siskinpass.process.duties.service_demand import DemandMeter, DemandRow
from siskinpass.version.routes import Service

DEMAND_TOPIC = 'demand'
REPORT_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Reporter:
    """Instance that reports.

    :param incarnation: start of its process.
    """

    name: str
    incarnation: int
    zone: str


class DemandReporter:
    """Sender of what the meter of this instance shows.

    Nothing is sent while no service has a scaling section, or no request for
    one has arrived.

    :param services: returns the services of the configuration in force.
    :param send: sends a payload to the candidates for the lease.
    :param keep: keeps the rows for this instance, which may be a candidate.
    """

    def __init__(
        self,
        own: Reporter,
        meter: DemandMeter,
        services: Callable[[], Iterable[Service]],
        send: Callable[[str, Any], None],
        keep: Callable[[str, Iterable[DemandRow]], None],
    ) -> None:
        self._own = own
        self._meter = meter
        self._services = services
        self._send = send
        self._keep = keep
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Report at the interval until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Report the work that arrives now."""
        scaled = {
            service.name
            for service in self._services()
            if service.scaling is not None
        }
        rows = self._meter.rows(scaled, self._own.zone, self._loop.time())
        if not rows:
            return
        self._keep(self._own.name, rows)
        self._send(DEMAND_TOPIC, (self._own.name, self._own.incarnation, rows))
