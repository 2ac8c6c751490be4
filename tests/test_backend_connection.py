"""Test the detection of complete and cut responses of backend servers."""

import asyncio
import socket
import struct

import pytest
import uvloop

from siskinpass.connection.backend import (
    MAX_UNUSED_BYTES,
    AnswerSink,
    BackendConnection,
    BackendPool,
)
from siskinpass.exceptions import ConnectError

HEAD = b'HTTP/1.1 200 OK\r\nX-Any: 1\r\n'
UNFRAMED = HEAD + b'\r\nhalf of the '
SIZED = HEAD + b'Content-Length: 4\r\n\r\nbody'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
NO_LINGER = struct.pack('ii', 1, 0)  # makes close() send a reset


class Collector(AnswerSink):
    """Sink that records the body and how the response ended."""

    def __init__(self, skip=0):
        self.body = b''
        self.pieces = 0
        self.skip = skip
        self.ended = asyncio.get_running_loop().create_future()

    def receive_head(self, status, headers):
        self.skip -= 1
        return self.skip < 0

    def receive_body(self, piece):
        self.body += piece
        self.pieces += 1

    def receive_end(self):
        self.ended.set_result('whole')

    def receive_failure(self, error):
        is_unsent = isinstance(error, ConnectError)
        self.ended.set_result('unsent' if is_unsent else 'cut')


class PausingCollector(Collector):
    """Sink that pauses its connection with each piece of a body."""

    def __init__(self, connection):
        super().__init__()
        self._connection = connection

    def receive_body(self, piece):
        super().receive_body(piece)
        self._connection.set_reading(on=False)


def answer_once(listener, pieces, *, reset):
    """Answer one connection in pieces, then close or reset it."""
    listener.settimeout(5)
    peer, _ = listener.accept()
    peer.settimeout(5)
    peer.recv(4096)
    for piece in pieces:
        peer.sendall(piece)
    if reset:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    peer.close()


async def fetch(pieces, *, reset, skip=0):
    """Send one request; return how its response ended and the body."""
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        pool = BackendPool(loop)
        connection = await pool.connect(f'{host}:{port}', fresh=True)
        collector = Collector(skip)
        connection.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', collector)
        await asyncio.sleep(0)  # uvloop writes at the end of an iteration
        await asyncio.sleep(0)
        # Blocks the event loop, so that the response and the close or reset
        # both arrive before either is read.
        answer_once(listener, pieces, reset=reset)
        ended = await collector.ended
    return ended, collector.body


class TestAnswerEnd:
    """Test complete and cut responses."""

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    @pytest.mark.parametrize(
        ('pieces', 'reset', 'expected'),
        [
            ([UNFRAMED, b'answer'], False, ('whole', b'half of the answer')),
            ([UNFRAMED], True, ('cut', b'half of the ')),
            ([SIZED], False, ('whole', b'body')),
            ([SIZED[:-1]], False, ('cut', b'bod')),
        ],
    )
    def test_reset_is_not_end(self, run, pieces, reset, expected):
        """Only a regular close completes a response without a length."""
        assert run(fetch(pieces, reset=reset)) == expected

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    @pytest.mark.parametrize('skip', [0, 1], ids=['first', 'later'])
    @pytest.mark.parametrize(
        'framing', [b'Content-Length: 4\r\n\r\nlost', b'\r\n']
    )
    @pytest.mark.parametrize('status', [0, 1, 99, 199, 600, 999])
    def test_odd_status_is_no_answer(self, status, framing, skip, run):
        """Guards against a body that is joined to the next response's.

        An informational response without a body is passed over.
        """
        odd = b'HTTP/1.1 %03d Odd\r\n%b' % (status, framing)
        found = run(fetch([SIZED * skip, odd + SIZED], reset=False, skip=skip))
        is_interim = (status, framing) == (199, b'\r\n')
        assert found == (('whole', b'body') if is_interim else ('cut', b''))

    def test_skips_answer_of_another_request(self):
        """A late response to an earlier request is skipped."""
        late = HEAD + b'Content-Length: 5\r\n\r\nother'
        found = asyncio.run(fetch([late + SIZED], reset=False, skip=1))
        assert found == ('whole', b'body')

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    def test_close_after_skipped_answer_is_no_answer(self, run):
        """The close that ends another request's answer ends no other one."""
        found = run(fetch([UNFRAMED], reset=False, skip=1))
        assert found == ('cut', b'')

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    @pytest.mark.parametrize(
        'noise',
        [
            [HEAD + b'X-Noise: ' + bytes([120]) * MAX_UNUSED_BYTES],
            [b'HTTP/1.1 100 Continue\r\n\r\n' * 20_000],
            [HEAD + b'Content-Length: 9999999\r\n\r\n', b'x' * 600_000],
        ],
    )
    def test_bytes_that_belong_to_no_answer_are_bounded(self, run, noise):
        """An endless head, interim response or foreign body ends the request.

        Guards against memory and a connection that grow until the caller
        closes.
        """
        assert run(fetch(noise, reset=False, skip=1)) == ('cut', b'')

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    def test_closed_connection_is_not_written_to(self, run):
        """A connection that was closed since it was opened sent nothing.

        uvloop raises an error for a closed transport, which would fail the
        request's task.
        """

        async def send_after_close():
            loop = asyncio.get_running_loop()
            with socket.create_server(('127.0.0.1', 0)) as listener:
                host, port = listener.getsockname()
                pool = BackendPool(loop)
                connection = await pool.connect(f'{host}:{port}', fresh=True)
                connection.cancel()
                collector = Collector()
                connection.send(b'GET / HTTP/1.1\r\n\r\n', collector)
                connection.set_reading(on=True)
                return await collector.ended

        assert run(send_after_close()) == 'unsent'

    def test_chunks_of_one_read_arrive_together(self):
        """A body in chunks of a byte costs one call for each read."""

        async def fetch_chunks():
            loop = asyncio.get_running_loop()
            collector = Collector()
            connection = BackendConnection(lambda one: None, lambda one: None)
            with socket.create_server(('127.0.0.1', 0)) as listener:
                await loop.create_connection(
                    lambda: connection, *listener.getsockname()
                )
                connection.send(b'GET / HTTP/1.1\r\n\r\n', collector)
                connection.data_received(
                    CHUNKED + b'1\r\nx\r\n' * 1000 + b'0\r\n\r\n'
                )
                connection.cancel()
            return await collector.ended, collector.body, collector.pieces

        assert asyncio.run(fetch_chunks()) == ('whole', b'x' * 1000, 1)

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    def test_connection_paused_at_the_end_is_read_again(self, run):
        """Guards against a reused connection whose answer is never read."""

        async def fetch_twice():
            with socket.create_server(('127.0.0.1', 0)) as listener:
                host, port = listener.getsockname()
                pool = BackendPool(asyncio.get_running_loop())
                address = f'{host}:{port}'
                connection = await pool.connect(address, fresh=True)
                peer, _ = listener.accept()
                for collector in (PausingCollector(connection), Collector()):
                    connection.send(b'GET / HTTP/1.1\r\n\r\n', collector)
                    peer.sendall(SIZED)
                    await asyncio.wait_for(collector.ended, 5)
                    assert pool.reuse(address) is connection
                peer.close()

        run(fetch_twice())

    def test_drops_unsolicited_answer(self):
        """A second response without a request is discarded."""
        found = asyncio.run(fetch([SIZED + SIZED], reset=False))
        assert found == ('whole', b'body')
