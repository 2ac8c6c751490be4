"""Test the bounds on decisions while many requests wait."""

import pytest

from siskinpass.process.broker import MAX_LOOKS, Broker
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.look_budget import (
    LOOKS_PER_S,
    MAX_SAVED_LOOKS,
    LookBudget,
)
from siskinpass.request.ticket import (
    ClockTicked,
    Granted,
    GrantReleased,
    PrefillCompleted,
    PromptPiece,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)

KV_CAPACITY_TOKENS = 600_000


class CountingChooser:
    """Chooser that counts how many servers were looked at."""

    def __init__(self, chooser):
        self.looks = 0
        self._chooser = chooser

    def __call__(self, table, ticket):
        self.looks += table.size
        return self._chooser(table, ticket)


def overloaded(servers, waiting):
    """Return a broker with waiting tickets, its chooser and running ids."""
    policy = fleet_policy(KV_CAPACITY_TOKENS)
    broker = Broker(policy)
    chooser = CountingChooser(policy.chooser)
    broker.table._chooser = chooser
    views = tuple(
        ServerView(f'e-{n}', '1.1.1.1:1', 'lm', slots=24)
        for n in range(servers)
    )
    broker.apply(ServersListed(views), 0.0)
    opened = [TicketOpened(prompt(number)) for number in range(waiting)]
    commands = broker.apply_all(opened, 0.0)
    for tick in range(1, 40):
        commands += broker.apply(ClockTicked(), tick * 0.001)
    running = [one.ticket_id for one in commands if isinstance(one, Granted)]
    return broker, chooser, running


def prompt(number, tier=2):
    """Return the ticket of a long prompt that shares nothing."""
    return Ticket(
        f't-{number}',
        '',
        'lm',
        'r',
        tier,
        opened_s=0.0,
        target_s=2.5,
        max_wait_s=6.0,
        pausable=False,
        pieces=(PromptPiece(number, 13_300), PromptPiece(10**6 + number, 3700)),
        tokens_in=17_000,
    )


class TestLookBudget:
    """Test the budget itself."""

    def test_grows_with_the_time_up_to_a_limit(self):
        """What was spent comes back, but no more than the limit."""
        budget = LookBudget()
        assert budget.take(int(MAX_SAVED_LOOKS), 0.0)
        assert not budget.take(1, 0.0)
        assert budget.take(int(LOOKS_PER_S / 10), 0.1)
        assert not budget.take(int(MAX_SAVED_LOOKS) + 1, 100.0)


class TestOverload:
    """Test a broker whose engines are all full."""

    @pytest.mark.parametrize('servers', [6, 56, 150])
    def test_looks_do_not_grow_with_the_events(self, servers):
        """A thousand events within a second try a bounded number of tickets."""
        broker, chooser, running = overloaded(servers, 10 * servers)
        chooser.looks = 0
        for number, ticket_id in enumerate(running[:500]):
            broker.apply(PrefillCompleted(f'none-{ticket_id}'), 0.04)
            broker.apply(GrantReleased(f'none-{number}'), 0.04)
        allowed = MAX_SAVED_LOOKS + LOOKS_PER_S
        assert chooser.looks <= allowed + 2 * MAX_LOOKS * servers

    def test_all_waiting_tickets_take_turns(self):
        """A ticket behind others whose servers are full is tried, too."""
        broker, _, _ = overloaded(56, 300)
        tried = set()
        for _ in range(60):
            candidates = broker._candidates(2, 10)
            tried.update(ticket.ticket_id for ticket in candidates[:10])
        first = broker._waiting.next_tickets(2, 64)
        assert {ticket.ticket_id for ticket in first} <= tried

    def test_upper_tier_is_tried_at_once(self):
        """A new ticket that none goes before does not wait for a tick."""
        broker, _, _ = overloaded(56, 600)
        broker._looks.take(int(MAX_SAVED_LOOKS), 0.05)
        upper = prompt(9999, tier=0)
        commands = broker.apply(TicketOpened(upper), 0.05)
        assert [one.ticket_id for one in commands] == ['t-9999']
