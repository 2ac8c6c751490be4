"""Demonstration of both example deployments under a small mixed load."""

import random
import sys

import uvloop

from bench.cluster import Cluster, deployment, running
from bench.load import Answer, Job, Target, run_jobs
from bench.summary import print_table, summarise

SECONDS = 10
ENTRIES = 3
SEED = 7


def demo() -> int:
    """Run both deployments and print a table for each.

    :returns: number of faulty answers and of calls that ran more than once.
    """
    faulty_count = 0
    # Class, kind of pool, requests per second, mean answer length in tokens.
    for name, class_loads in (
        (
            'fieltro-lanera',
            (
                ('counter', 'engine', 6.0, 20),
                ('order', 'service', 4.0, 0),
                ('stock', 'service', 4.0, 0),
                ('summary', 'engine', 1.0, 120),
                ('pattern', 'engine', 2.0, 250),
            ),
        ),
        (
            'bombas-cavalcanti',
            (
                ('technician', 'engine', 6.0, 20),
                ('parts', 'service', 4.0, 0),
                ('workorder', 'service', 4.0, 0),
                ('quotation', 'engine', 1.0, 120),
                ('report', 'engine', 2.0, 250),
            ),
        ),
    ):
        with running(deployment(name, ENTRIES)) as cluster:
            answers = _run_load(cluster, class_loads)
            sys.stdout.write(f'\n{name}, {ENTRIES} entry instances\n')
            rows = summarise(answers, cluster.plan.tree)
            print_table(rows)
            faulty_count += _count_faulty(cluster, answers)
    sys.stdout.write(f'\nlost, crossed, cut or doubled: {faulty_count}\n')
    return faulty_count


def _run_load(cluster: Cluster, class_loads) -> list[Answer]:
    rng = random.Random(SEED)
    workspaces = sorted(cluster.keys)
    jobs = []
    for leaf, kind, per_s, tokens in class_loads:
        at_s = rng.expovariate(per_s)
        while at_s < SECONDS:
            jobs.append(
                Job(
                    at_s,
                    rng.choice(workspaces),
                    leaf,
                    kind,
                    max(1, int(tokens * rng.uniform(0.5, 1.5))),
                    'size of slippers? ' * 8,
                ),
            )
            at_s += rng.expovariate(per_s)
    return uvloop.run(run_jobs(number_jobs(jobs), discover_target(cluster)))


def number_jobs(jobs: list[Job]) -> list[Job]:
    """Return the jobs sorted by send time and numbered in this order."""
    ordered = sorted(jobs, key=lambda job: job.at_s)
    return [
        Job(
            job.at_s,
            job.workspace,
            job.leaf,
            job.kind,
            job.tokens,
            job.prompt,
            number,
            job.stream,
        )
        for number, job in enumerate(ordered)
    ]


def discover_target(cluster: Cluster, seed: int = 0) -> Target:
    """Return the target that ``/address`` and ``/v1/models`` of a cluster give.

    Each entry is asked for an address in its own availability zone.
    """
    addresses = []
    for entry in cluster.entries:
        answer = cluster.http.request(
            'GET',
            f'http://{entry.callers}/address?zone={entry.zone}',
            timeout=5,
        ).json()
        addresses.append(answer['addresses'][0]['address'])
    model = cluster.http.request(
        'GET',
        f'http://{cluster.entries[0].callers}/v1/models',
        timeout=5,
    ).json()['data'][0]['id']
    return Target(sorted(set(addresses)), cluster.keys, model, seed)


def _count_faulty(cluster: Cluster, answers: list[Answer]) -> int:
    faulty_count = sum(bool(answer.fault) for answer in answers)
    runs: dict[str, int] = {}
    for name in cluster.plan.services:
        for run in cluster.read(name, '/log'):
            runs[run['body']] = runs.get(run['body'], 0) + 1
    return faulty_count + sum(count - 1 for count in runs.values())
