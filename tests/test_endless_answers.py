"""Test servers that send bytes without end until their caller closes."""

import asyncio
from pathlib import Path

import pytest

from bench.fleet import running_fleet, wait_until
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.paths import PathState
from standins.raw_requests import read_calls
from tests.test_stray_refusals import listen, served

START = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
NOISE_BYTES = 65_536
# Memory of a machine, which holds all that was received and not dropped.
MACHINE_BYTES = 300_000_000
BYTES_PER_KB = 1024
NOISES = {
    'a head': (START + b'X-Noise: ', b'x' * NOISE_BYTES),
    'headers': (START, b'X-Noise: 1\r\n' * 5000),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2500),
    'a body': (CHUNKED, b'10000\r\n' + b'x' * NOISE_BYTES + b'\r\n'),
    'a body of one line': (START + b'\r\n', b'x' * NOISE_BYTES),
    'the length of a chunk': (CHUNKED + b'5;', b'x' * NOISE_BYTES),
    'the body of another answer': (
        CHUNKED.replace(b'%b', b'x%b'),
        b'10000\r\n' + b'x' * NOISE_BYTES + b'\r\n',
    ),
    'no HTTP': (b'', b'x' * NOISE_BYTES),
}


class EndlessServer:
    """Server that answers with bytes without end.

    :ivar sent_bytes: bytes of noise sent so far, over all connections.
    :ivar open: connections that it is sending on.
    """

    def __init__(self, start, noise):
        self._start = start
        self._noise = noise
        self.sent_bytes = 0
        self.open = 0

    async def __call__(self, reader, writer):
        """Answer one request until the caller closes."""
        async for call in read_calls(reader):
            self.open += 1
            writer.write(self._start.replace(b'%b', call))
            try:
                await self._send(writer)
            except ConnectionError:
                return
            finally:
                self.open -= 1

    async def _send(self, writer):
        while not writer.is_closing():
            writer.write(self._noise)
            self.sent_bytes += len(self._noise)
            await writer.drain()


class TestEndlessAnswers:
    """Test that an instance bounds what it keeps of them."""

    @pytest.mark.parametrize('is_relayed', [False, True], ids=['own', 'relay'])
    @pytest.mark.parametrize('path', ['/once/x', '/stream/stream'])
    @pytest.mark.parametrize('noise', NOISES.values(), ids=NOISES)
    def test_connection_is_closed_and_the_instance_goes_on(
        self, noise, path, is_relayed
    ):
        """Guards against an instance that runs out of memory."""

        async def scenario():
            async with running_fleet(
                2, 1, SMALL_FLEET, has_paths=True
            ) as fleet:
                if is_relayed:
                    ip = fleet.ips['front-1']
                    await fleet.paths.cut([ip], PathState.reset)
                await wait_until(lambda: served(fleet, '/safe/x'), 'the server')
                server = EndlessServer(*noise)
                listener = await listen(fleet, 'i-noise', server)
                await fleet.store.remove('servers', 'i-0')
                await wait_until(lambda: has_sent(fleet, server, path), 'noise')
                await wait_until(lambda: not server.open, 'the close')
                listener.close()
                assert server.sent_bytes < MACHINE_BYTES
                for process in fleet.processes.values():
                    assert process.returncode is None
                    assert peak_bytes(process.pid) < MACHINE_BYTES

        asyncio.run(asyncio.wait_for(scenario(), 60))


def peak_bytes(pid):
    """Return the largest memory that a process has had."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.split('VmHWM:')[1].split()[0]) * BYTES_PER_KB


async def has_sent(fleet, server, path):
    """Return whether a request got noise, in place of which it got an error."""
    has_sent.calls = getattr(has_sent, 'calls', 0) + 1
    answer = await fleet.ask(path, call=f'noise-{has_sent.calls}')
    if server.sent_bytes:
        assert answer.status not in {0, 200}
    return server.sent_bytes
