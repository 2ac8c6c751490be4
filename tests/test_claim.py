"""Test that a claimed request runs at most once, over all interleavings."""

import itertools

import pytest

from siskinpass.codes import Code
from siskinpass.request.claim import (
    Claim,
    ClaimAction,
    ClaimState,
    decide_claim,
)


def claim(nonce, state=ClaimState.open, digest='d', status=0):
    """Return a claim."""
    return Claim(nonce, digest, state, 100.0, status)


class TestJudge:
    """Test the verdict for each state of a claim."""

    @pytest.mark.parametrize(
        ('found', 'age_s', 'action', 'code'),
        [
            (claim('mine'), 1, ClaimAction.run, None),
            (claim('other'), 1, ClaimAction.refuse, Code.claim_in_progress),
            (claim('other'), 99, ClaimAction.refuse, Code.outcome_unknown),
            (claim('mine', digest='x'), 1, ClaimAction.refuse, Code.key_reused),
            (
                claim('other', ClaimState.not_run),
                1,
                ClaimAction.take_over,
                None,
            ),
            (
                claim('other', ClaimState.done, status=200),
                1,
                ClaimAction.replay,
                None,
            ),
            (
                claim('other', ClaimState.done),
                1,
                ClaimAction.refuse,
                Code.already_ran,
            ),
            (
                claim('other', ClaimState.unknown),
                1,
                ClaimAction.refuse,
                Code.outcome_unknown,
            ),
        ],
    )
    def test_table(self, found, age_s, action, code):
        """Each state has one truthful verdict."""
        decision = decide_claim(found, 'mine', 'd', age_s, 60.0)
        assert (decision.action, decision.code) == (action, code)

    def test_stored_claim_reads_back(self):
        """A claim survives the store."""
        made = claim('n', ClaimState.done, status=200)
        assert Claim.load(made.dump()) == made


class Caller:
    """Model one attempt: create, read back where unsure, run, settle."""

    def __init__(self, nonce):
        """Start before the first write."""
        self.nonce = nonce
        self.step = 'create'
        self.version = 0

    def advance(self, store, runs, *, lost):
        """Take one step on the model store; ``lost`` hides a confirmation."""
        getattr(self, self.step)(store, runs, lost)

    def create(self, store, runs, lost):
        """Create the claim where there is none."""
        if store['claim'] is None:
            self.write(store, ClaimState.open)
            self.step = 'look' if lost else 'run'
        else:
            self.step = 'look'

    def look(self, store, runs, lost):
        """Read the claim and follow the verdict."""
        found = store['claim']
        decision = decide_claim(found, self.nonce, 'd', 1.0, 60.0)
        if decision.action is ClaimAction.run:
            self.step = 'run'
        elif decision.action is ClaimAction.take_over:
            self.version = store['version']
            self.step = 'take'
        else:
            self.step = 'end'

    def take(self, store, runs, lost):
        """Replace a claim that did not run, by its version."""
        if store['version'] == self.version:
            self.write(store, ClaimState.open)
            self.step = 'look' if lost else 'run'
        else:
            self.step = 'end'

    def run(self, store, runs, lost):
        """Run the request; lost stands for a refusal before it ran."""
        if not lost:
            runs.append(self.nonce)
        self.step = 'settle_not_run' if lost else 'settle_done'

    def settle_not_run(self, store, runs, lost):
        """Settle a request that did not run."""
        self.write(store, ClaimState.not_run)
        self.step = 'end'

    def settle_done(self, store, runs, lost):
        """Settle a request that ran."""
        self.write(store, ClaimState.done, 200)
        self.step = 'end'

    def write(self, store, state, status=0):
        """Write the claim as this caller's."""
        store['claim'] = claim(self.nonce, state, status=status)
        store['version'] += 1

    def end(self, store, runs, lost):
        """Do nothing more."""


def explore(choices):
    """Run one interleaving and return how often the request ran."""
    store = {'claim': None, 'version': 0}
    runs = []
    callers = [Caller('one'), Caller('two')]
    for who, lost in choices:
        callers[who].advance(store, runs, lost=lost)
    return runs


class TestInterleavings:
    """Check every order of steps and every lost confirmation."""

    def test_at_most_once(self):
        """Two attempts with one key never both run."""
        moves = tuple(itertools.product((0, 1), (False, True)))
        seen = set()
        for choices in itertools.product(moves, repeat=8):
            runs = explore(choices)
            assert len(runs) <= 1, choices
            seen.add(tuple(runs))
        assert {(), ('one',), ('two',)} <= seen
