"""Derive broker policies from the settings tree and the process settings."""

from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.limits import LimitPolicy
from siskinpass.process.settings import FIFO_RANDOM, LEAST_OUTSTANDING
from siskinpass.version.schema import Pool

MS_PER_S = 1000
UNLIMITED = 100_000  # slots, in effect no limit


def broker_policy(
    decisions: str, pool: Pool, instance_count: int
) -> BrokerPolicy:
    """Return the policy of a broker for a pool.

    :param decisions: process setting of that name.
    :param instance_count: instances that divide the pool's slots among them,
        each with its own broker; 1 where one broker serves all instances.
    """
    if decisions in {LEAST_OUTSTANDING, FIFO_RANDOM}:
        # These baselines do not queue; requests wait at the backend servers.
        return BrokerPolicy(
            LimitPolicy(start=UNLIMITED, minimum=UNLIMITED, maximum=UNLIMITED),
            by_priority=False,
            pauses=False,
            at_random=decisions == FIFO_RANDOM,
        )
    return BrokerPolicy(
        LimitPolicy(
            start=max(1, pool.slots // instance_count),
            minimum=1 if instance_count > 1 else 2,
            maximum=max(1, pool.slots_most // instance_count),
            token_s=pool.token_ms / MS_PER_S,
        ),
    )
