"""Count the requests of each workspace by usage window. Pure logic.

Each instance counts the requests that began there, and sends its counts to the
candidates for the lease. The holder adds them up after the end of a window and
fixes the sum; a fixed window never gets other counts.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from siskinpass.process.duties.calls import UsageReport
from siskinpass.process.duties.lease import DutyContent

# Windows for which counts and fixed sums are kept.
KEPT_WINDOWS = 6
# Time after the end of a window in which the last counts arrive.
FIX_DELAY_S = 1.0
# By how much the clocks of two holders may differ for a later one to rely on
# which windows an earlier one cannot have fixed.
CLOCK_MARGIN_S = 5.0
# Numbers of windows ahead of the time that are kept.
MAX_AHEAD = 24
# Sends of a count after each change: datagrams may be lost.
SENDS = 5
# Counts in one datagram, about 2 kB.
MAX_ROWS = 60

WindowCounts = tuple[int, Mapping[str, int]]


@dataclass(frozen=True, slots=True)
class WindowTimes:
    """Times of usage windows, in true time.

    :param length_s: length of a window.
    :param late_s: time after its end at which its report is due.
    """

    length_s: float
    late_s: float

    def window_at(self, true_s: float) -> int:
        """Return the window at a time."""
        return int(true_s // self.length_s)

    def start_s(self, window: int) -> float:
        """Return when a window begins."""
        return window * self.length_s

    def fix_s(self, window: int) -> float:
        """Return from when on a window is fixed."""
        return self.start_s(window + 1) + FIX_DELAY_S

    def due_s(self, window: int) -> float:
        """Return when the report of a window is due."""
        return self.start_s(window + 1) + self.late_s

    def first_unfixed(self, true_s: float) -> int:
        """Return the first window that cannot have been fixed at a time."""
        ended_s = true_s - FIX_DELAY_S + CLOCK_MARGIN_S
        return self.window_at(ended_s)


class UsageCounter:
    """Cumulative counts of one instance."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, int]] = {}
        self._sends: dict[int, int] = {}

    def add(self, workspace: str, window: int) -> None:
        """Count one request.

        :param window: window in which it began to run.
        """
        counts = self._counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._sends[window] = SENDS
        for old in sorted(self._counts)[:-KEPT_WINDOWS]:
            self._counts.pop(old)
            self._sends.pop(old, None)

    def changed(self) -> list[WindowCounts]:
        """Return the counts that are to be sent now.

        Those of a window are returned with each change and a few more times.
        """
        sends, self._sends = self._sends, {}
        for window, left in sends.items():
            if left > 1:
                self._sends[window] = left - 1
        return [(window, self._counts[window]) for window in sorted(sends)]

    def all(self) -> list[WindowCounts]:
        """Return the counts of all kept windows."""
        return sorted(self._counts.items())


def split_rows(windows: Iterable[WindowCounts]) -> list[list[WindowCounts]]:
    """Return counts in parts that fit a datagram each, at least one part.

    Parts of a window's counts may be merged in any order, as the counts of
    different workspaces are independent.
    """
    parts: list[list[WindowCounts]] = [[]]
    free = MAX_ROWS
    for window, counts in windows:
        rows = list(counts.items())
        while rows:
            if not free:
                parts.append([])
                free = MAX_ROWS
            taken, rows = rows[:free], rows[free:]
            parts[-1].append((window, dict(taken)))
            free -= len(taken)
    return parts


@dataclass(frozen=True, slots=True)
class UsageSource:
    """Process that counts requests.

    :param incarnation: start time in Unix ns, by its own wall clock.
    """

    name: str
    incarnation: int


class UsageTable:
    """Counts of all instances, as a candidate knows them."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[tuple[UsageSource, str], int]] = {}
        self._oldest_ns: dict[int, int] = {}

    def merge(
        self,
        source: UsageSource,
        windows: Iterable[WindowCounts],
        current: int,
    ) -> dict[int, int]:
        """Add counts; of two counts for the same, the higher one is right.

        :param current: window at this time; counts for others than the last
            few are ignored.
        :returns: how many more requests there are in each window.
        """
        self._expire(current)
        self._note_source(current, source)
        added: dict[int, int] = {}
        for window, counts in windows:
            if current - KEPT_WINDOWS < window <= current + 1:
                self._note_source(window, source)
                added[window] = self._add(window, source, counts)
        return added

    def total(self, window: int) -> dict[str, int]:
        """Return the sum over all instances, by workspace."""
        totals: dict[str, int] = {}
        for (_, workspace), count in self._counts.get(window, {}).items():
            totals[workspace] = totals.get(workspace, 0) + count
        return totals

    def oldest_ns(self, window: int) -> int | None:
        """Return the earliest start of the instances that were heard in it.

        :returns: ``None`` if none was heard.
        """
        return self._oldest_ns.get(window)

    def _note_source(self, window: int, source: UsageSource) -> None:
        started_ns = self._oldest_ns.get(window, source.incarnation)
        self._oldest_ns[window] = min(started_ns, source.incarnation)

    def _add(
        self, window: int, source: UsageSource, counts: Mapping[str, int]
    ) -> int:
        known = self._counts.setdefault(window, {})
        added = 0
        for workspace, count in counts.items():
            more = count - known.get((source, workspace), 0)
            if more > 0:
                known[source, workspace] = count
                added += more
        return added

    def _expire(self, current: int) -> None:
        oldest = current - 2 * KEPT_WINDOWS
        self._counts = {
            window: counts
            for window, counts in self._counts.items()
            if window > oldest
        }
        self._oldest_ns = {
            window: started_ns
            for window, started_ns in self._oldest_ns.items()
            if window > oldest
        }


@dataclass(frozen=True, slots=True)
class WindowProposal:
    """What the next write of the lease object says of usage windows.

    :param content: without orders.
    :param skipped: windows that are not fixed for good.
    """

    content: DutyContent
    skipped: tuple[int, ...] = ()


# Returns the counts of a window, ``None`` if they are not known.
CountsOf = Callable[[int], Mapping[str, int] | None]


class WindowLedger:
    """Fixed windows, as one instance knows them.

    A window gets at most one set of counts here. Where two sets are known, of
    which either may have been reported, the window is not reported any more.
    """

    def __init__(self, times: WindowTimes) -> None:
        self._times = times
        self._next_window = 0
        # ``None`` for a window that is not to be reported.
        self._fixed: dict[int, UsageReport | None] = {}
        # Windows and values of ``next_window`` that are not to come yet.
        self._ahead: dict[int, UsageReport] = {}
        self._ahead_next: set[int] = set()

    @property
    def next_window(self) -> int:
        """Return the first window that may still be fixed."""
        return self._next_window

    def merge(self, content: DutyContent, true_s: float) -> tuple[int, ...]:
        """Add windows that a holder has fixed.

        What lies ahead of the time counts only once that time has come: an
        absurd number would otherwise close all windows for good.

        :returns: the windows for which other counts were known.
        """
        limit = self._times.window_at(true_s + CLOCK_MARGIN_S) + 1
        self._defer(content, limit)
        conflicts = self._add_fixed(
            report for report in content.windows if report.window <= limit
        )
        if content.next_window <= limit:
            self.close_before(content.next_window)
        return (*conflicts, *self._take_due(limit))

    def _defer(self, content: DutyContent, limit: int) -> None:
        """Keep the first few numbers that are ahead of a limit."""
        for report in content.windows:
            if report.window > limit:
                self._ahead.setdefault(report.window, report)
        if content.next_window > limit:
            self._ahead_next.add(content.next_window)
        for window in sorted(self._ahead)[MAX_AHEAD:]:
            self._ahead.pop(window)
        self._ahead_next = set(sorted(self._ahead_next)[:MAX_AHEAD])

    def _take_due(self, limit: int) -> list[int]:
        """Add what was kept and is not ahead of the limit any more."""
        due = [window for window in self._ahead if window <= limit]
        conflicts = self._add_fixed([self._ahead.pop(one) for one in due])
        for window in tuple(self._ahead_next):
            if window <= limit:
                self._ahead_next.remove(window)
                self.close_before(window)
        return conflicts

    def _add_fixed(self, reports: Iterable[UsageReport]) -> list[int]:
        """Add windows and return those for which other counts were known."""
        conflicts = []
        for report in reports:
            known = self._fixed.setdefault(report.window, report)
            if known is not None and known.counts != report.counts:
                self._fixed[report.window] = None
                conflicts.append(report.window)
        return conflicts

    def merge_record(
        self, content: DutyContent, true_s: float
    ) -> tuple[int, ...]:
        """Add the windows of a lease object that knows all fixed windows.

        What it no longer lists is not reported any more.

        :returns: the windows for which other counts were known.
        """
        listed = {report.window for report in content.windows}
        for window in self._fixed:
            if window < content.next_window and window not in listed:
                self._fixed[window] = None
        return self.merge(content, true_s)

    def close_before(self, window: int) -> None:
        """Never fix windows below one; another holder may have done it."""
        self._next_window = max(self._next_window, window)

    def propose(
        self, true_s: float, counts_of: CountsOf, *, may_fix: bool
    ) -> WindowProposal:
        """Return what to write, with the windows that are to be fixed now.

        They count as fixed only once the write is confirmed.

        :param may_fix: whether to fix windows.
        """
        self._take_due(self._times.window_at(true_s + CLOCK_MARGIN_S) + 1)
        next_window = self._next_window
        windows = self._unsettled(true_s)
        skipped = []
        # Windows that were due before anyone watched are not worth a line each.
        oldest = self._times.window_at(true_s) - 2 * KEPT_WINDOWS
        candidate = max(next_window, oldest)
        while may_fix and self._times.fix_s(candidate) <= true_s:
            is_due = self._times.due_s(candidate) <= true_s
            counts = None if is_due else counts_of(candidate)
            if counts is None or candidate in self._fixed:
                skipped.append(candidate)
            else:
                windows[candidate] = UsageReport(candidate, counts)
            candidate += 1
            next_window = candidate
        kept = sorted(windows)[-KEPT_WINDOWS:]
        content = DutyContent(next_window, tuple(windows[one] for one in kept))
        return WindowProposal(content, tuple(skipped))

    def reportable(self, true_s: float) -> list[UsageReport]:
        """Return the fixed windows whose reports are not past their time."""
        windows = self._unsettled(true_s)
        return [windows[window] for window in sorted(windows)]

    def expire(self, true_s: float) -> None:
        """Forget windows whose reports are long past their time."""
        oldest = self._times.window_at(true_s) - 2 * KEPT_WINDOWS
        old = [one for one in self._fixed if one < oldest]
        for window in old:
            # It stays closed, also if the clock goes back.
            self._next_window = max(self._next_window, window + 1)
            self._fixed.pop(window)

    def _unsettled(self, true_s: float) -> dict[int, UsageReport]:
        return {
            window: report
            for window, report in self._fixed.items()
            if report is not None and true_s < self._times.due_s(window)
        }
