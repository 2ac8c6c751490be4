"""Diff settings trees and rebase one edit on another.

Pure logic without I/O. A node is addressed by its path, such as
``settings/tier``, ``pools/lm/slots`` or ``workspaces/one/classes/two/tier``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import TreeError

MISSING = None


@dataclass(frozen=True, slots=True)
class Change:
    """One changed leaf.

    :param path: path of the leaf.
    :param old: previous content, None where the leaf was added.
    :param new: new content, None where the leaf was removed.
    """

    path: str
    old: Any
    new: Any


class ConflictError(TreeError):
    """An edit changes a leaf that another edit has changed meanwhile.

    ``theirs`` holds the other edit's changes to the leaves in conflict.
    """

    def __init__(self, theirs: tuple[Change, ...]) -> None:
        """Build the message from the paths in conflict."""
        paths = ', '.join(change.path for change in theirs)
        super().__init__(Code.tree_conflict, f'changed meanwhile: {paths}')
        self.theirs = theirs


def diff(old: Any, new: Any, path: str = '') -> list[Change]:
    """Return the changes from one tree to another, sorted by path.

    :param path: path of both trees, empty for the root.
    """
    if old == new:
        return []
    if not (isinstance(old, Mapping) and isinstance(new, Mapping)):
        return [Change(path, old, new)]
    return [
        change
        for name in sorted(old.keys() | new.keys())
        for change in diff(
            old.get(name, MISSING),
            new.get(name, MISSING),
            _join(path, name),
        )
    ]


def rebase(
    base: Mapping[str, Any],
    mine: Mapping[str, Any],
    theirs: Mapping[str, Any],
) -> dict[str, Any]:
    """Apply the edit from ``base`` to ``mine`` on top of ``theirs``.

    This is a three-way merge.

    :raises ConflictError: where both edits changed the same leaf, or one
        removed what the other changed.
    """
    conflicts: list[Change] = []
    merged = _merge(base, mine, theirs, _MergePosition('', conflicts))
    if conflicts:
        raise ConflictError(tuple(conflicts))
    return merged


@dataclass(frozen=True, slots=True)
class _MergePosition:
    """Path that a merge has reached, and the conflicts found so far."""

    path: str
    conflicts: list[Change]

    def child(self, name: str) -> '_MergePosition':
        return _MergePosition(_join(self.path, name), self.conflicts)


def _merge(base: Any, mine: Any, theirs: Any, position: _MergePosition) -> Any:
    if base == theirs or mine == theirs:
        return mine
    if base == mine:
        return theirs
    if not (isinstance(mine, Mapping) and isinstance(theirs, Mapping)):
        position.conflicts.append(Change(position.path, base, theirs))
        return mine
    old = base if isinstance(base, Mapping) else {}
    merged = {}
    for name in dict.fromkeys((*theirs, *mine)):
        found = _merge(
            old.get(name, MISSING),
            mine.get(name, MISSING),
            theirs.get(name, MISSING),
            position.child(name),
        )
        if found is not MISSING:
            merged[name] = found
    return merged


def _join(path: str, name: str) -> str:
    return f'{path}/{name}' if path else name


def set_leaf(tree: dict[str, Any], path: str, leaf: Any) -> None:
    """Set the leaf at a path in place, or remove it where ``leaf`` is None.

    Missing nodes on the path are created.
    """
    parts = path.split('/')
    node = tree
    for part in parts[:-1]:
        node = node.setdefault(part, {})
    if leaf is MISSING:
        node.pop(parts[-1], None)
    else:
        node[parts[-1]] = leaf


def get_node(tree: Mapping[str, Any], path: str) -> Any:
    """Return the node at a path.

    :param path: an empty path names the root.
    :raises TreeError: where there is no such node.
    """
    node: Any = tree
    for part in filter(None, path.split('/')):
        if not isinstance(node, Mapping) or part not in node:
            raise TreeError(Code.unknown_node, f'no node at {path}')
        node = node[part]
    return node
