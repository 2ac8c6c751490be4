"""Test where requests go under which backend servers have ended."""

import pytest

from siskinpass.process.broker import Broker
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.request.isolation import ServerEnded
from siskinpass.request.ticket import (
    Granted,
    GrantReleased,
    PeerLoadsReported,
    ServerLoad,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)

SERVERS = tuple(
    ServerView(f's-{number}', '1.1.1.1:1', 'app', slots=6, incarnation=1)
    for number in range(3)
)
BUSY = ServerLoad(running=1)


def ticket(number, crashes=0):
    """Return the ticket of a plain request."""
    return Ticket(
        f't{number}',
        '',
        'app',
        'r',
        tier=1,
        opened_s=0.0,
        target_s=0.2,
        max_wait_s=0.5,
        pausable=False,
        crashes=crashes,
    )


def broker(servers, loads):
    """Return a broker whose peers have placed some load."""
    made = Broker(fleet_policy(0))
    made.apply(ServersListed(servers), 0.0)
    made.apply(PeerLoadsReported(loads), 0.0)
    return made


def granted(made, opened, now_s=0.0):
    """Open a ticket and return its server, ``None`` if it waits."""
    for command in made.apply(TicketOpened(opened), now_s):
        if isinstance(command, Granted):
            return command.server
    return None


class TestIsolation:
    """Test requests that may crash their servers."""

    @pytest.mark.parametrize(
        ('crashes', 'servers', 'busy', 'expected'),
        [
            (0, 3, ('s-0', 's-1', 's-2'), {'s-0', 's-1', 's-2'}),
            (1, 3, ('s-0', 's-1'), {'s-2'}),
            (1, 3, ('s-0', 's-1', 's-2'), {'s-0', 's-1', 's-2'}),
            (2, 3, ('s-0', 's-1'), {'s-2'}),
            (2, 3, ('s-0', 's-1', 's-2'), {None}),
            (2, 1, (), {'s-0'}),
            (2, 1, ('s-0',), {None}),
        ],
    )
    def test_servers_with_other_requests(
        self, crashes, servers, busy, expected
    ):
        """The more crashes, the less is put at risk."""
        loads = dict.fromkeys(busy, BUSY)
        made = broker(SERVERS[:servers], loads)
        assert granted(made, ticket(1, crashes)) in expected

    @pytest.mark.parametrize(('crashes', 'expected'), [(1, 's-2'), (2, None)])
    def test_last_open_server(self, crashes, expected):
        """A request that was in two crashes may not end the last one."""
        made = broker(SERVERS, {})
        for server in SERVERS[:2]:
            made.apply(ServerEnded(server.name, 1), 0.0)
        assert granted(made, ticket(1, crashes)) == expected


class TestEndedServers:
    """Test servers that are known to have ended but are still listed."""

    def test_no_request_goes_to_an_ended_server(self):
        """Not even if the others are busy."""
        made = broker(SERVERS, dict.fromkeys(('s-1', 's-2'), BUSY))
        made.apply(ServerEnded('s-0', 1), 0.0)
        assert granted(made, ticket(1)) != 's-0'

    @pytest.mark.parametrize(
        ('incarnation', 'is_used'), [(1, False), (2, True)]
    )
    def test_next_process_of_a_server(self, incarnation, is_used):
        """One that has started again gets requests at once."""
        made = broker(SERVERS[:1], {})
        made.apply(ServerEnded('s-0', 1), 0.0)
        again = ServerView('s-0', '1.1.1.1:1', 'app', '', False, 6, incarnation)
        made.apply(ServersListed((again,)), 0.1)
        assert (granted(made, ticket(1), 0.1) == 's-0') is is_used

    def test_report_of_an_earlier_process(self):
        """A report that arrives late says nothing of the current process."""
        made = broker(SERVERS[:1], {})
        made.apply(ServerEnded('s-0', 0), 0.0)
        assert granted(made, ticket(1)) == 's-0'
        made.apply(GrantReleased('t1'), 0.1)
