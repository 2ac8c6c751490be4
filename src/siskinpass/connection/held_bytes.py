"""Account of what callers' connections hold of the process's resources.

Pure logic without I/O; the clock is passed in. It answers a crowd of callers
that send and hold as much as they can: above a first threshold the connections
that hold most take in no more, above a second one they are refused or closed,
those first that have been stalled longest.

A connection that is told something books what it holds then. What is decided
is therefore done by one loop, after the books are complete.
"""

import enum
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from siskinpass.codes import Code
from siskinpass.connection.holdings import (
    PAUSABLE,
    SMALL_BYTES,
    Holder,
    Holding,
    Holdings,
    Stage,
)

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
RESERVED_FDS = 200  # for files
DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4096


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


class HeldBytes:
    """Owner of the account.

    :param on_limited: called with what was done to a connection.
    :param now_s: returns the time of a monotonic clock.
    :param on_fault: called with an exception of a connection that was told
        something; it is closed then.
    """

    def __init__(
        self,
        limits: HoldLimits | None = None,
        on_limited: Callable[[Limited], None] | None = None,
        now_s: Callable[[], float] = time.monotonic,
        on_fault: Callable[[Exception], None] | None = None,
    ) -> None:
        self.limits = limits or hold_limits()
        self._on_limited = on_limited or (lambda limited: None)
        self._on_fault = on_fault or (lambda error: None)
        self._now_s = now_s
        self._holdings = Holdings()
        self._paused: OrderedDict[Holder, None] = OrderedDict()
        # What connections are to be told, in this order.
        self._due: deque[tuple[Holder, Callable[[], None]]] = deque()
        self._is_telling = False

    @property
    def total_bytes(self) -> int:
        """Return what all connections hold together."""
        return self._holdings.total_bytes

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
        self._holdings.add(holder, self._now_s())
        if len(self._holdings) > self.limits.connections:
            self._close(self._holdings.giving_room(holder))
        self._tell()

    def leave(self, holder: Holder) -> None:
        """Remove a connection that was closed."""
        if self._holdings.remove(holder):
            self._paused.pop(holder, None)
            self._resume()
            self._tell()

    def book(self, holder: Holder, stage: Stage, held_bytes: int) -> None:
        """State what a connection does and holds now."""
        holding = self._holdings.find(holder)
        if holding is None:
            return
        is_progress = self._holdings.change(holder, stage, held_bytes)
        if holding.is_paused and stage not in PAUSABLE:
            self._go_on(holder)
        if is_progress:
            self._pause(holder, holding)
            self._shed(holder, held_bytes)
        self._resume()
        self._tell()

    def may_start(self, holder: Holder, cost_bytes: int) -> bool:
        """Return whether a request that holds so much may be started.

        One that holds little is refused last. Nothing is given up for one that
        is refused.
        """
        budget = self.limits.budget_bytes
        is_small = cost_bytes <= SMALL_BYTES
        if is_small:
            budget += int(budget * SMALL_RESERVE_SHARE)
        holding = self._holdings.find(holder)
        own_bytes = holding.held_bytes if holding else 0
        more_bytes = cost_bytes - own_bytes
        needed = self.total_bytes + more_bytes - budget
        if needed <= 0 or needed <= self._holdings.givable_bytes(
            holder, with_small=is_small
        ):
            self._shed(holder, cost_bytes, more_bytes)
            self._tell()
            return True
        self._on_limited(Limited.not_started)
        return False

    def _pause(self, holder: Holder, holding: Holding) -> None:
        if (
            self.total_bytes > self.limits.budget_bytes * PAUSE_SHARE
            and self._holdings.is_large(holder, holding.stage)
            and not holding.is_paused
            and holder not in self._holdings.first_large
        ):
            holding.is_paused = True
            self._paused[holder] = None
            self._on_limited(Limited.paused)
            self._due.append((holder, partial(holder.hold, on=True)))

    def _resume(self) -> None:
        for first in self._holdings.first_large:
            if first in self._paused:
                self._go_on(first)
        room = self.limits.budget_bytes * PAUSE_SHARE - self.total_bytes
        while self._paused and room > READ_BYTES:
            room -= READ_BYTES
            self._go_on(next(iter(self._paused)))

    def _go_on(self, holder: Holder) -> None:
        self._paused.pop(holder)
        holding = self._holdings.find(holder)
        holding.is_paused = False
        self._due.append((holder, partial(holder.hold, on=False)))

    def _shed(
        self, cause: Holder, cause_bytes: int, more_bytes: int = 0
    ) -> None:
        """Give connections up until the budget holds.

        Small ones are kept if giving up all of them would not suffice. Large
        ones are given up nevertheless: what they hold would grow without a
        limit while requests in progress take up the budget.

        :param cause: the connection that holds more now, which is not given
            up.
        :param cause_bytes: what it holds or is to hold. Small connections give
            way to small ones only.
        :param more_bytes: how much of this is not booked yet.
        """
        excess = self.total_bytes + more_bytes - self.limits.budget_bytes
        if excess <= 0:
            return
        with_small = cause_bytes <= SMALL_BYTES
        if self._holdings.givable_bytes(cause, with_small=with_small) < excess:
            with_small = False
        given_up = []
        for holder in self._holdings.giving_memory(
            cause, with_small=with_small
        ):
            given_up.append(holder)
            excess -= self._holdings.find(holder).held_bytes
            if excess <= 0:
                break
        for one in given_up:
            # It counts as open until it is closed.
            self._holdings.change(one, Stage.leaving, 0)
            self._on_limited(Limited.given_up)
            self._due.append((one, partial(one.give_up, Code.memory_full)))
            if one in self._paused:
                self._go_on(one)

    def _close(self, holder: Holder) -> None:
        self._on_limited(Limited.no_room)
        self._holdings.remove(holder)
        self._paused.pop(holder, None)
        self._resume()
        self._due.append((
            holder,
            partial(holder.give_up, Code.too_many_connections),
        ))

    def _tell(self) -> None:
        """Tell connections what was decided, unless this is being done."""
        if self._is_telling:
            return
        self._is_telling = True
        try:
            while self._due:
                self._tell_one(*self._due.popleft())
        finally:
            self._is_telling = False

    def _tell_one(self, holder: Holder, tell: Callable[[], None]) -> None:
        try:
            tell()
        except Exception as error:
            # What the others are told must not depend on this one.
            self._on_fault(error)
            holder.abort()
