"""Divide the request rate that a server allows among the instances.

Pure logic. An overloaded server states the requests a second that it takes from
all instances together. Some instances, chosen by rendezvous hashing, share the
rate and send at an even pace; the others do not use the server. Instances with
the same view of the membership agree without a message.

Servers that fail when they have to turn too many requests away are shared as
well, by places instead of a rate: no instance sends a request that the requests
of the others leave no room for.

With few instances or a high rate all of them share it. With many instances and
a low rate each would wait so long between two requests that chance alone, with
all of them sending at about the same time, could exceed the limit.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from siskinpass.process.rendezvous import rank
from siskinpass.request.ticket import Share

# Instances that share the lowest rates. One more shares it for each further
# request a second.
MIN_SHARING = 4
# Fraction of the rate that is used. The rest covers instances that for a moment
# disagree on who shares it.
USED_FRACTION = 0.9
# Rate used for servers that state a lower one. Only an answer shows that a
# server takes more again.
MIN_LIMIT_PER_S = 0.05
NO_SHARE = Share(math.inf, math.inf)


@dataclass(frozen=True, slots=True)
class Sharing:
    """Instances that share the limits of servers, as one of them knows them.

    :param own: name of that instance.
    :param instances: names of those that send requests to servers.
    :param least: number of instances to reckon with at least, for an instance
        that may not know them.
    """

    own: str
    instances: tuple[str, ...]
    least: int = 1


def share_of(sharing: Sharing, server: str, limit_per_s: float) -> Share:
    """Return an instance's share of the rate that a server allows.

    :param limit_per_s: requests a second from all instances together.
    """
    used_per_s = max(limit_per_s, MIN_LIMIT_PER_S) * USED_FRACTION
    users = rank(server, sharing.instances)[: MIN_SHARING + int(limit_per_s)]
    if sharing.own not in users:
        return NO_SHARE
    interval_s = max(len(users), sharing.least) / used_per_s
    delay_s = interval_s * (users.index(sharing.own) + 1) / len(users)
    return Share(interval_s, delay_s)


def places_of(sharing: Sharing, slots: Mapping[str, int]) -> dict[str, int]:
    """Return an instance's places on each server of a service.

    All places are dealt out in turn, so that instances get about as many of
    them. A small part is kept for moments in which instances disagree.

    :param slots: requests that each server runs at once.
    """
    instances = rank('', sharing.instances)
    count = max(len(instances), sharing.least)
    own = instances.index(sharing.own) if sharing.own in instances else count
    first = 0
    found = {}
    for server, size in sorted(slots.items()):
        dealt = max(1, int(size * USED_FRACTION))
        found[server] = len(range((own - first) % count, dealt, count))
        first += dealt
    return found


class Pace:
    """Times at which a limited server may get this instance's requests."""

    def __init__(self, share: Share, now_s: float) -> None:
        """Start with the delay of the share.

        :param now_s: monotonic clock in seconds.
        """
        self._share = share
        self._taken_s = -math.inf
        self._start_s = now_s + share.delay_s

    @property
    def next_s(self) -> float:
        """Return the time from which the next request may be sent."""
        return max(self._start_s, self._taken_s + self._share.interval_s)

    def update(self, share: Share, now_s: float) -> None:
        """Replace the share; the time since the last request still counts."""
        if share == self._share:
            return
        if self._share == NO_SHARE:
            self._start_s = now_s + share.delay_s
        self._share = share

    def is_open(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return now_s >= self.next_s

    def take(self, now_s: float) -> None:
        """Record that a request is sent."""
        self._taken_s = now_s
