"""Test streams that broke off and whose next server answers with an error."""

import asyncio

import pytest

from bench.fleet import WHOLE, running_fleet, wait_until
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.paths import PathState
from standins.raw_requests import read_calls
from tests.test_stray_refusals import listen, served

ID = b'X-Attempt-Id: %b\r\n'
TEXT = b'X-Server-Seal: s\r\nContent-Length: 7\r\n\r\nat\n\nall'
ERRORS = {
    'an error': b'HTTP/1.1 500 Broken\r\n' + ID + TEXT,
    'an error as a stream': (
        b'HTTP/1.1 500 Broken\r\n' + ID + b'X-Server-Seal: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n7\r\nid: 4\n\n\r\n0\r\n\r\n'
    ),
    'a refusal': b'HTTP/1.1 503 Full\r\n' + ID + TEXT,
    'a refusal that has not run': (
        b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n' + ID + TEXT
    ),
    'not found': b'HTTP/1.1 404 None\r\n' + ID + TEXT,
    'a redirect': b'HTTP/1.1 302 Found\r\nLocation: /x\r\n' + ID + TEXT,
    'a success without a seal': (
        b'HTTP/1.1 200 OK\r\n' + ID + b'Content-Length: 7\r\n\r\nid: 9\n\n'
    ),
    'another answer': (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: x%b\r\nX-Server-Seal: s\r\n'
        b'Content-Length: 7\r\n\r\nid: 9\n\n'
    ),
    'no HTTP': b'500 %b\n\nid: 9\n\n',
}


class ErrorServer:
    """Server that answers each request with the same bytes.

    :ivar runs: ids of the requests that it got.
    """

    def __init__(self, answer):
        self._answer = answer
        self.runs = []

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        async for call in read_calls(reader):
            self.runs.append(call)
            writer.write(self._answer % call)


class TestErrorsWithinStreams:
    """Test what callers get of a stream that is resumed in vain."""

    @pytest.mark.parametrize('is_relayed', [False, True], ids=['own', 'relay'])
    @pytest.mark.parametrize('answer', ERRORS.values(), ids=ERRORS)
    def test_no_byte_of_an_error_is_in_the_stream(self, answer, is_relayed):
        """Guards against an error's text amid the events, and a false end."""

        async def scenario():
            async with running_fleet(
                2, 1, SMALL_FLEET, has_paths=True
            ) as fleet:
                if is_relayed:
                    ip = fleet.ips['front-1']
                    await fleet.paths.cut([ip], PathState.reset)
                    await wait_until(
                        lambda: served(fleet, '/safe/x'), 'a relay'
                    )
                before = len(fleet.runs)
                fleet.servers[0].gap_s = 0.2
                fleet.servers[0].faults.cuts = 1
                asked = asyncio.create_task(fleet.ask('/stream/stream'))
                await wait_until(lambda: len(fleet.runs) > before, 'the run')
                server = ErrorServer(answer)
                listener = await listen(fleet, 'i-error', server)
                await fleet.store.remove('servers', 'i-0')
                found = await asked
                listener.close()
                assert server.runs
                assert WHOLE.startswith(found.body.rstrip(b'\n'))
                assert found.raw.count(b'HTTP/1.1') == 1
                assert (found.status, found.is_whole) == (200, False)

        asyncio.run(asyncio.wait_for(scenario(), 60))
