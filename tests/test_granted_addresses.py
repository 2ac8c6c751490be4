"""Test that a granted slot can be used before its server is listed here.

Instances read the platform's list at different times. The one that runs the
broker may grant a server that the others have not read of yet; these sent
nothing, retried at once until they gave up, and blamed the server.
"""

import asyncio
from types import MappingProxyType, SimpleNamespace

import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError, ConnectError
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.codec import decode_command, encode_command
from siskinpass.process.run import RequestRun, RunContext
from siskinpass.request.call import Call
from siskinpass.request.retry import RetryBudget
from siskinpass.request.ticket import (
    Granted,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)
from siskinpass.version.schema import ClassSettings, Pool

SERVER = 'engine-1'
ADDRESS = '127.0.0.1:7001'
EARLIER_ADDRESS = '127.0.0.1:7000'


class GrantingDispatcher:
    """Grants every ticket a slot on one server."""

    def __init__(self, address: str) -> None:
        self._address = address

    def ask(self, ticket, listener):
        """Grant a slot at once."""
        listener.granted(
            Granted(ticket.ticket_id, 'entry-1', SERVER, address=self._address),
        )

    def release(self, pool, ticket_id, *, failed):
        """Accept the slot back."""


class RecordingPool:
    """Records the addresses it is asked to connect to, and fails."""

    def __init__(self) -> None:
        self.addresses = []

    async def connect(self, address, *, fresh):
        """Fail as if the server were unreachable."""
        self.addresses.append(address)
        raise ConnectError(Code.backend_unreachable, 'refused')


def whole_call() -> Call:
    """Return a request whose answer is not streamed."""
    return Call(
        workspace='centro',
        node='centro/counter',
        class_settings=ClassSettings(),
        pool=Pool(),
        path='/v1/completions',
        fields=MappingProxyType({}),
        body=b'{}',
        service_path='',
        stream=False,
        repeatable=True,
        idempotency_key='',
        prefix=0,
    )


async def tried_addresses(listed: str, granted: str) -> set[str]:
    """Return the addresses that a request tries.

    :param listed: address of the server in this instance's list.
    :param granted: address of the server in the grant.
    """
    backends = RecordingPool()
    context = RunContext(
        'entry-1',
        GrantingDispatcher(granted),
        backends,
        None,
        RetryBudget(),
        lambda code: None,
        lambda server: listed,
        sends_priority=True,
    )
    caller = SimpleNamespace(is_open=True)
    run = RequestRun(context, whole_call(), caller, 'r1', 0.0)
    with pytest.raises(BackendError):
        await run.answer(keep_alive=True)
    return set(backends.addresses)


@pytest.mark.parametrize(
    ('listed', 'granted', 'tried'),
    [
        pytest.param('', ADDRESS, {ADDRESS}, id='not listed here yet'),
        pytest.param(EARLIER_ADDRESS, ADDRESS, {EARLIER_ADDRESS}, id='listed'),
        pytest.param(ADDRESS, '', {ADDRESS}, id='broker of an earlier build'),
        pytest.param('', '', set(), id='known to nobody'),
    ],
)
def test_request_uses_the_address_of_its_grant(listed, granted, tried):
    """A slot on a server that is not listed here yet is used, not failed."""
    assert asyncio.run(tried_addresses(listed, granted)) == tried


def test_broker_names_the_address_of_the_server():
    """A grant holds the address that the broker's instance has read."""
    broker = Broker(BrokerPolicy())
    broker.apply(ServersListed((ServerView(SERVER, ADDRESS, 'lm'),)), 0.0)
    ticket = Ticket('t1', 'entry-2', 'lm', 'w/c', 0, 0.0, 1.0, 30.0)
    commands = broker.apply(TicketOpened(ticket), 0.0)
    assert [command.address for command in commands] == [ADDRESS]


@pytest.mark.parametrize('address', ['', ADDRESS])
def test_grant_keeps_its_address_between_instances(address):
    """The address of a grant is sent; one without an address is accepted."""
    grant = Granted('t1', 'entry-1', SERVER, address=address)
    sent = encode_command(grant).SerializeToString()
    received = pb.BrokerMessage.FromString(sent)
    assert decode_command(received, 'entry-1') == grant
