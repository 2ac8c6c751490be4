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
        'document',
        [5, {}, {'held': 5}, {'held': [5]}, {'held': [['', 'x']]}, 'text'],
    )
    def test_unreadable_answers(self, document):
        """An answer of another form is an error."""
        with pytest.raises(FormatError):
            decode_kept_parts(orjson.dumps(document))


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


async def load(*handlers):
    """Return what is learnt from one engine for each handler."""
    learned = {}
    engines = []
    servers = []
    for number, handler in enumerate(handlers):
        server = await serve(handler, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        servers.append(server)
        engines.append(ServerView(f'e-{number}', f'127.0.0.1:{port}', 'lm'))
    pool = BackendPool(asyncio.get_running_loop())
    loader = KeptPartsLoader(
        pool, lambda update: learned.update({update.server: update}), 0.3
    )
    await loader.load(engines)
    for server in servers:
        server.close()
    return learned


class TestKeptParts:
    """Test the calls."""

    def test_large_fleets_ask_some_engines(self):
        """The calls of one instance are bounded."""
        learned = asyncio.run(load(*[kept] * (MAX_ENGINES + 5)))
        assert len(learned) == MAX_ENGINES

    @pytest.mark.parametrize('broken', [refused, hung_up, silent, spoiled])
    def test_one_engine_holds_up_no_other(self, broken):
        """What one engine keeps is learnt whatever another one does."""
        learned = asyncio.run(load(broken, kept))
        assert list(learned) == ['e-1']
        assert learned['e-1'].pieces == hash_parts(Prompt(PARTS))
        assert learned['e-1'].unread == 0
