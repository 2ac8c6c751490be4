"""Test how the end of a backend server's answer is understood."""

import asyncio
import socket
import struct

import pytest
import uvloop

from siskinpass.connection.backend import AnswerSink, BackendPool

HEAD = b'HTTP/1.1 200 OK\r\nX-Any: 1\r\n'
UNFRAMED = HEAD + b'\r\nhalf of the '
SIZED = HEAD + b'Content-Length: 4\r\n\r\nbody'
LINGER_NONE = struct.pack('ii', 1, 0)


class Collector(AnswerSink):
    """Note how an answer ended."""

    def __init__(self, skip=0):
        self.body = b''
        self.skip = skip
        self.ended = asyncio.get_running_loop().create_future()

    def receive_head(self, status, headers):
        self.skip -= 1
        return self.skip < 0

    def receive_body(self, piece):
        self.body += piece

    def receive_end(self):
        self.ended.set_result('whole')

    def receive_failure(self, error):
        self.ended.set_result('cut')


def answer_once(listener, pieces, *, reset):
    """Answer one connection in pieces, then end or reset it."""
    listener.settimeout(5)
    peer, _ = listener.accept()
    peer.settimeout(5)
    peer.recv(4096)
    for piece in pieces:
        peer.sendall(piece)
    if reset:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    peer.close()


async def fetch(pieces, *, reset, skip=0):
    """Send one request and return how its answer ended."""
    loop = asyncio.get_running_loop()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        pool = BackendPool(loop)
        connection = await pool.connect(f'{host}:{port}', fresh=True)
        collector = Collector(skip)
        connection.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n', collector)
        await asyncio.sleep(0)  # uvloop writes at the end of a turn
        await asyncio.sleep(0)
        # Holds the loop up: answer and end arrive before either is read.
        answer_once(listener, pieces, reset=reset)
        ended = await collector.ended
    return ended, collector.body


class TestAnswerEnd:
    """Test whole and cut answers."""

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
    def test_tells_end_from_reset(self, run, pieces, reset, expected):
        """Only an orderly end completes an answer without a length."""
        assert run(fetch(pieces, reset=reset)) == expected

    def test_skips_answer_of_another_request(self):
        """A late answer before the own one is read over."""
        late = HEAD + b'Content-Length: 5\r\n\r\nother'
        found = asyncio.run(fetch([late + SIZED], reset=False, skip=1))
        assert found == ('whole', b'body')

    def test_bytes_after_an_answer_belong_to_none(self):
        """A second answer is dropped and its connection not kept."""
        found = asyncio.run(fetch([SIZED + SIZED], reset=False))
        assert found == ('whole', b'body')
