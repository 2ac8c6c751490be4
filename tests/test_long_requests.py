"""Test answers that arrive while their request is still being sent."""

import asyncio
import subprocess
import sys
from contextlib import contextmanager

import pytest
import uvloop

from siskinpass.connection.backend import BackendPool
from standins.early_server import REQUEST_BYTES
from tests.test_backend_connection import Collector

REQUEST = (
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % REQUEST_BYTES
) + bytes(REQUEST_BYTES)
REQUESTS = 50
SPREAD_S = 0.6  # over which they begin
WAIT_S = 20.0


@contextmanager
def serving(behaviour):
    """Run a server as a process, so that it acts amid the client's writes."""
    with subprocess.Popen(
        [sys.executable, '-m', 'standins.early_server', behaviour],
        stdout=subprocess.PIPE,
    ) as process:
        try:
            yield f'127.0.0.1:{int(process.stdout.readline())}'
        finally:
            process.terminate()


async def send_all(address):
    """Send long requests and return how their answers ended."""
    pool = BackendPool(asyncio.get_running_loop())

    async def send(delay_s):
        await asyncio.sleep(delay_s)
        connection = await pool.connect(address, fresh=True)
        collector = Collector()
        connection.send(REQUEST, collector)
        return await asyncio.wait_for(collector.ended, WAIT_S)

    sends = (send(SPREAD_S * one / REQUESTS) for one in range(REQUESTS))
    return set(await asyncio.gather(*sends))


class TestLongRequests:
    """Test how such answers end."""

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    @pytest.mark.parametrize(
        ('behaviour', 'expected'),
        [('reset', 'cut'), ('read_on', 'whole'), ('half_close', 'whole')],
    )
    def test_only_a_regular_close_completes_an_answer(
        self, run, behaviour, expected
    ):
        """Guards against half an answer that counts as whole.

        A failed write of the request takes the error from the socket; with
        uvloop the end of the file is reported before that failure.
        """
        with serving(behaviour) as address:
            assert run(send_all(address)) == {expected}
