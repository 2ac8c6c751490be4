"""Choose backend servers by prompt affinity, bounded by load.

Pure logic. Each instance comes to the same order of servers for a shared
prompt part by rendezvous hashing, so that engines find the part in their
cache; a server that carries much more than the mean is passed over, as in
consistent hashing with bounded loads. Streams with a tight pause get servers
of their own, since a long prompt that is read beside them breaks their pauses.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from siskinpass.process.placement import Server
from siskinpass.process.rendezvous import rank
from siskinpass.request.ticket import Ticket


@dataclass(frozen=True, slots=True)
class AffinityPolicy:
    """Set how load bounds affinity.

    :param load_factor: load over the mean up to which the preferred server is
        taken; 1.5 to 2.5 earned the same in docs/design/platform.md.
    :param load_slack: load in prompt tokens that is always allowed, about one
        long request, so that an idle fleet keeps its affinity.
    :param tight_fraction: servers kept for streams with a tight pause; 0.2
        to 0.3 earned the most in docs/design/platform.md.
    """

    load_factor: float = 1.5
    load_slack: float = 20_000.0
    tight_fraction: float = 0.25


@dataclass(frozen=True, slots=True)
class AffinityChooser:
    """Choose a server for a ticket."""

    policy: AffinityPolicy = AffinityPolicy()

    def __call__(self, servers: Sequence[Server], ticket: Ticket) -> Server:
        """Return the best of the servers with a free slot.

        :param servers: at least one.
        """
        lane = self._lane(servers, ticket)
        fresh = [one for one in lane if one.view.name != ticket.avoid]
        lane = fresh or lane
        if ticket.prefix:
            preferred = self._preferred(lane, ticket)
            if preferred is not None:
                return preferred
        return min(lane, key=_load)

    def _lane(
        self,
        servers: Sequence[Server],
        ticket: Ticket,
    ) -> Sequence[Server]:
        """Return the servers for the ticket's kind of pauses."""
        if not ticket.prefix or len(servers) < 3:
            return servers
        by_name = {server.view.name: server for server in servers}
        ordered = rank('', by_name)
        count = math.ceil(self.policy.tight_fraction * len(ordered))
        names = ordered[:count] if ticket.is_tight else ordered[count:]
        return [by_name[name] for name in names]

    def _preferred(
        self,
        lane: Sequence[Server],
        ticket: Ticket,
    ) -> Server | None:
        by_name = {server.view.name: server for server in lane}
        mean = sum(map(_load, lane)) / len(lane)
        bound = self.policy.load_factor * mean + self.policy.load_slack
        for name in rank(str(ticket.prefix), by_name):
            if by_name[name].load <= bound:
                return by_name[name]
        return None


def _load(server: Server) -> float:
    return server.load
