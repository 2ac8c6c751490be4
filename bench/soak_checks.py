"""Check what callers and backend servers saw in a soak run. Pure logic."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

CONTACT_S = 3.0  # the contact time of the operator's bounds
BUDGET_CRASHES = 5  # under one part
REQUEST_CRASHES = 3  # under one request
BUDGET_REQUESTS = 3  # that may reach servers later than these crashes
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_S = 0.5  # from an answer that states a limit until it binds its instance
ANSWER_S = 0.5  # longest that a server without trouble takes for an answer
MIN_TAKE_UPS = 12  # below which a share says nothing
MIN_SERVERS = 2  # of its version while a stream is taken up
MIN_SOUND = 20  # requests below which a share says nothing
BAD = 'bad'
AGAIN = 'again'
SOUND = 'sound'
ONCE = 'once'
STREAM = 'take-up'
# Share of the rate at the other instances by which callers of instances that
# are cut off must be served, and failures that break the promise.
CUT_FRACTION = 2 / 3
CUT_FAILURES = 10
CUT_FAILURE_SHARE = 1 / 50
# Falls of brittle servers that are allowed, and the same for each server.
FALLS = 2
FALLS_SHARE = 0.1
STATUS_OK = 200
STATUS_REFUSED = 503
# In the refusals of prompts and requests that crash servers.
BLOCKED_TEXT = b'crashes backend servers'


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and its answer.

    :param kind: ``BAD`` with the part that crashes servers, ``AGAIN`` for the
        request that does, ``SOUND`` or ``ONCE``.
    :param at_s: when it was sent.
    :param status: status of the answer, 0 without one.
    :param is_right: whether the answer is whole and the caller's own.
    """

    kind: str
    call: str
    instance: str
    at_s: float
    status: int = 0
    is_right: bool = False
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached a server.

    :param process: process of the server.
    """

    kind: str
    call: str
    instance: str
    process: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Time during which an instance is not held to its bounds.

    :param instance: empty for the store, which concerns all instances.
    :param end_s: infinite for one that does not come back.
    """

    instance: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Time during which a server's process stated a limit."""

    process: str
    per_s: float
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Time during which some instances had no path to any server."""

    instances: frozenset[str]
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class Brittleness:
    """Time during which servers failed if they turned many requests away.

    :param servers: number of servers.
    :param falls: how many of their processes ended for that.
    """

    servers: int
    falls: int


@dataclass(frozen=True, slots=True)
class TakeUp:
    """One attempt at a stream.

    :param went_on: whether it was answered as success.
    :param servers: servers of the stream's software version that served.
    """

    instance: str
    at_s: float
    went_on: bool
    servers: int


@dataclass(frozen=True, slots=True)
class StreamSeen:
    """One stream as its caller saw it, over all attempts.

    :param events: ids and software versions, in order of arrival.
    """

    call: str
    first: TakeUp
    take_ups: tuple[TakeUp, ...]
    events: Sequence[tuple[int, bytes]]


@dataclass(slots=True)
class Observations:
    """All that was seen in one run.

    :param arrivals: requests that reached servers, run or not.
    :param ran: how often each request ran.
    """

    sent: list[Sent] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    ran: Counter[str] = field(default_factory=Counter)
    crashes_s: list[float] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    streams: list[StreamSeen] = field(default_factory=list)
    cuts: list[Cut] = field(default_factory=list)
    brittle: list[Brittleness] = field(default_factory=list)

    def is_calm(self, instance: str, at_s: float) -> bool:
        """Return whether an instance and the store were without trouble.

        They have to be for the whole contact time before.
        """
        return not any(
            one.instance in {'', instance}
            and one.start_s <= at_s <= one.end_s + CONTACT_S
            for one in self.disturbances
        )

    def is_excused(self, instance: str, at_s: float) -> bool:
        """Return whether an instance was in trouble, whatever the store did."""
        return any(
            one.instance == instance
            and one.start_s <= at_s <= one.end_s + CONTACT_S
            for one in self.disturbances
        )


def find_violations(seen: Observations) -> list[str]:
    """Return each broken promise, with what shows it."""
    return [
        *_check_budget(seen, BAD, BUDGET_CRASHES),
        *_check_budget(seen, AGAIN, REQUEST_CRASHES),
        *_check_limits(seen),
        *_check_sound(seen),
        *_check_answers(seen),
        *_check_streams(seen),
        *_check_take_ups(seen),
        *_check_cuts(seen),
        *_check_brittle(seen),
    ]


def busiest_window(times_s: Iterable[float]) -> int:
    """Return the largest number of times in any window."""
    ordered = sorted(times_s)
    return max(
        (
            sum(start_s <= one < start_s + WINDOW_S for one in ordered)
            for start_s in ordered
        ),
        default=0,
    )


def allowed_requests(limit_per_s: float) -> float:
    """Return how many requests a limited server may get in a window."""
    return LIMIT_FACTOR * limit_per_s * WINDOW_S + LIMIT_SLACK


def _crashes(seen: Observations, kind: str) -> list[float]:
    """Return when processes ended under requests of a kind, in order."""
    first_s: dict[str, float] = {}
    for one in seen.arrivals:
        if one.kind == kind and seen.ran[one.call]:
            known_s = first_s.get(one.process, one.at_s)
            first_s[one.process] = min(known_s, one.at_s)
    return sorted(first_s.values())


def _check_budget(seen: Observations, kind: str, crashes: int) -> Iterable[str]:
    crashes_s = _crashes(seen, kind)
    if len(crashes_s) < crashes:
        return
    from_s = crashes_s[crashes - 1] + CONTACT_S
    late = [
        one
        for one in seen.arrivals
        if one.kind == kind
        and one.at_s > from_s
        and seen.is_calm(one.instance, one.at_s)
    ]
    if len(late) > BUDGET_REQUESTS:
        yield (
            f'{len(late)} requests ({kind}) reached servers after they had '
            f'crashed {crashes}: {late[:9]}'
        )


def _check_limits(seen: Observations) -> Iterable[str]:
    for limit in seen.limits:
        times_s = [
            one.at_s
            for one in seen.arrivals
            if one.process == limit.process
            and limit.start_s + CONTACT_S < one.at_s <= limit.end_s
            and _was_told(seen, one, limit)
            and not seen.is_excused(one.instance, one.at_s)
        ]
        found = busiest_window(times_s)
        allowed = allowed_requests(limit.per_s)
        if found > allowed:
            yield (
                f'{limit.process} named {limit.per_s} a second and got {found} '
                f'requests in {WINDOW_S} s; allowed {allowed}'
            )


def _was_told(seen: Observations, found: Arrival, limit: NamedLimit) -> bool:
    told_s = found.at_s - TOLD_S - ANSWER_S
    return any(
        one.instance == found.instance
        and one.process == limit.process
        and limit.start_s <= one.at_s <= told_s
        for one in seen.arrivals
    )


def _check_sound(seen: Observations) -> Iterable[str]:
    """Check that requests beside those that crash servers go on."""
    for one in seen.sent:
        if one.kind in {SOUND, ONCE} and BLOCKED_TEXT in one.body:
            yield f'{one.call} was refused although it crashes no server'
    bad_s = [one.at_s for one in seen.sent if one.kind in {BAD, AGAIN}]
    crashes_s = sorted(seen.crashes_s)[:BUDGET_CRASHES]
    if not bad_s or not crashes_s:
        return
    from_s = crashes_s[-1] + 2 * CONTACT_S
    before = _served(seen, 0, min(bad_s))
    beside = _served(seen, from_s, max(bad_s))
    if before is not None and beside is not None and beside < before / 2:
        yield f'{beside:.0%} of the sound requests served, before {before:.0%}'


def _served(seen: Observations, from_s: float, until_s: float) -> float | None:
    found = [
        one.is_right
        for one in seen.sent
        if one.kind == SOUND
        and from_s <= one.at_s < until_s
        and seen.is_calm(one.instance, one.at_s)
    ]
    return sum(found) / len(found) if len(found) >= MIN_SOUND else None


def _check_answers(seen: Observations) -> Iterable[str]:
    for one in seen.sent:
        runs = seen.ran[one.call]
        if one.kind == ONCE and runs > 1:
            yield f'{one.call} ran {runs} times'
        if one.kind == ONCE and one.status == STATUS_REFUSED and runs:
            yield f'{one.call} ran but was reported as not run'
        if one.status == STATUS_OK and one.body and not one.is_right:
            yield f'{one.call} got an answer that is not its own or not whole'


def _check_streams(seen: Observations) -> Iterable[str]:
    """Check that streams hold all events in order, of one version each."""
    for one in seen.streams:
        versions = {version for _, version in one.events}
        if len(versions) > 1:
            yield f'{one.call} holds events of versions {sorted(versions)}'
        ids = [number for number, _ in one.events]
        if ids != list(range(1, len(ids) + 1)):
            yield f'{one.call} holds events {ids}'


def _check_take_ups(seen: Observations) -> Iterable[str]:
    """Check that streams that can go on do so."""
    begun = [
        one.first.went_on
        for one in seen.streams
        if seen.is_calm(one.first.instance, one.first.at_s)
    ]
    taken_up = [
        take_up.went_on
        for one in seen.streams
        for take_up in one.take_ups
        if take_up.servers >= MIN_SERVERS
        and seen.is_calm(take_up.instance, take_up.at_s)
    ]
    if not begun or len(taken_up) < MIN_TAKE_UPS:
        return
    share, expected = sum(taken_up) / len(taken_up), sum(begun) / len(begun)
    if share < expected / 2:
        yield (
            f'{share:.0%} of {len(taken_up)} take-ups went on; '
            f'{expected:.0%} of the new streams began'
        )


def _check_cuts(seen: Observations) -> Iterable[str]:
    """Check that callers of instances that are cut off are served too."""
    for cut in seen.cuts:
        tries = [
            one
            for one in seen.sent
            if one.kind in {SOUND, ONCE}
            and cut.start_s + CONTACT_S <= one.at_s <= cut.end_s
            and seen.is_calm(one.instance, one.at_s)
        ]
        here = [one.is_right for one in tries if one.instance in cut.instances]
        there = [
            one.is_right for one in tries if one.instance not in cut.instances
        ]
        if not here or not there:
            continue
        allowed = CUT_FAILURES + CUT_FAILURE_SHARE * len(tries)
        share, expected = sum(here) / len(here), sum(there) / len(there)
        failures = len(here) - sum(here)
        if share < CUT_FRACTION * expected and failures > allowed:
            yield (
                f'{share:.0%} of {len(here)} first tries were served at '
                f'{sorted(cut.instances)}, which were cut off; {expected:.0%} '
                f'of {len(there)} elsewhere'
            )


def _check_brittle(seen: Observations) -> Iterable[str]:
    for one in seen.brittle:
        if one.falls > FALLS + FALLS_SHARE * one.servers:
            yield f'{one.falls} of {one.servers} brittle servers fell over'
