"""Experiments: one scenario under one scheduling policy."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import orjson
import uvloop

from bench.bound import bound_attainment
from bench.cluster import BUILD, Cluster, deployment, running
from bench.demo import discover_target
from bench.load import Answer, as_row, dump_jobs, load_jobs, run_jobs
from bench.scenarios import Scenario, build
from bench.summary import print_table, summarise

DEPLOYMENT = 'bombas-cavalcanti'
POLICY_DECISIONS = {
    'ours': 'shared',
    'priority-local': 'priority-local',
    'least-outstanding': 'least-outstanding',
    'fifo-random': 'fifo-random',
    'before': 'shared',
}
OUTPUT_DIR = BUILD / 'bench'


def run(
    name: str,
    policy: str,
    seed: int,
    instances: int,
    trace: Path | None = None,
    source: str = '',
) -> dict[str, Any]:
    """Run a scenario, save its files and return its report.

    The report, the trace and the answers are written to ``build/bench``.

    :param name: name of the scenario.
    :param policy: key of ``POLICY_DECISIONS``.
    :param instances: number of entry instances.
    :param trace: file of a recorded trace to replay in place of a generated
        one.
    :param source: source folder of another version of the product.
    """
    scenario = build(name, seed)
    if trace is not None:
        jobs = load_jobs(trace.read_bytes())
        scenario = Scenario(
            name,
            jobs,
            scenario.events,
            scenario.expected_breaches,
        )
    plan = deployment(
        DEPLOYMENT,
        instances,
        flags=('--decisions', POLICY_DECISIONS[policy]),
        source=source,
    )
    with running(plan) as cluster:
        answers = uvloop.run(_send_trace(cluster, scenario, seed))
        report = _report(cluster, scenario, answers)
    report.update(
        scenario=name,
        policy=policy,
        seed=seed,
        instances=instances,
        jobs=len(scenario.jobs),
    )
    _save(report, scenario, answers)
    return report


def show(report: dict[str, Any]) -> None:
    """Print a report to the standard output."""
    sys.stdout.write(
        f'\n{report["scenario"]}, {report["policy"]}, seed {report["seed"]}, '
        f'{report["instances"]} instances: wasted '
        f'{report["wasted"]:.2%}, alarms {report["alarms"]}\n',
    )
    print_table(report['classes'])
    bounds = ', '.join(
        f'{leaf} {bound:.1%}' for leaf, bound in report['bound'].items()
    )
    sys.stdout.write(f'offline bound: {bounds}\n')


async def _send_trace(
    cluster: Cluster,
    scenario: Scenario,
    seed: int,
) -> list[Answer]:
    target = discover_target(cluster, seed)
    target.addresses = [entry.callers for entry in cluster.entries]
    faults = asyncio.ensure_future(_inject_faults(cluster, scenario, target))
    answers = await run_jobs(scenario.jobs, target)
    await faults
    return answers


async def _inject_faults(cluster: Cluster, scenario: Scenario, target) -> None:
    start_s = time.monotonic()
    for event in sorted(scenario.events, key=lambda event: event.at_s):
        await asyncio.sleep(max(0, start_s + event.at_s - time.monotonic()))
        if event.kill:
            await asyncio.to_thread(
                cluster.kill,
                cluster.processes[event.target],
            )
            killed_addresses = [
                entry.callers
                for entry in cluster.entries
                if entry.name == event.target
            ]
            target.addresses = [
                address
                for address in target.addresses
                if address not in killed_addresses
            ]
        else:
            await asyncio.to_thread(
                cluster.order,
                event.target,
                event.order,
                '/admin/slow',
            )


def _report(
    cluster: Cluster,
    scenario: Scenario,
    answers: list[Answer],
) -> dict[str, Any]:
    rows = summarise(answers, cluster.plan.tree)
    sent, duplicates = _backend_work(cluster)
    delivered = sum(answer.tokens for answer in answers if answer.complete)
    running_entries = [
        entry for entry in cluster.entries if entry.process.poll() is None
    ]
    status = cluster.status(running_entries[0])
    raised = Counter(
        alarm['node'].split('/')[1]
        for alarm in status['alarms']
        if alarm['state'] == 'raised'
    )
    return {
        'classes': rows,
        'wasted': max(0, sent - delivered) / max(1, sent),
        'engine_tokens': sent,
        'doubled': duplicates,
        'alarms': dict(raised),
        'labelled': sorted(scenario.expected_breaches),
        'shed_upper_before_lower': _count_top_tier_sheds(answers, rows),
        'bound': bound_attainment(scenario.jobs, cluster.plan),
        'done_per_10s': _done_per_10s(answers),
    }


def _backend_work(cluster: Cluster) -> tuple[int, int]:
    sent = 0
    for name in cluster.plan.engines:
        if cluster.processes[name].poll() is not None:
            continue
        runs = cluster.read(name, '/log').values()
        sent += sum(run['sent'] for attempts in runs for run in attempts)
    bodies: Counter[str] = Counter()
    for name in cluster.plan.services:
        bodies.update(run['body'] for run in cluster.read(name, '/log'))
    return sent, sum(count - 1 for count in bodies.values())


def _count_top_tier_sheds(
    answers: list[Answer], rows: list[dict[str, Any]]
) -> int:
    """Count top-tier requests refused with ``shed_for_upper_tier`` (2003).

    No tier is above theirs, so each of these refusals is a fault.
    """
    return sum(
        answer.code == 2003
        for answer in answers
        if answer.leaf == rows[0]['class']
    )


def _done_per_10s(answers: list[Answer]) -> dict[str, list[int]]:
    start_s = min(answer.sent_s for answer in answers)
    done: dict[str, Counter[int]] = {}
    for answer in answers:
        if answer.complete:
            window = int((answer.end_s - start_s) // 10)
            done.setdefault(answer.leaf, Counter())[window] += 1
    return {
        leaf: [counts[window] for window in range(max(counts) + 1)]
        for leaf, counts in done.items()
    }


def _save(
    report: dict[str, Any],
    scenario: Scenario,
    answers: list[Answer],
) -> None:
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    stem = (
        f'{report["scenario"]}-{report["policy"]}-{report["seed"]}'
        f'-{report["instances"]}'
    )
    (OUTPUT_DIR / f'{stem}.json').write_bytes(
        orjson.dumps(report, option=orjson.OPT_INDENT_2),
    )
    (OUTPUT_DIR / f'{stem}.trace.jsonl').write_bytes(dump_jobs(scenario.jobs))
    (OUTPUT_DIR / f'{stem}.answers.jsonl').write_bytes(
        b''.join(orjson.dumps(as_row(answer)) + b'\n' for answer in answers),
    )
