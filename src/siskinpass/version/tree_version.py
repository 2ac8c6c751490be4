"""The version of the settings tree that is in force.

Pure logic without I/O. The version number never decreases.
"""

from dataclasses import dataclass

from siskinpass.version.keys import KeyTable
from siskinpass.version.schema import Tree


@dataclass(frozen=True, slots=True)
class TreeVersion:
    """One accepted version of the settings tree.

    :param number: starts at 1 and increases with each accepted edit.
    :param tree: the parsed tree.
    :param keys: look-up table of the API keys in the tree.
    :param text: the tree as YAML, for passing it on to other instances.
    """

    number: int
    tree: Tree
    keys: KeyTable
    text: str


class CurrentVersion:
    """Holder of the version in force."""

    def __init__(self) -> None:
        """Start with no version in force."""
        self._current: TreeVersion | None = None

    @property
    def current(self) -> TreeVersion | None:
        """Return the version in force, or None before the first."""
        return self._current

    @property
    def number(self) -> int:
        """Return the number of the version in force, 0 before the first."""
        return self._current.number if self._current else 0

    def adopt_if_newer(self, version: TreeVersion) -> bool:
        """Put a version in force if its number is higher than the current.

        :returns: whether it was put in force.
        """
        if version.number <= self.number:
            return False
        self._current = version
        return True
