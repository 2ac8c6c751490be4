"""Merge facts that one instance learns and the others have to know.

Pure logic. A fact is a frozen data class that says something about a subject,
such as a stream or a server's process, as of some time. Reports of it come
from this instance, from others, from the store or from an old copy of the
store. They may be lost, repeated and reordered; what is known depends only on
which of them have arrived.

To add a kind of fact, write its class and register it with ``subject_of`` and
``lifetime_s``. ``docs/design/shared-facts.md`` lists all kinds.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import replace
from functools import singledispatch
from itertools import takewhile
from typing import Generic, Protocol, TypeVar


class Fact(Protocol):
    """What all kinds of facts have in common."""

    @property
    def at_s(self) -> float:
        """Return the Unix time of the evidence."""


FactT = TypeVar('FactT', bound=Fact)


@singledispatch
def subject_of(fact: Fact) -> Hashable:
    """Return what a fact is about; the latest fact about it counts."""
    raise TypeError(fact)


@singledispatch
def lifetime_s(fact: Fact) -> float:
    """Return the time after its evidence for which a fact counts."""
    raise TypeError(fact)


@singledispatch
def renewal_s(fact: Fact) -> float:
    """Return by how much evidence must be later to be worth a report."""
    return 0.0


def is_current(fact: Fact, now_s: float) -> bool:
    """Return whether a fact still counts.

    :param now_s: Unix time.
    """
    return now_s - fact.at_s < lifetime_s(fact)


class FactTable(Generic[FactT]):
    """Latest known fact about each subject.

    :param max_facts: number above which those that were renewed longest ago are
        dropped.
    """

    def __init__(self, max_facts: int) -> None:
        self._max_facts = max_facts
        self._facts: OrderedDict[Hashable, FactT] = OrderedDict()

    @property
    def is_full(self) -> bool:
        """Return whether current facts may have been dropped."""
        return len(self._facts) >= self._max_facts

    def merge(self, facts: Iterable[FactT], now_s: float) -> tuple[FactT, ...]:
        """Add facts and return those that were not known.

        Expired ones are not added. A time in the future, by a clock that is
        wrong, counts as now.

        :param now_s: Unix time.
        """
        added = []
        for reported in facts:
            fact = replace(reported, at_s=min(reported.at_s, now_s))
            subject = subject_of(fact)
            known = self._facts.get(subject)
            if _is_later(fact, known) and is_current(fact, now_s):
                self._facts[subject] = fact
                self._facts.move_to_end(subject)
                added.append(fact)
        while len(self._facts) > self._max_facts:
            self._facts.popitem(last=False)
        return tuple(added)

    def find(self, subject: Hashable, now_s: float) -> FactT | None:
        """Return the current fact about a subject, ``None`` if none is."""
        fact = self._facts.get(subject)
        if fact is None or not is_current(fact, now_s):
            return None
        return fact

    def current(self, now_s: float) -> tuple[FactT, ...]:
        """Return all current facts, the one renewed last at the end."""
        return tuple(
            fact for fact in self._facts.values() if is_current(fact, now_s)
        )

    def drop(self, subject: Hashable) -> None:
        """Remove the fact about a subject, if there is one."""
        self._facts.pop(subject, None)

    def expire(self, now_s: float) -> tuple[FactT, ...]:
        """Remove expired facts, up to the first current one; return them.

        They are ordered by their renewal, so that few expired ones stay, which
        the other methods ignore.
        """
        expired = tuple(
            takewhile(
                lambda fact: not is_current(fact, now_s), self._facts.values()
            )
        )
        for fact in expired:
            self.drop(subject_of(fact))
        return expired


def _is_later(fact: Fact, known: Fact | None) -> bool:
    if known is None:
        return True
    return fact.at_s > known.at_s and fact.at_s >= known.at_s + renewal_s(fact)
