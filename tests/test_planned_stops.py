"""Test that a planned stop ends no request that was read without an answer."""

import asyncio
import itertools
import signal
import socket
from contextlib import suppress
from dataclasses import dataclass

import pytest

from bench.fleet import (
    HOST,
    KEY,
    ROUTES,
    config,
    exchange,
    route,
    running_fleet,
    wait_until,
)
from bench.fleet import parse as parse_answer
from siskinpass.request.inbound import NOT_RUN_STATUSES
from siskinpass.request.stop_plan import ANSWER_MARGIN_S
from standins.paths import PathState
from standins.raw_requests import read_calls
from tests.test_stray_refusals import listen

CHUNK_S = 0.2
CHUNK = b'4\r\nbody\r\n'
LAST_CHUNK = b'0\r\n\r\n'
SAFE = ('/safe/x', '/once/x', '/stream/x', '/plain-stream/x')
LONG = (
    route('/long/', 'unsafe', {'timeout-ms': 15_000}),
    route('/long-stream/', 'stream', {'timeout-ms': 15_000}),
)
WORK_S = 6.0  # of a request that does not end within the grace time, 8 s
TIMEOUT_S = 3.0  # of the routes that are not long
ACCEPTING_S = 3.0  # after the signal
ANSWERS_S = 8.0 - ANSWER_MARGIN_S
LARGE_BYTES = 4_000_000
LARGE_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
    b'Content-Length: %d\r\n\r\n'
)
MIN_BUFFER = 4096  # bytes that a slow reader's socket holds
CALLS = itertools.count()


@dataclass(frozen=True)
class Upload:
    """Request whose body arrives slowly.

    :param begin_s: time from the signal to its head.
    :param body_s: time from its head to its last byte.
    :param more: further header lines.
    """

    path: str
    begin_s: float
    body_s: float
    more: str = ''

    @property
    def ends_in_time(self):
        """Return whether it is answered before the end in any case."""
        whole_s = self.begin_s + self.body_s
        return whole_s < ACCEPTING_S or whole_s + TIMEOUT_S < ANSWERS_S

    def head(self, call):
        """Return the head of the request."""
        return (
            f'POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {call}\r\nAuthorization: Bearer {KEY}\r\n'
            f'X-Deadline-Ms: 15000\r\n{self.more}'
            'Transfer-Encoding: chunked\r\n\r\n'
        ).encode()


UPLOADS = [
    Upload(path, begin_s, body_s)
    for path in SAFE
    for begin_s, body_s in (
        (0.2, 0.6),
        (0.2, 2.8),
        (1.3, 2.5),
        (2.4, 1.6),
        (2.9, 2.8),
        (3.0, 0.25),
    )
]


async def upload(fleet, plan, name='front-1', *, is_kept=True):
    """Send one request slowly; return its id and its answer.

    :param is_kept: whether the channel is open before the signal.
    """
    call = f'upload-{next(CALLS)}'
    port = fleet.ports[name][0]
    if not is_kept:
        await asyncio.sleep(plan.begin_s)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    if is_kept:
        await asyncio.sleep(plan.begin_s)
    reading = asyncio.create_task(read_all(reader))
    writer.write(plan.head(call))
    for _ in range(int(plan.body_s / CHUNK_S)):
        writer.write(CHUNK)
        await asyncio.sleep(CHUNK_S)
    writer.write(LAST_CHUNK)
    arrived = await reading
    writer.close()
    return call, parse_answer(arrived)


async def read_all(reader):
    """Return all that arrives before the channel ends."""
    arrived = b''
    with suppress(ConnectionError):
        while piece := await reader.read(65_536):
            arrived += piece
    return arrived


def ran(fleet):
    """Return the ids of all requests that servers ran."""
    return {run.headers.get('x-attempt-id') for run in fleet.runs}


def run_stop(scenario, instances=2, **more):
    """Run a scenario with a fleet that has routes with a long timeout."""

    async def run():
        async with running_fleet(instances, **more) as fleet:
            await fleet.store.put('config', 'main', config(5, ROUTES + LONG))
            await wait_until(lambda: _is_served(fleet), 'the routes')
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(run(), 60))


async def _is_served(fleet):
    answer = await fleet.ask('/long/x', call=f'first-{next(CALLS)}')
    return answer.status == 200


def stop(fleet, *names):
    """Send SIGTERM to instances."""
    for name in names:
        fleet.processes[name].send_signal(signal.SIGTERM)


class TestSlowBodies:
    """Test requests whose bodies are arriving as an instance stops."""

    @pytest.mark.parametrize('is_kept', [True, False], ids=['kept', 'new'])
    @pytest.mark.parametrize('is_busy', [True, False], ids=['busy', 'calm'])
    def test_each_gets_its_answer(self, is_kept, is_busy):
        """Guards against an end of the process as the last body arrives."""

        async def scenario(fleet):
            beside = []
            if is_busy:
                for server in fleet.servers:
                    server.faults.silent = 1
                before = len(fleet.runs)
                beside = [
                    asyncio.create_task(upload(fleet, Upload('/long/x', 0, 0)))
                    for _ in fleet.servers
                ]
                await wait_until(
                    lambda: len(fleet.runs) - before == len(beside),
                    'what is open to the end',
                )
            plans = [one for one in UPLOADS if is_kept or one.begin_s < 2.5]
            uploads = [
                asyncio.create_task(upload(fleet, plan, is_kept=is_kept))
                for plan in plans
            ]
            await asyncio.sleep(0)
            stop(fleet, 'front-1')
            answers = await asyncio.gather(*uploads)
            await asyncio.gather(*beside)
            for plan, (call, answer) in zip(plans, answers, strict=True):
                assert answer.is_whole
                if plan.ends_in_time:
                    assert answer.status == 200
                    assert call in ran(fleet)
                else:
                    assert answer.status in NOT_RUN_STATUSES
                    assert answer.header('Retry-After')
                    assert call not in ran(fleet)

        run_stop(scenario)

    @pytest.mark.parametrize('path', ['/long/x', '/long-stream/x'])
    def test_what_may_outlast_the_process_is_refused(self, path):
        """It is told when to come back, and another instance serves it."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.work_s = WORK_S
            plan = Upload(path, 2.0, 2.4)
            late = asyncio.create_task(upload(fleet, plan))
            await asyncio.sleep(0)
            stop(fleet, 'front-1')
            call, answer = await late
            assert answer.status in NOT_RUN_STATUSES
            assert float(answer.header('Retry-After')) < 1
            assert call not in ran(fleet)

        run_stop(scenario)

    @pytest.mark.parametrize('path', ['/long/x', '/long-stream/x'])
    def test_what_does_outlast_it_gets_an_answer(self, path):
        """It has begun to run, so that its outcome is unknown."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.work_s = 2 * WORK_S
            plan = Upload(path, 0.2, 0.2)
            late = asyncio.create_task(upload(fleet, plan))
            await asyncio.sleep(0)
            stop(fleet, 'front-1')
            _, answer = await late
            assert (answer.status, answer.is_whole) == (504, True)

        run_stop(scenario)

    def test_body_that_does_not_end_is_refused(self):
        """The caller learns that the request has not run."""

        async def scenario(fleet):
            plan = Upload('/once/x', 0.2, 9.0)
            late = asyncio.create_task(upload(fleet, plan))
            await asyncio.sleep(0)
            stop(fleet, 'front-1')
            call, answer = await late
            assert answer.status in NOT_RUN_STATUSES
            assert call not in ran(fleet)

        run_stop(scenario)


class TestPipelinedRequests:
    """Test requests that arrive behind another one."""

    @pytest.mark.parametrize('first', ['/once/x', '/stream/stream'])
    def test_all_that_were_read_are_answered(self, first):
        """Only the last answer closes the connection."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.gap_s = 0.1
                server.work_s = 0.3
            paths = (first, '/once/x', '/safe/x')
            wire = b''.join(
                Upload(path, 0, 0).head(f'piped-{number}') + CHUNK + LAST_CHUNK
                for number, path in enumerate(paths)
            )
            asked = asyncio.create_task(
                exchange(fleet.ports['front-1'][0], wire)
            )
            await wait_until(
                lambda: 'piped-0' in ran(fleet), 'the first request'
            )
            stop(fleet, 'front-1')
            answer = await asked
            assert answer.raw.count(b'HTTP/1.1 200') == len(paths)
            assert answer.raw.count(b'Connection: close') == 1

        run_stop(scenario)

    def test_request_behind_a_stream_without_a_close_is_answered(self):
        """The head of the stream had promised to keep the connection."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.gap_s = 0.1
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', fleet.ports['front-1'][0]
            )
            plan = Upload('/stream/stream', 0, 0)
            writer.write(plan.head('stream-1') + LAST_CHUNK)
            await reader.readuntil(b'id: 1')
            stop(fleet, 'front-1')
            await reader.readuntil(b'0\r\n\r\n')
            await asyncio.sleep(0.1)
            plan = Upload('/once/x', 0, 0)
            writer.write(plan.head('behind-1') + LAST_CHUNK)
            answer = parse_answer(await reader.read(-1))
            assert (answer.status, answer.header('Connection')) == (
                200,
                'close',
            )
            writer.close()

        run_stop(scenario)


class TestSlowReaders:
    """Test answers that their callers read late."""

    def test_answer_that_is_read_late_arrives_whole(self):
        """Guards against an exit with bytes that were not sent yet."""

        async def scenario(fleet):
            listener = await listen(fleet, 'i-large', LargeServer())
            await fleet.store.remove('servers', 'i-0')
            await wait_until(lambda: _is_large(fleet), 'the large answers')
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_BUFFER)
            sock.connect(('127.0.0.1', fleet.ports['front-1'][0]))
            sock.sendall(
                Upload('/once/x', 0, 0).head('large') + CHUNK + LAST_CHUNK
            )
            await asyncio.sleep(CHUNK_S)
            stop(fleet, 'front-1')
            await asyncio.sleep(ACCEPTING_S + 1)
            reader, writer = await asyncio.open_connection(sock=sock)
            answer = parse_answer(await read_all(reader))
            assert len(answer.body) == LARGE_BYTES
            writer.close()
            listener.close()

        run_stop(scenario, servers=1)


class LargeServer:
    """Server whose answers are large."""

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        async for call in read_calls(reader):
            writer.write(LARGE_HEAD % (call, LARGE_BYTES) + bytes(LARGE_BYTES))


async def _is_large(fleet):
    answer = await fleet.ask('/once/x', call=f'large-{next(CALLS)}')
    return len(answer.body) == LARGE_BYTES


class TestOthers:
    """Test what the other instances do as one or two stop."""

    def test_planned_stop_is_no_death_in_the_log(self):
        """Its leaving was announced; a killed instance is dead."""

        async def scenario(fleet):
            stop(fleet, 'front-2')
            await fleet.processes['front-2'].wait()
            log = fleet.logs['front-1']
            await wait_until(
                lambda: b'An instance has left.' in log.read_bytes(),
                'the end of front-2',
            )
            assert b'An instance is dead.' not in log.read_bytes()
            fleet.processes['front-3'].kill()
            await wait_until(
                lambda: b'An instance is dead.' in log.read_bytes(),
                'the end of front-3',
            )

        run_stop(scenario, instances=3)

    @pytest.mark.parametrize(
        'stopping',
        [('front-1',), ('front-2',), ('front-1', 'front-2')],
        ids=lambda names: ' and '.join(names),
    )
    def test_relayed_uploads_get_their_answers(self, stopping):
        """Guards against a relay that ends under what it has passed on."""

        async def scenario(fleet):
            await fleet.paths.cut([fleet.ips['front-1']], PathState.reset)
            await wait_until(lambda: _is_served(fleet), 'a relay')
            plans = [one for one in UPLOADS if one.ends_in_time]
            uploads = [
                asyncio.create_task(upload(fleet, plan)) for plan in plans
            ]
            await asyncio.sleep(0)
            stop(fleet, *stopping)
            if 'front-1' not in stopping:
                # Closes the channels, by which their answers are known to end.
                await asyncio.sleep(ACCEPTING_S + TIMEOUT_S)
                stop(fleet, 'front-1')
            for call, answer in await asyncio.gather(*uploads):
                assert answer.is_whole
                assert answer.status == 200 or (
                    answer.status in NOT_RUN_STATUSES and call not in ran(fleet)
                )

        run_stop(scenario, instances=3, has_paths=True)
