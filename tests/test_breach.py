"""Test breach detection and the tallies that it works on."""

import pytest

from siskinpass.process.breach import BreachPolicy, BreachWatch, Cause
from siskinpass.process.counts import Outcome, Tally, TallyHistory, merge


def tallies_of(*spans):
    """Return one tally per second.

    :param spans: tuples of length in seconds and, for each second, requests,
        misses and misses caused by slow backend servers.
    """
    return [
        Tally(total=total, missed=missed, slow_backend=slow)
        for length, total, missed, slow in spans
        for _ in range(length)
    ]


def state_changes(trace, objective=0.99):
    """Return the changes of state as pairs of second and new state."""
    watch = BreachWatch(BreachPolicy(), objective)
    changes = []
    last = 'holding'
    for at in range(1, len(trace) + 1):
        state = watch.evaluate(trace[max(0, at - 30) : at], at).state.value
        if state != last:
            changes.append((at, state))
        last = state
    return changes


NO_MISSES = (30, 20, 0, 0)

TRACES = [
    ('no traffic', [(60, 0, 0, 0)], []),
    ('all is well', [(90, 20, 0, 0)], []),
    ('one bad second', [NO_MISSES, (1, 20, 20, 0), NO_MISSES], ['at_risk']),
    ('two bad seconds', [NO_MISSES, (2, 20, 20, 0), NO_MISSES], ['at_risk']),
    ('few requests', [(20, 0, 0, 0), (4, 1, 1, 0), (9, 0, 0, 0)], []),
    ('within the objective', [(90, 1000, 9, 0)], []),
    (
        'outage',
        [NO_MISSES, (10, 20, 20, 0), NO_MISSES],
        ['breached', 'holding'],
    ),
    (
        'slow burn',
        [NO_MISSES, (30, 100, 5, 0), NO_MISSES],
        ['breached', 'holding'],
    ),
]


class TestBreachWatch:
    """Test the states that given traces of tallies lead to."""

    @pytest.mark.parametrize(
        ('spans', 'wanted'),
        [
            pytest.param(spans, wanted, id=name)
            for name, spans, wanted in TRACES
        ],
    )
    def test_trace(self, spans, wanted):
        """A trace leads to the expected states, and to no unexpected breach."""
        states = [state for _, state in state_changes(tallies_of(*spans))]
        for state in wanted:
            assert state in states
        if 'breached' not in wanted:
            assert 'breached' not in states

    def test_raised_within_the_short_window(self):
        """A lasting breach is raised within five seconds of its start."""
        changes = state_changes(tallies_of(NO_MISSES, (20, 50, 25, 0)))
        raised = next(at for at, state in changes if state == 'breached')
        assert 30 < raised <= 35

    def test_flapping_raises_once(self):
        """Misses in every other second count as one breach."""
        trace = tallies_of(NO_MISSES, *[(1, 20, 20, 0), (1, 20, 0, 0)] * 15)
        states = [state for _, state in state_changes(trace)]
        assert states.count('breached') == 1

    @pytest.mark.parametrize(
        ('slow', 'cause'),
        [(20, Cause.slow_backends), (0, Cause.demand)],
    )
    def test_cause(self, slow, cause):
        """Misses are attributed to slow backend servers or else to demand."""
        watch = BreachWatch(BreachPolicy(), 0.99)
        trace = tallies_of(NO_MISSES, (10, 20, 20, slow))
        assert watch.evaluate(trace[-30:], 40).cause is cause


class TestCounts:
    """Test how outcomes are counted and merged."""

    def test_window_and_merge(self):
        """Tallies of two instances are added per second."""
        one, other = TallyHistory(), TallyHistory()
        one.record(Outcome('w/c', met=True, first_ms=30), 5.2)
        other.record(Outcome('w/c', met=False, first_ms=900), 5.9)
        for second, node, tally in other.after(0):
            one.add(second, node, tally)
        found = merge(one.window('w/c', 6, 3))
        assert (found.total, found.missed) == (2, 1)
        assert found.first_ms(0.5) == 40
        assert found.first_ms(0.95) == 960

    def test_old_seconds_are_dropped(self):
        """The number of stored seconds is bounded."""
        counts = TallyHistory()
        for second in range(500):
            counts.record(Outcome('w/c', met=True), float(second))
        assert len(list(counts.after(0))) <= 41
