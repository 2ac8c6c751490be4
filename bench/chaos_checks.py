"""Checks of the guarantees on the observations of a chaos run."""

import statistics
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from bench.load import Answer, Job

# An engine may still start runs for the sum of these two times after the
# instance list names it as leaving.
LEAVE_GRACE_S = 3.0
INSTANCE_LIST_LAG_S = 1.0
CLOCK_TOLERANCE_S = 1.0  # see ``Observations.was_killed``
# Part of the body of calls that must run at most once. Calls of the class
# "stock" are retried after a broken connection, those of "order" never are.
NON_IDEMPOTENT_BODY = '"class":"order"'


@dataclass(slots=True)
class Observations:
    """Observations of callers, instances and backend servers.

    :param answers: entry, job and answer of each attempt.
    :param versions: entry, process id and tree version in force, for each
        sample.
    :param killed: entry and monotonic time of each kill.
    :param stopped: entry and monotonic time of each graceful stop.
    :param unclean_stops: one sentence for each graceful stop that failed.
    :param leave_windows: engine, start and end of each time on the instance
        list as leaving, by the wall clock; the end is infinite while it lasts.
    :param edits: tree version, workspace and ``max_wait_ms`` of each accepted
        edit.
    :param engine_runs: wall-clock start of each run, by engine, request id,
        index of the attempt and start.
    :param service_runs: body of each call that a plain service ran.
    :param final_tree: tree in force after the run.
    :param fault_log: seconds since the start and name of each fault.
    :param memory: samples of resident memory in KB, by entry and process id.
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
        """Return whether an engine is listed as leaving now."""
        now_s = time.time()
        return any(
            window[0] == name and window[2] >= now_s
            for window in self.leave_windows
        )

    def was_killed(self, entry: str, answer: Answer) -> bool:
        """Return whether an entry was killed while a request was open.

        The request counts as open from ``CLOCK_TOLERANCE_S`` before it was
        sent.
        """
        return any(
            name == entry
            and answer.sent_s - CLOCK_TOLERANCE_S <= time_s <= answer.end_s
            for name, time_s in self.killed
        )


def find_violations(
    observations: Observations,
) -> tuple[dict[str, int], list[str]]:
    """Return the number of checks of each kind, and the violations."""
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
        *_check_answers(observations),
        *_check_orders(observations),
        *_check_versions(observations),
        *_check_edits(observations),
        *_check_leaves(observations),
        *observations.unclean_stops,
    ]
    return checks, violations


def _check_answers(observations: Observations) -> list[str]:
    found = []
    for entry, job, answer in observations.answers:
        request = f'{job.leaf} {job.number} at {entry}'
        if answer.fault in {'crossed', 'doubled', 'disordered'}:
            found.append(f'{request}: {answer.fault}')
        elif answer.fault == 'no answer: TimeoutError':
            found.append(f'{request}: not answered before the time-out')
        elif answer.fault == 'cut' and not observations.was_killed(
            entry, answer
        ):
            found.append(
                f'{request}: truncated though its entry was not killed'
            )
    return found


def _check_orders(observations: Observations) -> list[str]:
    runs = Counter(observations.service_runs)
    found = [
        f'order {body} ran {count} times'
        for body, count in runs.items()
        if count > 1 and NON_IDEMPOTENT_BODY in body
    ]
    answers_by_order: dict[int, list[Answer]] = {}
    for _, job, answer in observations.answers:
        if job.leaf == 'order':
            answers_by_order.setdefault(job.number, []).append(answer)
    for number, answers in answers_by_order.items():
        ran = any(
            f'n{number}"' in body and NON_IDEMPOTENT_BODY in body
            for body in runs
        )
        reported_not_run = all(answer.ran == 'no' for answer in answers)
        if ran and reported_not_run:
            found.append(f'order {number} ran but was reported as not run')
        if not ran and any(answer.complete for answer in answers):
            found.append(f'order {number} was answered but did not run')
    return found


def _check_versions(observations: Observations) -> list[str]:
    highest: dict[tuple[str, int], int] = {}
    found = []
    for entry, pid, version in observations.versions:
        if version < highest.get((entry, pid), 0):
            found.append(f'{entry} returned to the lower version {version}')
        highest[entry, pid] = max(version, highest.get((entry, pid), 0))
    return found


def _check_edits(observations: Observations) -> list[str]:
    """Check version numbers and the survival of accepted edits.

    Each version number belongs to one edit, and the last accepted edit is
    contained in the final tree.
    """
    last_edits: dict[str, tuple[int, int]] = {}
    for number, name, max_wait_ms in observations.edits:
        last_edits[name] = max(
            last_edits.get(name, (0, 0)), (number, max_wait_ms)
        )
    numbers = Counter(number for number, _, _ in observations.edits)
    found = [
        f'version {number} was confirmed to {count} operators'
        for number, count in numbers.items()
        if count > 1
    ]
    for name, (number, max_wait_ms) in last_edits.items():
        branch = observations.final_tree['workspaces'][name]
        final_max_wait_ms = branch['classes']['summary'].get('max_wait_ms')
        if final_max_wait_ms != max_wait_ms and number == max(numbers):
            found.append(f'edit {number} of workspace {name} is lost')
    return found


def _check_leaves(observations: Observations) -> list[str]:
    found = []
    for name, start_s, end_s in observations.leave_windows:
        late_runs = [
            key
            for key, time_s in observations.engine_runs.items()
            if key[0] == name
            and start_s + INSTANCE_LIST_LAG_S + LEAVE_GRACE_S < time_s < end_s
        ]
        found.extend(f'{name} ran {key[1]} after it left' for key in late_runs)
    return found


def memory_growth(observations: Observations) -> str:
    """Return the memory growth of the most sampled process, as a sentence.

    The medians of the middle and the last third of its samples are compared.
    """
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
