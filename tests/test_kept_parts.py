"""Test what a starting instance learns from the engines."""

import asyncio

import orjson
import pytest

from siskinpass.connection.backend import BackendPool
from siskinpass.exceptions import FormatError
from siskinpass.platform.engines import decode_kept_parts
from siskinpass.process.fleet.kept_parts import MAX_ENGINES, KeptPartsLoader
from siskinpass.process.fleet.tickets import hash_parts
from siskinpass.request.inbound import Prompt, PromptPart
from siskinpass.request.ticket import ServerView
from standins.http_server import HangUpError, Response, serve

ROWS = [['', 'ab12', 350, 'm'], ['', 'cd34', 1100, 'm']]
PARTS = (PromptPart('ab12', 350), PromptPart('cd34', 1100))


class TestDecode:
    """Test the list of an engine."""

    def test_names_parts_as_requests_do(self):
        """The ids are those of the requests' prompt parts."""
        body = orjson.dumps({'epoch': 1, 'next': 5, 'held': ROWS})
        assert decode_kept_parts(body) == PARTS

    @pytest.mark.parametrize(
        'told',
        [5, {}, {'held': 5}, {'held': [5]}, {'held': [['', 'x']]}, 'text'],
    )
    def test_unreadable_answers(self, told):
        """An answer of another form is an error."""
        with pytest.raises(FormatError):
            decode_kept_parts(orjson.dumps(told))


async def kept(request):
    """Answer with the list."""
    assert request.path == '/-/kv-list'
    return Response(200, orjson.dumps({'held': ROWS}))


async def refused(request):
    """Refuse the list."""
    return Response(429)


async def hung_up(request):
    """Close without an answer."""
    raise HangUpError


async def silent(request):
    """Answer nothing."""
    await asyncio.Event().wait()


async def spoiled(request):
    """Answer something else."""
    return Response(200, b'{"held": 5}')


async def learn(*handlers):
    """Return what is learnt from one engine for each handler."""
    told = {}
    engines = []
    servers = []
    for number, handler in enumerate(handlers):
        server = await serve(handler, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        servers.append(server)
        engines.append(ServerView(f'e-{number}', f'127.0.0.1:{port}', 'lm'))
    pool = BackendPool(asyncio.get_running_loop())
    learner = KeptPartsLoader(
        pool, lambda news: told.update({news.server: news}), 0.3
    )
    await learner.learn(engines)
    for server in servers:
        server.close()
    return told


class TestKeptParts:
    """Test the calls."""

    def test_large_fleets_ask_some_engines(self):
        """The calls of one instance are bounded."""
        told = asyncio.run(learn(*[kept] * (MAX_ENGINES + 5)))
        assert len(told) == MAX_ENGINES

    @pytest.mark.parametrize('broken', [refused, hung_up, silent, spoiled])
    def test_one_engine_holds_up_no_other(self, broken):
        """What one engine keeps is learnt whatever another one does."""
        told = asyncio.run(learn(broken, kept))
        assert list(told) == ['e-1']
        assert told['e-1'].pieces == hash_parts(Prompt(PARTS))
        assert told['e-1'].unread == 0
