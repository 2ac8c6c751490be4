"""Test that a claimed request runs at most once in every interleaving."""

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
    """Return a claim written at 100 s."""
    return Claim(nonce, digest, state, 100.0, status)


class TestDecideClaim:
    """Test the decision for each state of an existing claim."""

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
        """The claim's state, owner, digest and age determine the action."""
        decision = decide_claim(found, 'mine', 'd', age_s, 60.0)
        assert (decision.action, decision.code) == (action, code)

    def test_stored_claim_reads_back(self):
        """A claim is equal after serialization and parsing."""
        stored = claim('n', ClaimState.done, status=200)
        assert Claim.load(stored.dump()) == stored


class ModelCaller:
    """Model of one attempt: create, read back if unsure, run, settle."""

    def __init__(self, nonce):
        """Start before the first write."""
        self.nonce = nonce
        self.step = 'create'
        self.version = 0

    def advance(self, store, runs, *, lost):
        """Take one step on the model store.

        ``lost`` hides the confirmation of a write from the writer.
        """
        getattr(self, self.step)(store, runs, lost)

    def create(self, store, runs, lost):
        """Create the claim if there is none."""
        if store['claim'] is None:
            self.write(store, ClaimState.open)
            self.step = 'read_back' if lost else 'run'
        else:
            self.step = 'read_back'

    def read_back(self, store, runs, lost):
        """Read the claim and follow the decision."""
        found = store['claim']
        decision = decide_claim(found, self.nonce, 'd', 1.0, 60.0)
        if decision.action is ClaimAction.run:
            self.step = 'run'
        elif decision.action is ClaimAction.take_over:
            self.version = store['version']
            self.step = 'replace_claim'
        else:
            self.step = 'end'

    def replace_claim(self, store, runs, lost):
        """Replace a claim whose request did not run, if it is unchanged."""
        if store['version'] == self.version:
            self.write(store, ClaimState.open)
            self.step = 'read_back' if lost else 'run'
        else:
            self.step = 'end'

    def run(self, store, runs, lost):
        """Run the request; here ``lost`` means a refusal before it ran."""
        if not lost:
            runs.append(self.nonce)
        self.step = 'settle_not_run' if lost else 'settle_done'

    def settle_not_run(self, store, runs, lost):
        """Record that the request did not run."""
        self.write(store, ClaimState.not_run)
        self.step = 'end'

    def settle_done(self, store, runs, lost):
        """Record that the request ran."""
        self.write(store, ClaimState.done, 200)
        self.step = 'end'

    def write(self, store, state, status=0):
        """Write a claim with this caller's nonce."""
        store['claim'] = claim(self.nonce, state, status=status)
        store['version'] += 1

    def end(self, store, runs, lost):
        """Do nothing, as the attempt is over."""


def run_interleaving(choices):
    """Run one interleaving and return the callers that ran the request."""
    store = {'claim': None, 'version': 0}
    runs = []
    callers = [ModelCaller('one'), ModelCaller('two')]
    for index, lost in choices:
        callers[index].advance(store, runs, lost=lost)
    return runs


class TestInterleavings:
    """Test every order of eight steps, with each confirmation kept or lost."""

    def test_at_most_once(self):
        """Two attempts with the same key never both run."""
        steps = tuple(itertools.product((0, 1), (False, True)))
        seen = set()
        for choices in itertools.product(steps, repeat=8):
            runs = run_interleaving(choices)
            assert len(runs) <= 1, choices
            seen.add(tuple(runs))
        assert {(), ('one',), ('two',)} <= seen
