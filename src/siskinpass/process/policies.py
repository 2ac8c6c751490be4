"""Turn the tree's pools and the process settings into broker policies."""

from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.limits import LimitPolicy
from siskinpass.process.settings import FIFO_RANDOM, LEAST_OUTSTANDING
from siskinpass.version.schema import Pool

MS_PER_S = 1000
UNLIMITED = 100_000


def broker_policy(decisions: str, pool: Pool, sharers: int) -> BrokerPolicy:
    """Return how a broker decides for a pool.

    :param decisions: process setting of that name.
    :param sharers: instances that share the pool's slots, each with a broker
        of its own.
    """
    if decisions in {LEAST_OUTSTANDING, FIFO_RANDOM}:
        # These baselines leave all waiting to the backend servers.
        return BrokerPolicy(
            LimitPolicy(start=UNLIMITED, minimum=UNLIMITED, maximum=UNLIMITED),
            in_order=False,
            pauses=False,
            at_random=decisions == FIFO_RANDOM,
        )
    return BrokerPolicy(
        LimitPolicy(
            start=max(1, pool.slots // sharers),
            minimum=1 if sharers > 1 else 2,
            maximum=max(1, pool.slots_most // sharers),
            token_s=pool.token_ms / MS_PER_S,
        ),
    )
