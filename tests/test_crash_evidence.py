"""Test which prompt parts are blamed for crashes of backend servers."""

import random
from itertools import combinations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.process.blocked_parts import (
    BLOCK_S,
    MAX_BLOCKED,
    MIN_RENEWAL_S,
    RENEW_S,
    BlockedParts,
    BlockList,
)
from siskinpass.process.crash_evidence import (
    BEGUN_WEIGHT,
    MAX_REQUESTS,
    REQUEST_CRASHES,
    WAITING_WEIGHT,
    BrokenRequest,
    CrashEvidence,
)
from siskinpass.request.identity import PREFIX

SECOND_MS = 1000
RUN_MS = 200
BAD = 'bad'
REQUEST = f'{PREFIX}0a1b'


def broken(number, *parts, weight=BEGUN_WEIGHT, sent_ms=None, server=''):
    """Return the request that the crash of a number cut off."""
    sent_ms = number * SECOND_MS if sent_ms is None else sent_ms
    return BrokenRequest(
        f'{parts}',
        server or f'i-{number}',
        parts,
        weight,
        sent_ms,
        number * SECOND_MS + RUN_MS,
    )


class TestBlame:
    """Test what is blamed after some crashes."""

    @pytest.mark.parametrize(
        ('crashes', 'weight', 'is_blamed'),
        [
            (2, BEGUN_WEIGHT, False),
            (3, BEGUN_WEIGHT, True),
            (4, WAITING_WEIGHT, False),
            (5, WAITING_WEIGHT, True),
        ],
    )
    def test_number_of_crashes(self, crashes, weight, is_blamed):
        """Fewer are needed if the answers had begun."""
        known = CrashEvidence()
        known.merge(
            broken(number, BAD, f'p{number}', weight=weight)
            for number in range(crashes)
        )
        assert (known.blamed(BAD) == {BAD}) is is_blamed

    @pytest.mark.parametrize(
        ('crashes', 'is_blamed'),
        [(REQUEST_CRASHES - 1, False), (REQUEST_CRASHES, True)],
    )
    def test_one_request_in_all_crashes(self, crashes, is_blamed):
        """A request that comes again is blamed before any of its parts."""
        known = CrashEvidence()
        known.merge(
            broken(number, REQUEST, 'sys', weight=WAITING_WEIGHT)
            for number in range(crashes)
        )
        known.clear(['sys'])
        assert known.count(REQUEST) == crashes
        assert (known.blamed(REQUEST) == {REQUEST}) is is_blamed

    def test_requests_beside_it_are_not_blamed(self):
        """Each crash may cut off others that have nothing in common."""
        known = CrashEvidence()
        for number in range(REQUEST_CRASHES):
            beside = f'{REQUEST}-{number}'
            for name in (REQUEST, beside):
                known.merge([broken(number, name, weight=WAITING_WEIGHT)])
        assert known.blamed(REQUEST) == {REQUEST}
        assert not known.blamed(f'{REQUEST}-0')

    @pytest.mark.parametrize('is_explained', [False, True])
    def test_crashes_that_others_explain(self, is_explained):
        """Sound parts beside two causes of crashes are not blamed for both."""
        known = CrashEvidence()
        known.merge([
            broken(1, BAD, 'subject'),
            broken(2, BAD, 'subject'),
            broken(3, 'subject'),
            broken(3, REQUEST),
            broken(4, BAD, 'other'),
        ])
        if is_explained:
            known.explain([frozenset((BAD,))])
        assert (known.blamed('subject') == {'subject'}) is not is_explained
        assert known.count(BAD) == 3

    @pytest.mark.parametrize(
        ('others', 'blamed'), [(2, {'sys', BAD}), (3, {'sys'})]
    )
    def test_crashes_by_two_parts_are_not_blamed_on_a_third(
        self, others, blamed
    ):
        """The other crashes must suffice by themselves."""
        known = CrashEvidence()
        known.merge(broken(number, 'sys', BAD) for number in range(3))
        known.merge(broken(9 + number, 'sys') for number in range(others))
        assert known.blamed('sys') == blamed
        assert known.blamed(BAD) == {'sys', BAD}

    @pytest.mark.parametrize(('one', 'other'), tuple(combinations('abcdef', 2)))
    def test_all_choose_the_same_of_two_combinations(self, one, other):
        """The outcome depends only on the crashes that are known."""
        known = CrashEvidence()
        known.merge([
            broken(1, 'sys', other, one),
            broken(2, 'sys', one, other),
            broken(3, 'sys', other),
            broken(4, 'sys', one),
        ])
        assert known.blamed('sys') == {'sys', one}

    def test_equal_evidence_hides_no_cause(self):
        """A sound request blocked first does not explain its neighbour's."""
        known = CrashEvidence()
        for number in range(REQUEST_CRASHES):
            for name in (REQUEST, f'{REQUEST}-beside'):
                known.merge([broken(number, name, weight=WAITING_WEIGHT)])
        known.explain([frozenset((f'{REQUEST}-beside',))])
        assert known.blamed(REQUEST) == {REQUEST}

    def test_answered_request_is_not_blamed(self):
        """An answer shows that none of the crashes before was its fault."""
        known = CrashEvidence()
        for number in range(2 * REQUEST_CRASHES):
            known.merge([broken(number, REQUEST, weight=WAITING_WEIGHT)])
            known.clear([REQUEST] if number % 2 else ())
        assert not known.blamed(REQUEST)

    def test_servers_that_end_together_count_once(self):
        """Requests that were open at the same time show nothing more."""
        known = CrashEvidence()
        known.merge(
            broken(5, BAD, sent_ms=sent_ms, server=f'i-{sent_ms}')
            for sent_ms in range(10)
        )
        assert not known.blamed(BAD)

    def test_one_crash_of_many_requests_counts_once(self):
        """A server's end counts once, however many requests it cut off."""
        known = CrashEvidence()
        known.merge(broken(1, BAD, f'p{number}') for number in range(9))
        assert not known.blamed(BAD)

    def test_answer_that_goes_on_clears_its_parts(self):
        """Earlier crashes no longer speak against them, later ones do."""
        known = CrashEvidence()
        known.merge(broken(number, 'sys') for number in range(2))
        assert known.clear(('sys', 'other')) == (('sys', 'i-0'), ('sys', 'i-1'))
        assert not known.clear(('sys',))
        known.merge(broken(number, 'sys') for number in range(2, 4))
        assert not known.blamed('sys')
        known.merge((broken(4, 'sys'),))
        assert known.blamed('sys') == {'sys'}

    def test_parts_in_all_prompts_are_blamed_together(self):
        """A prompt with only one of them is not to blame."""
        known = CrashEvidence()
        known.merge(
            broken(number, 'sys', BAD, f'p{number}') for number in range(3)
        )
        assert known.blamed(BAD) == {'sys', BAD}
        assert known.blamed('sys') == {'sys', BAD}
        assert not known.blamed('p1')
        cleared = known.clear(('sys',))
        assert known.parts_beside(cleared) == {BAD, 'p0', 'p1', 'p2'}
        assert known.blamed(BAD) == {BAD}
        assert not known.blamed('sys')

    def test_memory_is_bounded(self):
        """The oldest crashes are forgotten."""
        known = CrashEvidence()
        known.merge(broken(number, BAD) for number in range(3))
        known.merge(
            broken(number + 3, f'p{number}') for number in range(MAX_REQUESTS)
        )
        assert not known.blamed(BAD)
        assert not known.servers(BAD)

    @given(st.permutations(range(8)), st.data())
    def test_order_of_reports_does_not_matter(self, order, data):
        """Instances that heard the same in another order blame the same."""
        reports = [
            broken(number, BAD, 'sys' if number % 2 else 'other')
            for number in range(6)
        ]
        cleared = [('sys', 'i-1'), (BAD, 'i-2')]
        repeated = data.draw(st.sampled_from(range(8)))
        first, second = CrashEvidence(), CrashEvidence()
        for known, numbers in (
            (first, range(8)),
            (second, (*order, repeated)),
        ):
            for number in numbers:
                if number < len(reports):
                    known.merge((reports[number],))
                else:
                    known.merge_cleared((cleared[number - len(reports)],))
        for part in (BAD, 'sys', 'other'):
            assert first.blamed(part) == second.blamed(part)


class TestBlockList:
    """Test how long parts stay blocked."""

    def test_blocks_prompts_with_all_parts(self):
        """A prompt that lacks one of them is not refused."""
        blocks = BlockList()
        one = BlockedParts(frozenset(('a', 'b')), 10.0)
        assert blocks.merge((one,), 10.0) == (one,)
        assert blocks.find(('b', 'c', 'a'), 11.0) == one
        assert blocks.find(('a', 'c'), 11.0) is None

    def test_ends_after_the_last_request(self):
        """A later request prolongs it, an earlier report does not."""
        blocks = BlockList()
        parts = frozenset(('a',))
        blocks.merge((BlockedParts(parts, 100.0),), 100.0)
        blocks.merge((BlockedParts(parts, 200.0),), 200.0)
        assert not blocks.merge((BlockedParts(parts, 150.0),), 200.0)
        assert blocks.find(('a',), 199.0 + BLOCK_S)
        assert not blocks.find(('a',), 200.0 + BLOCK_S)

    @pytest.mark.parametrize(
        ('asked_s', 'is_news'),
        [
            (100.0, False),
            (100.0 + MIN_RENEWAL_S, True),
            (1e12, True),  # by a clock that is wrong
        ],
    )
    def test_renewal(self, asked_s, is_news):
        """Small differences of the time are not news."""
        blocks = BlockList()
        parts = frozenset(('a',))
        now_s = 100.0 + RENEW_S
        blocks.merge((BlockedParts(parts, 100.0),), now_s)
        news = blocks.merge((BlockedParts(parts, asked_s),), now_s)
        assert bool(news) is is_news
        assert blocks.find(('a',), now_s).at_s <= now_s

    @pytest.mark.parametrize(
        'given',
        [
            BlockedParts(frozenset(), 100.0),
            BlockedParts(frozenset(('a',)), 1.0),
        ],
    )
    def test_ignores_what_blocks_everything_or_has_expired(self, given):
        """No parts at all would match every prompt."""
        blocks = BlockList()
        assert not blocks.merge((given,), 10 * BLOCK_S)
        assert blocks.find(('a',), 10 * BLOCK_S) is None

    def test_number_is_bounded(self):
        """The parts that were asked for longest ago are dropped."""
        blocks = BlockList()
        blocks.merge(
            (
                BlockedParts(frozenset((str(number),)), float(number))
                for number in range(1, MAX_BLOCKED + 2)
            ),
            500.0,
        )
        assert len(blocks.current(500.0)) == MAX_BLOCKED
        assert blocks.find(('1',), 500.0) is None


class Fleet:
    """Model of instances that exchange what they saw, with losses.

    :ivar crashes: number of servers that ended.
    :ivar sent: requests with the part that were sent to servers.
    """

    def __init__(self, instances, loss, rng):
        self._rng = rng
        self._loss = loss
        self._known = [CrashEvidence() for _ in range(instances)]
        self._blocks = [BlockList() for _ in range(instances)]
        self.crashes = 0
        self.sent = 0

    def restart(self):
        """Restart one instance, which reads the blocks from the store."""
        number = self._rng.randrange(len(self._known))
        self._known[number] = CrashEvidence()

    def ask(self, now_ms, parts):
        """Handle one request at a random instance; return whether it ran."""
        own = self._rng.randrange(len(self._known))
        if self._blocks[own].find(parts, now_ms / SECOND_MS):
            return False
        if BAD in parts:
            self._crash(own, now_ms, parts)
        else:
            self._tell(own, lambda known: known.clear(parts), now_ms, parts)
        return True

    def _crash(self, own, now_ms, parts):
        self.crashes += 1
        self.sent += 1
        one = BrokenRequest(
            str(self.crashes),
            f'i-{self.crashes}',
            parts,
            BEGUN_WEIGHT,
            now_ms - RUN_MS,
            now_ms,
        )
        self._tell(own, lambda known: known.merge((one,)), now_ms, parts)

    def _tell(self, own, apply, now_ms, parts):
        for number, known in enumerate(self._known):
            is_lost = self._rng.random() < self._loss
            if number == own or not is_lost:
                apply(known)
                self._block(known, now_ms, parts)

    def _block(self, known, now_ms, parts):
        blamed = [known.blamed(part) for part in parts]
        found = [one for one in blamed if one]
        for blocks in self._blocks if found else ():
            blocks.merge(
                (BlockedParts(one, now_ms / SECOND_MS) for one in found),
                now_ms / SECOND_MS,
            )


class TestFleet:
    """Test a model of a fleet under requests with one part that crashes."""

    @pytest.mark.parametrize('instances', [1, 9, 200])
    @pytest.mark.parametrize(
        ('loss', 'restart_share'), [(0, 0), (0.3, 0), (0.1, 0.2)]
    )
    @pytest.mark.parametrize('seed', range(3))
    def test_budget_and_sound_requests(
        self, instances, loss, restart_share, seed
    ):
        """Few servers end, and sound requests with the other parts go on."""
        rng = random.Random(seed)
        fleet = Fleet(instances, loss, rng)
        refused = 0
        for step in range(1, 120):
            now_ms = 1_000_000 + step * 400
            subject = f'subject-{rng.randrange(4)}'
            own = f'rare-{step}'
            fleet.ask(now_ms, ('sys', BAD, subject, own))
            refused += not fleet.ask(now_ms + 100, ('sys', subject, own))
            if rng.random() < restart_share:
                fleet.restart()
        assert fleet.crashes <= 8
        assert not refused
