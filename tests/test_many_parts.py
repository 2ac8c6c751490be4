"""Test prompts of very many parts."""

import asyncio
import tracemalloc
from itertools import chain, repeat, starmap

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.fleet import running_fleet
from siskinpass.connection.held_bytes import hold_limits
from siskinpass.connection.request_reader import request_cost
from siskinpass.platform.headers import decode_call
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.cache_map import CacheMap
from siskinpass.process.fleet.tickets import MIN_PIECE_TOKENS, hash_parts
from siskinpass.request.inbound import Prompt, PromptPart, WireRequest
from siskinpass.request.ticket import (
    PromptPiece,
    PromptPlaced,
    ServersListed,
    ServerView,
)
from tests.test_endless_answers import peak_bytes
from tests.test_large_prompts import put_config

SERVERS = 6
PARTS = 1700  # that a head has room for
REQUESTS = 600
AT_ONCE = 8
MAX_BYTES = 100_000_000
ENGINE = {'slots': 128, 'kv-capacity-tokens': 668_607}
PART = st.tuples(
    st.sampled_from('abcd'), st.sampled_from([0, 1, MIN_PIECE_TOKENS])
)


def prompt(parts):
    """Return a prompt of named parts."""
    return Prompt(tuple(starmap(PromptPart, parts)))


class TestPieces:
    """Test what is remembered of a prompt."""

    @pytest.mark.parametrize('tokens', [0, 1, 7, MIN_PIECE_TOKENS])
    def test_length_bounds_them(self, tokens):
        """Guards against work and memory that grow with the parts."""
        given_parts = [(str(number), tokens) for number in range(PARTS)]
        pieces = hash_parts(prompt(given_parts))
        assert len(pieces) <= tokens * PARTS / MIN_PIECE_TOKENS + 2
        assert sum(piece.tokens for piece in pieces) == tokens * PARTS

    @given(st.lists(PART), st.lists(PART), st.lists(PART))
    def test_same_beginnings_share_them(self, shared, first, second):
        """Whatever follows, but for less than a piece at the end."""
        begun = hash_parts(prompt([*shared, ('own', 1)]))[:-1]
        if begun and begun[-1].tokens < MIN_PIECE_TOKENS:
            begun = begun[:-1]
        for rest in (first, second):
            pieces = hash_parts(prompt([*shared, *rest, ('own', 1)]))
            assert pieces[: len(begun)] == begun

    @given(st.lists(PART, min_size=1), st.lists(PART, min_size=1))
    def test_other_prompts_have_others(self, first, second):
        """Prompts whose pieces are the same have the same parts."""
        if hash_parts(prompt(first)) == hash_parts(prompt(second)):
            assert [name for name, _ in first] == [name for name, _ in second]


class TestMap:
    """Test the bound on what is remembered of all servers."""

    def test_oldest_parts_of_all_servers_give_way(self):
        """Guards against memory that grows with the number of servers."""
        cache = CacheMap(10**9, max_parts=100)
        names = [f'i-{number}' for number in range(SERVERS)]
        for key in range(1000):
            for name in names:
                cache.record(name, (PromptPiece(key, 1),))
        known = [
            key
            for key in range(1000)
            for name in cache.holders((PromptPiece(key, 1),))
        ]
        assert 50 < len(known) <= 100
        assert min(known) > 950

    def test_servers_that_leave_make_room(self):
        """Their parts count no longer."""
        cache = CacheMap(10**9, max_parts=100)
        for number in range(50):
            cache.record('gone', (PromptPiece(number, 1),))
        cache.remove_server('gone')
        for number in range(100):
            cache.record('i-1', (PromptPiece(number, 1),))
        assert cache.cached_tokens('i-1', (PromptPiece(0, 1),)) == 1

    @pytest.mark.parametrize('memory_mb', [160, 300, 3000])
    def test_memory_bounds_them(self, memory_mb):
        """What callers hold and what is remembered have their own shares."""
        limits = hold_limits(memory_mb)
        remembered = limits.prompt_parts * 250
        assert limits.budget_bytes + remembered <= 0.4 * memory_mb * 10**6

    def test_announcement_without_parts_is_read(self):
        """It books work, and there is no part to weigh zones for."""
        broker = Broker(BrokerPolicy(zone='a'))
        server = ServerView('i-0', '127.0.0.1:9000', 'lm', zone='b')
        broker.apply(ServersListed((server,)), 0.0)
        broker.apply(PromptPlaced('i-0', (), 1000), 0.0)
        assert broker.table.find('i-0').prefill.backlog_s(0, 0.0) > 0


class TestMemory:
    """Test what prompts in progress and real processes hold."""

    @pytest.mark.parametrize('parts', [0, 1, 3, PARTS])
    def test_parsed_parts_are_booked(self, parts):
        """Guards against memory that the account of callers does not see."""
        entries = b','.join(b'%x:1' % number for number in range(parts))
        request = WireRequest(
            b'POST', b'/x', ((b'X-Prompt-Prefix', entries),) if parts else ()
        )
        tracemalloc.start()
        try:
            call = decode_call(request)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(call.prompt.parts) == parts
        assert held <= request_cost(request)

    def test_many_small_parts_leave_little_behind(self):
        """Guards against instances that are ended for their memory."""

        async def scenario():
            async with running_fleet(2, SERVERS) as fleet:
                await put_config(fleet, ENGINE)
                numbers = iter(range(REQUESTS))
                names = chain.from_iterable(repeat(tuple(fleet.processes)))

                await asyncio.gather(
                    *(send_all(fleet, numbers, names) for _ in range(AT_ONCE))
                )
                assert len(fleet.runs) > REQUESTS / 2
                for process in fleet.processes.values():
                    assert peak_bytes(process.pid) < MAX_BYTES

        asyncio.run(asyncio.wait_for(scenario(), 120))


async def send_all(fleet, numbers, names):
    """Send a request for each number to the next instance."""
    for number in numbers:
        answer = await fleet.ask(
            '/once/x',
            name=next(names),
            more=many_parts(number),
            call=f'c-{number}',
        )
        # The servers count as busy with so many prompts.
        assert answer.status in {200, 503}


def many_parts(number):
    """Return the header of a prompt that shares no part with another."""
    first = 100_000 + number * PARTS
    parts = ','.join(f'{first + one:x}:1' for one in range(PARTS))
    return f'X-Token-Count: {PARTS},5\r\nX-Prompt-Prefix: {parts}\r\n'
