"""Test servers that announce their end, ask for a pause or send noise."""

import asyncio

import pytest

from bench.fleet import server_entry, wait_until
from siskinpass.codes import MEANINGS, Code
from siskinpass.platform.headers import decode_answer
from siskinpass.process.server_pauses import MAX_PAUSE_S, ServerPauses
from siskinpass.request.ticket import ServerView, Ticket
from standins.raw_requests import read_calls
from tests.test_fleet import WHOLE, run_scenario

ASKS = 8  # enough to reach both servers several times
MAX_NOISE_BYTES = 16_777_216
REFUSED = (
    b'HTTP/1.1 503 Full\r\nX-Attempt-Id: %b\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
RAN = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
    b'Content-Length: 3\r\n\r\nran'
)


async def ask_all(fleet, *, name='front-1', path='/once/x'):
    """Send several requests and return their answers."""
    return [
        await fleet.ask(path, name=name, call=f'{name}-{number}')
        for number in range(ASKS)
    ]


async def reach(fleet, server):
    """Send requests until one arrives at a server."""

    async def has_arrived():
        await fleet.ask('/once/x')
        return server.arrivals

    await wait_until(has_arrived, 'a request at the server')


class TestHeaders:
    """Test decoding what servers say about themselves."""

    @pytest.mark.parametrize(
        ('text', 'limit_per_s', 'unreadable'),
        [
            (b'1', 1.0, 0),
            (b'0.75', 0.75, 0),
            (b'0', 0.0, 0),
            (b'many', None, 1),
            (b'-1', None, 1),
            (b'nan', None, 1),
            (b'inf', None, 1),
        ],
    )
    def test_limit(self, text, limit_per_s, unreadable):
        """An unreadable limit is reported and is none."""
        notice = decode_answer(200, ((b'Server-Limit', text),)).notice
        assert notice.limit_per_s == limit_per_s
        assert len(notice.unreadable) == unreadable

    def test_other_server_says_nothing(self):
        """What it says of itself is not about the server that was asked."""
        headers = ((b'Server-Limit', b'1'), (b'Server-Leaving', b'1'))
        assert decode_answer(421, headers).notice is None

    @pytest.mark.parametrize(
        ('status', 'name', 'text', 'is_leaving', 'pause_s', 'unreadable'),
        [
            (200, b'Server-Leaving', b'1', True, 0.0, 0),
            (503, b'server-leaving', b'1', True, 0.0, 0),
            (200, b'Server-Leaving', b'0', False, 0.0, 0),
            (200, b'Server-Leaving', b'perhaps', False, 0.0, 1),
            (503, b'Retry-After', b'2', False, 2.0, 0),
            (503, b'Retry-After', b'0.75', False, 0.75, 0),
            (503, b'Retry-After', b'soon', False, 0.0, 1),
            (503, b'Retry-After', b'nan', False, 0.0, 1),
            (503, b'Retry-After', b'inf', False, 0.0, 1),
            (503, b'Retry-After', b'-3', False, 0.0, 1),
            (200, b'Retry-After', b'2', False, 0.0, 0),
        ],
    )
    def test_notice(self, status, name, text, is_leaving, pause_s, unreadable):
        """An unreadable value is reported and changes nothing."""
        notice = decode_answer(status, ((name, text),)).notice
        assert (notice.is_leaving, notice.pause_s) == (is_leaving, pause_s)
        assert len(notice.unreadable) == unreadable


class TestServerPauses:
    """Test the times for which servers get no requests."""

    def test_pause_ends(self):
        """A paused server gets nothing before the end of the time."""
        pauses = ServerPauses()
        pauses.pause('i-1', 2.0, 10.0)
        pauses.pause('i-1', 0.5, 10.0)
        assert pauses.is_paused('i-1', 11.9)
        assert not pauses.is_paused('i-1', 12.0)
        assert not pauses.is_paused('i-2', 11.0)
        assert pauses.current(12.0) == ()

    def test_absurd_time_is_bounded(self):
        """A server cannot exclude itself for longer than the limit."""
        pauses = ServerPauses()
        assert pauses.pause('i-1', 1e9, 0.0) == MAX_PAUSE_S

    @pytest.mark.parametrize(
        ('paused', 'expected_s'), [(('a',), 0.0), (('a', 'b'), 2.0)]
    )
    def test_first_end(self, paused, expected_s):
        """Requests have to wait only while all servers are paused."""
        pauses = ServerPauses()
        for number, server in enumerate(paused):
            pauses.pause(server, 2.0 + number, 0.0)
        assert pauses.first_end_s({'a': 0.0, 'b': 0.0}, 0.0) == expected_s

    def test_first_end_with_other_reasons(self):
        """A server that is not paused may be closed for another reason."""
        pauses = ServerPauses()
        pauses.pause('a', 5.0, 0.0)
        assert pauses.first_end_s({'a': 0.0, 'b': 3.0}, 0.0) == 3.0
        assert pauses.first_end_s({'a': 7.0}, 0.0) == 7.0

    def test_ticket_excludes_until_the_end(self):
        """A waiting ticket may use the server once its pause is over."""
        ticket = Ticket('t', '', 'p', 'n', 0, 0.0, 1.0, 5.0, paused=(('a', 3),))
        first, other = (ServerView(name, '1.1.1.1:1', 'p') for name in 'ab')
        assert ticket.excludes(first, 2.9)
        assert not ticket.excludes(first, 3.0)
        assert not ticket.excludes(other, 0.0)


class TestLeaving:
    """Test that a server that announced its end gets no new requests."""

    @pytest.mark.parametrize('is_down', [False, True])
    @pytest.mark.parametrize('asked', ['front-1', 'front-2'])
    def test_gets_nothing_new(self, is_down, asked):
        """No instance uses it, with or without the store."""

        async def scenario(fleet):
            leaving = fleet.servers[0]
            await wait_until(lambda: _knows_two(fleet), 'both instances')
            if is_down:
                await fleet.store.take_down()
            leaving.notices['Server-Leaving'] = '1'
            await reach(fleet, leaving)
            await asyncio.sleep(0.2)  # the datagram to the other instance
            leaving.arrivals.clear()
            answers = await ask_all(fleet, name=asked)
            assert {answer.status for answer in answers} == {200}
            assert not leaving.arrivals

        run_scenario(scenario, instances=2)


class TestPauses:
    """Test that a server that asked for a pause gets no requests."""

    def test_gets_nothing_until_the_end(self):
        """Its requests go elsewhere, and it is used again afterwards."""

        async def scenario(fleet):
            paused = fleet.servers[0]
            paused.faults.pauses = 1
            await reach(fleet, paused)
            paused.arrivals.clear()
            answers = await ask_all(fleet)
            assert {answer.status for answer in answers} == {200}
            assert not paused.arrivals
            await fleet.store.remove('servers', fleet.servers[1].name)
            await reach(fleet, paused)

        run_scenario(scenario)

    def test_all_servers_paused(self):
        """The caller is told when to come back; nothing is sent."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.pause = '7.5'
                server.faults.pauses = 1
            await fleet.ask('/once/x')
            for server in fleet.servers:
                server.arrivals.clear()
            answer = await fleet.ask('/once/x')
            assert answer.status == MEANINGS[Code.servers_paused].status
            assert 5 < float(answer.header('Retry-After')) < 9
            assert not any(server.arrivals for server in fleet.servers)

        run_scenario(scenario)

    @pytest.mark.parametrize('pause', ['soon', '-1', 'nan'])
    def test_unreadable_time_changes_nothing(self, pause):
        """The server is used again at once."""

        async def scenario(fleet):
            server = fleet.servers[0]
            server.pause = pause
            server.faults.pauses = 1
            assert (await fleet.ask('/once/x')).status == 200
            metrics = (await fleet.get('/metrics', 4)).body
            assert b'notices_total{kind="unreadable"} 1' in metrics

        run_scenario(scenario, servers=1)


class TestNoise:
    """Test servers that send bytes without end or almost nothing."""

    @pytest.mark.parametrize('path', ['/once/x', '/plain-stream/stream'])
    def test_endless_body_is_cut(self, path):
        """The connection is closed after a bounded number of bytes."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.faults.endless = 1
            answer = await fleet.ask(path)
            assert answer.status in {502, 504}
            assert sum(server.sent_bytes for server in fleet.servers) < (
                MAX_NOISE_BYTES
            )

        run_scenario(scenario)

    def test_trickling_stream_is_resumed_elsewhere(self):
        """Bytes that complete no event do not keep an attempt alive."""

        async def scenario(fleet):
            fleet.servers[0].faults.trickles = 1
            answer = await fleet.ask('/stream/stream')
            assert (answer.body, answer.is_whole) == (WHOLE, True)
            assert len(fleet.runs) == 2

        run_scenario(scenario)

    def test_slow_stream_is_not_cut(self):
        """A stream whose events come slowly, but do come, ends whole."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.gap_s = 0.25
            answer = await fleet.ask('/stream/stream')
            assert (answer.body, answer.is_whole) == (WHOLE, True)
            assert len(fleet.runs) == 1

        run_scenario(scenario)


async def _knows_two(fleet):
    listings = [
        await fleet.get('/-/resolution?zone=a', 2, name)
        for name in ('front-1', 'front-2')
    ]
    return all(listing.body.count(b'127.0.0.1') == 2 for listing in listings)


class DoublingServer:
    """Plain server that refuses once and repeats the refusal late.

    :ivar runs: requests that it ran.
    """

    def __init__(self):
        self.runs = 0
        self._has_refused = False

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        late = b''
        async for call in read_calls(reader):
            if self._has_refused:
                self.runs += 1
                writer.write(late + RAN % call)
            else:
                self._has_refused = True
                late = REFUSED % call
                writer.write(late)


class TestLateCopies:
    """Test a second copy of an answer on a connection in use again."""

    def test_copy_is_not_taken_for_the_next_answer(self):
        """A refusal that arrives twice does not hide that the request ran."""

        async def scenario(fleet):
            doubling = DoublingServer()
            server = await asyncio.start_server(doubling, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            await fleet.store.put('servers', 'i-0', server_entry(port))
            await wait_until(lambda: b'"i-0"' in fleet.log, 'the server')
            answer = await fleet.ask('/once/x')
            assert (answer.status, answer.body) == (200, b'ran')
            assert doubling.runs == 1
            server.close()

        run_scenario(scenario, servers=1)
