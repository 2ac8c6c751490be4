"""Test HEAD requests, whose answers have no body."""

import asyncio

import pytest

from bench.fleet import HOST, KEY, exchange
from standins.raw_requests import CALL
from tests.relayed_fleet import own_or_relayed_fleet
from tests.test_stray_refusals import listen

HEAD = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
FRAMINGS = {
    'a length': b'Content-Length: 5\r\n\r\n',
    'no length': b'\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n',
    'a body in spite of all': b'Content-Length: 5\r\n\r\norder',
}


class HeadServer:
    """Server that answers with heads only.

    :ivar runs: ids of the requests that it got.
    """

    def __init__(self, framing):
        self._framing = framing
        self.runs = []

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                call = CALL.search(head).group(1)
                self.runs.append(call)
                writer.write(HEAD % call + self._framing)
        except (asyncio.IncompleteReadError, ConnectionError):
            return


class TestHead:
    """Test what callers get of such answers."""

    @pytest.mark.parametrize('is_relayed', [False, True], ids=['own', 'relay'])
    @pytest.mark.parametrize('framing', FRAMINGS.values(), ids=FRAMINGS)
    def test_head_is_the_whole_answer(self, framing, is_relayed):
        """Guards against a wait for a body until the timeout."""
        start = (
            f'HEAD /safe/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 5000\r\n'
        )

        async def scenario():
            async with own_or_relayed_fleet(is_relayed=is_relayed) as fleet:
                server = HeadServer(framing)
                listener = await listen(fleet, 'i-head', server)
                await fleet.store.remove('servers', 'i-0')
                port = fleet.ports['front-1'][0]
                for number in range(20):
                    wire = f'{start}X-Attempt-Id: c-{number}\r\n'
                    pipelined = f'{wire}\r\n{wire}Connection: close\r\n\r\n'
                    answer = await exchange(port, pipelined.encode())
                    assert answer.raw.count(b'HTTP/1.1 200 ') == 2
                    assert answer.raw.count(b'HTTP/1.1 ') == 2
                    assert answer.raw.endswith(b'\r\n\r\n')
                    assert b'order' not in answer.raw
                listener.close()
                assert server.runs

        asyncio.run(asyncio.wait_for(scenario(), 60))
