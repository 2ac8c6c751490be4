"""Test the counters and histograms over a real instance."""

import re
from pathlib import Path

import pytest

from siskinpass.process.metrics import Metrics
from tests.test_fleet import run_scenario

OPERATIONS = Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md'


class TestMetrics:
    """Test what operators read."""

    def test_answers_and_refusals_have_their_latency(self):
        """Each class has its histograms, by outcome."""

        async def scenario(fleet):
            await fleet.ask('/stream/x')
            await fleet.ask('/once/x')
            await fleet.ask('/once/x', key='other')
            told = (await fleet.get('/metrics', 4)).body.decode()
            for line in (
                'request_seconds_count{node="/stream/",outcome="answered"} 1',
                'request_seconds_count{node="",outcome="unknown_key"} 1',
                'first_event_seconds_count{node="/stream/"} 1',
                'longest_pause_seconds_count{node="/stream/"} 1',
                'queue_wait_seconds_count{node="/once/"} 1',
            ):
                assert f'siskinpass_{line}' in told

        run_scenario(scenario)

    def test_counts_fall_into_buckets(self):
        """A wait counts in all buckets above it."""
        metrics = Metrics()
        metrics.waited('n', 0.25)
        told = metrics.render().decode()
        counts = dict(
            re.findall(
                r'wait_seconds_bucket\{le="(.*?)",node="n"\} (\d)', told
            ),
        )
        assert (counts['0.2'], counts['0.3'], counts['+Inf']) == ('0', '1', '1')

    @pytest.mark.parametrize(
        'name',
        re.findall(
            r'(?m)^# HELP (siskinpass_\w+) ', Metrics().render().decode()
        ),
    )
    def test_every_metric_is_documented(self, name):
        """The table of the docs names each metric."""
        assert f'`{name}`' in OPERATIONS.read_text()
