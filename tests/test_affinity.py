"""Test the placement of prompts on servers, alone and under load."""

from collections import Counter

import pytest

from siskinpass.process.affinity import AffinityPolicy
from siskinpass.process.broker import Broker
from siskinpass.process.cache_map import CacheMap
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.prefill import PREFILL_TOKENS_PER_S
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

KV_CAPACITY_TOKENS = 600_000
FEW_SLOTS = 12
SERVERS = tuple(
    ServerView(f'e-{n}', '1.1.1.1:1', 'lm', slots=64) for n in range(5)
)
EXTRA_SERVERS = tuple(
    ServerView(f'm-{n}', '1.1.1.1:1', 'lm', slots=64) for n in range(3)
)
PLAIN = tuple(
    ServerView(f's-{n}', '1.1.1.1:1', 'app', slots=6) for n in range(3)
)


def broker(servers=SERVERS):
    """Return a broker with the fleet policy, which places by cost."""
    made = Broker(fleet_policy(KV_CAPACITY_TOKENS))
    made.apply(ServersListed(servers), 0.0)
    return made


def prompt(number, shared, *, shared_tokens=13_300, own=3_700, **more):
    """Return the ticket of a long prompt.

    :param shared: key of its first part, which it shares with others.
    """
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
    """Return the ticket of a tight stream with a short prompt.

    A tight stream allows only short pauses between its tokens. Tickets whose
    numbers are equal modulo 7 share the first part of their prompt.
    """
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
    """Return the granted servers by ticket id."""
    return {
        command.ticket_id: command.server
        for command in commands
        if isinstance(command, Granted)
    }


class TestPlacement:
    """Test the choice of a server."""

    def test_shared_part_is_prefilled_once(self):
        """Prompts that share a part go to the server that has it cached."""
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

    def test_parts_placed_by_peers_are_known(self):
        """A part that another instance placed attracts the next prompt."""
        made = broker()
        ticket = prompt(1, 5)
        event = PromptPlaced('e-3', ticket.pieces[:1], 13_300)
        made.apply(event, 0.0)
        # The server has finished the prefill of that prompt by then.
        assert grants(made.apply(TicketOpened(ticket), 2.0)) == {'t-1': 'e-3'}

    def test_peer_loads_count(self):
        """A server loaded by other instances is avoided."""
        made = broker()
        busy = ServerLoad(40, 0, (0, 0, 40_000))
        loads = {f'e-{n}': busy for n in range(5) if n != 2}
        made.apply(PeerLoadsReported(loads), 0.0)
        placed = grants(made.apply(TicketOpened(prompt(1, 1)), 0.0))
        assert placed == {'t-1': 'e-2'}

    def test_failing_plain_server_gets_few_requests(self):
        """A server that answers with errors gets few requests."""
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

    def test_failure_rate_decays_without_requests(self):
        """The failure rate of a server without requests decays.

        Otherwise it would still be avoided after it has recovered.
        """
        made = broker()
        for number in range(10):
            made.apply(TicketOpened(prompt(number, number)), 0.0)
        for number in range(10):
            ended = GrantReleased(f't-{number}', server_error=number % 2 == 0)
            made.apply(ended, 0.1)
        failing = [one for one in made.table.servers if one.failure_rate > 0]
        assert failing
        for server in failing:
            assert server.failure_rate_at(20.0) < 0.01 * server.failure_rate

    def test_restarted_server_has_nothing_cached(self):
        """A new incarnation of a server has an empty cache."""
        made = broker()
        made.apply(PromptPlaced('e-3', (PromptPiece(5, 13_300),), 0), 0.0)
        restarted = tuple(
            ServerView(
                view.name,
                view.address,
                view.pool,
                slots=64,
                incarnation=int(view.name == 'e-3'),
            )
            for view in SERVERS
        )
        made.apply(ServersListed(restarted), 1.0)
        assert not made.table.cache.cached_tokens(
            'e-3',
            [PromptPiece(5, 13_300)],
        )


class TestLoads:
    """Test placement under load."""

    def test_long_prompts_avoid_reserved_servers(self):
        """No engine gets both long prompts and tight streams."""
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

    def test_prompts_of_tight_streams_are_paced(self):
        """An engine does not prefill a burst of tight streams in one step."""
        made = broker()
        burst = [TicketOpened(tight(number)) for number in range(6)]
        assert len(grants(made.apply_all(burst, 0.0))) == 1
        waited = 0
        for tick in range(1, 100):
            waited += len(grants(made.apply(ClockTicked(), tick * 0.02)))
        assert waited == 5

    def test_upper_tier_bypasses_lower_tier_backlog(self):
        """An upper-tier prompt is placed at once in a lower-tier burst."""
        made = broker()
        lower_tier = [TicketOpened(prompt(n, n)) for n in range(60)]
        first = grants(made.apply_all(lower_tier, 0.0))
        assert 0 < len(first) < 60
        upper = prompt(99, 99, tier=1, target_s=0.8, opened_s=0.01)
        placed = grants(made.apply(TicketOpened(upper), 0.01))
        assert list(placed) == ['t-99']

    def test_reservation_grows_to_engines_with_long_prompts(self):
        """Tight streams get two engines, although long prompts ran before.

        Each of the two gets more than 40 % of the streams.
        """
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
        """A burst with one shared part is placed on two engines at once.

        The second engine is used although only the first has the part cached.
        """
        made = broker((*SERVERS, *EXTRA_SERVERS))
        placed = []
        for number in range(8):
            ticket = tight(7 * number, opened_s=0.0)
            placed.extend(
                grants(made.apply(TicketOpened(ticket), 0.0)).values(),
            )
        assert len(placed) == 2
        assert len(set(placed)) == 2

    def test_lower_tier_load_counts_for_upper_tier(self):
        """Unread prompts of a lower tier count for an upper tier as well."""
        made = broker()
        lower_tier = ServerLoad(1, 0, (0, 0, 20_000))
        loads = {
            view.name: lower_tier for view in SERVERS if view.name != 'e-3'
        }
        made.apply(PeerLoadsReported(loads), 0.0)
        placed = [
            grants(made.apply(TicketOpened(prompt(n, n, tier=1)), 0.0))
            for n in range(3)
        ]
        assert 'e-3' in placed[0].values()

    def test_upper_tier_backlog_is_bounded(self):
        """The backlog limit applies to upper tiers as well."""
        made = broker()
        upper_tier = [
            TicketOpened(prompt(n, n, tier=1, target_s=0.8)) for n in range(60)
        ]
        assert len(grants(made.apply_all(upper_tier, 0.0))) < 60
        policy = AffinityPolicy()
        for server in made.table.servers:
            backlog_s = server.prefill.backlog_s(1, 0.0)
            assert backlog_s <= policy.backlog_s + 17_000 / PREFILL_TOKENS_PER_S

    def test_stalled_engines_get_no_tight_streams(self):
        """Tight streams wait while engines have too many unread tokens."""
        made = broker(SERVERS[:2])
        policy = AffinityPolicy()
        stuck = ServerLoad(40, 40, (policy.max_unread_tokens + 1,))
        loads = {view.name: stuck for view in SERVERS[:2]}
        made.apply(PeerLoadsReported(loads), 0.0)
        ticket = tight(1, opened_s=0.0)
        assert not grants(made.apply(TicketOpened(ticket), 0.0))
        assert not grants(made.apply(ClockTicked(), 1.0))

    def test_backlog_of_an_engine_is_bounded(self):
        """Prompts beyond the backlog limit wait in the broker, in order."""
        made = broker()
        lower_tier = [TicketOpened(prompt(n, n)) for n in range(200)]
        made.apply_all(lower_tier, 0.0)
        policy = AffinityPolicy()
        for server in made.table.servers:
            backlog_s = server.prefill.backlog_s(2, 0.0)
            assert backlog_s <= policy.backlog_s + 17_000 / PREFILL_TOKENS_PER_S

    @pytest.mark.parametrize('lost', range(5))
    def test_any_server_may_be_lost(self, lost):
        """If any one engine is missing, both kinds of prompts are placed."""
        made = broker(SERVERS[:lost] + SERVERS[lost + 1 :])
        both = [TicketOpened(tight(1)), TicketOpened(prompt(2, 2))]
        assert set(grants(made.apply_all(both, 0.0))) == {'t-1', 't-2'}


class TestCacheMap:
    """Test which parts count as cached."""

    def test_part_counts_only_after_preceding_parts(self):
        """A part counts as cached only if all parts before it are cached."""
        cache = CacheMap(KV_CAPACITY_TOKENS)
        first, second = PromptPiece(1, 100), PromptPiece(2, 50)
        cache.record('e', (second,))
        assert cache.cached_tokens('e', (first, second)) == 0
        cache.record('e', (first,))
        assert cache.cached_tokens('e', (first, second)) == 150
        assert cache.cached_tokens('other', (first, second)) == 0

    def test_least_recently_used_parts_are_evicted(self):
        """Parts that exceed the cache capacity are evicted, oldest first."""
        cache = CacheMap(1000)
        pieces = [PromptPiece(key, 100) for key in range(8)]
        for piece in pieces:
            cache.record('e', (piece,))
            cache.record('e', pieces[:1])
        kept = [
            piece.key for piece in pieces if cache.cached_tokens('e', (piece,))
        ]
        # The cache holds 700 of the 1,000 tokens, the rest is for running
        # requests.
        assert kept == [0, 2, 3, 4, 5, 6, 7]


class TestSlots:
    """Test engines that run few requests at a time.

    Further requests would wait there out of the order of tiers, or preempt
    running ones, whose prompts then have to be prefilled again.
    """

    def overload(self):
        """Return a broker with more long prompts than its engines can run."""
        made = broker(
            tuple(
                ServerView(f'e-{n}', '1.1.1.1:1', 'lm', slots=FEW_SLOTS)
                for n in range(5)
            ),
        )
        for number in range(100):
            ticket = prompt(number, number % 9, opened_s=number * 0.1)
            commands = made.apply(TicketOpened(ticket), number * 0.1)
            commands += made.apply(ClockTicked(), number * 0.1 + 0.02)
            for ticket_id in grants(commands):
                made.apply(PrefillCompleted(ticket_id), number * 0.1 + 0.03)
        return made

    def test_long_prompts_wait_for_a_slot(self):
        """No engine gets more of them than it has slots."""
        made = self.overload()
        running = [server.load.running for server in made.table.servers]
        assert max(running) == FEW_SLOTS
        assert made.waiting

    def test_tight_stream_does_not_wait_behind_them(self):
        """It is placed at once, before the long prompts that wait."""
        made = self.overload()
        placed = grants(made.apply(TicketOpened(tight(999, opened_s=10.0)), 10))
        assert list(placed) == ['t-999']

    def test_reservation_follows_the_slots(self):
        """Tight streams get as many engines as have slots for all of them."""
        made = broker(
            tuple(
                ServerView(f'e-{n}', '1.1.1.1:1', 'lm', slots=FEW_SLOTS)
                for n in range(20)
            ),
        )
        placed = Counter()
        for number in range(80):
            now_s = number * 0.1
            ticket = tight(number, opened_s=now_s)
            commands = made.apply(TicketOpened(ticket), now_s)
            commands += made.apply(ClockTicked(), now_s + 0.05)
            placed.update(grants(commands).values())
            made.apply(PrefillCompleted(ticket.ticket_id), now_s + 0.06)
        assert placed.total() == 80
        assert max(placed.values()) <= FEW_SLOTS

    def test_freed_slot_goes_to_a_waiting_prompt(self):
        """A prompt that ended makes room for the next one."""
        made = self.overload()
        waiting = made.waiting
        made.apply(GrantReleased('t-0'), 10.1)
        for tick in range(20):
            made.apply(ClockTicked(), 10.2 + tick * 0.02)
        assert made.waiting < waiting
