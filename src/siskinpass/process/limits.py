"""Adapt the slots of one backend server to its observed token times.

Pure logic: the input is observations and a clock, the output is a limit. The
limit grows while tokens are fast and is cut by a factor once they are slow.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Bounds and target of the slots of a backend server.

    :param start: slots before the first observation.
    :param minimum: slots below which the limit never falls.
    :param maximum: slots above which the limit never rises.
    :param token_s: target of the mean time between tokens, in seconds.
    """

    start: int = 8
    minimum: int = 2
    maximum: int = 64
    token_s: float = 0.04


SMOOTHING = 0.35  # weight of the latest observation in the moving averages
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL_S = 0.5  # minimum time between two decreases
TOLERANCE = 1.15  # multiple of the target above which the limit decreases
FAST_GROWTH_BELOW = 0.7  # multiple of the target
FAST_GROWTH = 0.25  # slots for each observed token
SLOW_GROWTH = 0.15  # the same, divided by the current limit
BUSY_FRACTION = 0.75  # of the slots, in use before the limit may grow
STALE_AFTER_S = 3.0  # time after which the last observation is too old


@dataclass(frozen=True, slots=True)
class Sample:
    """Context of one observation.

    :param tokens: number of tokens observed.
    :param running: slots in use at the time.
    :param now_s: time of the observation.
    """

    tokens: int
    running: int
    now_s: float


class SlotLimit:
    """Concurrency limit and measured speed of one backend server."""

    def __init__(self, policy: LimitPolicy) -> None:
        self._policy = policy
        self._limit = float(policy.start)
        self._token_s = 0.0
        self._first_token_s = 0.0
        self._observed_s = float('-inf')
        self._decreased_s = float('-inf')

    @property
    def slots(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    @property
    def token_s(self) -> float:
        """Return the smoothed time between tokens, 0 before any was seen."""
        return self._token_s

    @property
    def first_token_s(self) -> float:
        """Return the smoothed time to first token, 0 before any was seen."""
        return self._first_token_s

    def observe(
        self,
        token_s: float,
        first_token_s: float,
        sample: Sample,
    ) -> None:
        """Update the speed, and the limit if ``token_s`` is known.

        :param token_s: mean time between tokens in seconds, 0 if unknown.
        :param first_token_s: time to first token in seconds, 0 if unknown.
        """
        self._observed_s = sample.now_s
        if first_token_s > 0:
            self._first_token_s = _smooth(self._first_token_s, first_token_s)
        if token_s > 0:
            self._token_s = _smooth(self._token_s, token_s)
            self._adapt(sample)

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last observation is too old to rely on."""
        return now_s - self._observed_s > STALE_AFTER_S

    def _adapt(self, sample: Sample) -> None:
        policy = self._policy
        if self._token_s > policy.token_s * TOLERANCE:
            self._shrink(sample)
        elif self._may_grow(sample):
            # Far below the target the limit has to follow a burst at once.
            is_far_below = self._token_s < policy.token_s * FAST_GROWTH_BELOW
            growth = FAST_GROWTH if is_far_below else SLOW_GROWTH / self._limit
            grown = self._limit + sample.tokens * growth
            self._limit = min(float(policy.maximum), grown)

    def _may_grow(self, sample: Sample) -> bool:
        """Return whether most slots are in use or the limit is below its start.

        Below its start the limit may grow even while slots are idle: slots
        reserved for upper tiers could otherwise stay idle and prevent growth.
        """
        is_busy = sample.running >= self._limit * BUSY_FRACTION
        return is_busy or self._limit < self._policy.start

    def _shrink(self, sample: Sample) -> None:
        if sample.now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = sample.now_s
        shrunk = min(self._limit, sample.running) * DECREASE_FACTOR
        self._limit = max(float(self._policy.minimum), shrunk)


def _smooth(old: float, new: float) -> float:
    if old <= 0:
        return new
    return old + SMOOTHING * (new - old)
