"""Judge the evidence of a chaos run."""

import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bench.load import Answer, Job

LEFT_ALONE_S = 3.0
LIST_LAG_S = 1.0
CLOCK_SLACK_S = 1.0
# Stock is asked for again where a call broke off; orders never are.
ONCE = '"class":"order"'


@dataclass(slots=True)
class Observations:
    """Collect what callers, instances and back ends saw.

    :param answers: entry, job and answer of each try.
    :param versions: entry, process and version in force, sample by sample.
    :param killed: entry and time of each kill.
    :param stopped: entry and time of each graceful stop.
    :param leaving: engine, start and end of each leave, by the wall clock.
    :param edits: number, workspace and level of each accepted edit.
    """

    answers: list[tuple[str, Job, Answer]] = field(default_factory=list)
    versions: list[tuple[str, int, int]] = field(default_factory=list)
    killed: list[tuple[str, float]] = field(default_factory=list)
    stopped: list[tuple[str, float]] = field(default_factory=list)
    unclean_stops: list[str] = field(default_factory=list)
    leave_windows: list[list[Any]] = field(default_factory=list)
    edits: list[tuple[int, str, int]] = field(default_factory=list)
    engine_runs: dict[tuple, float] = field(default_factory=dict)
    service_runs: list[str] = field(default_factory=list)
    final_tree: dict[str, Any] = field(default_factory=dict)
    fault_log: list[tuple[float, str]] = field(default_factory=list)
    memory: dict[tuple[str, int], list[int]] = field(default_factory=dict)

    def is_leaving(self, name: str) -> bool:
        """Tell whether an engine is leaving now."""
        now_s = time.time()
        return any(
            one[0] == name and one[2] >= now_s for one in self.leave_windows
        )

    def was_killed(self, entry: str, answer: Answer) -> bool:
        """Tell whether an entry was killed while a request was open."""
        return any(
            name == entry
            and answer.sent_s - CLOCK_SLACK_S <= at <= answer.end_s
            for name, at in self.killed
        )


def find_violations(
    observations: Observations,
) -> tuple[dict[str, int], list[str]]:
    """Return how many checks were made by kind, and what was violated."""
    checks = {
        'answers': len(observations.answers),
        'service runs': len(observations.service_runs),
        'engine runs': len(observations.engine_runs),
        'versions': len(observations.versions),
        'edits': len(observations.edits),
        'leaves': len(observations.leave_windows),
        'graceful stops': len(observations.stopped),
    }
    violations = [
        *_answers(observations),
        *_orders(observations),
        *_versions(observations),
        *_edits(observations),
        *_leaves(observations),
        *observations.unclean_stops,
    ]
    return checks, violations


def _answers(observations: Observations) -> list[str]:
    found = []
    for entry, job, answer in observations.answers:
        what = f'{job.leaf} {job.number} at {entry}'
        if answer.fault in {'crossed', 'doubled', 'disordered'}:
            found.append(f'{what}: {answer.fault}')
        elif answer.fault == 'no answer: TimeoutError':
            found.append(f'{what}: no end')
        elif answer.fault == 'cut' and not observations.was_killed(
            entry, answer
        ):
            found.append(f'{what}: cut though its entry was not killed')
    return found


def _orders(observations: Observations) -> list[str]:
    runs = Counter(observations.service_runs)
    found = [
        f'order {body} ran {count} times'
        for body, count in runs.items()
        if count > 1 and ONCE in body
    ]
    tried: dict[int, list[Answer]] = {}
    for _, job, answer in observations.answers:
        if job.leaf == 'order':
            tried.setdefault(job.number, []).append(answer)
    for number, answers in tried.items():
        ran = any(f'n{number}"' in body and ONCE in body for body in runs)
        told_not_run = all(answer.ran == 'no' for answer in answers)
        if ran and told_not_run:
            found.append(f'order {number} ran, told not run')
        if not ran and any(answer.complete for answer in answers):
            found.append(f'order {number} answered, never ran')
    return found


def _versions(observations: Observations) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    found = []
    for entry, pid, version in observations.versions:
        if version < highest.get((entry, pid), 0):
            found.append(f'{entry} went back to version {version}')
        highest[entry, pid] = max(version, highest.get((entry, pid), 0))
    return found


def _edits(observations: Observations) -> list[str]:
    """The last accepted edit of each workspace must hold in the end."""
    last: dict[str, tuple[int, int]] = {}
    for number, name, level in observations.edits:
        last[name] = max(last.get(name, (0, 0)), (number, level))
    numbers = Counter(number for number, _, _ in observations.edits)
    found = [
        f'version {number} was told to {count} operators'
        for number, count in numbers.items()
        if count > 1
    ]
    for name, (number, level) in last.items():
        branch = observations.final_tree['workspaces'][name]
        held = branch['classes']['summary'].get('max_wait_ms')
        if held != level and number == max(numbers):
            found.append(f'edit {number} of {name} is lost')
    return found


def _leaves(observations: Observations) -> list[str]:
    found = []
    for name, start_s, end_s in observations.leave_windows:
        late = [
            key
            for key, at in observations.engine_runs.items()
            if key[0] == name
            and start_s + LIST_LAG_S + LEFT_ALONE_S < at < end_s
        ]
        found.extend(f'{name} got {key[1]} after leaving' for key in late)
    return found


def memory_growth(observations: Observations) -> str:
    """Tell the memory of the longest-lived process, early and late."""
    longest = max(observations.memory.values(), key=len, default=[])
    third = len(longest) // 3
    if not third:
        return 'memory: too few samples'
    early = statistics.median(longest[third : 2 * third]) / 1024
    late = statistics.median(longest[-third:]) / 1024
    return (
        f'memory of the longest-lived process over {len(longest)} samples: '
        f'middle third {early:.1f} MB, last third {late:.1f} MB'
    )
