"""Find the prompt parts and requests that crash backend servers.

Pure logic. On some parts a server's process ends as soon as it begins to write
an answer, whatever else the prompt holds; under some requests it ends as soon
as it begins to run them. The name of a request counts as one more part of it,
which only its repeats share. A crash also cuts off sound requests, and those
that crash servers share most of their parts with sound ones. So

- parts are blamed only after several crashes one after the other. Of requests
  that were open at the same time one counts, since servers may end together for
  another reason;
- an answer that goes on clears all parts of its prompt of the crashes before;
- as long as several parts may be to blame, only their combination is blamed,
  also if the other crashes do not suffice to blame one of them alone;
- a crash that blocked parts explain does not speak against others.

Instances report to each other what they saw. Reports may be lost, repeated and
reordered; the outcome depends only on which of them have arrived.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest
from operator import itemgetter

from siskinpass.request.identity import is_identity

# Weights of a crash. A server that had sent the head of an answer and nothing
# of its body was just beginning to write it; one that had sent no head may not
# have looked at the request at all.
BEGUN_WEIGHT = 5
WAITING_WEIGHT = 3
# Three crashes as an answer began, or five of requests that waited.
BLAME_WEIGHT = 15
# Crashes that suffice if one request was in all of them: servers rarely end
# under the same one by chance.
REQUEST_CRASHES = 3
# The oldest are forgotten.
MAX_REQUESTS = 1000
MAX_CLEARED = 10_000
# Parts that are looked at as the second one of a combination.
MAX_NARROWER = 4

ClearedPart = tuple[str, str]


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request that was cut off when a server's process ended.

    :param call: id of the request.
    :param server: the process that ended.
    :param parts: names of the parts that other prompts may share, and of the
        request itself.
    :param weight: how much the crash speaks against them.
    :param sent_ms: when the request was sent, in Unix ms.
    :param ended_ms: when its answer broke off, in Unix ms.
    """

    call: str
    server: str
    parts: tuple[str, ...]
    weight: int
    sent_ms: int
    ended_ms: int


# Requests of each crash.
Crashes = list[list[BrokenRequest]]


class CrashEvidence:
    """Requests that crashes cut off, as reported by all instances."""

    def __init__(self) -> None:
        self._requests: OrderedDict[tuple[str, str], BrokenRequest] = (
            OrderedDict()
        )
        self._cleared: OrderedDict[ClearedPart, None] = OrderedDict()
        self._by_server: dict[str, list[BrokenRequest]] = {}
        self._explanations: frozenset[frozenset[str]] = frozenset()
        # By part and server, without what was cleared.
        self._suspected: dict[str, dict[str, list[BrokenRequest]]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is suspected."""
        return not self._suspected

    def merge(
        self, requests: Iterable[BrokenRequest]
    ) -> tuple[BrokenRequest, ...]:
        """Add reports and return those that were not known."""
        added = []
        for request in requests:
            key = (request.server, request.call)
            if key not in self._requests:
                self._requests[key] = request
                self._by_server.setdefault(request.server, []).append(request)
                self._suspect(request)
                added.append(request)
        while len(self._requests) > MAX_REQUESTS:
            _, oldest = self._requests.popitem(last=False)
            self._forget(oldest)
        return tuple(added)

    def merge_cleared(
        self, cleared: Iterable[ClearedPart]
    ) -> tuple[ClearedPart, ...]:
        """Clear parts of the crashes of single servers.

        :param cleared: names of a part and of a process that ended.
        :returns: those that were not known.
        """
        added = tuple(pair for pair in cleared if pair not in self._cleared)
        self._cleared.update(dict.fromkeys(added))
        for part, server in added:
            self._drop(part, server)
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        return added

    def explain(self, blocked: Iterable[frozenset[str]]) -> None:
        """Replace what is known to crash servers.

        :param blocked: names that crash servers if a request has all of them.
        """
        self._explanations = frozenset(blocked)

    def clear(self, parts: Iterable[str]) -> tuple[ClearedPart, ...]:
        """Clear parts of all crashes known so far, as an answer went on.

        :returns: what was not known before.
        """
        return self.merge_cleared([
            (part, server)
            for part in parts
            for server in self._suspected.get(part, ())
        ])

    def blamed(self, part: str) -> frozenset[str]:
        """Return the parts that crash servers together with a given one.

        :returns: the given part with those that were in the prompts of all
            crashes, or of enough of them if the others do not suffice; empty
            if it is not to blame.
        """
        crashes = self._crashes(part)
        if not self._suffices(crashes):
            return frozenset()
        for narrower in self._narrower(part, crashes):
            known = set(map(id, narrower))
            others = [crash for crash in crashes if id(crash) not in known]
            if not self._suffices(others):
                return self._common(narrower)
        return self._common(crashes)

    def count(self, name: str) -> int:
        """Return how many crashes, one after the other, a name was in."""
        return len(_weights(self._crashes(name)))

    def requests(self, name: str) -> tuple[BrokenRequest, ...]:
        """Return the requests whose ends speak against a name."""
        crashes = self._suspected.get(name, {}).values()
        return tuple(request for crash in crashes for request in crash)

    def parts_beside(self, cleared: Iterable[ClearedPart]) -> frozenset[str]:
        """Return the parts that were suspected together with cleared ones."""
        pairs = frozenset(cleared)
        return frozenset(
            part
            for request in self._requests.values()
            if any((one, request.server) in pairs for one in request.parts)
            for part in request.parts
            if part in self._suspected
        )

    def cleared_among(
        self, pairs: Iterable[ClearedPart]
    ) -> tuple[ClearedPart, ...]:
        """Return those of some parts and servers that are cleared."""
        return tuple(pair for pair in pairs if pair in self._cleared)

    def suspects(self, request: BrokenRequest) -> tuple[str, ...]:
        """Return the parts of a request that are not cleared."""
        return tuple(
            part
            for part in request.parts
            if (part, request.server) not in self._cleared
        )

    def servers(self, part: str) -> list[str]:
        """Return the processes whose ends speak against a part."""
        return sorted(self._suspected.get(part, ()))

    def _crashes(self, name: str) -> Crashes:
        """Return the crashes that speak against a name."""
        own = self._suspected.get(name, {})
        if not own:
            return []
        # With no crash of its own, an explanation is no better than the name.
        others = [
            one
            for one in self._explanations
            if name not in one and self._servers_of(one) - own.keys()
        ]
        return [
            crash
            for server, crash in own.items()
            if not self._is_explained(server, others)
        ]

    def _servers_of(self, names: frozenset[str]) -> set[str]:
        """Return the servers that ended under requests with all of them."""
        return {
            server
            for server in self._by_server
            if self._is_explained(server, (names,))
        }

    def _is_explained(
        self, server: str, explanations: Iterable[frozenset[str]]
    ) -> bool:
        names = [frozenset(one.parts) for one in self._by_server[server]]
        return any(one <= held for one in explanations for held in names)

    def _narrower(self, part: str, crashes: Crashes) -> Iterable[Crashes]:
        """Return the crashes by requests with some other part too, by part.

        Only where they suffice for a blame, the most numerous first: these
        leave the fewest other crashes.
        """
        beside: dict[str, Crashes] = {}
        for crash in crashes:
            suspects = map(self.suspects, crash)
            found = set().union(*(one for one in suspects if part in one))
            for other in found:
                beside.setdefault(other, []).append(crash)
        several = [
            (-len(one), other, one)
            for other, one in beside.items()
            if REQUEST_CRASHES <= len(one) < len(crashes)
        ]
        found_first = nsmallest(MAX_NARROWER, several, key=itemgetter(0, 1))
        return [one for _, _, one in found_first if self._suffices(one)]

    def _common(self, crashes: Crashes) -> frozenset[str]:
        """Return the parts that all of some crashes speak against."""
        suspects = [self._suspects_of(crash) for crash in crashes]
        return frozenset.intersection(*suspects) if suspects else frozenset()

    def _suffices(self, crashes: Crashes) -> bool:
        """Return whether crashes suffice to blame what they have in common."""
        weights = _weights(crashes)
        if sum(weights) >= BLAME_WEIGHT:
            return True
        return len(weights) >= REQUEST_CRASHES and any(
            map(is_identity, self._common(crashes))
        )

    def _suspects_of(self, crash: Iterable[BrokenRequest]) -> frozenset[str]:
        """Return the parts that one crash speaks against."""
        return frozenset(
            part for request in crash for part in self.suspects(request)
        )

    def _suspect(self, request: BrokenRequest) -> None:
        for part in self.suspects(request):
            by_server = self._suspected.setdefault(part, {})
            by_server.setdefault(request.server, []).append(request)

    def _forget(self, request: BrokenRequest) -> None:
        left = self._by_server[request.server]
        left.remove(request)
        if not left:
            self._by_server.pop(request.server)
        for part in request.parts:
            crash = self._suspected.get(part, {}).get(request.server, [])
            if request in crash:
                crash.remove(request)
            if not crash:
                self._drop(part, request.server)

    def _drop(self, part: str, server: str) -> None:
        by_server = self._suspected.get(part, {})
        by_server.pop(server, None)
        if not by_server:
            self._suspected.pop(part, None)


def _weights(crashes: Crashes) -> list[int]:
    """Return the weight of each crash, without those at the same time."""
    weights = []
    ended_ms = 0
    for crash in sorted(crashes, key=_end):
        later = [one for one in crash if one.sent_ms >= ended_ms]
        if later:
            weights.append(max(one.weight for one in later))
            ended_ms = max(one.ended_ms for one in crash)
    return weights


def _end(crash: list[BrokenRequest]) -> tuple[int, str]:
    return min(one.ended_ms for one in crash), crash[0].server
