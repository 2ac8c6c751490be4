"""Test diffing trees and rebasing edits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.codes import Code
from siskinpass.exceptions import TreeError
from siskinpass.version.edit import (
    ConflictError,
    diff,
    get_node,
    rebase,
    set_leaf,
)

BASE = {'settings': {'tier': 1}, 'workspaces': {'a': {'classes': {}}}}
names = st.sampled_from('abc')
trees = st.recursive(
    st.integers(0, 3),
    lambda children: st.dictionaries(names, children, max_size=3),
    max_leaves=8,
).filter(lambda tree: isinstance(tree, dict))


class TestRebase:
    """Test two edits from the same base."""

    @pytest.mark.parametrize(
        ('mine', 'theirs', 'wanted'),
        [
            (
                ('settings/tier', 2),
                ('settings/share', 3),
                {'tier': 2, 'share': 3},
            ),
            (('settings/tier', None), ('settings/x', 1), {'x': 1}),
            (('settings/tier', 2), ('settings/tier', 2), {'tier': 2}),
        ],
    )
    def test_disjoint_edits_are_merged(self, mine, theirs, wanted):
        """Edits of different leaves, or the same edit, do not conflict."""
        merged = rebase(BASE, _with(mine), _with(theirs))
        assert merged['settings'] == wanted

    @pytest.mark.parametrize(
        ('mine', 'theirs'),
        [
            (('settings/tier', 2), ('settings/tier', 3)),
            (('settings/tier', 2), ('settings/tier', None)),
            (('workspaces/a/x', 1), ('workspaces/a/x/y', 1)),
        ],
    )
    def test_same_leaf_conflicts(self, mine, theirs):
        """The later edit fails and names the change that it conflicts with."""
        with pytest.raises(ConflictError) as caught:
            rebase(BASE, _with(mine), _with(theirs))
        assert caught.value.theirs[0].path.startswith(theirs[0][:12])
        assert caught.value.code is Code.tree_conflict

    def test_classes_added_to_an_empty_node_are_merged(self):
        """Different children added to the same empty node do not conflict."""
        merged = rebase(
            BASE,
            _with(('workspaces/a/classes/one', {})),
            _with(('workspaces/a/classes/two', {})),
        )
        assert set(merged['workspaces']['a']['classes']) == {'one', 'two'}

    @given(trees, trees)
    def test_rebase_on_the_base_is_the_edit(self, base, mine):
        """Rebasing on an unchanged base returns the edited tree."""
        assert rebase(base, mine, base) == mine

    @given(trees)
    def test_no_difference_from_itself(self, tree):
        """The diff of a tree with itself is empty."""
        assert diff(tree, tree) == []


class TestNodes:
    """Test access to nodes by path."""

    def test_set_and_get(self):
        """A leaf that was set is read back."""
        tree = {}
        set_leaf(tree, 'a/b/c', 4)
        assert get_node(tree, 'a/b') == {'c': 4}

    def test_unknown_node(self):
        """A path to no node raises an error."""
        with pytest.raises(TreeError):
            get_node(BASE, 'settings/none')


def _with(change):
    """Return a copy of the base with one leaf set."""
    tree = {
        'settings': dict(BASE['settings']),
        'workspaces': {'a': {'classes': {}}},
    }
    set_leaf(tree, *change)
    return tree
