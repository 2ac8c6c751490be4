"""Compare trees node by node and rebase one edit on another.

Pure logic. A node is addressed by its path, as ``settings/tier``,
``pools/lm/slots`` or ``workspaces/one/classes/two/tier``.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import TreeError

MISSING = None


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one changed leaf.

    :param path: path of the leaf.
    :param old: what stood there, none where nothing did.
    :param new: what stands there now, none where it was removed.
    """

    path: str
    old: Any
    new: Any


class ConflictError(TreeError):
    """Raise for an edit over a leaf that another edit changed."""

    def __init__(self, theirs: tuple[Change, ...]) -> None:
        """Keep the other operator's changes."""
        paths = ', '.join(change.path for change in theirs)
        super().__init__(Code.tree_conflict, f'changed meanwhile: {paths}')
        self.theirs = theirs


def diff(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """Return what changed from one tree to another, by path."""
    before = dict(_leaves(old, ''))
    after = dict(_leaves(new, ''))
    return [
        Change(path, before.get(path, MISSING), after.get(path, MISSING))
        for path in sorted(before.keys() | after.keys())
        if before.get(path, MISSING) != after.get(path, MISSING)
        and not _is_filled(path, before, after)
        and not _is_filled(path, after, before)
    ]


def rebase(
    base: Mapping[str, Any],
    mine: Mapping[str, Any],
    theirs: Mapping[str, Any],
) -> dict[str, Any]:
    """Apply the edit from ``base`` to ``mine`` on top of ``theirs``.

    :raises ConflictError: where both edits changed the same leaf, or one
        removed what the other changed.
    """
    my_changes = diff(base, mine)
    their_changes = diff(base, theirs)
    clashes = tuple(
        change
        for change in their_changes
        if any(_overlap(change.path, other.path) for other in my_changes)
        and change not in my_changes
    )
    if clashes:
        raise ConflictError(clashes)
    merged = _copy(theirs)
    for change in my_changes:
        set_leaf(merged, change.path, change.new)
    return merged


def set_leaf(tree: dict[str, Any], path: str, leaf: Any) -> None:
    """Set or, with none, remove the leaf at a path, in place."""
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

    :raises TreeError: where there is none.
    """
    node: Any = tree
    for part in filter(None, path.split('/')):
        if not isinstance(node, Mapping) or part not in node:
            raise TreeError(Code.unknown_node, f'no node at {path}')
        node = node[part]
    return node


def _leaves(node: Any, path: str) -> Iterator[tuple[str, Any]]:
    if isinstance(node, Mapping) and (node or not path):
        for name, child in node.items():
            yield from _leaves(child, f'{path}/{name}' if path else name)
    else:
        yield path, node


def _is_filled(
    path: str,
    empty: Mapping[str, Any],
    filled: Mapping[str, Any],
) -> bool:
    """Tell whether an empty node on one side has children on the other."""
    if path not in empty or not isinstance(empty[path], Mapping):
        return False
    return any(other.startswith(f'{path}/') for other in filled)


def _overlap(one: str, other: str) -> bool:
    return (
        one == other
        or one.startswith(f'{other}/')
        or other.startswith(f'{one}/')
    )


def _copy(node: Any) -> Any:
    if isinstance(node, Mapping):
        return {name: _copy(child) for name, child in node.items()}
    return node
