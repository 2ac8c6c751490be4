"""Test answers that break off or are none, of real processes."""

import asyncio
import socket
from itertools import cycle

import pytest

from bench.fleet import WHOLE
from standins.early_server import NO_LINGER
from standins.raw_requests import CALL, read_calls
from tests.relayed_fleet import own_or_relayed_fleet
from tests.test_stray_refusals import listen

EVENTS = b'id: 1\ndata: a\n\n'
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n'
    b'Content-Length: 15\r\n'
)
GOOD = HEAD + b'\r\n' + EVENTS
LOST = b'lost!'
ODD_STATUSES = (b'000', b'001', b'099', b'100', b'199', b'600', b'999')
# Each stands before a whole answer to the same request.
ODD_ANSWERS = {
    'a length': b'Content-Length: 5\r\n\r\n' + LOST,
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n5\r\n'
    + LOST
    + b'\r\n0\r\n\r\n',
    'no body': b'\r\n',
}
CUTS = (
    b'HTTP/1.1 2',
    b'HTTP/1.1 200 OK',
    b'HTTP/1.1 200 OK\r\n',
    HEAD[: HEAD.index(b'%b') + 2],
    HEAD[: HEAD.index(b'Seal')],
    HEAD[: HEAD.index(b'Length')],
    HEAD.removesuffix(b'5\r\n'),
    HEAD.removesuffix(b'\r\n'),
    HEAD,
    HEAD + b'\r',
)
MAX_REQUESTS = 200
UPLOAD_BYTES = 3_000_000
ERROR_STATUSES = frozenset((502, 503, 504))
own_and_relayed = pytest.mark.parametrize(
    'is_relayed', [False, True], ids=['own', 'relay']
)
each_path = pytest.mark.parametrize(
    'path', ['/once/x', '/safe/x', '/stream/stream']
)


class BrokenServer:
    """Server that sends broken answers in turn.

    :param answers: broken answers, with a place for the request's id.
    :param close: called after each of them, ``None`` to go on.
    :param has_good_before: whether a connection's first answer is whole.
    :ivar sent: broken answers sent so far.
    :ivar runs: ids of the requests that it got.
    """

    def __init__(self, answers, close, *, has_good_before):
        self._answers = cycle(answers)
        self._close = close
        self._has_good_before = has_good_before
        self.sent = 0
        self.runs = []

    async def __call__(self, reader, writer):
        """Answer the requests of one connection."""
        is_good = self._has_good_before
        async for call in read_calls(reader):
            self.runs.append(call)
            if is_good:
                writer.write(GOOD % call)
                is_good = False
                continue
            self.sent += 1
            writer.write(next(self._answers).replace(b'%b', call))
            if self._close is not None:
                await writer.drain()
                self._close(writer)
                return


class UploadServer:
    """Server that answers before it has read the body, then resets.

    :ivar sent: answers begun so far.
    """

    def __init__(self, *, is_half_closed):
        self._is_half_closed = is_half_closed
        self.sent = 0

    async def __call__(self, reader, writer):
        """Answer one request."""
        head = await reader.readuntil(b'\r\n\r\n')
        call = CALL.search(head).group(1)
        unframed = HEAD.replace(b'Content-Length: 15\r\n', b'\r\n')
        writer.write(unframed % call + EVENTS)
        await writer.drain()
        if self._is_half_closed:
            writer.write_eof()
            await asyncio.sleep(0.05)
        self.sent += 1
        reset(writer)


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class TestBrokenAnswers:
    """Test that nothing of them is passed on, and that no answer is made up."""

    @own_and_relayed
    @each_path
    @pytest.mark.parametrize('is_first', [True, False], ids=['first', 'later'])
    @pytest.mark.parametrize(
        'close', [lambda writer: writer.close(), reset], ids=['close', 'reset']
    )
    def test_cut_head_is_no_answer(self, close, is_first, path, is_relayed):
        """Guards against an empty or short answer that counts as whole."""
        server = BrokenServer(CUTS, close, has_good_before=not is_first)
        play(server, path, len(CUTS), is_relayed=is_relayed)

    @own_and_relayed
    @each_path
    @pytest.mark.parametrize('is_first', [True, False], ids=['first', 'later'])
    @pytest.mark.parametrize('answer', ODD_ANSWERS.values(), ids=ODD_ANSWERS)
    def test_odd_status_is_no_answer(self, answer, is_first, path, is_relayed):
        """Guards against a body that is joined to the next answer's."""
        answers = [
            b'HTTP/1.1 %b Odd\r\nX-Attempt-Id: %%b\r\nX-Server-Seal: s\r\n%b'
            % (status, answer)
            + GOOD
            for status in ODD_STATUSES
        ]
        server = BrokenServer(answers, None, has_good_before=not is_first)
        play(server, path, len(answers), is_relayed=is_relayed)

    @own_and_relayed
    @each_path
    def test_switch_of_protocols_is_no_answer(self, path, is_relayed):
        """No upgrade is asked for, so that none may follow."""
        switch = (
            b'HTTP/1.1 101 Switch\r\nX-Attempt-Id: %b\r\n%bUpgrade: h2c\r\n\r\n'
        )
        answers = [
            switch.replace(b'%bUp', line + b'Up') + LOST
            for line in (b'', b'Connection: Upgrade\r\n')
        ]
        server = BrokenServer(answers, None, has_good_before=False)
        play(server, path, len(answers), is_relayed=is_relayed)

    @own_and_relayed
    @each_path
    @pytest.mark.parametrize('is_half_closed', [False, True])
    def test_reset_amid_an_upload_is_no_end(
        self, is_half_closed, path, is_relayed
    ):
        """Guards against a part of an answer that counts as whole."""
        server = UploadServer(is_half_closed=is_half_closed)
        play(server, path, 5, is_relayed=is_relayed, body='x' * UPLOAD_BYTES)


def play(server, path, least, *, is_relayed, body='body'):
    """Send requests until the server has sent so many broken answers.

    Callers get a whole answer of the server or an error, and a request that
    may run once only reaches the server once.
    """

    async def scenario():
        async with own_or_relayed_fleet(is_relayed=is_relayed) as fleet:
            listener = await listen(fleet, 'i-broken', server)
            await fleet.store.remove('servers', 'i-0')
            for number in range(MAX_REQUESTS):
                if server.sent >= least:
                    break
                answer = await fleet.ask(path, call=f'c-{number}', body=body)
                check(answer, is_whole=not isinstance(server, UploadServer))
            listener.close()
            assert server.sent >= least

    asyncio.run(asyncio.wait_for(scenario(), 60))
    if path == '/once/x' and isinstance(server, BrokenServer):
        assert len(server.runs) == len(set(server.runs))


def check(answer, *, is_whole):
    """Check an answer that a caller got.

    :param is_whole: whether the server sends whole answers too.
    """
    assert answer.raw.count(b'HTTP/1.1') == 1
    assert LOST not in answer.raw
    if answer.status == 200:
        is_known = answer.body in {EVENTS, WHOLE} or b'i-0' in answer.body
        assert is_known or not answer.is_whole
        assert is_whole or not answer.is_whole
    else:
        assert answer.status in ERROR_STATUSES
