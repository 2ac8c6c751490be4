"""Seeded request traces and faults of the experiments."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from bench.demo import number_jobs
from bench.load import Job

DURATION_S = 24.0
TECHNICIAN_TOKENS = 20
QUOTATION_TOKENS = 100
REPORT_TOKENS = 300
WORKSPACES = (
    'recife', 'fortaleza', 'salvador', 'natal', 'maceio',
    'aracaju', 'olinda', 'caruaru', 'mossoro', 'sobral',
)  # fmt: skip
PROMPT_LENGTHS = (120, 400, 1600)


@dataclass(frozen=True, slots=True)
class Event:
    """Fault of a scenario.

    :param at_s: time in seconds from the start of the trace.
    :param target: name of a backend server or entry.
    :param order: command posted to the backend server, unless ``kill`` is set.
    :param kill: whether the process of the target is killed.
    """

    at_s: float
    target: str
    order: dict[str, Any] = field(default_factory=dict)
    kill: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Trace with its faults and expected alarms.

    :param expected_breaches: names of the classes whose targets cannot be met
        under this load.
    """

    name: str
    jobs: Sequence[Job]
    events: Sequence[Event] = ()
    expected_breaches: frozenset[str] = frozenset()


class _Trace:
    """Trace under construction, with its random generator."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.jobs: list[Job] = []

    def add(
        self,
        leaf: str,
        per_s: Callable[[float], float],
        tokens: int,
        kind: str = 'engine',
    ) -> None:
        """Add requests of a class, by thinning a Poisson process.

        :param per_s: rate in requests per second at a time of the trace; its
            peak is taken from samples every 0.25 s.
        :param tokens: mean answer length.
        """
        peak_per_s = max(per_s(at / 4) for at in range(int(DURATION_S * 4)))
        if peak_per_s <= 0:
            return
        at_s = self.rng.expovariate(peak_per_s)
        while at_s < DURATION_S:
            if self.rng.random() < per_s(at_s) / peak_per_s:
                self.jobs.append(self._job(at_s, leaf, kind, tokens))
            at_s += self.rng.expovariate(peak_per_s)

    def _job(self, at_s: float, leaf: str, kind: str, tokens: int) -> Job:
        length = max(1, int(self.rng.gauss(tokens, tokens / 4)))
        return Job(
            at_s,
            self.rng.choice(WORKSPACES),
            leaf,
            kind,
            length,
            self._prompt(),
        )

    def _prompt(self) -> str:
        start = f'manual {self.rng.randrange(40)} '
        length = self.rng.choice(PROMPT_LENGTHS)
        return (start * (length // len(start) + 1))[:length]


def constant(per_s: float) -> Callable[[float], float]:
    """Return a constant rate in requests per second."""
    return lambda at_s: per_s


def ramp(low: float, high: float) -> Callable[[float], float]:
    """Return a rate that rises between 6 s and 11 s and drops after 20 s."""

    def rate(at_s: float) -> float:
        if at_s < 6 or at_s > 20:
            return low
        if at_s < 11:
            return low + (high - low) * (at_s - 6) / 5
        return high

    return rate


def pulse(low: float, high: float, start: float, end: float):
    """Return a rate that is ``high`` between two times, otherwise ``low``."""
    return lambda at_s: high if start <= at_s < end else low


def build(name: str, seed: int) -> Scenario:
    """Return a scenario by its name.

    :raises KeyError: if there is none of this name.
    """
    return _BUILDERS[name](_Trace(seed))


def names() -> list[str]:
    """Return the names of all scenarios in alphabetical order."""
    return sorted(_BUILDERS)


def _finish(name: str, trace: _Trace, **fields: Any) -> Scenario:
    return Scenario(name, number_jobs(trace.jobs), **fields)


def _add_classes(trace: _Trace, technician_rate, reports_per_s: float) -> None:
    trace.add('technician', technician_rate, TECHNICIAN_TOKENS)
    trace.add('parts', constant(3), 0, 'service')
    trace.add('quotation', constant(3), QUOTATION_TOKENS)
    trace.add('report', constant(reports_per_s), REPORT_TOKENS)


def _quiet(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(15), 0)
    return _finish('quiet', trace)


def _drafts(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(15), 24)
    return _finish('drafts', trace)


def _swing(trace: _Trace) -> Scenario:
    _add_classes(trace, ramp(20, 60), 20)
    return _finish('swing', trace)


def _crest(trace: _Trace) -> Scenario:
    trace.add('technician', pulse(10, 220, 10, 14), TECHNICIAN_TOKENS)
    trace.add('parts', pulse(3, 20, 10, 14), 0, 'service')
    trace.add('quotation', pulse(3, 12, 10, 14), QUOTATION_TOKENS)
    trace.add('report', pulse(6, 20, 10, 14), REPORT_TOKENS)
    return _finish('crest', trace)


def _slowed(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(25), 8)
    events = []
    for turn, start in enumerate((4, 10, 16)):
        for offset in (0, 1):
            name = f'engine-{(2 * turn + offset) % 6 + 1}'
            events.extend((
                Event(start, name, {'slow': 5}),
                Event(start + 5, name, {'slow': 1}),
            ))
    return _finish('slowed', trace, events=events)


def _stragglers(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(20), 6)
    jobs = [
        Job(
            job.at_s,
            job.workspace,
            job.leaf,
            job.kind,
            job.tokens * 20,
            job.prompt,
        )
        if job.leaf == 'quotation' and trace.rng.random() < 0.3
        else job
        for job in trace.jobs
    ]
    trace.jobs = jobs
    return _finish('stragglers', trace)


def _one_class(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(20), 6)
    trace.add('quotation', pulse(0, 60, 6, 12), QUOTATION_TOKENS)
    return _finish('one-class', trace)


def _crash(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(20), 8)
    events = (
        Event(8, 'engine-2', kill=True),
        Event(14, 'entry-2', kill=True),
    )
    return _finish('crash', trace, events=events)


def _long_rush(trace: _Trace) -> Scenario:
    _add_classes(trace, constant(320), 4)
    return _finish(
        'long-rush',
        trace,
        expected_breaches=frozenset(('technician', 'quotation', 'report')),
    )


_BUILDERS = {
    'quiet': _quiet,
    'drafts': _drafts,
    'swing': _swing,
    'crest': _crest,
    'slowed': _slowed,
    'stragglers': _stragglers,
    'one-class': _one_class,
    'crash': _crash,
    'long-rush': _long_rush,
}
