"""What connections do and hold, in the orders in which they give way.

Pure logic without I/O. The cost of a change does not depend on the number of
connections.
"""

import enum
import itertools
from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import Protocol

from siskinpass.codes import Code

# What a connection may hold without being paused, and before any that holds
# more is refused or closed: four times the largest head by default.
SMALL_BYTES = 65_536
# For which an accepted connection does not give way to others that are
# accepted, so that its first request can arrive.
ACCEPTED_S = 1.0


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

    def abort(self) -> None:
        """Close at once."""


@dataclass(slots=True)
class Holding:
    """What one connection does and holds.

    :param accepted_s: when it was accepted, on a monotonic clock.
    :param is_settled: whether it was accepted ``ACCEPTED_S`` ago or earlier.
    :param progress: rises with each progress of any connection.
    """

    accepted_s: float
    stage: Stage = Stage.unused
    held_bytes: int = 0
    is_paused: bool = False
    is_settled: bool = False
    progress: int = 0

    @property
    def is_small(self) -> bool:
        """Return whether it holds what any connection may hold."""
        return self.held_bytes <= SMALL_BYTES


class HolderLine:
    """Connections in some order, and what they hold together."""

    def __init__(self) -> None:
        self._held: OrderedDict[Holder, int] = OrderedDict()
        self.held_bytes = 0

    def __iter__(self) -> Iterator[Holder]:
        """Iterate over the connections, the first one first."""
        return iter(self._held)

    def __contains__(self, holder: Holder) -> bool:
        """Return whether a connection is in the line."""
        return holder in self._held

    @property
    def first(self) -> Holder | None:
        """Return the first connection, ``None`` if there is none."""
        return next(iter(self._held), None)

    def put(self, holder: Holder, held_bytes: int) -> None:
        """Add a connection as the last one, or change what it holds."""
        self.held_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes

    def drop(self, holder: Holder) -> None:
        """Remove a connection if it is in the line."""
        self.held_bytes -= self._held.pop(holder, 0)

    def held_by(self, holder: Holder | None) -> int:
        """Return what a connection holds, 0 if it is not in the line."""
        return self._held.get(holder, 0)


class Holdings:
    """The connections that are open, and what they do and hold.

    :ivar total_bytes: what all of them hold together.
    """

    def __init__(self) -> None:
        self.total_bytes = 0
        self._holdings: dict[Holder, Holding] = {}
        # In the order of their last progress; by whether they are settled.
        self._room = {
            (is_settled, stage): HolderLine()
            for is_settled in (True, False)
            for stage in Stage
        }
        # In the order of their last progress; by whether they are small.
        self._memory = {
            (is_small, stage): HolderLine()
            for is_small in (False, True)
            for stage in GIVING_MEMORY
        }
        # In the order in which they became large.
        self._large = {stage: HolderLine() for stage in PAUSABLE}
        # Those that are not settled, and closed ones among them.
        self._accepted: deque[Holder] = deque()
        self._progress = itertools.count()

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._holdings)

    @property
    def first_large(self) -> frozenset[Holder]:
        """Return those that have been large for longest, one of each stage.

        They are neither paused nor given up, so that always one gets done.
        """
        firsts = (line.first for line in self._large.values())
        return frozenset(one for one in firsts if one is not None)

    def find(self, holder: Holder) -> Holding | None:
        """Return what a connection does and holds, ``None`` if it is closed."""
        return self._holdings.get(holder)

    def is_large(self, holder: Holder, stage: Stage) -> bool:
        """Return whether a connection could be paused for what it holds."""
        return stage in self._large and holder in self._large[stage]

    def add(self, holder: Holder, now_s: float) -> None:
        """Add a connection that was accepted."""
        holding = Holding(now_s, progress=next(self._progress))
        self._holdings[holder] = holding
        self._list(holder, holding)
        self._accepted.append(holder)
        self._settle(now_s)

    def remove(self, holder: Holder) -> bool:
        """Remove a connection, and return whether it was known."""
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return False
        self.total_bytes -= holding.held_bytes
        self._unlist(holder, holding)
        for large in self._large.values():
            large.drop(holder)
        return True

    def change(self, holder: Holder, stage: Stage, held_bytes: int) -> bool:
        """State what a connection does and holds now.

        :returns: whether it holds more than before.
        """
        holding = self._holdings[holder]
        is_progress = held_bytes > holding.held_bytes
        is_moved = is_progress or stage is not holding.stage
        if is_moved or holding.is_small != (held_bytes <= SMALL_BYTES):
            self._unlist(holder, holding)
            holding.progress = next(self._progress)
        self.total_bytes += held_bytes - holding.held_bytes
        holding.stage = stage
        holding.held_bytes = held_bytes
        self._list(holder, holding)
        return is_progress

    def givable_bytes(self, cause: Holder, *, with_small: bool) -> int:
        """Return what those hold together that give way to a connection.

        :param with_small: whether small ones give way too.
        """
        kept = {cause, *self.first_large}
        return sum(
            line.held_bytes - sum(line.held_by(one) for one in kept)
            for line in self._giving_lines(with_small=with_small)
        )

    def giving_memory(
        self, cause: Holder, *, with_small: bool
    ) -> Iterator[Holder]:
        """Iterate over those that give way to a connection, in order.

        :param with_small: whether small ones give way too.
        """
        kept = {cause, *self.first_large}
        for line in self._giving_lines(with_small=with_small):
            for holder in line:
                if holder not in kept and line.held_by(holder):
                    yield holder

    def giving_room(self, entered: Holder) -> Holder:
        """Return the connection that gives way to one that was accepted.

        Those that were just accepted give way only if no other one can.
        """
        leaving = ((True, Stage.leaving), (False, Stage.leaving))
        others = itertools.product((True, False), GIVING_ROOM)
        for place in (*leaving, *others):
            line = self._room[place]
            found = next((one for one in line if one is not entered), None)
            if found is not None:
                return found
        return entered

    def _giving_lines(self, *, with_small: bool) -> Iterator[HolderLine]:
        for (is_small, _), line in self._memory.items():
            if with_small or not is_small:
                yield line

    def _settle(self, now_s: float) -> None:
        """Move connections to the settled ones once they are due."""
        due: list[tuple[int, Holder]] = []
        while self._accepted:
            holder = self._accepted[0]
            holding = self._holdings.get(holder)
            if holding is not None:
                if holding.accepted_s > now_s - ACCEPTED_S:
                    break
                due.append((holding.progress, holder))
            self._accepted.popleft()
        for _, settled in sorted(due, key=itemgetter(0)):
            holding = self._holdings[settled]
            self._room[False, holding.stage].drop(settled)
            self._room[True, holding.stage].put(settled, holding.held_bytes)
            holding.is_settled = True

    def _list(self, holder: Holder, holding: Holding) -> None:
        room = self._room[holding.is_settled, holding.stage]
        room.put(holder, holding.held_bytes)
        memory = self._memory.get((holding.is_small, holding.stage))
        if memory is not None:
            memory.put(holder, holding.held_bytes)
        for stage, large in self._large.items():
            if stage is holding.stage and not holding.is_small:
                large.put(holder, holding.held_bytes)
            else:
                large.drop(holder)

    def _unlist(self, holder: Holder, holding: Holding) -> None:
        self._room[holding.is_settled, holding.stage].drop(holder)
        memory = self._memory.get((holding.is_small, holding.stage))
        if memory is not None:
            memory.drop(holder)
