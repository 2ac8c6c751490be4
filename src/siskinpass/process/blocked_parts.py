"""Track the prompt parts whose requests are sent to no server.

Pure logic. Parts stay blocked as long as requests with them come, and for
``BLOCK_S`` after the last of them. The time of that request is renewed now and
then and told to all instances; the latest one counts.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import starmap

from siskinpass.request.identity import is_identity

# Time without any request after which parts are tried again.
BLOCK_S = 900.0
# Age of the last request at which an instance that refuses another one tells
# the others about it.
RENEW_S = 60.0
# Smaller differences of the time are not worth telling anyone.
MIN_RENEWAL_S = 1.0
MAX_BLOCKED = 256


@dataclass(frozen=True, slots=True)
class BlockedParts:
    """Prompt parts that crash servers if a prompt holds all of them.

    :param parts: names of the parts, mostly a single one.
    :param asked_s: Unix time of the last request with them that is known.
    """

    parts: frozenset[str]
    asked_s: float

    @property
    def is_request(self) -> bool:
        """Return whether only repeats of one request are blocked."""
        return any(map(is_identity, self.parts))

    def is_current(self, now_s: float) -> bool:
        """Return whether requests with the parts are refused."""
        return now_s - self.asked_s < BLOCK_S

    def needs_renewal(self, now_s: float) -> bool:
        """Return whether the others should hear of a request that comes now."""
        return now_s - self.asked_s >= RENEW_S


class BlockList:
    """Blocked parts, each with the time of its last request."""

    def __init__(self) -> None:
        self._asked_s: dict[frozenset[str], float] = {}

    def merge(
        self, blocked: Iterable[BlockedParts], now_s: float
    ) -> tuple[BlockedParts, ...]:
        """Add parts and return those that were news.

        Expired ones are not added. A time in the future, by a clock that is
        wrong, counts as now.
        """
        news = []
        for given in blocked:
            one = BlockedParts(given.parts, min(given.asked_s, now_s))
            known_s = self._asked_s.get(one.parts, 0.0)
            is_later = one.asked_s >= known_s + MIN_RENEWAL_S
            if one.parts and is_later and one.is_current(now_s):
                self._asked_s[one.parts] = one.asked_s
                news.append(one)
        self._drop(now_s)
        return tuple(news)

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
        return tuple(
            one
            for one in starmap(BlockedParts, self._asked_s.items())
            if one.is_current(now_s)
        )

    def _drop(self, now_s: float) -> None:
        """Drop the expired parts, and the oldest ones above the limit."""
        ordered = sorted(
            self.current(now_s), key=lambda one: one.asked_s, reverse=True
        )
        self._asked_s = {
            one.parts: one.asked_s for one in ordered[:MAX_BLOCKED]
        }
