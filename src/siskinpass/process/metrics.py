"""Metrics of the process, for ``/metrics``."""

import math
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from siskinpass.codes import Code
from siskinpass.process.build import build_name

# Bucket bounds in seconds. They include the latency targets (0.2, 0.5, 0.8 and
# 2.5 s) and the longest allowed pauses (0.2, 0.3 and 0.8 s) of the request
# classes that the metrics were built for.
BUCKETS_S = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.5,
    5.0,
    8.0,
    15.0,
    math.inf,
)
ANSWERED = 'answered'


class Metrics:
    """Counters, histograms and gauges of one process.

    Counters and histograms must only be written on the event loop.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._answers = self._counter(
            'siskinpass_answers_total',
            'Requests answered whole, by node of the tree.',
        )
        self._refusals = self._counter(
            'siskinpass_refusals_total',
            'Requests that ended in a numbered code, by code.',
        )
        self._retries = self._counter(
            'siskinpass_retries_total',
            'Attempts made again, by numbered reason.',
        )
        self._denied_retries = self._counter(
            'siskinpass_retries_denied_total',
            'Attempts not made again for want of retry budget, by urgency.',
        )
        self._store_calls = self._counter(
            'siskinpass_store_calls_total',
            'Calls to the object store, by kind.',
        )
        self._notices = self._counter(
            'siskinpass_server_notices_total',
            'Notices in the answers of backend servers, by kind.',
        )
        self._duty_calls = self._counter(
            'siskinpass_duty_calls_total',
            'Calls of the cloud API, by duty and outcome.',
        )
        self._failed_orders = self._counter(
            'siskinpass_failed_orders_total',
            'Orders for servers that the cloud API did not take, by cause.',
        )
        self._limited = self._counter(
            'siskinpass_callers_limited_total',
            'Connections of callers that were limited, by reason.',
        )
        self._tokens = self._counter(
            'siskinpass_tokens_total',
            'Tokens passed on, by node of the tree.',
        )
        self._waits = self._histogram(
            'siskinpass_queue_wait_seconds',
            'Time that a request waited for a server, by node of the tree.',
        )
        self._firsts = self._histogram(
            'siskinpass_first_event_seconds',
            'Time from arrival to the first event, by node of the tree.',
        )
        self._pauses = self._histogram(
            'siskinpass_longest_pause_seconds',
            'Longest time between events, by node of the tree.',
        )
        self._durations = self._histogram(
            'siskinpass_request_seconds',
            'Time from arrival to the end, by node of the tree and outcome.',
        )
        self._gauges = Gauge(
            'siskinpass_state',
            'State of the process, by name.',
            registry=self._registry,
        )
        self._shares = Gauge(
            'siskinpass_workspace_share',
            'Fraction of the work of all instances granted to a workspace.',
            registry=self._registry,
        )

        self._build = Gauge(
            'siskinpass_build_info',
            'Build that the process runs, in the label; always 1.',
            registry=self._registry,
        )
        self._build.set({'build': build_name()}, 1)

    def answered(self, node: str, tokens: int) -> None:
        """Count one complete answer and its tokens.

        :param node: path of the request class in the settings tree, or name of
            the route.
        """
        self._answers.inc({'node': node})
        self._tokens.add({'node': node}, tokens)

    def waited(self, node: str, wait_s: float) -> None:
        """Record how long a request waited for its backend server."""
        self._waits.observe({'node': node}, wait_s)

    def streamed(self, node: str, first_s: float, pause_s: float) -> None:
        """Record the latencies of a complete stream.

        :param first_s: time from arrival to the first event.
        :param pause_s: longest time between two events.
        """
        self._firsts.observe({'node': node}, first_s)
        self._pauses.observe({'node': node}, pause_s)

    def ended(self, node: str, outcome: str, duration_s: float) -> None:
        """Record how long a request took from arrival to its end.

        :param outcome: ``ANSWERED``, or the name of the code that ended it.
        """
        labels = {'node': node, 'outcome': outcome}
        self._durations.observe(labels, duration_s)

    def refused(self, code: Code) -> None:
        """Count one request that ended with an error code."""
        self._refusals.inc({'code': str(int(code)), 'reason': code.name})

    def retried(self, code: Code) -> None:
        """Count one retry by its reason."""
        self._retries.inc({'code': str(int(code)), 'reason': code.name})

    def denied_retry(self, *, is_urgent: bool) -> None:
        """Count one retry that the budget did not allow."""
        urgency = 'urgent' if is_urgent else 'other'
        self._denied_retries.inc({'urgency': urgency})

    def store_called(self, kind: str) -> None:
        """Count one call to the object store by its kind."""
        self._store_calls.inc({'kind': kind})

    def noticed(self, kind: str) -> None:
        """Count one notice of a backend server by its kind."""
        self._notices.inc({'kind': kind})

    def duty_called(self, duty: str, outcome: str) -> None:
        """Count one call of the cloud API."""
        self._duty_calls.inc({'duty': duty, 'outcome': outcome})

    def order_failed(self, cause: str) -> None:
        """Count one order for servers that was not taken, by its cause."""
        self._failed_orders.inc({'cause': cause})

    def limited(self, reason: str) -> None:
        """Count one limit on a caller's connection by its reason."""
        self._limited.inc({'reason': reason})

    def set_state(self, name: str, level: float) -> None:
        """Set the gauge of one state of the process."""
        self._gauges.set({'name': name}, level)

    def set_share(self, workspace: str, share: float) -> None:
        """Set a workspace's fraction of the granted work."""
        self._shares.set({'workspace': workspace}, share)

    def set_states(self, levels: Mapping[str, float]) -> None:
        """Set the gauges of several states of the process, by name."""
        for name, level in levels.items():
            self.set_state(name, level)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self._registry, ['text/plain'])[0]

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            name,
            doc,
            registry=self._registry,
            buckets=BUCKETS_S,
        )
