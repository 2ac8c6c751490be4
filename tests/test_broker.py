"""Test the decisions of a broker, by example and as a state machine."""

from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from siskinpass.codes import Code
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.limits import LimitPolicy
from siskinpass.request.ticket import (
    ClockTicked,
    EntryLost,
    Granted,
    GrantReleased,
    GrantReported,
    Moved,
    Paused,
    Refused,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
    TicketWithdrawn,
    TokensObserved,
)

FIXED = LimitPolicy(start=2, minimum=2, maximum=2)


def ticket(name, tier=0, at_s=0.0, **more):
    """Return a ticket with default settings, but for those given."""
    usual = Ticket(
        name, 'entry-1', 'lm', f'w/tier{tier}', tier, at_s, 1.0, 30.0,
    )  # fmt: skip
    return replace(usual, **more)


def broker(servers=2, **policy):
    """Return a broker of backend servers with two slots each.

    :param policy: fields of the ``BrokerPolicy``.
    """
    policy.setdefault('limit', FIXED)
    made = Broker(BrokerPolicy(**policy))
    made.apply(ServersListed(views(servers)), 0.0)
    return made


def views(count, **more):
    """Return views of backend servers ``server-0``, ``server-1`` and so on."""
    return tuple(
        ServerView(f'server-{number}', f'127.0.0.1:{number}', 'lm', **more)
        for number in range(count)
    )


def granted(commands):
    """Return the ids of the granted tickets."""
    return [
        command.ticket_id
        for command in commands
        if isinstance(command, Granted)
    ]


class TestOrder:
    """Test the order in which tickets are granted."""

    def test_upper_tier_goes_first(self):
        """A tier 0 request is granted before earlier tier 5 requests."""
        made = broker(servers=1, pauses=False, reserve_floor=0)
        for number in range(4):
            made.apply(TicketOpened(ticket(f'd{number}', 5)), 0.0)
        made.apply(TicketOpened(ticket('c', 0, 0.5)), 0.5)
        assert granted(made.apply(GrantReleased('d0'), 1.0)) == ['c']

    def test_earliest_deadline_goes_first_within_a_tier(self):
        """Within a tier the deadline decides, not the order of arrival."""
        made = broker(servers=1, pauses=False)
        for name in ('a', 'b'):
            made.apply(TicketOpened(ticket(name)), 0.0)
        made.apply(TicketOpened(ticket('late', target_s=9.0)), 0.0)
        made.apply(TicketOpened(ticket('soon', target_s=0.5)), 0.1)
        assert granted(made.apply(GrantReleased('a'), 0.2)) == ['soon']

    def test_late_ticket_yields_to_timely_ticket(self):
        """Under overload, tickets that can still meet their target go first."""
        made = broker(servers=1, pauses=False)
        for name in ('a', 'b'):
            made.apply(TicketOpened(ticket(name)), 0.0)
        made.apply(TicketOpened(ticket('late', at_s=0.0)), 0.0)
        made.apply(TicketOpened(ticket('timely', at_s=1.5)), 1.5)
        assert granted(made.apply(GrantReleased('a'), 2.0)) == ['timely']
        assert granted(made.apply(GrantReleased('b'), 2.1)) == ['late']

    def test_share_prevents_starvation_of_lower_tier(self):
        """Tier 5 requests are granted under constant load from tier 0."""
        made = broker(servers=1, pauses=False)
        started = set()
        for number in range(200):
            now_s = number / 10
            upper = ticket(f'c{number}', 0, now_s)
            started.update(granted(made.apply(TicketOpened(upper), now_s)))
            if number % 20 == 0:
                lower = ticket(f'd{number}', 5, now_s, share=0.1)
                started.update(
                    granted(made.apply(TicketOpened(lower), now_s)),
                )
            for name in tuple(started)[:1]:
                started.discard(name)
                after = made.apply(GrantReleased(name), now_s)
                started.update(granted(after))
        waiting = [
            found.ticket_id for found in made._waiting if found.tier == 5
        ]
        assert len(waiting) < 3

    def test_lower_stream_is_paused_for_an_upper_request(self):
        """A stream is paused for an upper request and resumed later."""
        made = broker(servers=1, reserve_floor=0)
        for name in ('d0', 'd1'):
            made.apply(TicketOpened(ticket(name, 5)), 0.0)
        commands = made.apply(TicketOpened(ticket('c', 0, 1.0)), 1.0)
        paused = [
            command for command in commands if isinstance(command, Paused)
        ]
        assert len(paused) == 1
        held = paused[0].ticket_id
        assert granted(made.apply(GrantReleased(held), 1.1)) == ['c']
        made.apply(
            TicketOpened(ticket(f'{held}x', 5, resumed=True)),
            1.2,
        )
        # The slot is reserved for tier 0 until its recent peak of demand has
        # left the sliding window.
        assert not made.apply(GrantReleased('c'), 2.0)
        assert granted(made.apply(ClockTicked(), 30.0)) == [f'{held}x']

    def test_upper_stream_is_never_paused_for_a_lower_one(self):
        """A lower request does not preempt an upper stream."""
        made = broker(servers=1)
        for name in ('c0', 'c1'):
            made.apply(TicketOpened(ticket(name, 0)), 0.0)
        assert not made.apply(TicketOpened(ticket('d', 5)), 1.0)

    def test_one_stream_is_paused_per_waiting_request(self):
        """Later ticks do not pause more streams for the same request."""
        made = broker(servers=2)
        for number in range(4):
            made.apply(TicketOpened(ticket(f'd{number}', 5)), 0.0)
        commands = made.apply(TicketOpened(ticket('c', 0, 1.0)), 1.0)
        for tick in range(5):
            commands += made.apply(ClockTicked(), 1.1 + tick / 20)
        assert len(commands) == 1


class TestProbing:
    """Test how a failed server is probed before it gets requests again."""

    def test_tokens_of_the_probe_reopen_the_server(self):
        """Tokens of the probe request end the probing before it completes."""
        made = broker(servers=1, limit=LimitPolicy(4, 4, 4), pauses=False)
        made.apply(TicketOpened(ticket('a')), 0.0)
        made.apply(GrantReleased('a', failed=True), 0.1)
        opened = [TicketOpened(ticket(name, 0, 1.0)) for name in 'bcd']
        probe = made.apply_all(opened, 1.0)
        assert [command.ticket_id for command in probe] == ['b']
        seen = made.apply(TokensObserved('server-0', 0.01), 1.1)
        assert [command.ticket_id for command in seen] == ['c', 'd']

    def test_tokens_during_ejection_do_not_end_probing(self):
        """Tokens of older streams do not end the ejection or the probing."""
        made = broker(servers=1, limit=LimitPolicy(4, 4, 4), pauses=False)
        made.apply(TicketOpened(ticket('a')), 0.0)
        made.apply(GrantReleased('a', failed=True), 0.1)
        made.apply(TokensObserved('server-0', 0.01), 0.11)
        opened = [TicketOpened(ticket(name, 0, 1.0)) for name in 'bcd']
        assert len(made.apply_all(opened, 1.0)) == 1


class TestAdmission:
    """Test which tickets are refused."""

    def test_lowest_tier_is_shed_first(self):
        """A full queue sheds a tier 5 request for a tier 0 request."""
        made = broker(servers=1, max_queued=2, pauses=False)
        for number in range(4):
            made.apply(TicketOpened(ticket(f'd{number}', 5)), 0.0)
        commands = made.apply(TicketOpened(ticket('c', 0, 1.0)), 1.0)
        assert commands[0].code is Code.shed_for_upper_tier
        assert commands[0].ticket_id.startswith('d')
        assert 'c' in made._waiting

    def test_upper_tier_is_not_shed_for_a_lower_one(self):
        """A tier 5 request is refused if the queue is full of tier 0."""
        made = broker(servers=1, max_queued=2, pauses=False)
        for number in range(4):
            made.apply(TicketOpened(ticket(f'c{number}', 0)), 0.0)
        commands = made.apply(TicketOpened(ticket('d', 5, 1.0)), 1.0)
        assert [(one.ticket_id, one.code) for one in commands] == [
            ('d', Code.queue_full),
        ]

    def test_ticket_is_refused_if_expected_wait_is_too_long(self):
        """The refusal is immediate and carries a retry delay."""
        made = broker(servers=1, pauses=False)
        now_s = 0.0
        for number in range(12):
            made.apply(TicketOpened(ticket(f'c{number}', 0, now_s)), now_s)
            if number >= 2:
                made.apply(GrantReleased(f'c{number - 2}'), now_s + 0.2)
            now_s += 0.25
        for number in range(60):
            made.apply(TicketOpened(ticket(f'w{number}', 0, now_s)), now_s)
        hasty = ticket('hasty', 0, now_s, max_wait_s=1.0)
        refusal = made.apply(TicketOpened(hasty), now_s)[0]
        assert refusal.code is Code.wait_too_long
        assert refusal.retry_after_ms > 200

    def test_expired_ticket_is_refused_on_tick(self):
        """A ticket is refused on the first tick after its maximum wait."""
        made = broker(servers=0)
        made.apply(TicketOpened(ticket('c', max_wait_s=2.0)), 0.0)
        assert not made.apply(ClockTicked(), 1.9)
        refusal = made.apply(ClockTicked(), 2.0)[0]
        assert (refusal.ticket_id, refusal.code) == ('c', Code.wait_too_long)

    def test_resumed_stream_is_never_refused(self):
        """A full queue or a long wait does not refuse a resumed stream."""
        made = broker(servers=0, max_queued=0)
        begun = ticket('c', max_wait_s=0.1, resumed=True)
        assert not made.apply(TicketOpened(begun), 5.0)
        assert not made.apply(ClockTicked(), 60.0)


class TestServers:
    """Test which backend server a ticket gets."""

    def test_leaving_server_gets_nothing(self):
        """A leaving backend server gets no new tickets."""
        made = broker(servers=1)
        made.apply(ServersListed(views(1, leaving=True)), 0.0)
        assert not made.apply(TicketOpened(ticket('c')), 0.0)

    def test_failed_server_is_ejected_then_probed(self):
        """A failed server gets one request once its ejection has ended."""
        made = broker(servers=1)
        made.apply(TicketOpened(ticket('a')), 0.0)
        made.apply(GrantReleased('a', failed=True), 0.0)
        assert not made.apply(TicketOpened(ticket('b')), 0.1)
        assert not made.apply(TicketOpened(ticket('c')), 0.1)
        assert len(granted(made.apply(ClockTicked(), 1.0))) == 1

    def test_slow_server_gets_only_a_probe(self):
        """A server with slow tokens keeps at most one slot, as a probe."""
        made = broker(
            servers=3, limit=LimitPolicy(start=4, minimum=2, maximum=4)
        )
        for _ in range(8):
            made.apply(TokensObserved('server-0', 0.2), 1.0)
            made.apply(TokensObserved('server-1', 0.02), 1.0)
            made.apply(TokensObserved('server-2', 0.02), 1.0)
        made.apply(ClockTicked(), 1.1)
        given = [
            command.server
            for number in range(12)
            for command in made.apply(
                TicketOpened(ticket(f'c{number}', 0, 1.1)),
                1.1,
            )
        ]
        assert given.count('server-0') <= 1
        assert len(given) >= 8

    def test_stream_leaves_a_slow_server(self):
        """A stream is moved if the slow server misses its token target."""
        made = broker(
            servers=2, limit=LimitPolicy(start=4, minimum=2, maximum=4)
        )
        fast = ticket('fast', token_s=0.06)
        tolerant = ticket('patient', 5, token_s=0.9)
        for one in (fast, tolerant):
            made.apply(GrantReported(one, 'server-0'), 0.0)
        for _ in range(8):
            made.apply(TokensObserved('server-0', 0.2), 1.0)
            made.apply(TokensObserved('server-1', 0.02), 1.0)
        commands = made.apply(ClockTicked(), 1.1)
        assert commands == [Moved('fast', 'entry-1')]
        assert not made.apply(ClockTicked(), 1.2)

    def test_prefix_returns_to_the_server_that_cached_it(self):
        """A ticket is placed on the server that served its prefix before."""
        made = broker(servers=2)
        first = made.apply(TicketOpened(ticket('a', prefix=7)), 0.0)[0]
        made.apply(GrantReleased('a'), 0.1)
        made.apply(TicketOpened(ticket('x')), 0.2)
        again = made.apply(TicketOpened(ticket('b', prefix=7)), 0.3)[0]
        assert again.server == first.server

    def test_reported_grant_counts(self):
        """A broker that took over accounts for the slots already in use."""
        made = broker(servers=1)
        for name in ('a', 'b'):
            made.apply(GrantReported(ticket(name), 'server-0'), 0.0)
        assert not made.apply(TicketOpened(ticket('c')), 0.1)
        assert granted(made.apply(GrantReleased('a'), 0.2)) == ['c']

    def test_lost_entry_frees_its_slots(self):
        """The slots of a lost entry are granted to other entries."""
        made = broker(servers=1)
        for name in ('a', 'b'):
            made.apply(TicketOpened(ticket(name, entry='entry-2')), 0.0)
        made.apply(TicketOpened(ticket('c')), 0.1)
        assert granted(made.apply(EntryLost('entry-2'), 0.2)) == ['c']


class BrokerMachine(RuleBasedStateMachine):
    """Drive a broker with arbitrary events and check its invariants."""

    @initialize(
        servers=st.integers(1, 3),
        slots=st.integers(1, 3),
        max_queued=st.integers(2, 10),
    )
    def start(self, servers, slots, max_queued):
        """Create a broker with some backend servers."""
        self.limit = LimitPolicy(start=slots, minimum=1, maximum=slots)
        self.policy = BrokerPolicy(limit=self.limit, max_queued=max_queued)
        self.broker = Broker(self.policy)
        self.now_s = 0.0
        self.number = 0
        self.waiting = {}
        self.held = {}
        self.leaving = False
        self.listed = servers
        self.apply(ServersListed(views(servers)))

    def apply(self, event):
        """Apply an event and check every resulting command."""
        for command in self.broker.apply(event, self.now_s):
            self.check_command(command)

    def check_command(self, command):
        """Check one command against the model and update the model."""
        name = command.ticket_id
        if isinstance(command, Granted):
            assert name in self.waiting, 'granted a ticket that is not waiting'
            assert not self.leaving, 'a leaving server got work'
            self.held[name] = (self.waiting.pop(name), command.server)
        elif isinstance(command, Refused):
            assert name in self.waiting, 'refused a ticket that is not waiting'
            refused = self.waiting.pop(name)
            assert not refused.resumed, 'refused a resumed stream'
            if command.code is Code.shed_for_upper_tier:
                # A resumed stream is never shed, whatever its tier.
                lowest = max(
                    [
                        other.tier
                        for other in self.waiting.values()
                        if not other.resumed
                    ],
                    default=0,
                )
                assert refused.tier >= lowest, (
                    'shed a ticket while a lower tier waited'
                )
            assert command.retry_after_ms > 0
        elif isinstance(command, Moved):
            assert self.held[name][0].pausable, (
                'moved a stream that may not be resumed'
            )
        else:
            paused = self.held[name][0]
            uppers = [other.tier for other in self.waiting.values()]
            assert min(uppers) < paused.tier, (
                'paused without a waiting upper tier'
            )
            assert paused.pausable

    @rule(
        tier=st.integers(0, 6),
        share=st.sampled_from((0.0, 0.05, 0.3)),
        pausable=st.booleans(),
        resumed=st.booleans(),
        max_wait_s=st.sampled_from((0.5, 5.0, 60.0)),
    )
    def open(self, tier, share, pausable, resumed, max_wait_s):
        """Open a ticket with arbitrary properties."""
        self.number += 1
        made = ticket(
            f't{self.number}',
            tier,
            self.now_s,
            share=share,
            pausable=pausable,
            resumed=resumed,
            max_wait_s=max_wait_s,
        )
        self.waiting[made.ticket_id] = made
        self.apply(TicketOpened(made))

    @precondition(lambda self: self.held)
    @rule(pick=st.integers(0, 1000), failed=st.booleans())
    def release(self, pick, failed):
        """Release any granted slot."""
        name = sorted(self.held)[pick % len(self.held)]
        self.held.pop(name)
        self.apply(GrantReleased(name, failed))

    @precondition(lambda self: self.waiting)
    @rule(pick=st.integers(0, 1000))
    def withdraw(self, pick):
        """Withdraw any waiting ticket."""
        name = sorted(self.waiting)[pick % len(self.waiting)]
        self.waiting.pop(name)
        self.apply(TicketWithdrawn(name))

    @rule(step=st.floats(0.01, 10))
    def tick(self, step):
        """Advance the clock."""
        self.now_s += step
        self.apply(ClockTicked())

    @rule(server=st.integers(0, 2), token_s=st.floats(0.001, 1))
    def observe(self, server, token_s):
        """Report the token time of a server."""
        self.apply(TokensObserved(f'server-{server}', token_s))

    @rule(leaving=st.booleans())
    def relist(self, leaving):
        """Mark all servers as leaving, or as back in service."""
        self.leaving = leaving
        self.apply(ServersListed(views(self.listed, leaving=leaving)))

    @invariant()
    def counts_agree(self):
        """No ticket is lost: each waits, holds a slot or was answered."""
        assert self.broker.waiting == len(self.waiting)
        assert self.broker.running == len(self.held)

    @invariant()
    def limits_are_respected(self):
        """No backend server has more grants than its limit."""
        counts = {}
        for _, server in self.held.values():
            counts[server] = counts.get(server, 0) + 1
        assert max(counts.values(), default=0) <= self.limit.maximum

    @invariant()
    def queue_is_bounded(self):
        """Only resumed streams may wait beyond ``max_queued``."""
        fresh = [one for one in self.waiting.values() if not one.resumed]
        assert len(fresh) <= self.policy.max_queued


TestBrokerMachine = BrokerMachine.TestCase
