"""Decide what it costs to send a request to a server of another zone.

Pure logic, for services that have servers in several availability zones.
Traffic between zones takes about a millisecond one way and costs money by the
byte. A server of another zone is charged both, counted in prompt tokens, and is
chosen when the request is expected to end sooner by more than that.

The price falls with the share of the zone's work that has to leave it for all
servers to be equally busy. That share rises at once and falls slowly, so that
zones do not send work back and forth.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from siskinpass.process.prefill import PREFILL_TOKENS_PER_S
from siskinpass.request.ticket import PromptPiece, ServerView

# A request and the first event of its answer cross once each: 0.5 to 1.4 ms.
CROSSING_S = 0.002
# What the bytes of a request (17 kB) and its answer (2 kB) cost is worth this
# much time to the first event.
PRICE_S = 0.018
CROSSING_TOKENS = (CROSSING_S + PRICE_S) * PREFILL_TOKENS_PER_S
SHARE_FALL_S = 10.0
# Below this mean backlog a zone needs no help.
MIN_BACKLOG_S = 0.05
# The backlog of a zone is growing while its short average is above the long one
# by this factor and by this time.
SHORT_S = 0.3
LONG_S = 2.0
GROWTH = 1.2
MIN_GROWTH_S = 0.02
# A part that is asked for this often in each zone is cached in each zone. At
# CROSSING_TOKENS a request, 13 requests save the prefill of 13,300 tokens, and
# a part in use stays cached for longer than they take.
COMMON_REQUESTS = 3.0
COMMON_S = 10.0
MAX_PARTS = 4096


@dataclass(slots=True)
class _Backlog:
    """Mean backlog of the servers of a zone, in seconds."""

    short_s: float = 0.0
    long_s: float = 0.0

    @property
    def is_growing(self) -> bool:
        """Return whether its servers will soon be needed by its callers."""
        return self.short_s > self.long_s * GROWTH + MIN_GROWTH_S

    def update(self, backlog_s: float, passed_s: float) -> None:
        """Add an observation."""
        short = 1 - math.exp(-passed_s / SHORT_S)
        long = 1 - math.exp(-passed_s / LONG_S)
        self.short_s += short * (backlog_s - self.short_s)
        self.long_s += long * (backlog_s - self.long_s)


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Load on the servers of a zone.

    :param unread: prompt tokens that they have not prefilled.
    :param speed: sum of their speeds; 1 for each even server.
    """

    unread: float = 0.0
    speed: float = 0.0

    def __add__(self, other: 'ZoneLoad') -> 'ZoneLoad':
        """Return the load on the servers of both."""
        return ZoneLoad(self.unread + other.unread, self.speed + other.speed)

    @property
    def backlog_s(self) -> float:
        """Return how long the servers need to prefill it."""
        if not self.speed:
            return 0.0
        return self.unread / (self.speed * PREFILL_TOKENS_PER_S)


class ZoneChoice:
    """Cost of the zones for the requests of one instance to one service."""

    def __init__(self, own: str) -> None:
        """Begin without servers.

        :param own: zone of this instance, empty where unknown.
        """
        self.own = own
        self.is_active = False
        self._zones = 1
        self._backlogs: dict[str, _Backlog] = {}
        self._share = 0.0
        self._updated_s = 0.0
        # Requests with each part in the last COMMON_S, with the time at which
        # the number was right.
        self._requests: OrderedDict[int, tuple[float, float]] = OrderedDict()

    @property
    def share(self) -> float:
        """Return the share of the zone's work that has to leave it."""
        return self._share

    @property
    def is_busy(self) -> bool:
        """Return whether the zone's servers have no time to read parts anew."""
        backlog = self._backlogs.get(self.own)
        return backlog is not None and backlog.short_s > MIN_BACKLOG_S

    def replace(self, views: Iterable[ServerView]) -> None:
        """Replace the list of servers.

        Zones count only if this instance's and another one have servers.
        """
        zones = {view.zone for view in views if not view.leaving}
        self._zones = len(zones)
        self.is_active = bool(self.own) and self.own in zones and len(zones) > 1
        self._backlogs = {
            zone: self._backlogs.get(zone, _Backlog()) for zone in zones
        }

    def update(self, loads: Mapping[str, ZoneLoad], now_s: float) -> None:
        """Adapt to the load of the zones.

        :param loads: by zone.
        """
        passed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        for zone, backlog in self._backlogs.items():
            backlog.update(loads.get(zone, ZoneLoad()).backlog_s, passed_s)
        own_s = loads.get(self.own, ZoneLoad()).backlog_s
        needed = 0.0
        if own_s > MIN_BACKLOG_S:
            common = sum(loads.values(), ZoneLoad())
            needed = max(0.0, 1 - common.backlog_s / own_s)
        fallen = self._share * math.exp(-passed_s / SHARE_FALL_S)
        self._share = max(needed, fallen)

    def crossing_tokens(self, zone: str) -> float:
        """Return the cost of a server for being in a zone."""
        if not self.is_active or zone == self.own:
            return 0.0
        cost = CROSSING_TOKENS * (1 - self._share)
        backlog = self._backlogs.get(zone)
        if backlog is not None and backlog.is_growing:
            cost += CROSSING_TOKENS
        return cost

    def note_part(self, key: int, now_s: float) -> None:
        """Record that any instance has placed a prompt with a shared part."""
        if self.is_active:
            self._requests[key] = (self._requests_at(key, now_s) + 1, now_s)
            self._requests.move_to_end(key)
            if len(self._requests) > MAX_PARTS:
                self._requests.popitem(last=False)

    def is_common(self, key: int, now_s: float) -> bool:
        """Return whether a part should be cached in each zone."""
        limit = COMMON_REQUESTS * self._zones
        return self.is_active and self._requests_at(key, now_s) >= limit

    def _requests_at(self, key: int, now_s: float) -> float:
        known, at_s = self._requests.get(key, (0.0, now_s))
        return known * math.exp(-max(0.0, now_s - at_s) / COMMON_S)


def shared_key(pieces: Sequence[PromptPiece]) -> int:
    """Return the key of the last shared part of a prompt.

    The last part belongs only to the request or its session, so that it is the
    part before it; a single part is used itself.
    """
    return (pieces[:-1] or pieces)[-1].key
