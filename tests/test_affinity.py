"""Play loads against the placement of prompts and look at who goes where."""

from collections import Counter

import pytest

from siskinpass.process.affinity import AffinityPolicy
from siskinpass.process.broker import Broker
from siskinpass.process.cache_map import CacheMap
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.reading import READ_TOKENS_S
from siskinpass.request.ticket import (
    ClockTicked,
    Granted,
    GrantReleased,
    PeerLoadsReported,
    PrefillCompleted,
    PromptPiece,
    PromptPlaced,
    ServerLoad,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)

MEMORY = 600_000
SERVERS = tuple(
    ServerView(f'e-{n}', '1.1.1.1:1', 'lm', slots=64) for n in range(5)
)
MORE = tuple(
    ServerView(f'm-{n}', '1.1.1.1:1', 'lm', slots=64) for n in range(3)
)
PLAIN = tuple(
    ServerView(f's-{n}', '1.1.1.1:1', 'app', slots=6) for n in range(3)
)


def broker(servers=SERVERS):
    """Return a broker that places by cost."""
    made = Broker(fleet_policy(MEMORY))
    made.apply(ServersListed(servers), 0.0)
    return made


def prompt(number, shared, *, shared_tokens=13_300, own=3_700, **more):
    """Return the ticket of a long prompt that shares its first part."""
    pieces = (
        PromptPiece(shared, shared_tokens),
        PromptPiece(10**6 + number, own),
    )
    fields = {
        'tier': 2,
        'target_s': 2.5,
        'max_wait_s': 6.0,
        'pausable': False,
        'pieces': pieces,
        'tokens_in': shared_tokens + own,
        'opened_s': 0.0,
    }
    return Ticket(f't-{number}', '', 'lm', 'r', **(fields | more))


def tight(number, **more):
    """Return the ticket of a short prompt whose stream has a tight pause."""
    return prompt(
        number,
        number % 7,
        shared_tokens=350,
        own=1100,
        tier=0,
        target_s=0.5,
        is_tight=True,
        **more,
    )


def grants(commands):
    """Return the servers by ticket."""
    return {
        command.ticket_id: command.server
        for command in commands
        if isinstance(command, Granted)
    }


class TestPlacement:
    """Test single choices."""

    def test_shared_part_is_read_once(self):
        """Prompts with the same part go where it is cached."""
        made = broker()
        placed = {}
        for number in range(30):
            now_s = float(number)
            ticket = prompt(number, number % 3, opened_s=now_s)
            placed |= grants(made.apply(TicketOpened(ticket), now_s))
            made.apply(GrantReleased(ticket.ticket_id), now_s + 0.5)
        by_part = {
            part: {placed[f't-{number}'] for number in range(part, 30, 3)}
            for part in range(3)
        }
        assert [len(servers) for servers in by_part.values()] == [1, 1, 1]
        assert len(set.union(*by_part.values())) == 3

    def test_parts_that_others_placed_are_known(self):
        """What another instance placed draws the next prompt there."""
        made = broker()
        ticket = prompt(1, 5)
        told = PromptPlaced('e-3', ticket.pieces[:1], 13_300)
        made.apply(told, 0.0)
        # Its reading is over by then.
        assert grants(made.apply(TicketOpened(ticket), 2.0)) == {'t-1': 'e-3'}

    def test_loads_of_others_count(self):
        """A server that others load is passed over."""
        made = broker()
        busy = ServerLoad(40, 0, (0, 0, 40_000))
        loads = {f'e-{n}': busy for n in range(5) if n != 2}
        made.apply(PeerLoadsReported(loads), 0.0)
        placed = grants(made.apply(TicketOpened(prompt(1, 1)), 0.0))
        assert placed == {'t-1': 'e-2'}

    def test_failing_plain_server_gets_little(self):
        """A server whose answers are errors is left for the others."""
        made = broker(PLAIN)
        placed = []
        for number in range(60):
            ticket = Ticket(
                f't-{number}',
                '',
                'app',
                'r',
                1,
                number,
                0.2,
                1.0,
                pausable=False,
            )
            server = grants(made.apply(TicketOpened(ticket), number))
            placed.extend(server.values())
            server_error = server[ticket.ticket_id] == 's-0'
            made.apply(
                GrantReleased(ticket.ticket_id, server_error=server_error),
                number,
            )
        assert placed.count('s-0') < 10

    def test_server_that_failed_is_tried_again(self):
        """A server that got nothing for a while is one of the others."""
        made = broker()
        for number in range(10):
            made.apply(TicketOpened(prompt(number, number)), 0.0)
        for number in range(10):
            ended = GrantReleased(f't-{number}', server_error=number % 2 == 0)
            made.apply(ended, 0.1)
        troubled = [one for one in made.table.servers if one.trouble > 0]
        assert troubled
        for server in troubled:
            assert server.trouble_at(20.0) < 0.01 * server.trouble

    def test_restarted_server_has_nothing_cached(self):
        """A new incarnation of a server knows no parts."""
        made = broker()
        made.apply(PromptPlaced('e-3', (PromptPiece(5, 13_300),), 0), 0.0)
        again = tuple(
            ServerView(
                view.name,
                view.address,
                view.pool,
                slots=64,
                incarnation=int(view.name == 'e-3'),
            )
            for view in SERVERS
        )
        made.apply(ServersListed(again), 1.0)
        assert not made.table.cache.cached('e-3', [PromptPiece(5, 13_300)])


class TestLoads:
    """Play loads and check what callers get."""

    def test_long_prompts_keep_off_the_lane(self):
        """In a mixed load no long prompt is read beside tight streams."""
        made = broker()
        long_at, tight_at = set(), set()
        for number in range(120):
            now_s = number * 0.1
            is_tight = number % 2 == 0
            make = tight if is_tight else prompt
            ticket = (
                make(number, opened_s=now_s)
                if is_tight
                else make(number, number, opened_s=now_s)
            )
            placed = grants(made.apply(TicketOpened(ticket), now_s))
            (tight_at if is_tight else long_at).update(placed.values())
            made.apply(PrefillCompleted(ticket.ticket_id), now_s)
            made.apply(GrantReleased(ticket.ticket_id), now_s + 0.05)
        assert len(long_at) >= 3
        assert not long_at & tight_at

    def test_prompts_of_tight_streams_are_spread(self):
        """A burst of tight streams is not read in one step."""
        made = broker()
        burst = [TicketOpened(tight(number)) for number in range(6)]
        assert len(grants(made.apply_all(burst, 0.0))) == 1
        waited = 0
        for tick in range(1, 100):
            waited += len(grants(made.apply(ClockTicked(), tick * 0.02)))
        assert waited == 5

    def test_urgent_prompts_pass_a_backlog(self):
        """In a burst of drafts an upper tier does not wait for them."""
        made = broker()
        drafts = [TicketOpened(prompt(n, n)) for n in range(60)]
        first = grants(made.apply_all(drafts, 0.0))
        assert 0 < len(first) < 60
        upper = prompt(99, 99, tier=1, target_s=0.8, opened_s=0.01)
        placed = grants(made.apply(TicketOpened(upper), 0.01))
        assert list(placed) == ['t-99']

    def test_lane_grows_to_engines_that_read_long_prompts(self):
        """An engine that has read long prompts takes its share of a burst."""
        made = broker()
        for number in range(40):
            made.apply(TicketOpened(prompt(number, number)), number * 0.1)
            made.apply(GrantReleased(f't-{number}'), number * 0.1 + 0.05)
        placed = Counter()
        unread = {}
        for number in range(100, 200):
            now_s = 4.5 + (number - 100) * 0.03
            ticket = tight(number, opened_s=now_s)
            granted = grants(made.apply(TicketOpened(ticket), now_s))
            placed.update(granted.values())
            unread |= dict.fromkeys(granted, now_s)
            for read in [one for one in unread if unread[one] < now_s - 0.2]:
                made.apply(PrefillCompleted(read), now_s)
                unread.pop(read)
        assert len(placed) == 2
        assert min(placed.values()) > 0.4 * placed.total()

    def test_short_prompts_leave_a_busy_home(self):
        """A burst over one shared part is spread over the lane."""
        made = broker((*SERVERS, *MORE))
        placed = []
        for number in range(8):
            ticket = tight(7 * number, opened_s=0.0)
            placed.extend(
                grants(made.apply(TicketOpened(ticket), 0.0)).values(),
            )
        assert len(placed) == 2
        assert len(set(placed)) == 2

    def test_upper_tier_goes_where_less_is_read(self):
        """Drafts that an engine reads count for a review as well."""
        made = broker()
        drafts = ServerLoad(1, 0, (0, 0, 20_000))
        loads = {view.name: drafts for view in SERVERS if view.name != 'e-3'}
        made.apply(PeerLoadsReported(loads), 0.0)
        placed = [
            grants(made.apply(TicketOpened(prompt(n, n, tier=1)), 0.0))
            for n in range(3)
        ]
        assert 'e-3' in placed[0].values()

    def test_upper_tier_waits_for_its_own_backlog(self):
        """Reviews in a burst are placed no further ahead than drafts."""
        made = broker()
        reviews = [
            TicketOpened(prompt(n, n, tier=1, target_s=0.8)) for n in range(60)
        ]
        assert len(grants(made.apply_all(reviews, 0.0))) < 60
        policy = AffinityPolicy()
        for server in made.table.servers:
            ahead_s = server.reading.ahead_s(1, 0.0)
            assert ahead_s <= policy.ahead_s + 17_000 / READ_TOKENS_S

    def test_tight_streams_leave_engines_that_do_not_read(self):
        """What an engine has unread of their tier is bounded as well."""
        made = broker(SERVERS[:2])
        policy = AffinityPolicy()
        stuck = ServerLoad(40, 40, (policy.unread_most + 1,))
        loads = {view.name: stuck for view in SERVERS[:2]}
        made.apply(PeerLoadsReported(loads), 0.0)
        ticket = tight(1, opened_s=0.0)
        assert not grants(made.apply(TicketOpened(ticket), 0.0))
        assert not grants(made.apply(ClockTicked(), 1.0))

    def test_backlog_at_an_engine_is_bounded(self):
        """What waits here keeps its order; an engine gets little ahead."""
        made = broker()
        drafts = [TicketOpened(prompt(n, n)) for n in range(200)]
        made.apply_all(drafts, 0.0)
        policy = AffinityPolicy()
        for server in made.table.servers:
            ahead_s = server.reading.ahead_s(2, 0.0)
            assert ahead_s <= policy.ahead_s + 17_000 / READ_TOKENS_S

    @pytest.mark.parametrize('lost', range(5))
    def test_any_server_may_be_lost(self, lost):
        """With one server gone all kinds of requests are still placed."""
        made = broker(SERVERS[:lost] + SERVERS[lost + 1 :])
        both = [TicketOpened(tight(1)), TicketOpened(prompt(2, 2))]
        assert set(grants(made.apply_all(both, 0.0))) == {'t-1', 't-2'}


class TestCacheMap:
    """Test what is taken as cached."""

    def test_chain_needs_all_parts_before(self):
        """A part counts only behind the parts before it."""
        cache = CacheMap(MEMORY)
        first, second = PromptPiece(1, 100), PromptPiece(2, 50)
        cache.note('e', (second,))
        assert cache.cached('e', (first, second)) == 0
        cache.note('e', (first,))
        assert cache.cached('e', (first, second)) == 150
        assert cache.cached('other', (first, second)) == 0

    def test_least_recently_used_parts_yield(self):
        """The memory of an engine bounds what is taken as cached."""
        cache = CacheMap(1000)
        pieces = [PromptPiece(key, 100) for key in range(8)]
        for piece in pieces:
            cache.note('e', (piece,))
            cache.note('e', pieces[:1])
        kept = [piece.key for piece in pieces if cache.cached('e', (piece,))]
        # A part of the memory is left to running requests.
        assert kept == [0, 2, 3, 4, 5, 6, 7]
