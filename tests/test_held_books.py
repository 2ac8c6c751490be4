"""Test that the books of callers' connections are right after any events."""

import sys
from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinpass.connection.held_bytes import (
    PAUSE_SHARE,
    READ_BYTES,
    HeldBytes,
    HoldLimits,
)
from siskinpass.connection.holdings import PAUSABLE, SMALL_BYTES, Stage

BUDGET = 4_000_000
CONNECTIONS = 12
SIZES = st.sampled_from([1, SMALL_BYTES, 300_000, 1_500_000])
NUMBERS = st.integers(min_value=0, max_value=2 * CONNECTIONS)
# More than the interpreter's limit on nested calls.
MANY = 2_000


class Connection:
    """Connection that books what it holds whenever it is told something.

    :ivar received: what has arrived of a request.
    :ivar unread: what its caller has not read.
    :ivar is_broken: whether it fails when it is told something.
    """

    def __init__(self, held, *, is_broken=False):
        self._held = held
        self.received = 0
        self.answer = 0
        self.unread = 0
        self.is_busy = False
        self.is_paused = False
        self.was_paused = False
        self.is_refused = False
        self.is_closed = False
        self.is_broken = is_broken
        held.enter(self)

    @property
    def held_bytes(self):
        """Return what the connection holds."""
        if self.is_closed:
            return 0
        return self.received + self.answer + self.unread

    @property
    def stage(self):
        """Return what the connection does."""
        if self.is_refused:
            return Stage.leaving
        if self.unread > SMALL_BYTES:
            return Stage.unread
        if self.answer:
            return Stage.collecting
        if self.is_busy:
            return Stage.running
        return Stage.arriving if self.received else Stage.idle

    def receive(self, size):
        """Receive a part of a request."""
        self.received += size
        self.book()

    def book(self):
        """Book what the connection holds."""
        if not self.is_closed:
            self._held.book(self, self.stage, self.held_bytes)

    def hold(self, *, on):
        """Book as a connection does that reads or stops reading."""
        if self.is_broken:
            raise ValueError
        self.is_paused = on
        self.was_paused = self.was_paused or on
        self.book()

    def give_up(self, code):
        """Refuse the request that arrives, or close."""
        if self.is_broken:
            raise ValueError
        if self.stage is Stage.arriving:
            self.received = 0
            self.is_refused = True
            self.book()
        else:
            self.abort()

    def abort(self):
        """Close."""
        self.is_closed = True
        self._held.leave(self)


class Books(RuleBasedStateMachine):
    """Events of connections in any order."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0
        self._faults = []
        self._held = HeldBytes(
            HoldLimits(BUDGET, CONNECTIONS),
            now_s=lambda: self._now_s,
            on_fault=self._faults.append,
        )
        self._all = []

    @property
    def open(self):
        """Return the connections that are open."""
        return [one for one in self._all if not one.is_closed]

    def pick(self, number):
        """Return an open connection; a new one if there is none."""
        if not self.open:
            self.enter(is_broken=False)
        return self.open[number % len(self.open)]

    @rule(is_broken=st.sampled_from([False, False, False, True]))
    def enter(self, is_broken):
        """Accept a connection."""
        self._all.append(Connection(self._held, is_broken=is_broken))

    @rule(number=NUMBERS, size=SIZES)
    def receive(self, number, size):
        """Receive a part of a request."""
        one = self.pick(number)
        if not (one.is_paused or one.is_refused or one.is_busy):
            one.receive(size)

    @rule(number=NUMBERS)
    def start(self, number):
        """Start a request that has arrived."""
        one = self.pick(number)
        if one.stage is not Stage.arriving:
            return
        if self._held.may_start(one, 2 * one.received):
            one.received *= 2
            one.is_busy = True
        else:
            one.received = 0
            one.is_refused = True
        one.book()

    @rule(number=NUMBERS, size=SIZES)
    def collect(self, number, size):
        """Collect a part of an answer."""
        one = self.pick(number)
        if one.is_busy and not one.is_paused:
            one.answer += size
            one.book()

    @rule(number=NUMBERS, size=SIZES)
    def finish(self, number, size):
        """Write the answer, which may not be read at once."""
        one = self.pick(number)
        if one.is_busy:
            one.received = one.answer = 0
            one.is_busy = False
            one.unread += size
            one.book()

    @rule(number=NUMBERS)
    def read(self, number):
        """Let the caller read what was written."""
        one = self.pick(number)
        one.unread = 0
        one.book()

    @rule(number=NUMBERS)
    def leave(self, number):
        """Close a connection."""
        self.pick(number).abort()

    @rule(passed_s=st.sampled_from([0.1, 2.0]))
    def wait(self, passed_s):
        """Let time pass."""
        self._now_s += passed_s

    @invariant()
    def total_is_what_connections_hold(self):
        """None is counted with less than it holds."""
        holdings = [one.held_bytes for one in self.open]
        assert self._held.total_bytes == sum(holdings)
        assert self._held.connections == len(self.open)
        assert len(self.open) <= CONNECTIONS

    @invariant()
    def paused_ones_are_known(self):
        """None is told to stop and then forgotten."""
        paused = [one for one in self.open if one.is_paused]
        assert self._held.paused == len(paused)
        assert all(one.stage in PAUSABLE for one in paused)
        room = BUDGET * PAUSE_SHARE - self._held.total_bytes
        assert not paused or room <= READ_BYTES

    @invariant()
    def broken_ones_are_closed(self):
        """What they were told has failed, and they hold nothing."""
        failed = [one for one in self._all if one.is_broken and one.is_closed]
        assert len(self._faults) <= len(failed)


TestBooks = Books.TestCase


def crowd(count, held_bytes, share=1):
    """Return an account and connections that have received a part each.

    :param share: budget, in multiples of what they hold together.
    """
    held = HeldBytes(HoldLimits(count * held_bytes * share, 2 * count))
    connections = [Connection(held) for _ in range(count)]
    for one in connections:
        one.receive(held_bytes)
    return held, connections


class TestCrowd:
    """Test crowds of more connections than calls can be nested."""

    def test_paused_ones_go_on_together(self):
        """Guards against a call of the account within each other one."""
        held = HeldBytes(HoldLimits(MANY * 4 * SMALL_BYTES, 2 * MANY))
        large = Connection(held)
        large.receive(MANY * 2 * SMALL_BYTES)
        connections = [Connection(held) for _ in range(MANY)]
        for one in connections:
            one.receive(SMALL_BYTES + 1)
        assert held.paused == MANY
        large.abort()
        assert held.paused == 0
        assert not any(one.is_paused for one in connections)

    def test_many_are_given_up_together(self):
        """Guards against refusals that are left out, but not counted."""
        held, connections = crowd(MANY, SMALL_BYTES + 1)
        large = Connection(held)
        assert held.may_start(large, MANY // 2 * SMALL_BYTES)
        refused = [one for one in connections if one.is_refused]
        assert len(refused) == MANY // 2
        assert held.total_bytes == sum(one.held_bytes for one in connections)

    def test_given_up_ones_do_not_cost_others_their_place(self):
        """A paused one that is given up is not counted once more."""
        held, connections = crowd(20, 500_000)
        for one in connections:
            if not one.is_paused:
                one.receive(1)
        Connection(held).receive(500_000)
        refused = [one for one in connections if one.is_refused]
        assert any(one.was_paused for one in refused)
        assert len(refused) == 2

    @pytest.mark.parametrize('share', [1, 4])
    def test_cost_of_a_booking_does_not_grow(self, share):
        """Ten connections cost as many steps as two thousand."""
        steps = {count_steps(count, share) for count in (10, 100, MANY)}
        assert len(steps) == 1


def count_steps(count, share):
    """Return the lines that are run as a connection books and leaves.

    :param share: budget, in multiples of what the connections hold together.
    """
    _, connections = crowd(count, 2 * SMALL_BYTES, share)
    one = connections[-1]
    events = Counter()

    def trace(frame, event, argument):
        events[event] += 1
        return trace

    sys.settrace(trace)
    try:
        one.receive(2 * SMALL_BYTES)
        one.abort()
    finally:
        sys.settrace(None)
    return events['line']
