"""Raise a breach only when a promise is truly at risk.

Pure logic: each second the merged tallies of a node go in, its state comes
out. The burn rate is the fraction of missed requests over the fraction that
the objective allows. A breach needs a high rate in the short and the long
window, spread over several seconds; it ends when the short window has been
good for a while.
"""

import enum
from dataclasses import dataclass

from siskinpass.process.counts import Tally, merge

MIN_ALLOWED_MISSES = 0.001


class PromiseState(enum.Enum):
    """Tell how a promise stands."""

    holding = 'holding'
    at_risk = 'at_risk'
    breached = 'breached'


class Cause(enum.Enum):
    """Tell why a promise is not kept."""

    none = 'none'
    demand = 'demand_beyond_capacity'
    slow_backends = 'slow_backend_servers'


@dataclass(frozen=True, slots=True)
class BreachPolicy:
    """Set when a breach is raised and cleared.

    :param short_s: short window in seconds.
    :param long_s: long window in seconds.
    :param short_burn: burn rate that the short window must reach.
    :param long_burn: burn rate that the long window must reach.
    :param bad_seconds: seconds of the short window that must hold a miss.
    :param least: requests that the long window must hold.
    :param clear_s: seconds of good short windows that end a breach.
    """

    short_s: int = 5
    long_s: int = 30
    short_burn: float = 4.0
    long_burn: float = 1.0
    min_bad_seconds: int = 3
    min_requests: int = 10
    clear_s: int = 5


@dataclass(frozen=True, slots=True)
class NodeState:
    """Hold how the promise of one node stands."""

    state: PromiseState
    cause: Cause
    burn: float
    since_s: int


class BreachWatch:
    """Follow the promise of one node."""

    def __init__(self, policy: BreachPolicy, objective: float) -> None:
        """Start with the promise holding."""
        self._policy = policy
        self._allowed = max(MIN_ALLOWED_MISSES, 1 - objective)
        self._state = PromiseState.holding
        self._cause = Cause.none
        self._since_s = 0
        self._good_s = 0

    def evaluate(self, seconds: list[Tally], now_s: int) -> NodeState:
        """Take in the tallies of the long window, oldest first."""
        policy = self._policy
        recent = seconds[-policy.short_s :]
        short = merge(recent)
        whole = merge(seconds[-policy.long_s :])
        burn = self._burn(short)
        bad = sum(bool(tally.missed) for tally in recent)
        new_state = self._classify(burn, self._burn(whole), bad, whole.total)
        self._transition(new_state, short, now_s)
        return NodeState(self._state, self._cause, burn, self._since_s)

    def _burn(self, tally: Tally) -> float:
        if not tally.total:
            return 0.0
        return tally.missed / tally.total / self._allowed

    def _classify(
        self,
        short_burn: float,
        long_burn: float,
        bad: int,
        total: int,
    ) -> PromiseState:
        policy = self._policy
        if total < policy.min_requests or short_burn < 1:
            return PromiseState.holding
        spread = bad >= policy.min_bad_seconds
        high = short_burn >= policy.short_burn
        if spread and high and long_burn >= policy.long_burn:
            return PromiseState.breached
        return PromiseState.at_risk

    def _transition(
        self, new_state: PromiseState, short: Tally, now_s: int
    ) -> None:
        self._good_s = (
            self._good_s + 1 if new_state is PromiseState.holding else 0
        )
        is_breached = self._state is PromiseState.breached
        if is_breached and self._good_s < self._policy.clear_s:
            return
        if new_state is not self._state:
            self._state = new_state
            self._since_s = now_s
        self._cause = _cause(new_state, short)


def _cause(state: PromiseState, short: Tally) -> Cause:
    if state is PromiseState.holding:
        return Cause.none
    if short.slow_backend * 2 > short.missed:
        return Cause.slow_backends
    return Cause.demand
