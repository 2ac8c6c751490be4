"""Fake model engine with continuous batching.

Each step generates one token for every running sequence. A step takes longer
the more sequences are running and the more prompt text it has to prefill.
``metadata.tokens`` in a request sets the length of the answer, which the
router does not read. ``metadata.seed`` lets callers check every token:
token *i* reads ``<seed>-<i>``.
"""

import asyncio
import heapq
import itertools
import os
import random
import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import orjson

from standins.http_server import (
    Request,
    Response,
    json_response,
    serve,
)

DONE = b'data: [DONE]\n\n'
MAX_KEPT_EVENTS = 200


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of an engine.

    :param step_ms: base duration of a step.
    :param sequence_ms: time that each running sequence adds to a step.
    :param prefill_ms: time to prefill one thousand characters of prompt.
    :param batch: maximum number of sequences that run at once.
    :param cache: maximum number of prompt prefixes in the cache.
    :param lag_s: age of the load reports.
    :param checks_fence: whether orders with an outdated fencing number are
        refused.
    :param load_s: time to load models that an order adds.
    """

    name: str
    models: tuple[str, ...] = ('m1',)
    step_ms: float = 10
    sequence_ms: float = 0.6
    prefill_ms: float = 12
    batch: int = 32
    cache: int = 64
    lag_s: float = 3
    checks_fence: bool = True
    load_s: float = 0.5


@dataclass(slots=True)
class Sequence:
    """One request to the engine, waiting or running.

    :param length: index after the last token, counted from the start of the
        answer also if the request resumes it.
    :param start_index: index of the first token to generate; greater than 0
        if the request resumes an answer.
    :param generated: number of tokens generated for this request.
    :param prefilled: whether the time for the prompt has been accounted for.
    :param crossed: whether the answer simulates one to another request.
    :param tokens: indices of tokens that are generated but not yet sent.
    """

    request_id: str
    seed: str
    length: int
    chat: bool
    start_index: int
    prompt: str
    model: str
    generated: int = 0
    prefilled: bool = False
    crossed: bool = False
    cancelled: bool = False
    tokens: asyncio.Queue = field(default_factory=asyncio.Queue)


class Engine:
    """Engine that runs all sequences in one batch.

    :ivar slow: factor on the duration of every step.
    :ivar cross: number of coming requests to answer with another request's
        answer.
    :ivar fence: highest fencing number of an order so far.
    :ivar orders: orders applied so far, each with whether it was late.
    :ivar log: runs of each request by request id.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.slow = 1.0
        self.leaving = False
        self.models = set(options.models)
        self.cross = 0
        self.fence = 0
        self.orders: list[dict] = []
        self.log: dict[str, list[dict]] = {}
        self._waiting: list[tuple] = []
        self._running: list[Sequence] = []
        self._arrivals = itertools.count()
        self._wake = asyncio.Event()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[dict] = deque(maxlen=MAX_KEPT_EVENTS)
        self._event_numbers = itertools.count(1)
        self._reports: deque[tuple[float, dict]] = deque()
        self._random = random.Random(options.name)
        self._step_s = 0.0

    async def run(self) -> None:
        """Run steps until cancelled."""
        due = time.monotonic()
        while True:
            self._admit()
            self._record_load()
            if not self._running:
                self._wake.clear()
                await self._wake.wait()
                due = time.monotonic()
                continue
            self._step_s = self._step_time_s()
            due = max(due + self._step_s, time.monotonic())
            await asyncio.sleep(due - time.monotonic())
            self._emit()

    def submit(self, sequence: Sequence, priority: int) -> None:
        """Queue a sequence.

        :param priority: lower numbers run first; equal ones run in order of
            arrival.
        """
        entry = (priority, next(self._arrivals), sequence)
        heapq.heappush(self._waiting, entry)
        self._wake.set()

    def load_report(self) -> dict:
        """Return the load as it was ``lag_s`` ago.

        The leaving flag and the models are current. The load fields are
        missing until the first report has reached that age.
        """
        cutoff_s = time.monotonic() - self.options.lag_s
        delayed = {}
        while self._reports and self._reports[0][0] <= cutoff_s:
            delayed = self._reports.popleft()[1]
        if delayed:
            self._reports.appendleft((cutoff_s, delayed))
        return {
            **delayed,
            'age_ms': int(self.options.lag_s * 1000),
            'leaving': self.leaving,
            'models': sorted(self.models),
        }

    def events_after(self, number: int) -> list[dict]:
        """Return the cache events with a number above the given one.

        About one event in ten was never recorded, which leaves a gap in the
        numbers. Only the latest ``MAX_KEPT_EVENTS`` events are kept.
        """
        return [event for event in self._events if event['number'] > number]

    async def order(self, order: dict) -> Response:
        """Load and unload models until they are the set that the order states.

        Repeating an order has no effect. An order with an outdated fencing
        number is answered with status 409, or applied and recorded as late if
        the engine does not check fencing numbers.
        """
        fence = int(order.get('fence', 0))
        if self.options.checks_fence and fence < self.fence:
            return json_response({'error': 'old fence'}, 409)
        late = fence < self.fence
        self.fence = max(self.fence, fence)
        self.orders.append({**order, 'late': late})
        models = set(order.get('models', self.models))
        if models - self.models:
            await asyncio.sleep(self.options.load_s)
        self.models = models
        return json_response({'models': sorted(self.models)})

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.options.batch:
            sequence = heapq.heappop(self._waiting)[-1]
            if not sequence.cancelled:
                self._running.append(sequence)

    def _step_time_s(self) -> float:
        options = self.options
        step_ms = options.step_ms + options.sequence_ms * len(self._running)
        for sequence in self._running:
            if not sequence.prefilled:
                sequence.prefilled = True
                step_ms += self._prefill_ms(sequence)
        return step_ms * self.slow / 1000

    def _prefill_ms(self, sequence: Sequence) -> float:
        # A resumed request also prefills the tokens answered so far, counted as
        # 8 characters each.
        length = len(sequence.prompt) + 8 * sequence.start_index
        prefix = sequence.prompt[:256]
        # With a cached prefix, at most 256 characters count.
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            length = min(length, 256)
        self._cache_prefix(prefix)
        return length * self.options.prefill_ms / 1000

    def _cache_prefix(self, prefix: str) -> None:
        self._cache[prefix] = None
        self._record_event('stored', prefix)
        if len(self._cache) > self.options.cache:
            evicted, _ = self._cache.popitem(last=False)
            self._record_event('removed', evicted)

    def _record_event(self, kind: str, prefix: str) -> None:
        number = next(self._event_numbers)
        if self._random.random() < 0.9:
            self._events.append(
                {'number': number, 'kind': kind, 'prefix': prefix},
            )

    def _emit(self) -> None:
        for sequence in self._running:
            if sequence.cancelled:
                continue
            sequence.tokens.put_nowait(
                sequence.start_index + sequence.generated
            )
            sequence.generated += 1
        self._running = [
            sequence
            for sequence in self._running
            if not sequence.cancelled
            and sequence.start_index + sequence.generated < sequence.length
        ]

    def _record_load(self) -> None:
        now_s = time.monotonic()
        if self._reports and now_s - self._reports[-1][0] < 0.2:
            return
        load_report = {
            'running': len(self._running),
            'waiting': len(self._waiting),
            'token_ms': round(self._step_s * 1000, 2),
        }
        self._reports.append((now_s, load_report))


class EngineApi:
    """HTTP API of an engine, with paths for faults and inspection."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request."""
        path = request.path
        if path in {'/v1/completions', '/v1/chat/completions'}:
            return self._complete(request)
        if path == '/orders':
            return await self._engine.order(request.json())
        if path.startswith('/admin/'):
            return self._admin(path, request)
        return self._read(path, request)

    def _read(self, path: str, request: Request) -> Response:
        if path == '/load':
            return json_response(self._engine.load_report())
        if path == '/events':
            after = int(request.query.get('after', 0))
            return json_response(self._engine.events_after(after))
        if path == '/log':
            return json_response(self._engine.log)
        return json_response({'error': 'no such path'}, 404)

    def _admin(self, path: str, request: Request) -> Response:
        if path == '/admin/crash':
            os._exit(9)
        if path == '/admin/orders':
            return json_response(self._engine.orders)
        order = request.json()
        self._engine.slow = float(order.get('slow', self._engine.slow))
        self._engine.cross = int(order.get('cross', self._engine.cross))
        self._engine.leaving = bool(order.get('leaving', self._engine.leaving))
        return json_response({'slow': self._engine.slow})

    def _complete(self, request: Request) -> Response:
        if self._engine.leaving:
            return json_response({'error': 'leaving'}, 503)
        payload = request.json()
        if payload.get('model') not in self._engine.models:
            return json_response({'error': 'model not loaded'}, 404)
        chat = request.path.endswith('chat/completions')
        sequence = _sequence(payload, chat=chat)
        if self._engine.cross > 0:
            # Simulates an answer that belongs to a request of another caller.
            self._engine.cross -= 1
            sequence.crossed = True
            sequence.seed = 'other'
        self._engine.submit(sequence, int(payload.get('priority', 0)))
        runs = self._engine.log.setdefault(sequence.request_id, [])
        run = {'from': sequence.start_index, 'sent': 0, 'end': 'open'}
        run['at'] = time.time()
        runs.append(run)
        return Response(
            headers={
                'Content-Type': 'text/event-stream',
                'X-Request-Id': sequence.request_id,
            },
            stream=_stream(sequence, run),
        )


def _sequence(payload: dict, *, chat: bool) -> Sequence:
    metadata = payload.get('metadata') or {}
    prompt = (
        payload.get('prompt')
        or orjson.dumps(
            payload.get('messages', []),
        ).decode()
    )
    length = int(metadata.get('tokens', payload.get('max_tokens') or 16))
    return Sequence(
        request_id=str(payload.get('request_id', '')),
        seed=str(metadata.get('seed', 'token')),
        length=min(length, int(payload.get('max_tokens') or length)),
        chat=chat,
        start_index=int(payload.get('resume_from', 0)),
        prompt=str(prompt),
        model=payload['model'],
    )


async def _stream(sequence: Sequence, run: dict) -> AsyncIterator[bytes]:
    try:
        async for chunk in _token_events(sequence, run):
            yield chunk
    finally:
        sequence.cancelled = True
        if run['end'] == 'open':
            run['end'] = 'cancelled'


async def _token_events(sequence: Sequence, run: dict) -> AsyncIterator[bytes]:
    index = sequence.start_index
    while index < sequence.length:
        index = await sequence.tokens.get()
        run['sent'] += 1
        yield _token_event(sequence, index)
        index += 1
    run['end'] = 'whole'
    yield DONE


def _token_event(sequence: Sequence, index: int) -> bytes:
    text = f'{sequence.seed}-{index} '
    last = index + 1 >= sequence.length
    choice: dict = {'index': 0, 'finish_reason': 'stop' if last else None}
    if sequence.chat:
        choice['delta'] = {'role': 'assistant', 'content': text}
        kind = 'chat.completion.chunk'
    else:
        choice['text'] = text
        kind = 'text_completion'
    document = {
        'id': 'other' if sequence.crossed else sequence.request_id,
        'object': kind,
        'created': 0,
        'model': sequence.model,
        'choices': [choice],
    }
    return b'data: %b\n\n' % orjson.dumps(document)


async def run_engine(options: EngineOptions, host: str, port: int) -> None:
    """Serve an engine on an address until cancelled."""
    engine = Engine(options)
    server = await serve(EngineApi(engine), host, port)
    async with server:
        await engine.run()
