"""Test the metrics, partly on a running instance."""

import re
from pathlib import Path

import pytest

from siskinpass.process.metrics import Metrics
from tests.test_fleet import run_scenario

OPERATIONS = Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md'


class TestMetrics:
    """Test the metrics that operators read."""

    def test_latencies_are_recorded_by_outcome(self):
        """Answers and refusals are recorded by route and outcome."""

        async def scenario(fleet):
            await fleet.ask('/stream/x')
            await fleet.ask('/once/x')
            await fleet.ask('/once/x', key='other')
            text = (await fleet.get('/metrics', 4)).body.decode()
            for line in (
                'request_seconds_count{node="/stream/",outcome="answered"} 1',
                'request_seconds_count{node="",outcome="unknown_key"} 1',
                'first_event_seconds_count{node="/stream/"} 1',
                'longest_pause_seconds_count{node="/stream/"} 1',
                'queue_wait_seconds_count{node="/once/"} 1',
            ):
                assert f'siskinpass_{line}' in text

        run_scenario(scenario)

    def test_observation_counts_in_all_buckets_above(self):
        """A wait is counted in every bucket whose bound is not below it."""
        metrics = Metrics()
        metrics.waited('n', 0.25)
        text = metrics.render().decode()
        counts = dict(
            re.findall(
                r'wait_seconds_bucket\{le="(.*?)",node="n"\} (\d)', text
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
        """The operations manual names each metric."""
        assert f'`{name}`' in OPERATIONS.read_text()
