"""Account of what callers' connections hold of the process's resources.

Pure logic without I/O; the clock is passed in. It answers a crowd of callers
that send and hold as much as they can: above a first threshold the connections
that hold most take in no more, above a second one they are refused or closed,
those first that have been stalled longest.
"""

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from siskinpass.codes import Code

# What a connection may hold without being paused, and before any that holds
# more is refused or closed: four times the largest head by default.
SMALL_BYTES = 65_536
READ_BYTES = 262_144  # that one read of the event loop may bring
BYTES_PER_MB = 1_000_000
# Shares of the machine's memory. The code and the state of a process take about
# 45 MB, and the allocator keeps up to as much again of what was freed.
BUDGET_SHARE = 0.35
PARTS_SHARE = 0.05
PART_BYTES = 250  # of a prompt part that a server has cached
PAUSE_SHARE = 0.5  # of the budget
# Of the budget, above it for requests that hold little.
SMALL_RESERVE_SHARE = 0.125
# A body is held twice while it is sent on, so that the largest one takes half
# of the budget.
MAX_BODY_SHARE = 0.25
# Each request may need a connection to a server beside its caller's.
CONNECTION_SHARE = 0.5
# For which an accepted connection does not give way to others that are
# accepted, so that its first request can arrive.
ACCEPTED_S = 1.0
RESERVED_FDS = 200  # for files
DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4096


class Stage(enum.Enum):
    """What a connection does.

    ``unused``: it has had no request yet.
    ``idle``: it has had requests and waits for the next one.
    ``arriving``: a request has arrived in part.
    ``running``: a request is in progress.
    ``collecting``: the answer of one is collected until its end.
    ``unread``: its caller has not read what was sent.
    ``leaving``: it was refused and is closed soon.
    """

    unused = 'unused'
    idle = 'idle'
    arriving = 'arriving'
    running = 'running'
    collecting = 'collecting'
    unread = 'unread'
    leaving = 'leaving'


PAUSABLE = frozenset((Stage.arriving, Stage.collecting))
# Stages whose connections give way to others, those that lose least first. A
# request in progress is never given up: it may have run.
GIVING_MEMORY = (Stage.unread, Stage.arriving)
GIVING_ROOM = (
    Stage.leaving,
    Stage.idle,
    Stage.unused,
    Stage.arriving,
    Stage.unread,
)


class Holder(Protocol):
    """Connection that holds memory."""

    def hold(self, *, on: bool) -> None:
        """Take in no more data, or go on.

        :param on: whether to take in no more.
        """

    def give_up(self, code: Code) -> None:
        """Refuse the request that arrives, or close the connection."""


@dataclass(frozen=True, slots=True)
class HoldLimits:
    """Limits on what all callers' connections hold together.

    :param budget_bytes: memory above which connections are refused or closed.
    :param connections: connections that are open at the same time.
    """

    budget_bytes: int
    connections: int

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest body that fits."""
        return int(self.budget_bytes * MAX_BODY_SHARE)

    @property
    def prompt_parts(self) -> int:
        """Return how many cached prompt parts are known, over all services.

        They have a share of the machine's memory beside the budget.
        """
        memory_bytes = self.budget_bytes / BUDGET_SHARE
        return int(memory_bytes * PARTS_SHARE / PART_BYTES)


def hold_limits(
    memory_mb: float = DEFAULT_MEMORY_MB, max_fds: int = DEFAULT_MAX_FDS
) -> HoldLimits:
    """Return the limits for a machine.

    :param max_fds: descriptors that the process may open, with those for files.
    """
    return HoldLimits(
        int(memory_mb * BYTES_PER_MB * BUDGET_SHARE),
        max(1, int((max_fds - RESERVED_FDS) * CONNECTION_SHARE)),
    )


class Limited(enum.Enum):
    """What was done to a connection, for the operators."""

    paused = 'paused'
    given_up = 'memory'
    not_started = 'not_started'
    no_room = 'connections'


@dataclass(slots=True)
class _Holding:
    accepted_s: float
    stage: Stage = Stage.unused
    held_bytes: int = 0
    is_paused: bool = False


class HeldBytes:
    """Owner of the account.

    :param on_limited: called with what was done to a connection.
    :param now_s: returns the time of a monotonic clock.
    """

    def __init__(
        self,
        limits: HoldLimits | None = None,
        on_limited: Callable[[Limited], None] | None = None,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = limits or hold_limits()
        self.total_bytes = 0
        self._on_limited = on_limited or (lambda limited: None)
        self._now_s = now_s
        self._holdings: dict[Holder, _Holding] = {}
        # In the order of their last progress.
        self._by_stage: dict[Stage, dict[Holder, None]] = {
            stage: {} for stage in Stage
        }
        # In the order in which they became large.
        self._large: dict[Stage, dict[Holder, None]] = {
            stage: {} for stage in PAUSABLE
        }
        self._paused: dict[Holder, None] = {}

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._holdings)

    @property
    def paused(self) -> int:
        """Return how many connections are paused."""
        return len(self._paused)

    def enter(self, holder: Holder) -> None:
        """Add a connection; another one is given up if there are too many."""
        self._holdings[holder] = _Holding(self._now_s())
        self._by_stage[Stage.unused][holder] = None
        if len(self._holdings) > self.limits.connections:
            self._make_room(holder)

    def leave(self, holder: Holder) -> None:
        """Remove a connection that was closed."""
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return
        self.total_bytes -= holding.held_bytes
        self._by_stage[holding.stage].pop(holder, None)
        self._paused.pop(holder, None)
        for large in self._large.values():
            large.pop(holder, None)
        self._resume()

    def book(self, holder: Holder, stage: Stage, held_bytes: int) -> None:
        """State what a connection does and holds now."""
        holding = self._holdings.get(holder)
        if holding is None:
            return
        is_progress = held_bytes > holding.held_bytes
        if stage is not holding.stage or is_progress:
            self._by_stage[holding.stage].pop(holder, None)
            self._by_stage[stage][holder] = None
        self.total_bytes += held_bytes - holding.held_bytes
        holding.stage = stage
        holding.held_bytes = held_bytes
        self._list_large(holder, holding)
        if holding.is_paused and stage not in PAUSABLE:
            self._go_on(holder)
        if is_progress:
            self._pause(holder, holding)
            self._shed(holder, held_bytes)
        self._resume()

    def may_start(self, holder: Holder, cost_bytes: int) -> bool:
        """Return whether a request that holds so much may be started.

        One that holds little is refused last. Nothing is given up for one that
        is refused.
        """
        budget = self.limits.budget_bytes
        if cost_bytes <= SMALL_BYTES:
            budget += int(budget * SMALL_RESERVE_SHARE)
        holding = self._holdings.get(holder)
        own_bytes = holding.held_bytes if holding else 0
        more_bytes = cost_bytes - own_bytes
        needed = self.total_bytes + more_bytes - budget
        if needed <= 0 or needed <= self._sum(
            self._give_memory(holder, cost_bytes)
        ):
            self._shed(holder, cost_bytes, more_bytes)
            return True
        self._on_limited(Limited.not_started)
        return False

    def _list_large(self, holder: Holder, holding: _Holding) -> None:
        for stage, large in self._large.items():
            if stage is holding.stage and holding.held_bytes > SMALL_BYTES:
                large.setdefault(holder)
            else:
                large.pop(holder, None)

    def _pause(self, holder: Holder, holding: _Holding) -> None:
        large = self._large.get(holding.stage, {})
        if (
            self.total_bytes > self.limits.budget_bytes * PAUSE_SHARE
            and holder in large
            and not holding.is_paused
            # The first one goes on, so that always one gets done.
            and holder is not next(iter(large))
        ):
            holding.is_paused = True
            self._paused[holder] = None
            self._on_limited(Limited.paused)
            holder.hold(on=True)

    def _resume(self) -> None:
        for large in self._large.values():
            first = next(iter(large), None)
            if first in self._paused:
                self._go_on(first)
        room = self.limits.budget_bytes * PAUSE_SHARE - self.total_bytes
        while self._paused and room > READ_BYTES:
            room -= READ_BYTES
            self._go_on(next(iter(self._paused)))

    def _go_on(self, holder: Holder) -> None:
        self._paused.pop(holder, None)
        holding = self._holdings.get(holder)
        if holding is not None and holding.is_paused:
            holding.is_paused = False
            holder.hold(on=False)

    def _shed(
        self, cause: Holder, cause_bytes: int, more_bytes: int = 0
    ) -> None:
        """Give connections up until the budget holds.

        Small ones are kept if giving up all of them would not suffice. Large
        ones are given up nevertheless: what they hold would grow without a
        limit while requests in progress take up the budget.

        :param cause: the connection that holds more now, which is not given
            up.
        :param cause_bytes: what it holds or is to hold.
        :param more_bytes: how much of this is not booked yet.
        """
        excess = self.total_bytes + more_bytes - self.limits.budget_bytes
        if excess <= 0:
            return
        giving = self._give_memory(cause, cause_bytes)
        if self._sum(giving) < excess:
            giving = [one for one in giving if not self._is_small(one)]
        for holder in giving:
            holding = self._holdings.get(holder)
            if holding is None:
                continue
            excess -= holding.held_bytes
            # It counts as open until it is closed.
            self.book(holder, Stage.leaving, 0)
            self._on_limited(Limited.given_up)
            holder.give_up(Code.memory_full)
            if excess <= 0:
                return

    def _give_memory(self, cause: Holder, cause_bytes: int) -> list[Holder]:
        """Return the connections that give way to another, in order.

        Small ones give way to small ones only.
        """
        first = {next(iter(large), None) for large in self._large.values()}
        listed = [
            holder
            for stage in GIVING_MEMORY
            for holder in self._by_stage[stage]
            if holder is not cause and holder not in first
        ]
        # The sort keeps the order of progress among equals.
        return sorted(
            (
                one
                for one in listed
                if self._holdings[one].held_bytes
                and (cause_bytes <= SMALL_BYTES or not self._is_small(one))
            ),
            key=self._is_small,
        )

    def _is_small(self, holder: Holder) -> bool:
        return self._holdings[holder].held_bytes <= SMALL_BYTES

    def _sum(self, holders: list[Holder]) -> int:
        return sum(self._holdings[one].held_bytes for one in holders)

    def _make_room(self, entered: Holder) -> None:
        """Close the connection that gives way first, or the new one.

        Those that were just accepted give way only if no other one can.
        """
        listed = [
            holder
            for stage in GIVING_ROOM
            for holder in self._by_stage[stage]
            if holder is not entered
        ]
        protected_from_s = self._now_s() - ACCEPTED_S
        settled = (
            one
            for one in listed
            if self._holdings[one].accepted_s <= protected_from_s
            or self._holdings[one].stage is Stage.leaving
        )
        self._close(next(settled, listed[0] if listed else entered))

    def _close(self, holder: Holder) -> None:
        self._on_limited(Limited.no_room)
        self.leave(holder)
        holder.give_up(Code.too_many_connections)
