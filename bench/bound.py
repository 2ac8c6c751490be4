"""Offline upper bound on the attainment of any scheduling policy.

One scheduler sees all requests and knows the length of each answer. Each
engine has a fixed number of slots, whose tokens take as long as in a full
batch. An upper tier preempts a slot of a lower tier immediately and without
cost. A request that would be late is not run at all, so that it does not delay
others. Requests are served in the order of their arrival. Apart from that order
this is a true bound for a single class with equal targets; for a mix of classes
it is approximate.
"""

import heapq
from collections import defaultdict
from collections.abc import Sequence

from bench.cluster import Plan
from bench.load import Job
from bench.summary import load_class_settings

STEP_MS = 10.0
SEQUENCE_MS = 0.6
SLOTS = 24


def bound_attainment(jobs: Sequence[Job], plan: Plan) -> dict[str, float]:
    """Return the highest possible fraction of requests in target, by class.

    The result contains only classes of engine pools that have requests.
    """
    settings_by_class = load_class_settings(plan.tree)
    token_s = (STEP_MS + SEQUENCE_MS * SLOTS) / 1000
    slots = SLOTS * len(plan.engines)
    met: dict[str, list[bool]] = defaultdict(list)
    by_tier: dict[int, list[Job]] = defaultdict(list)
    for job in jobs:
        if job.kind == 'engine':
            by_tier[settings_by_class[job.leaf].tier].append(job)
    considered: list[Job] = []
    for tier in sorted(by_tier):
        # Preemption costs nothing, so that only requests of this tier and of
        # the tiers above it compete for slots.
        considered = sorted(
            (*considered, *by_tier[tier]), key=lambda job: job.at_s
        )
        free_at_s = [0.0] * slots
        for job in considered:
            class_settings = settings_by_class[job.leaf]
            start_s = max(job.at_s, free_at_s[0])
            first_ms = (start_s - job.at_s) * 1000 + STEP_MS
            on_time = first_ms <= class_settings.first_token_ms
            if on_time:
                end_s = start_s + job.tokens * token_s
                heapq.heapreplace(free_at_s, end_s)
            if class_settings.tier == tier:
                met[job.leaf].append(on_time)
    return {
        leaf: sum(outcomes) / len(outcomes) for leaf, outcomes in met.items()
    }
