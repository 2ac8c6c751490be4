"""Test the account of what callers' connections hold."""

import time

import pytest

from siskinpass.codes import Code
from siskinpass.connection.byte_queue import ByteQueue
from siskinpass.connection.held_bytes import (
    HeldBytes,
    HoldLimits,
    hold_limits,
)
from siskinpass.connection.holdings import ACCEPTED_S, SMALL_BYTES, Stage

BUDGET = 10_000_000
LARGE = 4_000_000


class Caller:
    """Connection that records what it is told."""

    def __init__(self, held):
        self._held = held
        self.told = []
        held.enter(self)

    def book(self, stage, held_bytes):
        """Book what the connection holds."""
        self._held.book(self, stage, held_bytes)

    def hold(self, *, on):
        """Record a pause or its end."""
        self.told.append('pause' if on else 'go on')

    def give_up(self, code):
        """Record the reason."""
        self.told.append(code)


def callers(count, connections=99, now_s=time.monotonic):
    """Return an account and connections that are booked with it."""
    held = HeldBytes(HoldLimits(BUDGET, connections), now_s=now_s)
    return held, [Caller(held) for _ in range(count)]


class TestMemory:
    """Test what happens at the thresholds."""

    def test_all_but_the_first_large_one_are_paused(self):
        """One of them always gets done, and the others go on after it."""
        held, (first, second, small) = callers(3)
        first.book(Stage.arriving, LARGE)
        second.book(Stage.arriving, LARGE)
        small.book(Stage.arriving, SMALL_BYTES)
        first.book(Stage.arriving, LARGE + 1)
        assert (first.told, second.told, small.told) == ([], ['pause'], [])
        first.book(Stage.idle, 0)
        assert second.told == ['pause', 'go on']
        assert held.paused == 0

    def test_longest_stalled_is_given_up_first(self):
        """Nothing that makes progress is given up before it."""
        held, (slow, stalled, other) = callers(3)
        slow.book(Stage.unread, LARGE)
        stalled.book(Stage.unread, LARGE)
        slow.book(Stage.unread, LARGE + 1)
        other.book(Stage.running, LARGE)
        assert stalled.told == [Code.memory_full]
        assert (slow.told, other.told) == ([], [])
        assert held.total_bytes < BUDGET

    def test_small_ones_are_given_up_last(self):
        """Ordinary callers are not the first that are refused."""
        _, (small, large, running) = callers(3)
        small.book(Stage.unread, SMALL_BYTES)
        large.book(Stage.unread, LARGE)
        running.book(Stage.running, 2 * LARGE)
        assert (small.told, large.told) == ([], [Code.memory_full])

    def test_requests_in_progress_are_never_given_up(self):
        """They may have run, so that no refusal would be true."""
        _, found = callers(6)
        for one in found:
            one.book(Stage.running, LARGE)
        assert not any(one.told for one in found)

    @pytest.mark.parametrize(
        ('running', 'cost', 'may_start'),
        [
            (BUDGET - LARGE, LARGE, True),
            (BUDGET - LARGE + 1, LARGE, False),
            (BUDGET, SMALL_BYTES, True),
            (BUDGET + BUDGET // 8, SMALL_BYTES, False),
        ],
    )
    def test_requests_start_within_the_budget(self, running, cost, may_start):
        """Small ones may also when large ones may not any more."""
        held, (busy, new) = callers(2)
        busy.book(Stage.running, running)
        assert held.may_start(new, cost) is may_start

    @pytest.mark.parametrize('stage', [Stage.unread, Stage.arriving])
    def test_nothing_is_given_up_for_one_that_is_refused(self, stage):
        """Guards against refusing many callers for one that gets nothing."""
        held, (running, small, large, new) = callers(4)
        small.book(stage, 2000)
        large.book(Stage.unread, 2 * SMALL_BYTES)
        running.book(Stage.running, BUDGET - LARGE)
        assert not held.may_start(new, 2 * LARGE)
        assert (small.told, large.told) == ([], [])

    @pytest.mark.parametrize('stage', [Stage.unread, Stage.arriving])
    def test_small_ones_are_not_given_up_for_a_large_one(self, stage):
        """One large upload does not refuse ordinary callers."""
        held, (running, *small, large) = callers(9)
        running.book(Stage.running, BUDGET - LARGE)
        for one in small:
            one.book(stage, SMALL_BYTES)
        large.book(Stage.arriving, LARGE - SMALL_BYTES)
        assert not held.may_start(large, LARGE)
        assert not any(one.told for one in small)

    @pytest.mark.parametrize(
        ('other_bytes', 'told'),
        [(3000, [Code.memory_full]), (3001, [])],
    )
    def test_small_ones_give_way_if_that_suffices(self, other_bytes, told):
        """Nothing is gained by refusing one where the budget is exceeded."""
        _, (running, small, other) = callers(3)
        small.book(Stage.arriving, 2000)
        running.book(Stage.running, BUDGET - 3000)
        other.book(Stage.arriving, other_bytes)
        assert small.told == told

    def test_large_ones_are_given_up_beside_too_many_requests(self):
        """Guards against unread answers that grow without a limit."""
        _, (running, small, large, other) = callers(4)
        small.book(Stage.arriving, 2000)
        large.book(Stage.unread, LARGE)
        running.book(Stage.running, BUDGET + LARGE)
        other.book(Stage.arriving, 2000)
        assert (small.told, large.told) == ([], [Code.memory_full])

    def test_largest_body_is_served_alone(self):
        """The largest body by default fits on the smallest machine."""
        limits = hold_limits(160)
        assert limits.max_body_bytes >= 4_194_304
        held = HeldBytes(limits)
        caller = Caller(held)
        caller.book(Stage.arriving, limits.max_body_bytes)
        assert held.may_start(caller, 2 * limits.max_body_bytes)
        assert not caller.told

    def test_nothing_is_left_of_closed_connections(self):
        """Guards against an account that fills up over time."""
        held, found = callers(9)
        for one in found:
            one.book(Stage.arriving, LARGE)
            held.leave(one)
            one.book(Stage.arriving, LARGE)
        assert (held.total_bytes, held.connections, held.paused) == (0, 0, 0)


class TestConnections:
    """Test the limit on connections."""

    def test_idle_ones_give_way_first_then_unused_ones(self):
        """The one that waits longest goes first.

        New connections closed each other while idle ones stayed.
        """
        now = [0.0]
        held, found = callers(5, 5, lambda: now[0])
        unused, later_unused, later_idle, idle, arriving = found
        for one in (idle, later_idle):
            one.book(Stage.running, 9)
            one.book(Stage.idle, 0)
        arriving.book(Stage.arriving, 9)
        now[0] = ACCEPTED_S
        order = (idle, later_idle, unused, later_unused, arriving)
        for gone in range(1, 6):
            Caller(held).book(Stage.running, 9)
            assert [one.told for one in order] == [
                [Code.too_many_connections] if place < gone else []
                for place in range(5)
            ]

    def test_accepted_ones_give_way_after_all_others(self):
        """A caller gets a second to send, however many others connect."""
        now = [0.0]
        held, (idle, arriving) = callers(2, 4, lambda: now[0])
        idle.book(Stage.idle, 0)
        arriving.book(Stage.arriving, 9)
        now[0] = ACCEPTED_S
        first, second, third, fourth, fifth = (Caller(held) for _ in range(5))
        closed = [Code.too_many_connections]
        assert (idle.told, arriving.told, first.told) == (
            closed,
            closed,
            closed,
        )
        assert not any(one.told for one in (second, third, fourth, fifth))
        now[0] = 2 * ACCEPTED_S
        second.book(Stage.idle, 0)
        fourth.book(Stage.idle, 0)
        assert not Caller(held).told
        assert (second.told, third.told, fourth.told) == (closed, [], [])

    def test_refused_ones_are_not_protected(self):
        """They are of no use to their callers any more."""
        held, (arriving, refused) = callers(2, 2)
        arriving.book(Stage.arriving, 9)
        refused.book(Stage.leaving, 0)
        Caller(held)
        assert (arriving.told, refused.told) == (
            [],
            [Code.too_many_connections],
        )

    def test_new_one_is_closed_if_all_are_busy(self):
        """Requests in progress do not give way."""
        held, found = callers(2, connections=2)
        for one in found:
            one.book(Stage.running, 9)
        assert Caller(held).told == [Code.too_many_connections]
        assert not any(one.told for one in found)


class TestByteQueue:
    """Test the queue of received bytes."""

    def test_takes_and_finds_from_the_front(self):
        """What was taken is not found any more."""
        queue = ByteQueue()
        queue.add(b'ab;cd;')
        assert (queue.take(3), queue.find(b';'), len(queue)) == (b'ab;', 2, 3)
        assert (queue.find(b';', 3), queue.take(9), len(queue)) == (
            -1,
            b'cd;',
            0,
        )

    def test_little_is_copied(self):
        """A queue of many short requests takes linear work."""
        queue, copied = ByteQueue(), 0
        queue.add(b'x' * 100_000)
        while queue:
            before = queue._held
            queue.take(10)
            copied += 0 if queue._held is before else len(queue)
        assert copied < 100_000
