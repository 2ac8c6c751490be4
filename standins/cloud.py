"""Fake cloud API, which records the calls that it receives.

It runs in the process of the test, which sets its faults as attributes.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins.http_server import (
    HangUpError,
    Request,
    Response,
    json_response,
)

CALLS_PER_S = 50.0
CLOSED_S = 9.0  # time after a reclaim in which a zone has no spot servers
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_FENCED = 412
STATUS_TOO_MANY = 429


@dataclass(frozen=True, slots=True)
class CloudCall:
    """Call as it was received.

    :param at_s: when it was received, on the event loop's clock.
    :param machine: address that it came from.
    :param status: status that it was answered with, 0 for none.
    """

    at_s: float
    machine: str
    path: str
    holder: str
    token: int
    document: dict[str, Any]
    status: int


class CloudApi:
    """Cloud API with the faults of a real one.

    :ivar calls: all calls that were received, answered or not.
    :ivar is_fencing_required: whether calls with a lower token than the highest
        so far are refused.
    :ivar slow_s: time before each answer.
    :ivar is_down: whether calls end without an answer and change nothing.
    :ivar lost_answers: number of coming calls that are carried out and not
        answered.
    :ivar refused_machines: addresses whose connections are closed.
    :ivar calls_per_s: calls accepted in a second; others get status 429.
    :ivar on_order: called with each order that is accepted, if set.
    """

    def __init__(self) -> None:
        self.calls: list[CloudCall] = []
        self.is_fencing_required = False
        self.slow_s = 0.0
        self.is_down = False
        self.lost_answers = 0
        self.refused_machines: set[str] = set()
        self.calls_per_s = CALLS_PER_S
        self.on_order: Callable[[dict[str, Any]], None] | None = None
        self._closed_until_s: dict[str, float] = {}
        self._highest_token = 0

    @property
    def reports(self) -> dict[int, list[dict[str, int]]]:
        """Return the counts of all reports that were received, by window."""
        found: dict[int, list[dict[str, int]]] = {}
        for call in self.calls:
            if call.path == '/usage':
                document = call.document
                reported = found.setdefault(document['window-id'], [])
                reported.append(document['counts'])
        return found

    def reclaim(self, zone: str, closed_s: float = CLOSED_S) -> None:
        """Have no spot servers in a zone for a while."""
        self._closed_until_s[zone] = self._now_s + closed_s

    def find_violations(self, lease_s: float) -> list[str]:
        """Return how the calls violate the invariants of the duties.

        :param lease_s: time in which no machine may act again after another.
        """
        return [
            *self._differing_reports(),
            *self._wrong_tokens(),
            *self._alternations(lease_s),
        ]

    async def __call__(self, request: Request) -> Response:
        """Return the response to a call.

        :raises HangUpError: if it is not answered.
        """
        if self.is_down or request.source in self.refused_machines:
            raise HangUpError
        status = self._decide(request)
        is_lost = self.lost_answers > 0
        self.lost_answers = max(0, self.lost_answers - 1)
        self.calls.append(
            CloudCall(
                self._now_s,
                request.source,
                request.path,
                request.headers.get('x-duty-holder', ''),
                int(request.headers.get('x-fencing-token', '0')),
                request.json(),
                0 if is_lost else status,
            )
        )
        await asyncio.sleep(self.slow_s)
        if is_lost:
            raise HangUpError
        return json_response({}, status)

    @property
    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _decide(self, request: Request) -> int:
        recent = [call for call in self.calls if call.at_s > self._now_s - 1]
        if len(recent) >= self.calls_per_s:
            return STATUS_TOO_MANY
        token = int(request.headers.get('x-fencing-token', '0'))
        if self.is_fencing_required and token < self._highest_token:
            return STATUS_FENCED
        self._highest_token = max(self._highest_token, token)
        if request.path == '/scale':
            return self._decide_order(request.json())
        return STATUS_OK

    def _decide_order(self, order: dict[str, Any]) -> int:
        closed_until_s = self._closed_until_s.get(order['zone'], 0)
        if order.get('spot') and self._now_s < closed_until_s:
            return STATUS_CONFLICT
        if self.on_order is not None:
            self.on_order(order)
        return STATUS_OK

    def _differing_reports(self) -> list[str]:
        return [
            f'different reports for window {window}: {counts}'
            for window, counts in self.reports.items()
            if any(one != counts[0] for one in counts)
        ]

    def _wrong_tokens(self) -> list[str]:
        found = []
        holders: dict[int, tuple[str, str]] = {}
        for call in self.calls:
            sender = call.machine, call.holder
            if holders.setdefault(call.token, sender) != sender:
                found.append(f'token {call.token} of two holders')
        for before, after in itertools.pairwise(self.calls):
            if after.token < before.token:
                found.append(f'token {after.token} after {before.token}')
        return found

    def _alternations(self, lease_s: float) -> list[str]:
        found = []
        last: dict[str, float] = {}
        for before, call in itertools.pairwise(self.calls):
            last[before.machine] = before.at_s
            age_s = call.at_s - last.get(call.machine, float('-inf'))
            if before.machine != call.machine and age_s <= lease_s:
                found.append(f'{call.machine} acts again after {age_s:.2f} s')
        return found
