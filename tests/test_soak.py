"""Test a fleet under prompts that crash servers, limits and other faults."""

import pytest

from bench.soak import SoakPlan, soak
from bench.soak_checks import (
    AGAIN,
    BAD,
    BUDGET_CRASHES,
    CONTACT_S,
    ONCE,
    REQUEST_CRASHES,
    SOUND,
    Arrival,
    Disturbance,
    NamedLimit,
    Observations,
    Sent,
    find_violations,
)


class TestSoak:
    """Test short seeded runs; long ones are started by hand."""

    @pytest.mark.parametrize(
        'plan',
        [
            SoakPlan(seed=1, seconds=12, instances=4, with_faults=False),
            SoakPlan(seed=2, seconds=15, instances=4),
            SoakPlan(seed=3, seconds=15, instances=8, small_fleet=2),
        ],
        ids=str,
    )
    def test_promises_hold(self, plan):
        """Nothing that callers and servers saw breaks a promise."""
        assert not soak(plan).violations


def crashed(times_s, kind=BAD):
    """Return observations with crashes and one request of a kind each."""
    found = [bad_arrival(at_s, kind=kind) for at_s in times_s]
    seen = Observations(crashes_s=list(times_s), arrivals=found)
    seen.ran.update(one.call for one in found)
    return seen


def bad_arrival(at_s, instance='a', kind=BAD):
    """Return a request that crashes a server, each at another one."""
    return Arrival(kind, f'{kind}/{at_s}', instance, f'i-{at_s}', at_s)


def arrivals(times_s, instance='a'):
    """Return sound requests at a server."""
    return [
        Arrival(SOUND, f'sound/{at_s}', instance, 'i-0', at_s)
        for at_s in times_s
    ]


CRASHES = range(BUDGET_CRASHES)
LATE_S = BUDGET_CRASHES + CONTACT_S + 1.0


class TestChecks:
    """Test what the checks of a run notice."""

    @pytest.mark.parametrize(
        ('late', 'disturbances', 'violations'),
        [
            (3, (), 0),
            (4, (), 1),
            (9, (Disturbance('a', LATE_S - 2, LATE_S - 1),), 0),
            (9, (Disturbance('', LATE_S - 2, LATE_S - 1),), 0),
            (9, (Disturbance('b', LATE_S - 2, LATE_S - 1),), 1),
        ],
    )
    @pytest.mark.parametrize(
        ('kind', 'crashes'), [(BAD, BUDGET_CRASHES), (AGAIN, REQUEST_CRASHES)]
    )
    def test_budget(self, kind, crashes, late, disturbances, violations):
        """Instances and a store in trouble are not held to it."""
        seen = crashed(range(crashes), kind)
        seen.disturbances.extend(disturbances)
        seen.arrivals.extend(
            bad_arrival(LATE_S + number / 100, kind=kind)
            for number in range(late)
        )
        assert len(find_violations(seen)) == violations

    @pytest.mark.parametrize(
        ('count', 'instance', 'violations'),
        [(11, 'a', 0), (12, 'a', 1), (12, 'untold', 0), (12, 'excused', 0)],
    )
    def test_limit(self, count, instance, violations):
        """Only instances that were told, and had no trouble, count."""
        seen = Observations(limits=[NamedLimit('i-0', 1.0, 0.0, 99.0)])
        seen.disturbances.append(Disturbance('excused', 9.0, 9.5))
        for told in ('a', 'excused'):
            seen.arrivals.extend(arrivals([0.1], told))
        times_s = [10 + number / 100 for number in range(count)]
        seen.arrivals.extend(arrivals(times_s, instance))
        assert len(find_violations(seen)) == violations

    @pytest.mark.parametrize(
        ('sent', 'runs', 'words'),
        [
            (Sent(ONCE, 'c', 'a', 1.0, 200, is_right=True), 2, 'ran 2 times'),
            (Sent(ONCE, 'c', 'a', 1.0, 503), 1, 'reported as not run'),
            (Sent(SOUND, 'c', 'a', 1.0, 200, body=b'x'), 1, 'not its own'),
            (
                Sent(
                    SOUND, 'c', 'a', 1.0, 503, body=b'crashes backend servers'
                ),
                0,
                'crashes no server',
            ),
        ],
    )
    def test_answers(self, sent, runs, words):
        """A wrong or doubled run and a wrong refusal are noticed."""
        seen = Observations(sent=[sent])
        seen.ran['c'] = runs
        violations = find_violations(seen)
        assert len(violations) == 1
        assert words in violations[0]

    def test_sound_requests_that_stop_being_served(self):
        """Half as many as before is the least."""
        seen = crashed(CRASHES)
        for number in range(60):
            at_s = number / 100
            seen.sent.append(
                Sent(SOUND, f's-{number}', 'a', at_s, 200, is_right=True)
            )
        for number in range(60):
            at_s = LATE_S + CONTACT_S + number / 100
            seen.sent.append(Sent(SOUND, f't-{number}', 'a', at_s, 503))
        seen.sent.append(Sent(BAD, 'first', 'a', 0.9))
        seen.sent.append(Sent(BAD, 'last', 'a', LATE_S + 20))
        violations = find_violations(seen)
        assert len(violations) == 1
        assert 'sound requests served' in violations[0]
