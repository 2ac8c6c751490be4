"""Count what the process does, for ``/metrics``."""

from aioprometheus import Counter, Gauge, Registry, render

from siskinpass.codes import Code


class Metrics:
    """Hold the counters of one process.

    Counters are written from the event loop only.
    """

    def __init__(self) -> None:
        """Register the counters."""
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
        self._store_calls = self._counter(
            'siskinpass_store_calls_total',
            'Calls to the object store, by kind.',
        )
        self._tokens = self._counter(
            'siskinpass_tokens_total',
            'Tokens passed on, by node of the tree.',
        )
        self._gauges = Gauge(
            'siskinpass_state',
            'State of the process, by name.',
            registry=self._registry,
        )

    def answered(self, node: str, tokens: int) -> None:
        """Count one whole answer."""
        self._answers.inc({'node': node})
        self._tokens.add({'node': node}, tokens)

    def refused(self, code: Code) -> None:
        """Count one request that ended in a code."""
        self._refusals.inc({'code': str(int(code)), 'reason': code.name})

    def retried(self, code: Code) -> None:
        """Count one attempt made again."""
        self._retries.inc({'code': str(int(code)), 'reason': code.name})

    def store_called(self, kind: str) -> None:
        """Count one call to the object store."""
        self._store_calls.inc({'kind': kind})

    def state(self, name: str, level: float) -> None:
        """Set one gauge."""
        self._gauges.set({'name': name}, level)

    def render(self) -> bytes:
        """Return all counters in the text format."""
        return render(self._registry, ['text/plain'])[0]

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)
