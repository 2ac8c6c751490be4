"""Test the small pure parts, table by table."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.limits import LimitPolicy, Sample, SlotLimit
from siskinpass.process.rendezvous import holder, rank
from siskinpass.process.reserve import WINDOW_S, SwingReserve
from siskinpass.process.throughput import WINDOW_S as RATE_WINDOW_S
from siskinpass.process.throughput import GrantRate
from siskinpass.request.retry import BURST, RetryBudget
from siskinpass.version.keys import KeyTable, hash_key, make_key
from siskinpass.version.schema import Root, Tree, Workspace
from siskinpass.version.tree_version import CurrentVersion, TreeVersion

POLICY = LimitPolicy(start=8, least=2, most=24, token_s=0.04)


class TestSlotLimit:
    """Test how slots follow the token times."""

    @pytest.mark.parametrize(
        ('token_s', 'demand', 'slots'),
        [
            (0.015, 40, 24),
            (0.015, 2, 8),
            (0.2, 40, 2),
        ],
    )
    def test_follows_token_time(self, token_s, demand, slots):
        """Fast tokens open slots under load, slow ones close them."""
        limit = SlotLimit(POLICY)
        for step in range(60):
            used = min(demand, limit.slots)
            limit.observe(token_s, 0.0, Sample(6 * used, used, step / 10))
        assert limit.slots == slots

    def test_one_slow_token_does_not_hold_a_quiet_server_down(self):
        """A server that is fast again gets back the slots it began with."""
        limit = SlotLimit(POLICY)
        limit.observe(0.2, 0.0, Sample(1, 1, 0.0))
        assert limit.slots == POLICY.least
        for step in range(1, 40):
            limit.observe(0.01, 0.0, Sample(1, 1, step / 10))
        assert limit.slots == POLICY.start

    def test_grows_slowly_near_the_defended_time(self):
        """Close to the defended token time the limit feels its way."""
        far, near = SlotLimit(POLICY), SlotLimit(POLICY)
        far.observe(0.015, 0.0, Sample(20, 8, 0.0))
        near.observe(0.039, 0.0, Sample(20, 8, 0.0))
        assert far.slots > near.slots >= POLICY.start

    @given(st.lists(st.tuples(st.floats(0, 5), st.integers(0, 99))))
    def test_stays_within_bounds(self, seen):
        """No observation moves the limit beyond its bounds."""
        limit = SlotLimit(POLICY)
        for step, (token_s, running) in enumerate(seen):
            limit.observe(token_s, 0.0, Sample(running, running, float(step)))
            assert POLICY.least <= limit.slots <= POLICY.most


class TestSwingReserve:
    """Test the slots kept for upper tiers."""

    def test_follows_recent_swing(self):
        """What was needed a moment ago is kept free, then given back."""
        reserve = SwingReserve()
        reserve.observe(10, 0.0)
        reserve.observe(2, 1.0)
        assert reserve.slots(2, 100, 1) == 8
        reserve.observe(2, WINDOW_S + 1)
        assert reserve.slots(2, 100, 1) == 1

    def test_never_more_than_half(self):
        """A past crest does not lock the lower tiers out."""
        reserve = SwingReserve()
        reserve.observe(500, 0.0)
        assert reserve.slots(0, 40, 1) == 20


class TestGrantRate:
    """Test the expected wait."""

    def test_counts_tiers_above(self):
        """A tier's wait follows from its own grants and those above."""
        rate = GrantRate()
        for step in range(50):
            rate.note(step % 2, step / 10)
        assert rate.wait_s(0, 25, 5.0) == pytest.approx(RATE_WINDOW_S)
        assert rate.wait_s(1, 25, 5.0) == pytest.approx(RATE_WINDOW_S / 2)

    def test_tells_nothing_from_a_window_that_is_not_full(self):
        """The first grants after a start or a pause refuse nobody."""
        rate = GrantRate()
        for step in range(15):
            rate.note(0, 100 + step / 30)
        assert rate.wait_s(0, 110, 100.5) == 0

    def test_tells_nothing_from_little(self):
        """Without enough grants nobody is refused."""
        rate = GrantRate()
        rate.note(0, 0.0)
        assert rate.wait_s(0, 1000, 1.0) == 0


class TestRendezvous:
    """Test the choice of instances."""

    @given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=9))
    def test_loss_moves_only_what_was_held(self, names):
        """Other groups keep their broker when an instance dies."""
        groups = [f'g{number}' for number in range(20)]
        before = {group: holder(group, names) for group in groups}
        gone = min(names)
        for group in groups:
            after = holder(group, names - {gone})
            assert before[group] in {gone, after}
            assert rank(group, names)[0] == before[group]


class TestRetryBudget:
    """Test the bound on retries."""

    @given(st.lists(st.booleans()), st.floats(0, 1))
    def test_never_exceeded(self, steps, fraction):
        """Retries never pass the burst and the fraction of traffic."""
        budget = RetryBudget()
        earned = spent = 0
        for is_request in steps:
            if is_request:
                budget.earn('w/c', fraction)
                earned += 1
            else:
                spent += budget.spend('w/c')
        assert spent <= BURST + earned * fraction


class TestVersionBook:
    """Test that versions never go down."""

    @given(st.lists(st.integers(1, 20)))
    def test_only_rises(self, numbers):
        """Whatever the store or a peer offers, the number only rises."""
        book = CurrentVersion()
        tree = Tree(Root('x'), {})
        highest = 0
        for number in numbers:
            offered = TreeVersion(number, tree, KeyTable(tree), '')
            assert book.adopt_if_newer(offered) == (number > highest)
            highest = max(highest, number)
            assert book.number == highest


class TestKeys:
    """Test callers' keys."""

    def test_key_finds_its_workspace_only(self):
        """A key belongs to one workspace, and the tree does not hold it."""
        key, entry = make_key('counter')
        other_key, other = make_key()
        tree = Tree(
            Root('x'),
            {'a': Workspace(keys=(entry,)), 'b': Workspace(keys=(other,))},
        )
        table = KeyTable(tree)
        assert table.find(key) == ('a', entry)
        assert table.find(other_key) == ('b', other)
        assert table.find('wrong') is None
        assert key not in str(tree)
        assert hash_key(entry.salt, key) != hash_key(other.salt, key)
