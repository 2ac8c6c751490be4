"""Share scarce room among workspaces by max-min fairness.

Pure logic. It answers one workspace at many times its usual load beside others
at theirs. Counted is work, not requests, inside each tier of one service and
over all instances. A workspace is beyond its share when it was granted more
than the level up to which all can be served; without unserved work there is no
such level, and nobody is.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from siskinpass.request.ticket import Ticket

WINDOW_S = 2.0  # over which granted and asked work is counted
# Reports come every half second; one that was not renewed for longer than a few
# lost datagrams explain is dropped.
REPORT_EXPIRY_S = 2.0
# One more running request makes a decoding step 0.165 ms longer, in which an
# engine prefills about eight tokens.
DECODED_TOKEN_WORK = 8.0
PLAIN_WORK = 1.0  # of a request without a prompt
# Room counts as scarce if so much more work is asked for than is granted: a few
# requests always wait a moment for the server that suits them.
SCARCE_FACTOR = 1.05
# Reports are summed up at most this often.
SUM_INTERVAL_S = 0.1
# Who is beyond its share is found out at most this often for each tier: it
# takes 0.14 ms with 30 workspaces in three tiers, and each request asks for it.
JUDGE_INTERVAL_S = 0.02
# No workspace falls below this part of the share of work that all are served.
MIN_SERVED_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work of one workspace that one instance saw in the last ``WINDOW_S``.

    :param name: name of the instance.
    :param sequence: rises with each report of the instance.
    :param pool: the service.
    :param granted: work for which servers were granted.
    :param asked: work of all requests that arrived.
    """

    name: str
    sequence: int
    pool: str
    tier: int
    workspace: str
    granted: float
    asked: float


@dataclass(frozen=True, slots=True)
class WorkSum:
    """Work granted to a workspace and work that it asked for."""

    granted: float = 0.0
    asked: float = 0.0

    def __add__(self, other: 'WorkSum') -> 'WorkSum':
        """Return the sum of two."""
        return WorkSum(self.granted + other.granted, self.asked + other.asked)

    @property
    def wanted(self) -> float:
        """Return the work asked for, which is at least what was granted.

        What was granted in the window may have been asked for before it.
        """
        return max(self.asked, self.granted)

    @property
    def is_scarce(self) -> bool:
        """Return whether more work is asked for than is granted."""
        return self.wanted > SCARCE_FACTOR * self.granted


Key = tuple[int, str]  # tier and workspace


class WorkspaceShares:
    """Work of the workspaces of one service and who is beyond its share."""

    def __init__(self) -> None:
        self._own: deque[tuple[float, Key, WorkSum]] = deque()
        self._own_counts: Counter[Key] = Counter()
        self._own_sums: dict[Key, WorkSum] = {}
        self._reports: dict[tuple[str, Key], tuple[float, WorkReport]] = {}
        self._peer_sums: dict[Key, WorkSum] = {}
        self._summed_s = 0.0
        self._judged: dict[int, tuple[float, frozenset[str]]] = {}

    def note_asked(self, ticket: Ticket, now_s: float) -> None:
        """Count a request that arrived."""
        asked = work_of(ticket, ticket.tokens_in)
        self._add(ticket, WorkSum(asked=asked), now_s)

    def note_granted(self, ticket: Ticket, unread: int, now_s: float) -> None:
        """Count a request for which a server was granted.

        What the server has cached was asked for, but is no work.

        :param unread: prompt tokens that the server has to prefill.
        """
        granted = work_of(ticket, unread)
        cached = work_of(ticket, ticket.tokens_in) - granted
        self._add(ticket, WorkSum(granted, -cached), now_s)

    def receive(self, report: WorkReport, now_s: float) -> None:
        """Store another instance's report unless a newer one is known."""
        place = report.name, (report.tier, report.workspace)
        known = self._reports.get(place)
        if known is None or known[1].sequence < report.sequence:
            self._reports[place] = now_s, report

    def own_sums(self, now_s: float) -> Mapping[Key, WorkSum]:
        """Return this instance's work in the window by tier and workspace."""
        self._expire(now_s)
        return self._own_sums

    def is_scarce(self, now_s: float) -> bool:
        """Return whether work waits here or at an instance that has told so.

        Work of one tier can only wait for that of others, so that all count.
        """
        self._expire(now_s)
        own = sum(self._own_sums.values(), WorkSum())
        return own.is_scarce or any(
            WorkSum(report.granted, report.asked).is_scarce
            for received_s, report in self._reports.values()
            if received_s >= now_s - REPORT_EXPIRY_S
        )

    def beyond(self, tier: int, now_s: float) -> frozenset[str]:
        """Return the workspaces of a tier that are beyond their share."""
        judged_s, known = self._judged.get(tier, (-JUDGE_INTERVAL_S, None))
        if known is None or now_s - judged_s >= JUDGE_INTERVAL_S:
            known = self._judge(tier, now_s)
            self._judged[tier] = now_s, known
        return known

    def _judge(self, tier: int, now_s: float) -> frozenset[str]:
        sums = self.totals(tier, now_s)
        granted = sum(one.granted for one in sums.values())
        wanted = sum(one.wanted for one in sums.values())
        if len(sums) < 2 or not sum(sums.values(), WorkSum()).is_scarce:
            return frozenset()
        level = fair_level([one.wanted for one in sums.values()], granted)
        least = MIN_SERVED_FRACTION * granted / wanted
        return frozenset(
            workspace
            for workspace, one in sums.items()
            if one.granted > max(level, least * one.wanted)
        )

    def tiers(self, now_s: float) -> set[int]:
        """Return the tiers in which any instance saw work."""
        self._refresh(now_s)
        return {tier for tier, _ in (*self._own_sums, *self._peer_sums)}

    def totals(self, tier: int, now_s: float) -> dict[str, WorkSum]:
        """Return all instances' work in a tier by workspace."""
        self._refresh(now_s)
        found: dict[str, WorkSum] = {}
        for sums in (self._own_sums, self._peer_sums):
            for (other, workspace), one in sums.items():
                if other == tier:
                    found[workspace] = found.get(workspace, WorkSum()) + one
        return found

    def _refresh(self, now_s: float) -> None:
        self._expire(now_s)
        if now_s - self._summed_s >= SUM_INTERVAL_S:
            self._sum_reports(now_s)

    def _sum_reports(self, now_s: float) -> None:
        self._summed_s = now_s
        granted: dict[Key, float] = {}
        asked: dict[Key, float] = {}
        for place, (received_s, report) in tuple(self._reports.items()):
            if received_s < now_s - REPORT_EXPIRY_S:
                self._reports.pop(place)
                continue
            key = place[1]
            granted[key] = granted.get(key, 0.0) + report.granted
            asked[key] = asked.get(key, 0.0) + report.asked
        self._peer_sums = {
            key: WorkSum(granted[key], asked[key]) for key in granted
        }

    def _add(self, ticket: Ticket, step: WorkSum, now_s: float) -> None:
        key = ticket.tier, ticket.workspace
        self._own.append((now_s, key, step))
        self._own_counts[key] += 1
        self._own_sums[key] = self._own_sums.get(key, WorkSum()) + step
        self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        while self._own and self._own[0][0] < now_s - WINDOW_S:
            _, key, step = self._own.popleft()
            self._own_counts[key] -= 1
            if self._own_counts[key]:
                left = WorkSum(-step.granted, -step.asked)
                self._own_sums[key] += left
            else:
                self._own_counts.pop(key)
                self._own_sums.pop(key)


def work_of(ticket: Ticket, unread: int) -> float:
    """Return the work of a request in prompt tokens."""
    return max(PLAIN_WORK, unread + ticket.tokens_out * DECODED_TOKEN_WORK)


def fair_level(wanted: Iterable[float], room: float) -> float:
    """Return the level up to which each may be served.

    Those who want less get all of it, and what they leave goes to the others.

    :param room: work that can be served, less than what is wanted.
    """
    left = sorted(wanted)
    level = 0.0
    for number, one in enumerate(left):
        level = room / (len(left) - number)
        if one >= level:
            break
        room -= one
    return level
