"""Test servers that write an earlier refusal once more."""

import asyncio

import pytest

from bench.fleet import running_fleet, server_entry, wait_until
from standins.paths import PathState
from standins.raw_requests import read_calls

RAN = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
    b'Content-Length: 3\r\n\r\nran'
)
REFUSED = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n'
STRAYS = {
    'without an id': REFUSED + b'\r\n',
    'with the id before': REFUSED + b'X-Attempt-Id: %b\r\n\r\n',
}
RAN_STATUSES = frozenset((200, 502, 504))


class StrayServer:
    """Server that runs all requests, but repeats a refusal on kept connections.

    :param stray: the refusal, with a place for an id if it has one.
    :ivar runs: ids of the requests that it ran.
    """

    def __init__(self, stray):
        self._stray = stray
        self.strays = 0
        self.runs = []

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        before = b''
        async for call in read_calls(reader):
            self.runs.append(call)
            if before:
                self.strays += 1
                has_id = b'%b' in self._stray
                writer.write(self._stray % before if has_id else self._stray)
                await asyncio.sleep(0.02)
            writer.write(RAN % call)
            before = call


class TestStrayRefusals:
    """Test that a refusal counts only for the request that it answers."""

    @pytest.mark.parametrize('is_cut', [False, True], ids=['own', 'relayed'])
    @pytest.mark.parametrize('stray', STRAYS.values(), ids=STRAYS)
    @pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
    def test_request_that_runs_is_not_told_not_run(self, path, stray, is_cut):
        """It runs once if it must not be repeated."""

        async def scenario():
            async with running_fleet(2, 0, has_paths=True) as fleet:
                servers = [StrayServer(stray) for _ in range(2)]
                listeners = [
                    await listen(fleet, f'i-{number}', server)
                    for number, server in enumerate(servers)
                ]
                await wait_until(lambda: served(fleet, path), 'the servers')
                if is_cut:
                    ip = fleet.ips['front-1']
                    await fleet.paths.cut([ip], PathState.reset)
                    await wait_until(lambda: served(fleet, path), 'a relay')
                for number in range(12):
                    answer = await fleet.ask(path, call=f'call-{number}')
                    assert answer.status in RAN_STATUSES
                runs = [call for server in servers for call in server.runs]
                assert sum(server.strays for server in servers)
                if path == '/once/x':
                    assert len(runs) == len(set(runs))
                for listener in listeners:
                    listener.close()

        asyncio.run(asyncio.wait_for(scenario(), 60))


async def listen(fleet, name, server):
    """Start a server, register it and return its listener."""
    listener = await asyncio.start_server(server, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    await fleet.store.put('servers', name, server_entry(port))
    return listener


async def served(fleet, path):
    """Return whether an instance that may be cut off serves a request."""
    served.calls = getattr(served, 'calls', 0) + 1
    answer = await fleet.ask(path, call=f'first-{served.calls}')
    return answer.status == 200
