"""Test the estimate of an engine's prefill backlog."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.prefill import (
    PACED_PREFILL_TOKENS_PER_S,
    PREFILL_TOKENS_PER_S,
    PrefillSchedule,
)

PROMPTS = st.lists(
    st.tuples(
        st.integers(0, 50_000),
        st.integers(0, 5),
        st.floats(0, 2, allow_nan=False),
    ),
    max_size=20,
)


class TestPrefillSchedule:
    """Test the backlog ahead of a prompt."""

    @pytest.mark.parametrize(
        ('tier', 'backlog_s'),
        [(0, 0.0), (1, 0.2), (2, 0.2), (3, 0.6), (9, 0.6)],
    )
    def test_only_same_and_upper_tiers_count(self, tier, backlog_s):
        """A prompt waits only for prompts of its own tier and those above."""
        schedule = PrefillSchedule()
        schedule.add(int(0.4 * PREFILL_TOKENS_PER_S), 3, 0.0)
        schedule.add(int(0.2 * PREFILL_TOKENS_PER_S), 1, 0.0)
        assert schedule.backlog_s(tier, 0.0) == pytest.approx(backlog_s)

    def test_backlog_shrinks_over_time(self):
        """The backlog shrinks over time, and idle time earns no credit."""
        schedule = PrefillSchedule()
        schedule.add(PREFILL_TOKENS_PER_S, 1, 0.0)
        assert schedule.backlog_s(1, 0.4) == pytest.approx(0.6)
        schedule.add(PREFILL_TOKENS_PER_S, 1, 5.0)
        assert schedule.backlog_s(1, 5.0) == pytest.approx(1.0)

    def test_paced_prefill_is_slower(self):
        """Paced prompts are estimated at the lower rate."""
        schedule = PrefillSchedule()
        schedule.add(PREFILL_TOKENS_PER_S, 0, 0.0)
        assert schedule.paced_backlog_s(0.0) == 0
        schedule.add_paced(PACED_PREFILL_TOKENS_PER_S, 0.0)
        assert schedule.paced_backlog_s(0.25) == pytest.approx(0.75)

    @given(PROMPTS)
    def test_upper_tier_waits_no_longer(self, prompts):
        """No prompt waits longer than one of a lower tier.

        A wait is never negative. In the tier of the prompt that was added
        last, it is at least the prefill time of that prompt.
        """
        schedule = PrefillSchedule()
        now_s = 0.0
        for tokens, tier, passed_s in prompts:
            now_s += passed_s
            schedule.add(tokens, tier, now_s)
            ahead = [schedule.backlog_s(other, now_s) for other in range(7)]
            assert ahead == sorted(ahead)
            assert ahead[0] >= 0
            own_s = tokens / PREFILL_TOKENS_PER_S
            assert ahead[tier] >= own_s - 1e-9
