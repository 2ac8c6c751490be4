"""Test how a starting instance queries the caches of the engines."""

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
    """Test decoding of an engine's list."""

    def test_part_ids_equal_those_of_requests(self):
        """The decoded ids equal those of the requests' prompt parts."""
        body = orjson.dumps({'epoch': 1, 'next': 5, 'held': ROWS})
        assert decode_kept_parts(body) == PARTS

    @pytest.mark.parametrize(
        'document',
        [5, {}, {'held': 5}, {'held': [5]}, {'held': [['', 'x']]}, 'text'],
    )
    def test_unreadable_answers(self, document):
        """A document of any other form raises an error."""
        with pytest.raises(FormatError):
            decode_kept_parts(orjson.dumps(document))


async def listed(request):
    """Answer with the list of cached parts."""
    assert request.path == '/-/kv-list'
    return Response(200, orjson.dumps({'held': ROWS}))


async def refused(request):
    """Refuse the request for the list."""
    return Response(429)


async def hung_up(request):
    """Close the connection without an answer."""
    raise HangUpError


async def silent(request):
    """Never answer."""
    await asyncio.Event().wait()


async def invalid(request):
    """Answer with an invalid list."""
    return Response(200, b'{"held": 5}')


async def load(*handlers):
    """Return the parts by engine, with one engine for each handler."""
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


class TestKeptPartsLoader:
    """Test the calls to the engines."""

    def test_bounds_the_number_of_queried_engines(self):
        """One instance queries at most ``MAX_ENGINES`` engines."""
        learned = asyncio.run(load(*[listed] * (MAX_ENGINES + 5)))
        assert len(learned) == MAX_ENGINES

    @pytest.mark.parametrize('broken', [refused, hung_up, silent, invalid])
    def test_failing_engine_does_not_affect_others(self, broken):
        """A failing engine does not affect the answer of another one."""
        learned = asyncio.run(load(broken, listed))
        assert list(learned) == ['e-1']
        assert learned['e-1'].pieces == hash_parts(Prompt(PARTS))
        assert learned['e-1'].unread == 0
