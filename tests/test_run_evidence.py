"""Test that a request that may have run is never answered as not run."""

import pytest

from siskinpass.request.inbound import NOT_RUN_STATUSES
from siskinpass.request.resend import SendCounts
from tests.test_crashing_requests import BAD, run_crashing

# Ends of a server's process shortly before the timeout of the route, 0.3 s.
CRASH_AFTER_S = (0.19, 0.22, 0.25, 0.28)


class TestCrashBeforeTimeout:
    """Test requests whose time is up while the end of a server is checked."""

    @pytest.mark.parametrize('crash_s', CRASH_AFTER_S)
    def test_request_that_ran_is_not_told_not_run(self, crash_s):
        """Guards against a 503 for a request that a server has begun to run."""

        async def scenario(fleet, servers):
            for server in servers:
                server.process.gap_s = crash_s
            answer = await fleet.ask('/short/x', call='bad', body=BAD)
            assert [run for one in servers for run in one.arrivals if run.body]
            assert answer.status not in NOT_RUN_STATUSES

        run_crashing(scenario, instances=1)


class TestSendCounts:
    """Test how sends are counted."""

    def test_send_counts_as_run_until_it_is_disproved(self):
        """No moment after a send has it counted as certainly not run."""
        begun = SendCounts().add_send()
        assert begun.may_have_run
        assert not begun.disprove().may_have_run
        assert begun.add_send().disprove().may_have_run

    def test_unsent_attempts_are_no_runs(self):
        """They count as sends that were not run."""
        counts = SendCounts().add_unsent()
        assert (counts.total, counts.may_have_run) == (1, False)
