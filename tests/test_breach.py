"""Test when a breach is raised, on recorded seconds."""

import pytest

from siskinpass.process.breach import BreachPolicy, BreachWatch, Cause
from siskinpass.process.counts import CountBook, Outcome, Tally, merge


def seconds(*spans):
    """Return tallies: each span is seconds, requests and misses a second."""
    return [
        Tally(total=total, missed=missed, slow_backend=slow)
        for length, total, missed, slow in spans
        for _ in range(length)
    ]


def play(trace, objective=0.99):
    """Return the seconds at which the state changed, with the states."""
    watch = BreachWatch(BreachPolicy(), objective)
    changes = []
    last = 'holding'
    for at in range(1, len(trace) + 1):
        state = watch.evaluate(trace[max(0, at - 30) : at], at).state.value
        if state != last:
            changes.append((at, state))
        last = state
    return changes


QUIET = (30, 20, 0, 0)

TRACES = [
    ('no traffic', [(60, 0, 0, 0)], []),
    ('all is well', [(90, 20, 0, 0)], []),
    ('one bad second', [QUIET, (1, 20, 20, 0), QUIET], ['at_risk']),
    ('two bad seconds', [QUIET, (2, 20, 20, 0), QUIET], ['at_risk']),
    ('few requests', [(20, 0, 0, 0), (4, 1, 1, 0), (9, 0, 0, 0)], []),
    ('within the objective', [(90, 1000, 9, 0)], []),
    ('outage', [QUIET, (10, 20, 20, 0), QUIET], ['breached', 'holding']),
    ('slow burn', [QUIET, (30, 100, 5, 0), QUIET], ['breached', 'holding']),
]


class TestBreachWatch:
    """Test recorded traces against stated outcomes."""

    @pytest.mark.parametrize(
        ('spans', 'wanted'),
        [
            pytest.param(spans, wanted, id=name)
            for name, spans, wanted in TRACES
        ],
    )
    def test_trace(self, spans, wanted):
        """Only what puts the promise at risk is told."""
        states = [state for _, state in play(seconds(*spans))]
        for state in wanted:
            assert state in states
        if 'breached' not in wanted:
            assert 'breached' not in states

    def test_raised_within_the_short_window(self):
        """A real breach is raised within five seconds of its start."""
        changes = play(seconds(QUIET, (20, 50, 25, 0)))
        raised = next(at for at, state in changes if state == 'breached')
        assert 30 < raised <= 35

    def test_flapping_raises_once(self):
        """A breach that comes and goes each second is one alarm."""
        trace = seconds(QUIET, *[(1, 20, 20, 0), (1, 20, 0, 0)] * 15)
        states = [state for _, state in play(trace)]
        assert states.count('breached') == 1

    @pytest.mark.parametrize(
        ('slow', 'cause'),
        [(20, Cause.slow_backends), (0, Cause.demand)],
    )
    def test_cause(self, slow, cause):
        """The cause tells slow back ends from too much demand."""
        watch = BreachWatch(BreachPolicy(), 0.99)
        trace = seconds(QUIET, (10, 20, 20, slow))
        assert watch.evaluate(trace[-30:], 40).cause is cause


class TestCounts:
    """Test counting and merging."""

    def test_window_and_merge(self):
        """Outcomes of two instances add up, second by second."""
        one, other = CountBook(), CountBook()
        one.note(Outcome('w/c', met=True, first_ms=30), 5.2)
        other.note(Outcome('w/c', met=False, first_ms=900), 5.9)
        for second, node, tally in other.after(0):
            one.add(second, node, tally)
        found = merge(one.window('w/c', 6, 3))
        assert (found.total, found.missed) == (2, 1)
        assert found.first_ms(0.5) == 40
        assert found.first_ms(0.95) == 960

    def test_old_seconds_are_dropped(self):
        """The book does not grow with time."""
        book = CountBook()
        for second in range(500):
            book.note(Outcome('w/c', met=True), float(second))
        assert len(list(book.after(0))) <= 41
