"""Keep the version of the tree that is in force, which never goes down.

Pure logic.
"""

from dataclasses import dataclass

from siskinpass.version.keys import KeyTable
from siskinpass.version.schema import Tree


@dataclass(frozen=True, slots=True)
class TreeVersion:
    """Hold one accepted version.

    :param number: counts up with each accepted edit, from 1.
    :param tree: the tree.
    :param text: the tree as it was accepted, for passing it on.
    """

    number: int
    tree: Tree
    keys: KeyTable
    text: str


class CurrentVersion:
    """Hold the version in force."""

    def __init__(self) -> None:
        """Start with no version in force."""
        self._current: TreeVersion | None = None

    @property
    def current(self) -> TreeVersion | None:
        """Return the version in force, or none."""
        return self._current

    @property
    def number(self) -> int:
        """Return the number in force, 0 where there is none."""
        return self._current.number if self._current else 0

    def adopt_if_newer(self, version: TreeVersion) -> bool:
        """Put a version in force if it is higher, and tell whether it is."""
        if version.number <= self.number:
            return False
        self._current = version
        return True
