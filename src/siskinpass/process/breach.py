"""Detect breached service-level promises from their burn rates.

Pure logic: each second the merged tallies of a node of the settings tree go in
and the state of its promise comes out. The burn rate is the fraction of
requests that missed a target, divided by the fraction that the objective allows
(the error budget). To avoid false alarms, a breach requires a high burn rate in
both the short and the long window, with misses spread over several seconds. It
is cleared once the short window has stayed within the error budget for a while.
"""

import enum
from dataclasses import dataclass

from siskinpass.process.counts import Tally, merge

MIN_ERROR_BUDGET = 0.001  # keeps the burn rate finite for an objective of 1


class PromiseState(enum.Enum):
    """State of a promise."""

    holding = 'holding'
    at_risk = 'at_risk'
    breached = 'breached'


class Cause(enum.Enum):
    """Main cause of the misses in the short window."""

    none = 'none'
    demand = 'demand_beyond_capacity'
    slow_backends = 'slow_backend_servers'


@dataclass(frozen=True, slots=True)
class BreachPolicy:
    """Conditions under which a breach is raised and cleared.

    :param short_s: length of the short window in seconds.
    :param long_s: length of the long window in seconds.
    :param short_burn: minimum burn rate of the short window for a breach.
    :param long_burn: minimum burn rate of the long window for a breach.
    :param min_bad_seconds: minimum number of seconds of the short window that
        contain a miss.
    :param min_requests: minimum number of requests in the long window; with
        fewer the promise counts as holding.
    :param clear_s: consecutive seconds in which the promise must hold before
        a breach is cleared.
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
    """State of the promise of one node.

    :param burn: burn rate of the short window.
    :param since_s: second in which the state was entered.
    """

    state: PromiseState
    cause: Cause
    burn: float
    since_s: int


class BreachWatch:
    """State machine for the promise of one node."""

    def __init__(self, policy: BreachPolicy, objective: float) -> None:
        """Start in the state ``holding``.

        :param objective: fraction of requests that must meet their targets.
        """
        self._policy = policy
        self._error_budget = max(MIN_ERROR_BUDGET, 1 - objective)
        self._state = PromiseState.holding
        self._main_cause = Cause.none
        self._since_s = 0
        self._good_s = 0

    def evaluate(self, seconds: list[Tally], now_s: int) -> NodeState:
        """Return the state after one more second; call it once a second.

        :param seconds: one tally for each second of the long window, oldest
            first.
        :param now_s: last second of the window.
        """
        policy = self._policy
        recent = seconds[-policy.short_s :]
        short = merge(recent)
        whole = merge(seconds[-policy.long_s :])
        burn = self._burn(short)
        bad = sum(bool(tally.missed) for tally in recent)
        new_state = self._classify(burn, self._burn(whole), bad, whole.total)
        self._transition(new_state, short, now_s)
        return NodeState(self._state, self._main_cause, burn, self._since_s)

    def _burn(self, tally: Tally) -> float:
        if not tally.total:
            return 0.0
        return tally.missed / tally.total / self._error_budget

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
        self._main_cause = _main_cause(new_state, short)


def _main_cause(state: PromiseState, short: Tally) -> Cause:
    if state is PromiseState.holding:
        return Cause.none
    if short.slow_backend * 2 > short.missed:
        return Cause.slow_backends
    return Cause.demand
