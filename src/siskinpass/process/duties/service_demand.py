"""Estimate the work that callers ask of each service.

Pure logic. An instance adds up the work of the requests that arrive at it,
counted in seconds of one server: prompt tokens that are not cached divided by
the prefill rate, and the time for which a request then occupies a place
divided by the places that a server sustains. Refused requests count like all
others, with the mean work of their class, as they would have been served with
more servers. The holder of the lease adds up what the instances report.
"""

import math
from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from siskinpass.process.duties.capacity import ServiceDemand
from siskinpass.process.prefill import PREFILL_TOKENS_PER_S
from siskinpass.request.ticket import ServerView, Ticket

WINDOW_S = 2.0  # one instance sees few requests a second
# Smoothing of the work of a class: averages about the last 20 requests.
SMOOTHING = 0.1
# Part of a server's places that is used without waiting, and the largest number
# of them: the step of an engine grows with the requests that it runs, so that
# few engines sustain as many as they have places.
PLACE_FRACTION = 0.8
MAX_PLACES = 24
MAX_OPEN = 20_000  # requests whose state is kept
MAX_CLASSES = 256
WORK_DIGITS = 4  # of a row
# Reports come every 0.5 s; datagrams may be lost.
REPORT_EXPIRY_S = 3.0
PEAK_S = 60.0
SAMPLE_S = 0.5
STEADY_QUANTILE = 0.8
MIN_REPORTING = 0.5  # of the largest number of instances that reported
# Time in which this largest number falls by one, so that capacity follows again
# some time after instances were removed for good.
FORGET_REPORTER_S = 60.0

# Service and request class.
Class = tuple[str, str]
# Service, zone of the instance and work in server seconds a second.
DemandRow = tuple[str, str, float]


@dataclass(slots=True)
class _Open:
    """Request that waits or runs.

    :param work_s: server seconds of its prefill, once it was granted.
    :param places: requests that its server sustains.
    :param running_s: when it began to occupy a place after its prefill.
    """

    group: Class
    opened_s: float
    is_granted: bool = False
    work_s: float = 0.0
    places: float = 1.0
    running_s: float = 0.0


@dataclass(slots=True)
class _ClassWork:
    """Requests of one class in the window, and the mean work of one."""

    arrivals: deque[float] = field(default_factory=deque)
    waiting: set[str] = field(default_factory=set)
    prefill_s: float | None = None
    running_s: float | None = None

    @property
    def work_s(self) -> float:
        """Return the mean work of one request."""
        return (self.prefill_s or 0.0) + (self.running_s or 0.0)

    def count(self, now_s: float) -> None:
        """Count one request that arrives."""
        self.forget_before(now_s - WINDOW_S)
        self.arrivals.append(now_s)

    def forget_before(self, begin_s: float) -> None:
        """Forget the requests that arrived before the window."""
        while self.arrivals and self.arrivals[0] < begin_s:
            self.arrivals.popleft()


class DemandMeter:
    """Meter of the work that arrives at one instance."""

    def __init__(self) -> None:
        self._open: dict[str, _Open] = {}
        self._classes: dict[Class, _ClassWork] = {}

    def note_opened(self, ticket: Ticket, now_s: float) -> None:
        """Count a request that arrived."""
        group = (ticket.pool, ticket.node)
        if group not in self._classes and len(self._classes) >= MAX_CLASSES:
            return
        work = self._classes.setdefault(group, _ClassWork())
        if ticket.ticket_id in self._open or len(self._open) >= MAX_OPEN:
            return
        work.count(now_s)
        work.waiting.add(ticket.ticket_id)
        self._open[ticket.ticket_id] = _Open(group, now_s)

    def note_granted(
        self, ticket_id: str, server: ServerView, unread: int, now_s: float
    ) -> None:
        """Record that a request goes to a server.

        :param unread: prompt tokens that the server does not have cached.
        """
        known = self._open.get(ticket_id)
        if known is None:
            return
        work = self._classes[known.group]
        work.waiting.discard(ticket_id)
        known.is_granted = True
        known.places = min(MAX_PLACES, max(1.0, server.slots * PLACE_FRACTION))
        prefill_s = unread / PREFILL_TOKENS_PER_S
        known.running_s = now_s + prefill_s
        work.prefill_s = _smoothed(work.prefill_s, prefill_s)

    def note_prefilled(self, ticket_id: str, now_s: float) -> None:
        """Record the first event of a request."""
        known = self._open.get(ticket_id)
        if known is not None:
            known.running_s = now_s

    def note_ended(self, ticket_id: str, now_s: float) -> None:
        """Record the end of a request that its server did not fail."""
        known = self._open.get(ticket_id)
        if known is not None and known.is_granted:
            work = self._classes[known.group]
            running_s = max(0.0, now_s - known.running_s) / known.places
            work.running_s = _smoothed(work.running_s, running_s)
        self.note_failed(ticket_id)

    def note_failed(self, ticket_id: str) -> None:
        """Record that a request was refused, or failed at its server."""
        known = self._open.pop(ticket_id, None)
        if known is not None:
            self._classes[known.group].waiting.discard(ticket_id)

    def rows(
        self, services: Container[str], zone: str, now_s: float
    ) -> list[DemandRow]:
        """Return the work that arrives a second, by service.

        Requests that have waited for longer than the window count as well:
        they are work that was not done in time.

        :param services: services to report.
        :param zone: zone of this instance.
        """
        busy: dict[str, float] = {}
        for (service, _), work in self._classes.items():
            if service in services:
                found = self._requests(work, now_s) * work.work_s / WINDOW_S
                busy[service] = busy.get(service, 0.0) + found
        return [
            (service, zone, round(found, WORK_DIGITS))
            for service, found in busy.items()
        ]

    def _requests(self, work: _ClassWork, now_s: float) -> int:
        work.forget_before(now_s - WINDOW_S)
        late = sum(
            self._open[ticket_id].opened_s < now_s - WINDOW_S
            for ticket_id in work.waiting
        )
        return len(work.arrivals) + late


def _smoothed(known: float | None, found: float) -> float:
    return found if known is None else known + SMOOTHING * (found - known)


@dataclass(frozen=True, slots=True)
class _Report:
    received_s: float
    rows: tuple[DemandRow, ...]


@dataclass(slots=True)
class _History:
    """Samples of one service: time, work and instances that reported load.

    :param most: largest number of instances that reported; it falls slowly and
        does not end with the samples, as most reports may stay away for longer.
    """

    samples: deque[tuple[float, float, int]] = field(default_factory=deque)
    most: float = 0.0
    loaded_from_s: float | None = None


class DemandTable:
    """Sum of the work that the instances report."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._histories: dict[str, _History] = {}
        self._sampled_s = -math.inf

    def update(
        self, instance: str, rows: Iterable[DemandRow], now_s: float
    ) -> None:
        """Store the newest report of an instance."""
        self._reports[instance] = _Report(now_s, tuple(rows))
        if now_s - self._sampled_s >= SAMPLE_S:
            self.sample(now_s)

    def sample(self, now_s: float) -> None:
        """Add the present sums to the history; old reports are removed."""
        self._sampled_s = now_s
        for instance, report in tuple(self._reports.items()):
            if now_s - report.received_s > REPORT_EXPIRY_S:
                self._reports.pop(instance)
        busy: dict[str, list[float]] = {}
        for report in self._reports.values():
            for service, _, found in report.rows:
                busy.setdefault(service, []).append(found)
        for service in self._histories.keys() | busy.keys():
            self._add_sample(service, busy.get(service, []), now_s)

    def demand(self, service: str, now_s: float) -> ServiceDemand:
        """Return the demand of one service as known now."""
        history = self._histories.get(service)
        if history is None or history.loaded_from_s is None:
            return ServiceDemand()
        # Pauses of the load say nothing about what returns after them.
        works = sorted(work for _, work, _ in history.samples if work) or [0.0]
        _, busy, reporting = history.samples[-1]
        is_fresh = now_s - self._sampled_s <= REPORT_EXPIRY_S
        return ServiceDemand(
            busy=busy,
            peak=works[-1],
            steady=works[int((len(works) - 1) * STEADY_QUANTILE)],
            loaded_s=now_s - history.loaded_from_s,
            is_known=is_fresh and reporting >= history.most * MIN_REPORTING,
        )

    def _add_sample(
        self, service: str, works: list[float], now_s: float
    ) -> None:
        history = self._histories.setdefault(service, _History())
        busy = sum(works)
        if history.samples:
            passed_s = now_s - history.samples[-1][0]
            history.most -= passed_s / FORGET_REPORTER_S
        history.most = max(history.most, len(works))
        history.samples.append((now_s, busy, len(works)))
        while now_s - history.samples[0][0] > PEAK_S:
            history.samples.popleft()
        if busy > 0 and history.loaded_from_s is None:
            history.loaded_from_s = now_s
