"""Test requests to real processes that offer an upgrade."""

import asyncio

import pytest

from bench.fleet import (
    HOST,
    KEY,
    LOCALHOST,
    METRICS,
    running_fleet,
)
from tests.relayed_fleet import own_or_relayed_fleet

OFFERS = {
    'h2c': (
        'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        'HTTP2-Settings: AAMAAABk\r\n'
    ),
    'websocket': 'Connection: Upgrade\r\nUpgrade: websocket\r\n',
}
FRAMINGS = {
    'a length': 'Content-Length: 5\r\n\r\norder',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n',
}
# Places in the list of an instance's ports, with a path of each listener.
PAGES = {
    'ready': (1, '/-/readiness'),
    'directory': (2, '/-/resolution?name=h&zone=a'),
    'metrics': (METRICS, '/metrics'),
}
CLOSE = 'Connection: close\r\n'


async def exchange_slowly(port, wire, host, step):
    """Send bytes in pieces and return all that arrives up to the close."""
    reader, writer = await asyncio.open_connection(host, port)
    for place in range(0, len(wire), step):
        writer.write(wire[place : place + step])
        await asyncio.sleep(0)
    arrived = await asyncio.wait_for(reader.read(-1), 20)
    writer.close()
    return arrived


class TestOffers:
    """Test that such requests are answered as if they made no offer."""

    @pytest.mark.parametrize('is_relayed', [False, True], ids=['own', 'relay'])
    @pytest.mark.parametrize('step', [9999, 1])
    @pytest.mark.parametrize('framing', FRAMINGS.values(), ids=FRAMINGS)
    @pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
    def test_orders_run_with_their_bodies(
        self, offer, framing, step, is_relayed
    ):
        """Guards against an empty body, and against two answers for one."""
        start = (
            f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c-1\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 5000\r\n'
        )
        # Pipelined, so that what follows a body is read as a request.
        wire = start + offer + framing
        last = start.replace('c-1', 'c-2') + offer + CLOSE + framing

        async def scenario():
            async with own_or_relayed_fleet(is_relayed=is_relayed) as fleet:
                before = len(fleet.runs)
                port = fleet.ports['front-1'][0]
                arrived = await exchange_slowly(
                    port, (wire + last).encode(), LOCALHOST, step
                )
                runs = fleet.runs[before:]
                assert [run.body for run in runs] == [b'order', b'order']
                assert arrived.count(b'HTTP/1.1 200 ') == 2
                assert arrived.count(b'HTTP/1.1 ') == 2
                for run in runs:
                    assert not run.headers.keys() & {
                        'upgrade',
                        'http2-settings',
                    }

        asyncio.run(asyncio.wait_for(scenario(), 60))

    @pytest.mark.parametrize('step', [9999, 1])
    @pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
    @pytest.mark.parametrize(('kind', 'path'), PAGES.values(), ids=PAGES)
    def test_pages_are_answered_once(self, kind, path, offer, step):
        """Guards against a second answer on the connection."""
        wire = f'GET {path} HTTP/1.1\r\nHost: x\r\n{offer}{CLOSE}\r\n'

        async def scenario():
            async with running_fleet(2, 1) as fleet:
                host = fleet.ips['front-1'] if kind == METRICS else LOCALHOST
                port = fleet.ports['front-1'][kind]
                arrived = await exchange_slowly(port, wire.encode(), host, step)
                assert arrived.startswith(b'HTTP/1.1 200 ')
                assert arrived.count(b'HTTP/1.1 ') == 1

        asyncio.run(asyncio.wait_for(scenario(), 60))

    @pytest.mark.parametrize(
        'wire',
        [
            b'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n',
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        ],
    )
    def test_other_protocols_get_one_refusal(self, wire):
        """A tunnel or HTTP/2 without an offer is refused and closed."""

        async def scenario():
            async with running_fleet(2, 1) as fleet:
                for kind in (0, 1, 2):
                    port = fleet.ports['front-1'][kind]
                    arrived = await exchange_slowly(
                        port, wire, LOCALHOST, len(wire)
                    )
                    assert arrived.startswith(b'HTTP/1.1 400 ')
                    assert arrived.count(b'HTTP/1.1 ') == 1
                assert not fleet.runs

        asyncio.run(asyncio.wait_for(scenario(), 60))
