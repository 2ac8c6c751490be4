"""Track the prompt parts and requests that are sent to no server.

Pure logic. Parts stay blocked as long as requests with them come, and for
``BLOCK_S`` after the last of them. The time of that request is renewed now and
then and announced to all instances; the latest one counts.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.facts import (
    FactTable,
    is_current,
    lifetime_s,
    renewal_s,
    subject_of,
)
from siskinpass.request.identity import is_identity

# Time without any request after which parts are tried again.
BLOCK_S = 900.0
# Age of the last request at which an instance that refuses another one
# announces it.
RENEW_S = 60.0
# Smaller differences of the time are not worth an announcement.
MIN_RENEWAL_S = 1.0
MAX_BLOCKED = 256


@dataclass(frozen=True, slots=True)
class BlockedParts:
    """Prompt parts that crash servers if a prompt holds all of them.

    :param parts: names of the parts, mostly a single one, or of a request.
    :param at_s: Unix time of the last request with them that is known.
    """

    parts: frozenset[str]
    at_s: float

    @property
    def is_request(self) -> bool:
        """Return whether only repeats of one request are blocked."""
        return any(map(is_identity, self.parts))

    def is_current(self, now_s: float) -> bool:
        """Return whether requests with the parts are refused."""
        return is_current(self, now_s)

    def needs_renewal(self, now_s: float) -> bool:
        """Return whether a request that comes now has to be announced."""
        return now_s - self.at_s >= RENEW_S


@subject_of.register
def _blocked_parts(fact: BlockedParts) -> frozenset[str]:
    return fact.parts


@lifetime_s.register
def _block_s(fact: BlockedParts) -> float:
    return BLOCK_S


@renewal_s.register
def _min_renewal_s(fact: BlockedParts) -> float:
    return MIN_RENEWAL_S


class BlockList:
    """Blocked parts, each with the time of its last request."""

    def __init__(self) -> None:
        self._blocked: FactTable[BlockedParts] = FactTable(MAX_BLOCKED)

    def merge(
        self, blocked: Iterable[BlockedParts], now_s: float
    ) -> tuple[BlockedParts, ...]:
        """Add parts and return those that were not known."""
        self._blocked.expire(now_s)
        return self._blocked.merge((one for one in blocked if one.parts), now_s)

    def find(self, parts: Iterable[str], now_s: float) -> BlockedParts | None:
        """Return what blocks a prompt, ``None`` if nothing does.

        :param parts: names of the prompt's parts.
        """
        given = frozenset(parts)
        for one in self.current(now_s):
            if one.parts <= given:
                return one
        return None

    def current(self, now_s: float) -> tuple[BlockedParts, ...]:
        """Return all blocked parts."""
        return self._blocked.current(now_s)
