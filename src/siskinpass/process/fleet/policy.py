"""Broker policy of the instances of a fleet."""

from siskinpass.process.affinity import AffinityChooser
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.cache_map import MAX_PARTS
from siskinpass.process.limits import LimitPolicy

# Effectively no slot limit: the chooser limits each server's load, based on the
# load of all instances.
UNBOUNDED_SLOTS = 10_000
# One lost answer in twenty is normal; three failures in a row are not.
PROBE_AFTER = 3


def fleet_policy(
    kv_capacity_tokens: int,
    zone: str = '',
    *,
    learns_speeds: bool = True,
    max_parts: int = MAX_PARTS,
) -> BrokerPolicy:
    """Return the policy for one service.

    :param kv_capacity_tokens: KV cache capacity of each engine in tokens, 0 for
        a service without engines.
    :param zone: availability zone that requests should stay in, empty for none.
    :param learns_speeds: whether faster servers get more work.
    :param max_parts: cached prompt parts that are known at most.
    """
    return BrokerPolicy(
        LimitPolicy(UNBOUNDED_SLOTS, UNBOUNDED_SLOTS, UNBOUNDED_SLOTS),
        pauses=False,
        chooser=AffinityChooser(),
        moves=False,
        probe_after=PROBE_AFTER,
        kv_capacity_tokens=kv_capacity_tokens,
        max_parts=max_parts,
        waits_for_ticks=True,
        zone=zone,
        learns_speeds=learns_speeds,
    )
