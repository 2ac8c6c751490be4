"""Test prompts that no server has room for."""

import asyncio

import pytest

from bench.fleet import config, route, running_fleet, wait_until
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.request.ticket import (
    Granted,
    GrantReleased,
    PromptPiece,
    PromptPlaced,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)

MEMORY_TOKENS = 1000
MOST_TOKENS = 2_147_483_647  # that a header may state
ENGINE = {'slots': 4, 'kv-capacity-tokens': MEMORY_TOKENS}
TOO_LARGE = {
    'one token': 'X-Token-Count: 1001,5\r\n',
    'the most': f'X-Token-Count: {MOST_TOKENS},{MOST_TOKENS}\r\n',
    'parts': 'X-Token-Count: 10,5\r\nX-Prompt-Prefix: aa:600,bb:401\r\n',
    'a part': f'X-Token-Count: 10,5\r\nX-Prompt-Prefix: aa:{MOST_TOKENS}\r\n',
}
LARGEST = 'X-Token-Count: 1000,5\r\nX-Prompt-Prefix: aa:600,bb:400\r\n'
SENT = 8
OWN_PART = (PromptPiece(2, 10),)


class TestRequests:
    """Test what callers get, with real processes."""

    @pytest.mark.parametrize('header', TOO_LARGE.values(), ids=TOO_LARGE)
    def test_too_large_ones_are_refused_and_others_are_served(self, header):
        """Guards against work that is booked for requests that never run."""

        async def scenario():
            async with running_fleet(2, 1) as fleet:
                await put_config(fleet, ENGINE)
                for number in range(SENT):
                    answer = await fleet.ask(
                        '/once/x', more=header, call=f'large-{number}'
                    )
                    assert answer.status == 503
                    assert answer.header('Retry-After')
                before = len(fleet.runs)
                for name in fleet.processes:
                    answer = await fleet.ask('/once/x', more=LARGEST, name=name)
                    assert answer.status == 200
                assert len(fleet.runs) == before + len(fleet.processes)

        asyncio.run(asyncio.wait_for(scenario(), 60))

    def test_counts_mean_nothing_to_services_without_engines(self):
        """Guards against callers who keep a plain service from all others."""

        async def scenario():
            async with running_fleet(2, 1) as fleet:
                await put_config(fleet, None)
                for number in range(SENT):
                    answer = await fleet.ask(
                        '/once/x', more=TOO_LARGE['the most'], call=f'{number}'
                    )
                    assert answer.status == 200
                for name in fleet.processes:
                    answer = await fleet.ask('/once/x', name=name)
                    assert answer.status == 200

        asyncio.run(asyncio.wait_for(scenario(), 60))


class TestBooking:
    """Test the work that is booked on a server."""

    def test_declined_prompt_is_taken_back_on_all_instances(self):
        """Guards against a server that is left idle for work it declined."""
        own, other = new_broker(), new_broker()
        ticket = new_ticket(MEMORY_TOKENS)
        granted = own.apply(TicketOpened(ticket), 1.0)[0]
        assert isinstance(granted, Granted)
        place(other, granted.pieces, granted.unread)
        assert backlog_s(own) > 0
        assert backlog_s(other) == backlog_s(own)
        own.apply(GrantReleased('t', server_error=True, is_declined=True), 1.0)
        place(other, granted.pieces, -granted.unread)
        assert backlog_s(own) == backlog_s(other) == 0

    def test_prompt_that_ran_is_not_taken_back(self):
        """Its prefill may go on, whatever the answer is."""
        broker = new_broker()
        broker.apply(TicketOpened(new_ticket(MEMORY_TOKENS)), 1.0)
        broker.apply(GrantReleased('t', server_error=True), 1.0)
        assert backlog_s(broker) > 0

    def test_parts_beyond_the_length_take_no_work_away(self):
        """A caller may state parts that are longer than the prompt."""
        broker = new_broker()
        pieces = (PromptPiece(1, MEMORY_TOKENS // 2),)
        place(broker, pieces, 0)
        granted = broker.apply(TicketOpened(new_ticket(1, pieces)), 1.0)[0]
        assert granted.unread == 0


def new_broker():
    """Return a broker with one server."""
    broker = Broker(BrokerPolicy(kv_capacity_tokens=MEMORY_TOKENS))
    server = ServerView('i-0', '127.0.0.1:9000', 'lm')
    broker.apply(ServersListed((server,)), 0.0)
    return broker


def new_ticket(tokens, pieces=OWN_PART):
    """Return a ticket of tier 0."""
    return Ticket(
        't', '', 'lm', 'r', 0, 0.0, 0.5, 5.0, pieces=pieces, tokens_in=tokens
    )


def place(broker, pieces, unread):
    """Apply another instance's announcement."""
    broker.apply(PromptPlaced('i-0', pieces, unread), 1.0)


def backlog_s(broker):
    """Return how long a new prompt waits."""
    return broker.table.find('i-0').prefill.backlog_s(0, 1.0)


async def put_config(fleet, engine):
    """Write a configuration and wait until all instances use it."""
    routes = [route('/once/', 'unsafe', {'sticky': engine is not None})]
    service = {'name': 'app', 'max-connections': 99}
    services = [service | ({'engine': engine} if engine else {})]
    await fleet.store.put(
        'config', 'main', config(9, routes) | {'services': services}
    )

    async def is_used():
        answers = [
            await fleet.ask('/safe/x', name=name) for name in fleet.processes
        ]
        return all(answer.status == 404 for answer in answers)

    await wait_until(is_used, 'the configuration')
