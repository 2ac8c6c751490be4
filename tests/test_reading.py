"""Test the estimate of what an engine has yet to read."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.reading import (
    PACED_TOKENS_S,
    READ_TOKENS_S,
    ReadingPlan,
)

PROMPTS = st.lists(
    st.tuples(
        st.integers(0, 50_000),
        st.integers(0, 5),
        st.floats(0, 2, allow_nan=False),
    ),
    max_size=20,
)


class TestReadingPlan:
    """Test the reading ahead of a prompt."""

    @pytest.mark.parametrize(
        ('tier', 'ahead_s'),
        [(0, 0.0), (1, 0.2), (2, 0.2), (3, 0.6), (9, 0.6)],
    )
    def test_only_own_tier_and_above_count(self, tier, ahead_s):
        """A prompt waits for those of its tier and of more urgent ones."""
        plan = ReadingPlan()
        plan.add(int(0.4 * READ_TOKENS_S), 3, 0.0)
        plan.add(int(0.2 * READ_TOKENS_S), 1, 0.0)
        assert plan.ahead_s(tier, 0.0) == pytest.approx(ahead_s)

    def test_time_reads(self):
        """What was placed is read as time passes; idle time is not kept."""
        plan = ReadingPlan()
        plan.add(READ_TOKENS_S, 1, 0.0)
        assert plan.ahead_s(1, 0.4) == pytest.approx(0.6)
        plan.add(READ_TOKENS_S, 1, 5.0)
        assert plan.ahead_s(1, 5.0) == pytest.approx(1.0)

    def test_even_pace_is_slower(self):
        """Prompts that follow at an even pace leave time for tokens."""
        plan = ReadingPlan()
        plan.add(READ_TOKENS_S, 0, 0.0)
        assert plan.paced_s(0.0) == 0
        plan.add_paced(PACED_TOKENS_S, 0.0)
        assert plan.paced_s(0.25) == pytest.approx(0.75)

    @given(PROMPTS)
    def test_more_urgent_waits_no_longer(self, prompts):
        """No prompt waits longer than a less urgent one, nor less than none."""
        plan = ReadingPlan()
        now_s = 0.0
        for tokens, tier, passed_s in prompts:
            now_s += passed_s
            plan.add(tokens, tier, now_s)
            ahead = [plan.ahead_s(other, now_s) for other in range(7)]
            assert ahead == sorted(ahead)
            assert ahead[0] >= 0
            own_s = tokens / READ_TOKENS_S
            assert ahead[tier] >= own_s - 1e-9
