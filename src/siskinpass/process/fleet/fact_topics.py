"""Announce facts to the other instances and read their announcements.

An announcement holds the rows of some facts of one kind. Each topic is sent
twice and may arrive repeated, late or not at all.
"""

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import astuple, dataclass
from typing import Any, Generic, Protocol, TypeVar

from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.crash_evidence import BrokenRequest, ClearedPart
from siskinpass.process.fleet.path_reports import PathReport
from siskinpass.process.fleet.server_limits import (
    BrittleService,
    ServerLimit,
)
from siskinpass.process.version_history import StreamBegun
from siskinpass.process.workspace_shares import WorkReport
from siskinpass.request.ticket import ServerView

MAX_ROWS = 16  # of facts in one datagram
LEAVING_COLUMNS = 8  # of ``ServerView``, up to its version

FactT = TypeVar('FactT')


class Exchange(Protocol):
    """Sender and receiver of announcements."""

    def announce(self, topic: str, payload: Any) -> None:
        """Send a payload to the other instances."""

    def subscribe(self, topic: str, receive: Callable[[Any], None]) -> None:
        """Pass the payloads of a topic to a function."""


@dataclass(frozen=True, slots=True)
class FactTopic(Generic[FactT]):
    """Announcements of one kind of facts.

    :param name: name of the topic in the announcements.
    :param encode: returns the row of a fact, of types that JSON has.
    :param decode: returns the fact of a row.
    """

    name: str
    encode: Callable[[FactT], Any]
    decode: Callable[[Any], FactT]

    def announce(self, exchange: Exchange, facts: Iterable[FactT]) -> None:
        """Announce facts to the other instances."""
        rows = [self.encode(fact) for fact in facts]
        for start in range(0, len(rows), MAX_ROWS):
            exchange.announce(self.name, rows[start : start + MAX_ROWS])

    def subscribe(
        self,
        exchange: Exchange,
        receive: Callable[[tuple[FactT, ...]], None],
    ) -> None:
        """Pass the facts that others announce to a function."""
        exchange.subscribe(
            self.name, lambda rows: receive(tuple(map(self.decode, rows)))
        )


def _encode_leaving(fact: ServerView) -> Any:
    """Return the columns that the build before reads.

    It drops a datagram whose rows have more, and would not hear of servers
    that leave.
    """
    return astuple(fact)[:LEAVING_COLUMNS]


def _decode_broken(row: list[Any]) -> BrokenRequest:
    call, server, parts, *numbers = row
    return BrokenRequest(call, server, tuple(parts), *numbers)


def _decode_cleared(row: list[str]) -> ClearedPart:
    part, server = row
    return part, server


def _encode_blocked(fact: BlockedParts) -> Any:
    return sorted(fact.parts), fact.at_s


def _decode_blocked(row: list[Any]) -> BlockedParts:
    parts, at_s = row
    return BlockedParts(frozenset(parts), at_s)


def _encode_stream(fact: StreamBegun) -> Any:
    return fact.stream, fact.service, fact.version


def _decode_stream(row: list[str]) -> StreamBegun:
    return StreamBegun(*row, time.time())


def _encode_path_report(fact: PathReport) -> Any:
    return fact.instance, fact.is_cut_off, fact.failed


def _decode_path_report(row: list[Any]) -> PathReport:
    instance, is_cut_off, failed = row
    return PathReport(instance, is_cut_off, tuple(failed), time.time())


def _encode_brittle(fact: BrittleService) -> Any:
    return fact.service, fact.refusals_per_s


def _decode_brittle(row: list[Any]) -> BrittleService:
    return BrittleService(*row, time.time())


def _encode_work(fact: WorkReport) -> Any:
    # Written out, so that a new field of the class does not change the row.
    return [
        fact.name,
        fact.sequence,
        fact.pool,
        fact.tier,
        fact.workspace,
        fact.granted,
        fact.asked,
    ]


def _decode_work(row: list[Any]) -> WorkReport:
    report = WorkReport(*row)
    numbers = (report.sequence, report.tier, report.granted, report.asked)
    if not math.isfinite(sum(numbers)):
        raise ValueError('work is not finite')
    return report


LEAVING: FactTopic[ServerView] = FactTopic(
    'leaving', _encode_leaving, lambda row: ServerView(*row)
)
LIMITS: FactTopic[ServerLimit] = FactTopic(
    'limits', astuple, lambda row: ServerLimit(*row)
)
# Requests that a crash cut off.
BROKEN: FactTopic[BrokenRequest] = FactTopic('broken', astuple, _decode_broken)
# Parts that were in answers that went on, each with a server that had ended.
CLEARED: FactTopic[ClearedPart] = FactTopic('cleared', tuple, _decode_cleared)
# The same pairs for parts that will be blocked if nobody objects.
BLAMED: FactTopic[ClearedPart] = FactTopic('blamed', tuple, _decode_cleared)
BLOCKED: FactTopic[BlockedParts] = FactTopic(
    'blocked', _encode_blocked, _decode_blocked
)
STREAMS: FactTopic[StreamBegun] = FactTopic(
    'streams', _encode_stream, _decode_stream
)
# The same streams, of an instance that cannot record them.
UNRECORDED: FactTopic[StreamBegun] = FactTopic(
    'unrecorded', _encode_stream, _decode_stream
)
# Services whose servers fail if they turn too many requests away.
BRITTLE: FactTopic[BrittleService] = FactTopic(
    'brittle', _encode_brittle, _decode_brittle
)
# Servers that an instance does not reach by connections of its own.
PATHS: FactTopic[PathReport] = FactTopic(
    'paths', _encode_path_report, _decode_path_report
)
# Work that instances granted, by workspace.
WORK: FactTopic[WorkReport] = FactTopic('work', _encode_work, _decode_work)
TOPICS: tuple[FactTopic[Any], ...] = (
    LEAVING,
    LIMITS,
    BROKEN,
    CLEARED,
    BLAMED,
    BLOCKED,
    STREAMS,
    UNRECORDED,
    PATHS,
    BRITTLE,
    WORK,
)
