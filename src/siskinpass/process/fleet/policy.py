"""State how the brokers of a fleet's instances decide."""

from siskinpass.process.affinity import AffinityChooser
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.limits import LimitPolicy

# The chooser bounds what a server gets, by all instances' loads.
UNBOUNDED_SLOTS = 10_000
# One lost answer in twenty is ordinary on the sheets; three in a row are not.
PROBE_AFTER = 3


def fleet_policy(memory_tokens: int) -> BrokerPolicy:
    """Return the policy for one service.

    :param memory_tokens: tokens that the memory of each engine holds, 0 where
        the service has none.
    """
    return BrokerPolicy(
        LimitPolicy(UNBOUNDED_SLOTS, UNBOUNDED_SLOTS, UNBOUNDED_SLOTS),
        pauses=False,
        chooser=AffinityChooser(),
        moves=False,
        probe_after=PROBE_AFTER,
        memory_tokens=memory_tokens,
    )
