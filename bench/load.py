"""Open-loop load generator that checks every answer.

Each request carries its number, which the stand-ins repeat in each token or
body, so that truncated, duplicated, reordered and misrouted answers are
recognized.
"""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import httptools
import orjson

REQUEST_TIMEOUT_S = 180.0


@dataclass(frozen=True, slots=True)
class Job:
    """One request of a trace.

    :param at_s: send time in seconds from the start of the trace.
    :param leaf: name of the request class.
    :param kind: ``engine`` or ``service``.
    :param tokens: length of the answer, which the router does not see.
    :param number: identifies the request in its answer.
    """

    at_s: float
    workspace: str
    leaf: str
    kind: str
    tokens: int
    prompt: str
    number: int = 0
    stream: bool = True


@dataclass(slots=True)
class Answer:
    """Outcome of one job; times are seconds of the caller's monotonic clock.

    :param first_s: arrival of the first byte of the body, 0 without one.
    :param status: HTTP status, 0 without an answer.
    :param code: code of the error, 0 without one.
    :param ran: header that says whether a failed request ran.
    :param tokens: tokens received.
    :param fault: what was wrong with the answer: ``cut``, ``crossed`` (content
        of another request), ``doubled`` or ``disordered`` tokens, or
        ``no answer`` with the error; empty if nothing was.
    :param address: instance that a refusal names for the next attempt.
    """

    number: int
    leaf: str
    sent_s: float = 0.0
    first_s: float = 0.0
    end_s: float = 0.0
    status: int = 0
    code: int = 0
    ran: str = ''
    tokens: int = 0
    fault: str = ''
    request_id: str = ''
    retry_after_ms: int = 0
    address: str = ''

    @property
    def complete(self) -> bool:
        """Whether the answer arrived in full and without an error."""
        return self.status == 200 and not self.fault and not self.code


class _ClientConnection(asyncio.Protocol):
    """Connection to an entry that carries one request at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.done: asyncio.Future | None = None
        self.body = bytearray()
        self.headers: dict[str, str] = {}
        self.status = 0
        self.first_s = 0.0
        self.complete = False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, exc) -> None:
        self._set_done()

    def send_request(self, request: bytes) -> asyncio.Future:
        self.done = asyncio.get_running_loop().create_future()
        self.body = bytearray()
        self.headers = {}
        self.status = 0
        self.first_s = 0.0
        self.complete = False
        self.transport.write(request)
        return self.done

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_header(self, name: bytes, text: bytes) -> None:
        self.headers[name.decode().lower()] = text.decode()

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        if not self.first_s:
            self.first_s = time.monotonic()
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        if not self.parser.should_keep_alive():
            self.transport.close()
        self._set_done()

    def _set_done(self) -> None:
        if self.done is not None and not self.done.done():
            self.done.set_result(None)


@dataclass(slots=True)
class Target:
    """Entries that requests are sent to, and the keys of the callers.

    :param addresses: caller addresses of entries; each request goes to one at
        random.
    :param keys: API key of each workspace.
    :param seed: seed of the choice of addresses, and part of each prompt's
        metadata and idempotency key.
    :param idle_connections: open connections for reuse, by address.
    :param headers: additional headers of each request.
    """

    addresses: Sequence[str]
    keys: dict[str, str]
    model: str
    seed: int = 0
    idle_connections: dict[str, list[_ClientConnection]] = field(
        default_factory=dict
    )
    headers: dict[str, str] = field(default_factory=dict)


async def run_jobs(jobs: Sequence[Job], target: Target) -> list[Answer]:
    """Send each job at its time, without waiting for earlier answers.

    :returns: the answers in the order of the jobs.
    """
    rng = random.Random(target.seed)
    start_s = time.monotonic()
    tasks = []
    for job in jobs:
        wait_s = start_s + job.at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        address = rng.choice(target.addresses)
        tasks.append(asyncio.ensure_future(send(job, target, address)))
    return await asyncio.gather(*tasks)


async def send(job: Job, target: Target, address: str) -> Answer:
    """Send one job and check its answer.

    Connection errors and time-outs are reported in ``Answer.fault``.
    """
    answer = Answer(job.number, job.leaf)
    answer.sent_s = time.monotonic()
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            connection = await _connect(target, address)
            await connection.send_request(_encode_request(job, target))
    except (OSError, TimeoutError) as error:
        answer.fault = f'no answer: {type(error).__name__}'
        answer.end_s = time.monotonic()
        return answer
    answer.end_s = time.monotonic()
    answer.first_s = connection.first_s
    _record_response(job, connection, answer)
    if connection.complete and not connection.transport.is_closing():
        target.idle_connections.setdefault(address, []).append(connection)
    return answer


async def _connect(target: Target, address: str) -> _ClientConnection:
    idle_connections = target.idle_connections.get(address, [])
    while idle_connections:
        connection = idle_connections.pop()
        if not connection.transport.is_closing():
            return connection
    host, port = address.rsplit(':', 1)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        _ClientConnection, host, int(port)
    )
    return connection


def _encode_request(job: Job, target: Target) -> bytes:
    seed = f's{target.seed}n{job.number}'
    headers = {
        'Host': 'siskinpass',
        'Authorization': f'Bearer {target.keys[job.workspace]}',
        'X-Siskinpass-Class': job.leaf,
        'Content-Type': 'application/json',
        **target.headers,
    }
    if job.kind == 'service':
        path = '/v1/services/app/orders'
        body = orjson.dumps({'order': seed, 'class': job.leaf})
        headers['Idempotency-Key'] = seed
    else:
        path = '/v1/completions'
        body = orjson.dumps({
            'model': target.model,
            'prompt': job.prompt,
            'stream': job.stream,
            'metadata': {'tokens': job.tokens, 'seed': seed},
        })
    headers['Content-Length'] = str(len(body))
    lines = [f'POST {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def _record_response(
    job: Job, connection: _ClientConnection, answer: Answer
) -> None:
    answer.status = connection.status
    headers = connection.headers
    answer.code = int(headers.get('x-siskinpass-code', 0))
    answer.ran = headers.get('x-siskinpass-ran', '')
    answer.request_id = headers.get('x-request-id', '')
    answer.retry_after_ms = int(headers.get('retry-after-ms', 0))
    answer.address = headers.get('x-siskinpass-address', '')
    body = bytes(connection.body)
    if b'event: error\n' in body:
        tail = body.rsplit(b'event: error\ndata: ', 1)[1]
        answer.code = orjson.loads(tail)['error']['code']
        return
    if not connection.complete:
        answer.fault = 'cut'
    elif answer.code:
        return
    elif job.kind == 'service':
        sent = orjson.loads(body).get('sent', '')
        if f'n{job.number}"' not in sent:
            answer.fault = 'crossed'
    else:
        answer.fault = _token_fault(job, body, answer)


def _token_fault(job: Job, body: bytes, answer: Answer) -> str:
    if job.stream:
        events = body.split(b'\n\n')
        if events[-2:] != [b'data: [DONE]', b'']:
            return 'cut'
        texts = [
            orjson.loads(event[6:])['choices'][0]['text']
            for event in events[:-2]
        ]
    else:
        text = orjson.loads(body)['choices'][0]['text']
        texts = [f'{token} ' for token in text.split()]
    answer.tokens = len(texts)
    expected = [f'n{job.number}-{index} ' for index in range(job.tokens)]
    found = [text[max(0, text.find('n')) :] for text in texts]
    if found == expected:
        return ''
    return _classify_token_fault(found, expected)


def _classify_token_fault(found: list[str], expected: list[str]) -> str:
    if set(found) - set(expected):
        return 'crossed'
    if len(set(found)) < len(found):
        return 'doubled'
    return 'cut' if len(found) < len(expected) else 'disordered'


def dump_jobs(jobs: Sequence[Job]) -> bytes:
    """Return a trace as JSON lines."""
    return b''.join(orjson.dumps(asdict(job)) + b'\n' for job in jobs)


def load_jobs(text: bytes) -> list[Job]:
    """Read a trace from JSON lines."""
    return [Job(**orjson.loads(line)) for line in text.splitlines()]


def as_row(answer: Answer) -> dict[str, Any]:
    """Return an answer as a JSON object of the answers file."""
    return {**asdict(answer), 'whole': answer.complete}
