"""Test committing edits to a store that loses confirmations."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.codes import Code
from siskinpass.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnconfirmedError,
    TreeError,
)
from siskinpass.process.store import StoredObject
from siskinpass.version.edit import ConflictError
from siskinpass.version.repository import HEAD, Proposal, TreeRepository


class FakeStore:
    """In-memory object store whose writes fail as planned."""

    def __init__(self, plan=()):
        """Start empty.

        ``plan`` lists the outcome of each write: ``ok``; ``lost``, done but
        not confirmed; ``before``, neither done nor confirmed; or ``down``, an
        error. Writes after the end of the plan succeed.
        """
        self.objects = {}
        self.version = 0
        self.plan = list(plan)
        self.writes = 0

    async def read(self, key):
        """Return an object, or None where there is none."""
        return self.objects.get(key)

    async def create(self, key, body):
        """Write an object that must not exist yet."""
        return self.put(key, body, None)

    async def replace(self, key, body, version):
        """Write an object that must have the given version."""
        return self.put(key, body, version)

    def put(self, key, body, version):
        """Write an object with the next outcome of the plan."""
        step = self.plan.pop(0) if self.plan else 'ok'
        self.writes += 1
        if step == 'down':
            raise StoreError(Code.store_down)
        if step == 'before':
            raise StoreUnconfirmedError(Code.edit_unconfirmed)
        found = self.objects.get(key)
        if (found.version if found else None) != version:
            raise StoreConflictError(Code.tree_conflict)
        self.version += 1
        self.objects[key] = StoredObject(self.version, body)
        if step == 'lost':
            raise StoreUnconfirmedError(Code.edit_unconfirmed)
        return self.version


def tree(**tiers):
    """Return a tree with a workspace of one class for each name."""
    return {
        'deployment': 'x',
        'settings': {},
        'pools': {'lm': {'kind': 'engine', 'models': ['m1']}},
        'workspaces': {
            name: {'settings': {}, 'classes': {'c': {'tier': tier}}, 'keys': []}
            for name, tier in tiers.items()
        },
    }


def repository(store):
    """Return a repository with a fixed time."""
    return TreeRepository(store, lambda: 'then')


def propose(store, base, wanted):
    """Commit a tree through a new repository and return its version."""
    return asyncio.run(repository(store).propose(Proposal(base, wanted)))


class TestPropose:
    """Test when an edit is accepted and which result is reported."""

    @given(st.lists(st.sampled_from(('ok', 'lost', 'before', 'down'))))
    def test_result_agrees_with_the_store(self, plan):
        """A reported success or failure agrees with the stored version."""
        store = FakeStore()
        propose(store, 0, tree(a=1))
        store.plan = list(plan)
        try:
            version = propose(store, 1, tree(a=2))
        except StoreUnconfirmedError:
            return
        except StoreError:
            store.plan = []
            assert _in_force(store).number == 1
            return
        store.plan = []
        found = _in_force(store)
        assert (version.number, found.number) == (2, 2)
        assert found.tree.class_settings('a', 'c').tier == 2

    def test_lost_confirmation_is_found_by_nonce(self):
        """An edit whose confirmation was lost is not applied twice."""
        store = FakeStore()
        propose(store, 0, tree(a=1))
        # Part, manifest and head are written in this order.
        store.plan = ['ok', 'ok', 'lost']
        assert propose(store, 1, tree(a=2)).number == 2
        assert _in_force(store).number == 2

    def test_disjoint_edits_are_rebased(self):
        """Two edits of different nodes from the same base both apply."""
        store = FakeStore()
        propose(store, 0, tree(a=1, b=1))
        propose(store, 1, tree(a=2, b=1))
        assert propose(store, 1, tree(a=1, b=2)).number == 3
        found = _in_force(store).tree
        assert found.class_settings('a', 'c').tier == 2
        assert found.class_settings('b', 'c').tier == 2

    def test_conflicting_edit_is_refused(self):
        """The second edit of a node fails and names the first change."""
        store = FakeStore()
        propose(store, 0, tree(a=1))
        propose(store, 1, tree(a=2))
        with pytest.raises(ConflictError) as caught:
            propose(store, 1, tree(a=3))
        change = caught.value.theirs[0]
        assert (change.path, change.new) == ('workspaces/a/classes/c/tier', 2)

    def test_faulty_tree_writes_nothing(self):
        """A tree with faults is rejected before any write."""
        store = FakeStore()
        with pytest.raises(TreeError):
            propose(store, 0, tree(a=99))
        assert not store.objects

    def test_small_edit_writes_little(self):
        """An edit of one workspace writes only its part, manifest and head."""
        store = FakeStore()
        wide = {f'w{number}': 1 for number in range(200)}
        propose(store, 0, tree(**wide))
        store.writes = 0
        repository_with_cache = repository(store)
        asyncio.run(repository_with_cache.read())
        asyncio.run(
            repository_with_cache.propose(
                Proposal(1, tree(**{**wide, 'w7': 2}))
            )
        )
        assert store.writes == 3

    def test_head_stays_small(self):
        """The head stays small for any number of workspaces and edits."""
        store = FakeStore()
        wide = {f'w{number}': 1 for number in range(300)}
        propose(store, 0, tree(**wide))
        for number in range(1, 60):
            propose(store, number, tree(**{**wide, 'w7': number % 9}))
        assert len(store.objects[HEAD].body) < 20_000

    def test_earlier_version_is_read(self):
        """Versions in the history are readable, for a rollback."""
        store = FakeStore()
        propose(store, 0, tree(a=1))
        propose(store, 1, tree(a=2))
        found = asyncio.run(repository(store).tree_at(1))
        assert found['workspaces']['a']['classes']['c']['tier'] == 1
        with pytest.raises(TreeError):
            asyncio.run(repository(store).tree_at(9))


def _in_force(store):
    return asyncio.run(repository(store).read())
