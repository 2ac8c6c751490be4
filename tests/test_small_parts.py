"""Test small modules of pure logic."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.limits import LimitPolicy, Sample, SlotLimit
from siskinpass.process.rendezvous import holder, rank
from siskinpass.process.reserve import WINDOW_S, PeakDemandReserve
from siskinpass.process.throughput import WINDOW_S as RATE_WINDOW_S
from siskinpass.process.throughput import GrantRate
from siskinpass.request.retry import BURST, RetryBudget
from siskinpass.version.keys import KeyTable, hash_key, make_key
from siskinpass.version.schema import Root, Tree, Workspace
from siskinpass.version.tree_version import CurrentVersion, TreeVersion

POLICY = LimitPolicy(start=8, minimum=2, maximum=24, token_s=0.04)


class TestSlotLimit:
    """Test how the limit follows the token times."""

    @pytest.mark.parametrize(
        ('token_s', 'demand', 'slots'),
        [
            (0.015, 40, 24),
            (0.015, 2, 8),
            (0.2, 40, 2),
        ],
    )
    def test_follows_token_time(self, token_s, demand, slots):
        """Fast tokens raise the limit under load, slow ones lower it."""
        limit = SlotLimit(POLICY)
        for step in range(60):
            used = min(demand, limit.slots)
            limit.observe(token_s, 0.0, Sample(6 * used, used, step / 10))
        assert limit.slots == slots

    def test_quiet_server_recovers_after_one_slow_token(self):
        """A server that is fast again regains its initial limit.

        It does so although it uses few of its slots.
        """
        limit = SlotLimit(POLICY)
        limit.observe(0.2, 0.0, Sample(1, 1, 0.0))
        assert limit.slots == POLICY.minimum
        for step in range(1, 40):
            limit.observe(0.01, 0.0, Sample(1, 1, step / 10))
        assert limit.slots == POLICY.start

    def test_grows_slowly_near_the_target_time(self):
        """The limit grows more slowly close to the target token time."""
        far, near = SlotLimit(POLICY), SlotLimit(POLICY)
        far.observe(0.015, 0.0, Sample(20, 8, 0.0))
        near.observe(0.039, 0.0, Sample(20, 8, 0.0))
        assert far.slots > near.slots >= POLICY.start

    @given(st.lists(st.tuples(st.floats(0, 5), st.integers(0, 99))))
    def test_stays_within_bounds(self, seen):
        """No observation moves the limit outside its bounds."""
        limit = SlotLimit(POLICY)
        for step, (token_s, running) in enumerate(seen):
            limit.observe(token_s, 0.0, Sample(running, running, float(step)))
            assert POLICY.minimum <= limit.slots <= POLICY.maximum


class TestPeakDemandReserve:
    """Test the slots reserved for upper tiers."""

    def test_follows_recent_peak(self):
        """The recent peak of demand stays reserved until its window ends."""
        reserve = PeakDemandReserve()
        reserve.observe(10, 0.0)
        reserve.observe(2, 1.0)
        assert reserve.slots(2, 100, 1) == 8
        reserve.observe(2, WINDOW_S + 1)
        assert reserve.slots(2, 100, 1) == 1

    def test_never_more_than_half(self):
        """A past peak reserves at most half of the slots."""
        reserve = PeakDemandReserve()
        reserve.observe(500, 0.0)
        assert reserve.slots(0, 40, 1) == 20


class TestGrantRate:
    """Test the expected wait."""

    def test_counts_tiers_above(self):
        """The rate of a tier counts its own grants and those of tiers above."""
        rate = GrantRate()
        for step in range(50):
            rate.record(step % 2, step / 10)
        assert rate.wait_s(0, 25, 5.0) == pytest.approx(RATE_WINDOW_S)
        assert rate.wait_s(1, 25, 5.0) == pytest.approx(RATE_WINDOW_S / 2)

    def test_no_estimate_from_a_partial_window(self):
        """The first grants after a start or a pause give no estimate.

        Their rate would be wrong, and tickets would be refused for it.
        """
        rate = GrantRate()
        for step in range(15):
            rate.record(0, 100 + step / 30)
        assert rate.wait_s(0, 110, 100.5) == 0

    def test_no_estimate_from_few_grants(self):
        """Too few grants give no estimate, so no ticket is refused."""
        rate = GrantRate()
        rate.record(0, 0.0)
        assert rate.wait_s(0, 1000, 1.0) == 0


class TestRendezvous:
    """Test rendezvous hashing."""

    @given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=9))
    def test_removal_moves_only_keys_of_removed_name(self, names):
        """Only keys of a removed name move to another name."""
        groups = [f'g{number}' for number in range(20)]
        before = {group: holder(group, names) for group in groups}
        gone = min(names)
        for group in groups:
            after = holder(group, names - {gone})
            assert before[group] in {gone, after}
            assert rank(group, names)[0] == before[group]


class TestRetryBudget:
    """Test the limit on retries."""

    @given(st.lists(st.booleans()), st.floats(0, 1))
    def test_never_exceeded(self, steps, fraction):
        """Retries never exceed the burst plus the fraction of requests."""
        budget = RetryBudget()
        earned = spent = 0
        for is_request in steps:
            if is_request:
                budget.earn('w/c', fraction)
                earned += 1
            else:
                spent += budget.spend('w/c')
        assert spent <= BURST + earned * fraction


class TestCurrentVersion:
    """Test that the version number never decreases."""

    @given(st.lists(st.integers(1, 20)))
    def test_only_rises(self, numbers):
        """An offered version is adopted only if its number is higher."""
        current = CurrentVersion()
        tree = Tree(Root('x'), {})
        highest = 0
        for number in numbers:
            offered = TreeVersion(number, tree, KeyTable(tree), '')
            assert current.adopt_if_newer(offered) == (number > highest)
            highest = max(highest, number)
            assert current.number == highest


class TestKeys:
    """Test the look-up of callers' keys."""

    def test_key_finds_its_workspace_only(self):
        """A key belongs to one workspace and is not stored in the tree."""
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
