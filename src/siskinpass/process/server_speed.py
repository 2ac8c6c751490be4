"""Estimate how fast each backend server of a service is.

Pure logic, based on the requests of this instance. Two kinds of observations
are compared with what a server of the stated speed would take: the time to the
first event, and the time between events. Both expectations leave out much that
is the same for all servers of a service, such as the work of instances that has
not been reported yet. Therefore only differences count: each estimate is
relative to the service's mean, and in the end to its median server. On even
servers all factors are one, however wrong the expectations are.

A factor has two parts, one for the server's group (its zone and software
version) and one for the server within its group. An instance of a large fleet
sees few requests of each server, but many of each group.
"""

import math
import statistics
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from siskinpass.process.prefill import PREFILL_TOKENS_PER_S
from siskinpass.request.ticket import ServerView

# Factors up to this one, and down to its inverse, count as one.
EVEN_FACTOR = 1.25
# A factor that does not count as one does so again from here on, so that one
# close to the limit does not change with each observation.
EVEN_AGAIN_FACTOR = 1.18
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Factors change in steps of an eighth of a doubling, so that the servers of a
# group are not reordered by each observation.
STEPS_PER_DOUBLING = 8
# A factor between two steps keeps the one that it had.
STEPS_TO_CHANGE = 0.75
# Weights of homes change in steps of half a doubling, because all instances
# should agree on them.
HOME_STEPS_PER_DOUBLING = 2

# Observations of a group count e times less after this time.
GROUP_LEARNING_S = 8.0
# With fewer observations only a part of a group's difference counts: few prove
# little, and without new ones a group counts as even again.
ENOUGH_OBSERVATIONS = 20.0
# Time in which the estimate of a server moves by two thirds. Slowed 2.5 times
# for 600 ms, it moves by 14% and still counts as even, also if that happens
# twice in a row.
LEARNING_S = 4.0
# An observation of a server stands for no more than this time, so that one
# after a pause does not count as seconds of observation.
MAX_OBSERVED_S = 0.4
# Without observations the estimate of a server fades, so that one that was slow
# gets work again that shows its speed.
FADE_AFTER_S = 5.0
FADE_S = 30.0

# Time to the first event that does not depend on the prompt: a decoding step
# and the round trip.
FIRST_EVENT_S = 0.015
# Below this many tokens the time to the first event says little about the
# speed.
MIN_TOKENS = 2000
# Engines are specified at about 6 ms for a decoding step and 0.165 ms more for
# each running request.
STEP_S = 0.006
RUNNING_S = 0.000165
# Fewer events than this say little.
MIN_EVENTS = 10
# Weight of the time to the first event against the time between events. It
# scatters twice as much, as it depends on the work of other instances that is
# reported up to 0.1 s late.
FIRST_WEIGHT = 0.5
# Factors are derived from the estimates this often.
REFRESH_S = 0.5

Group = tuple[str, str]


@dataclass(slots=True)
class _Mean:
    """Mean of the logarithms of relative speeds, recent ones above all.

    :ivar total: sum of what was observed.
    :ivar weight: number of observations, each less the older it is.
    """

    total: float = 0.0
    weight: float = 0.0
    at_s: float = 0.0

    @property
    def level(self) -> float:
        """Return the mean, 0 before any observation."""
        return self.total / self.weight if self.weight else 0.0

    def add(self, level: float, weight: float, now_s: float) -> None:
        """Add an observation."""
        self.decay(now_s)
        self.total += weight * level
        self.weight += weight

    def decay(self, now_s: float) -> None:
        """Reduce the weight of what was observed before."""
        kept = math.exp(-max(0.0, now_s - self.at_s) / GROUP_LEARNING_S)
        self.total *= kept
        self.weight *= kept
        self.at_s = now_s

    def level_at(self, now_s: float) -> float:
        """Return the mean, or less of it where it rests on few observations."""
        self.decay(now_s)
        return self.level * min(1.0, self.weight / ENOUGH_OBSERVATIONS)


@dataclass(slots=True)
class _Average:
    """Moving average of a server's relative speed, as a logarithm.

    It follows the time, not the number of observations: those of one moment
    share one cause.
    """

    level: float = 0.0
    at_s: float = -math.inf

    def add(self, level: float, weight: float, now_s: float) -> None:
        """Move towards an observation."""
        self.fade(now_s)
        passed_s = min(max(0.0, now_s - self.at_s), MAX_OBSERVED_S)
        share = 1 - math.exp(-passed_s * weight / LEARNING_S)
        self.level += share * (level - self.level)
        self.at_s = now_s

    def fade(self, now_s: float) -> None:
        """Move towards an even speed if nothing was observed for a while."""
        idle_s = now_s - self.at_s - FADE_AFTER_S
        if idle_s > 0 and self.level:
            self.level *= math.exp(-idle_s / FADE_S)
            self.at_s = now_s - FADE_AFTER_S


@dataclass(slots=True)
class _Kind:
    """Kind of observations.

    :param weight: of one observation against those of other kinds.
    :param mean: of all servers.
    :param groups: mean of each group against that of all servers.
    """

    weight: float
    mean: _Mean = field(default_factory=_Mean)
    groups: dict[Group, _Mean] = field(default_factory=dict)

    def relative(
        self, view: ServerView, factor: float, now_s: float
    ) -> tuple[float, float]:
        """Return how fast a server was against all servers and its group.

        :returns: two logarithms.
        """
        level = math.log(_bounded(factor))
        self.mean.add(level, 1.0, now_s)
        relative = level - self.mean.level
        group = self.groups.setdefault(group_of(view), _Mean())
        group.add(relative, 1.0, now_s)
        return relative, relative - group.level


@dataclass(frozen=True, slots=True)
class StreamPace:
    """How long a stream took after its first event.

    :param events: number of events after the first one.
    :param running: requests on its server, as a mean.
    :param prefilled: tokens of other prompts that were placed there meanwhile.
    """

    events: int
    passed_s: float
    running: float = 1.0
    prefilled: int = 0

    @property
    def expected_s(self) -> float:
        """Return the time that a server of the stated speed takes."""
        return (
            self.events * (STEP_S + self.running * RUNNING_S)
            + self.prefilled / PREFILL_TOKENS_PER_S
        )


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """Group or server that no longer counts as even, or does so again.

    :param server: empty for a group.
    :param factor: of the group against the service, or of the server against
        its group; 1 if it counts as even again.
    """

    zone: str
    version: str
    server: str
    factor: float


@dataclass(frozen=True, slots=True)
class Speed:
    """Speed of a server against the median server of its service.

    :param factor: 1 for an even server, higher for a faster one.
    :param group: factor of its group alone.
    :param home: weight of the server as a home of prompt parts.
    """

    factor: float = 1.0
    group: float = 1.0
    home: float = 1.0


EVEN = Speed()


class ServerSpeeds:
    """Estimated speeds of the servers of one service."""

    def __init__(self) -> None:
        self._first = _Kind(FIRST_WEIGHT)
        self._pace = _Kind(1.0)
        self._groups: dict[Group, _Mean] = {}
        self._servers: dict[str, _Average] = {}
        self._views: dict[str, ServerView] = {}
        self._group_factors: dict[Group, float] = {}
        self._own_factors: dict[str, float] = {}
        self._refreshed_s = -math.inf
        self._changes: list[SpeedChange] = []

    @property
    def groups(self) -> Mapping[Group, float]:
        """Return the factor of each group."""
        return self._group_factors

    def replace(self, views: Iterable[ServerView]) -> None:
        """Replace the list of servers and forget the others.

        A server whose process was started anew begins without observations.
        """
        listed = {view.name: view for view in views}
        for name, known in self._views.items():
            view = listed.get(name)
            if view is None or view.incarnation != known.incarnation:
                self._own_factors.pop(name, None)
                self._servers.pop(name, None)
        self._views = listed
        self._group_factors = {
            group: self._group_factors.get(group, 1.0)
            for group in sorted({group_of(view) for view in listed.values()})
        }
        for estimates in (self._groups, self._first.groups, self._pace.groups):
            for group in estimates.keys() - self._group_factors.keys():
                estimates.pop(group)

    def observe_first(
        self, name: str, tokens: int, passed_s: float, now_s: float
    ) -> bool:
        """Record the time from a request's placement to its first event.

        :param tokens: tokens that the server had to prefill until then.
        :returns: whether any factor has changed.
        """
        view = self._views.get(name)
        if view is None or tokens < MIN_TOKENS or passed_s <= 0:
            return False
        expected_s = FIRST_EVENT_S + tokens / PREFILL_TOKENS_PER_S
        return self._observe(self._first, view, expected_s / passed_s, now_s)

    def observe_pace(self, name: str, pace: StreamPace, now_s: float) -> bool:
        """Record how long a stream took after its first event.

        :returns: whether any factor has changed.
        """
        view = self._views.get(name)
        if view is None or pace.events < MIN_EVENTS or pace.passed_s <= 0:
            return False
        factor = pace.expected_s / pace.passed_s
        return self._observe(self._pace, view, factor, now_s)

    def speed_of(self, name: str) -> Speed:
        """Return the speed of a server; one that is not known is even."""
        view = self._views.get(name)
        if view is None:
            return EVEN
        group = self._group_factors[group_of(view)]
        return Speed(
            _bounded(group * self._own_factors.get(name, 1.0)),
            group,
            _rounded(group, HOME_STEPS_PER_DOUBLING),
        )

    def take_changes(self) -> list[SpeedChange]:
        """Return what changed its class since the last call."""
        taken, self._changes = self._changes, []
        return taken

    def _observe(
        self, kind: _Kind, view: ServerView, factor: float, now_s: float
    ) -> bool:
        level, own_level = kind.relative(view, factor, now_s)
        group = self._groups.setdefault(group_of(view), _Mean())
        group.add(level, kind.weight, now_s)
        server = self._servers.setdefault(view.name, _Average())
        server.add(own_level, kind.weight, now_s)
        return self._refresh(now_s)

    def _refresh(self, now_s: float) -> bool:
        if now_s - self._refreshed_s < REFRESH_S:
            return False
        self._refreshed_s = now_s
        are_groups_new = self._refresh_groups(now_s)
        return self._refresh_servers(now_s) or are_groups_new

    def _refresh_groups(self, now_s: float) -> bool:
        levels = {
            group: self._groups[group].level_at(now_s)
            if group in self._groups
            else 0.0
            for group in self._group_factors
        }
        # Each group weighs as much as it has servers.
        median = statistics.median_low(
            levels[group_of(view)] for view in self._views.values()
        )
        is_changed = False
        for group, level in levels.items():
            known = self._group_factors[group]
            factor = _classified(math.exp(level - median), known)
            self._group_factors[group] = factor
            is_changed = is_changed or factor != known
            if (factor == 1) != (known == 1):
                self._changes.append(SpeedChange(*group, '', factor))
        return is_changed

    def _refresh_servers(self, now_s: float) -> bool:
        is_changed = False
        for name, estimate in self._servers.items():
            estimate.fade(now_s)
            known = self._own_factors.get(name, 1.0)
            factor = _classified(math.exp(estimate.level), known)
            if factor == known:
                continue
            is_changed = True
            self._own_factors[name] = factor
            if 1 in {factor, known}:
                group = group_of(self._views[name])
                self._changes.append(SpeedChange(*group, name, factor))
        return is_changed


def group_of(view: ServerView) -> Group:
    """Return the group of servers that a server is compared with."""
    return view.zone, view.version


def _bounded(factor: float) -> float:
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))


def _rounded(factor: float, steps_per_doubling: int) -> float:
    steps = round(math.log2(factor) * steps_per_doubling)
    return math.exp2(steps / steps_per_doubling)


def _classified(factor: float, known: float) -> float:
    """Return the factor to use, 1 for one that counts as even.

    :param known: the factor used until now.
    """
    even = EVEN_FACTOR if known == 1 else EVEN_AGAIN_FACTOR
    if 1 / even <= factor <= even:
        return 1.0
    factor = _bounded(factor)
    steps = abs(math.log2(factor / known)) * STEPS_PER_DOUBLING
    if known != 1 and steps < STEPS_TO_CHANGE:
        return known
    return _rounded(factor, STEPS_PER_DOUBLING)
