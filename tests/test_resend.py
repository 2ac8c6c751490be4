"""Test what follows when an attempt ended."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.request.resend import (
    NOT_RUN_SENDS_MOST,
    Ending,
    Sends,
    Step,
    decide,
    give_up,
)
from siskinpass.request.retry_window import USED_PART, RetryWindow
from siskinpass.request.silence import silence_limits
from siskinpass.version.routes import Repeat, Route, Share


def route(repeat, attempts=2, **more):
    """Return a route."""
    return Route(
        'r',
        'h',
        '/',
        repeat,
        (Share('s', 1),),
        15.0,
        0.2,
        attempts_most=attempts,
        **more,
    )


IDEMPOTENT = route(Repeat.idempotent)
ONCE = route(Repeat.once)
STREAM = route(Repeat.stream)
RESUMABLE = route(Repeat.stream, is_resumable=True)
SINGLE = route(Repeat.idempotent, attempts=1)


class TestDecide:
    """Test the table of steps."""

    @pytest.mark.parametrize(
        ('kind', 'ending', 'sends', 'step'),
        [
            (ONCE, Ending.unsent, Sends(0, 1), Step.resend),
            (ONCE, Ending.declined, Sends(0, 1), Step.resend),
            (ONCE, Ending.declined, Sends(0, 3), Step.tell_not_run),
            (ONCE, Ending.lost, Sends(1, 0), Step.tell_unknown),
            (ONCE, Ending.failed, Sends(1, 0), Step.pass_on),
            (STREAM, Ending.lost, Sends(1, 0), Step.tell_unknown),
            (STREAM, Ending.cut, Sends(1, 0), Step.cut),
            (RESUMABLE, Ending.cut, Sends(1, 0), Step.resume),
            (RESUMABLE, Ending.lost, Sends(1, 0), Step.resend),
            (RESUMABLE, Ending.cut, Sends(2, 0), Step.cut),
            (RESUMABLE, Ending.declined, Sends(1, 3), Step.tell_unknown),
            (RESUMABLE, Ending.failed, Sends(1, 0), Step.pass_on),
            (IDEMPOTENT, Ending.failed, Sends(1, 0), Step.resend),
            (IDEMPOTENT, Ending.failed, Sends(2, 0), Step.pass_on),
            (IDEMPOTENT, Ending.lost, Sends(1, 0), Step.resend),
            (SINGLE, Ending.lost, Sends(1, 0), Step.tell_unknown),
        ],
    )
    def test_table(self, kind, ending, sends, step):
        """Each ending of each kind has one step."""
        assert decide(kind, ending, sends) is step

    @pytest.mark.parametrize(
        ('kind', 'endings'),
        [
            (kind, endings)
            for kind in (IDEMPOTENT, ONCE, STREAM, RESUMABLE, SINGLE)
            for endings in itertools.product(Ending, repeat=4)
        ],
    )
    def test_promises_hold_over_any_endings(self, kind, endings):
        """Runs are bounded, and "not run" is only said when it is true."""
        sends = Sends()
        for ending in endings:
            unrun = ending in {Ending.unsent, Ending.declined}
            sends = Sends(sends.run + (not unrun), sends.not_run + unrun)
            step = decide(kind, ending, sends)
            if step not in {Step.resend, Step.resume}:
                break
        most = kind.attempts_most if kind.may_repeat else 1
        assert sends.run <= most
        assert sends.not_run <= NOT_RUN_SENDS_MOST
        if step is Step.tell_not_run:
            assert sends.run == 0

    @pytest.mark.parametrize('ending', Ending)
    def test_giving_up_after_a_run_never_says_not_run(self, ending):
        """An earlier send that may have run is remembered."""
        assert give_up(ending, has_run=True) is not Step.tell_not_run


class TestSilence:
    """Test when silence ends an attempt."""

    @pytest.mark.parametrize(
        ('kind', 'sends', 'is_bound'),
        [
            (IDEMPOTENT, Sends(), True),
            (RESUMABLE, Sends(), True),
            (IDEMPOTENT, Sends(1, 0), False),
            (SINGLE, Sends(), False),
            (ONCE, Sends(), False),
            (STREAM, Sends(), False),
        ],
    )
    def test_only_repeatable_work_is_taken_elsewhere(
        self,
        kind,
        sends,
        is_bound,
    ):
        """Silence is waited out where no other server may run the work."""
        assert (silence_limits(kind, sends) is not None) is is_bound


class TestRetryWindow:
    """Test that all instances together keep the operator's bound."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.floats(0, 1.0),
                st.booleans(),
            ),
            max_size=200,
        ),
    )
    def test_bound_holds_without_messages(self, events):
        """In each window the sends beyond the first stay under the bound."""
        ratio, slack, window_s, instances = 0.2, 12.0, 10.0, 4
        windows = [RetryWindow(ratio, slack, window_s) for _ in range(4)]
        now_s = 0.0
        requests, spent = [], []
        for instance, passed_s, is_request in events:
            now_s += passed_s
            if is_request:
                windows[instance].note_request(now_s)
                requests.append(now_s)
            elif windows[instance].spend(now_s, instances):
                spent.append(now_s)
            first_s = now_s - window_s
            counted = sum(at >= first_s for at in requests)
            used = sum(at >= first_s for at in spent)
            assert used <= USED_PART * (ratio * counted + slack) + 1e-6

    def test_budget_comes_back_as_the_window_slides(self):
        """What was spent long ago counts no more."""
        window = RetryWindow(0.2, 2.5, 10.0)
        assert [window.spend(0.0, 1) for _ in range(3)] == [True, True, False]
        assert window.spend(10.1, 1)
