"""Merge the counts of all instances and evaluate the service-level promises.

The holder of the status lease reads its peers' counts each second, evaluates
the promises and writes the result to the object store. The other instances read
it from there, so that each can report it.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import orjson

from siskinpass.exceptions import (
    StoreConflictError,
    StoreError,
)
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.breach import (
    BreachPolicy,
    BreachWatch,
    NodeState,
    PromiseState,
)
from siskinpass.process.counts import Tally, TallyHistory, merge
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import Member
from siskinpass.process.peers import PEER_ERRORS, PeerLinks
from siskinpass.process.store import Store
from siskinpass.process.store_lease import StoreLease
from siskinpass.version.tree_version import CurrentVersion

STATUS_KEY = 'status/promises'
INTERVAL_S = 1.0
READ_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 0.8
MAX_ALARMS = 200  # latest alarms kept in the document
MEDIAN = 0.5
TAIL = 0.95


@dataclass(frozen=True, slots=True)
class Alarm:
    """A breach that was raised or cleared.

    :param node: path of the request class in the settings tree.
    :param state: ``raised`` or ``cleared``.
    :param at: Unix time.
    """

    node: str
    state: str
    cause: str
    at: float


@dataclass(frozen=True, slots=True)
class StatusContext:
    """Parts of the process that the status is computed from.

    :param name: name of this instance.
    :param counts: counts of this instance.
    :param members: returns the live members.
    """

    name: str
    store: Store
    links: PeerLinks
    current_version: CurrentVersion
    counts: TallyHistory
    members: Callable[[], list[Member]]


class StatusAggregator:
    """Evaluates all promises while the lease is held, else reads the result.

    :ivar document: the latest status document, computed here or read.
    """

    def __init__(
        self,
        context: StatusContext,
        lease: StoreLease,
    ) -> None:
        """Create an aggregator; requires a running event loop."""
        self._own = context.name
        self._store = context.store
        self._links = context.links
        self._current_version = context.current_version
        self._counts = context.counts
        self._members = context.members
        self._lease = lease
        self._loop = asyncio.get_running_loop()
        self._merged = TallyHistory()
        self._breach_watches: dict[str, BreachWatch] = {}
        self._states: dict[str, NodeState] = {}
        self._alarms: list[Alarm] = []
        self._policy = BreachPolicy()
        self._last_evaluated = 0
        self._last_merged: dict[str, int] = {}
        self._stored = b''
        self._log = ComponentLog('status')
        self._read_at_s = 0.0
        self.document: dict[str, Any] = {'promises': {}, 'alarms': []}

    async def run(self) -> None:
        """Evaluate each second while the lease is held, else read the result.

        Runs until cancelled. A step that the store does not answer is skipped.
        """
        while True:
            await asyncio.sleep(INTERVAL_S)
            with suppress(StoreError):
                await self._step()

    async def _step(self) -> None:
        fence = self._lease.fence
        if fence is None:
            self._breach_watches.clear()
            await self._read()
            return
        # The current second is incomplete, so the one before it is the last.
        last = int(self._loop.time()) - 1
        if last <= self._last_evaluated:
            return
        await self._collect(last)
        self._evaluate(last)
        self._last_evaluated = last
        await self._write(fence)

    async def _collect(self, last: int) -> None:
        own = encode_counts_after(
            self._counts, self._last_merged_second(self._own), last
        )
        self._merge(self._own, last, last, own)
        others = [
            member.name
            for member in self._members()
            if member.name != self._own
        ]
        await asyncio.gather(*[self._fetch(name, last) for name in others])

    async def _fetch(self, name: str, last: int) -> None:
        request = pb.CountsRequest(after_second=self._last_merged_second(name))
        try:
            stub = self._links.stub(name)
            reply = await stub.ReadCounts(request, timeout=CALL_TIMEOUT_S)
        except PEER_ERRORS:
            self._links.drop(name)
            return
        self._merge(name, last, reply.last_second, reply.counts)

    def _last_merged_second(self, name: str) -> int:
        """Return the last second of an instance's counts that was merged."""
        return self._last_merged.get(name, 0)

    def _merge(
        self,
        name: str,
        last: int,
        peer_last_second: int,
        counts: Iterable[pb.NodeCounts],
    ) -> None:
        self._last_merged[name] = peer_last_second
        for node_counts in counts:
            if node_counts.age_s < self._policy.long_s:
                tally = _decode_tally(node_counts)
                self._merged.add(
                    last - node_counts.age_s, node_counts.node, tally
                )

    def _evaluate(self, last: int) -> None:
        version = self._current_version.current
        if version is None:
            return
        for node in self._merged.nodes():
            class_settings = version.tree.class_settings(*node.split('/', 1))
            if class_settings is None:
                continue
            watch = self._breach_watches.get(node)
            if watch is None:
                watch = BreachWatch(self._policy, class_settings.objective)
                self._breach_watches[node] = watch
            seconds = self._merged.window(node, last, self._policy.long_s)
            self._update_state(node, watch.evaluate(seconds, last))
        self.document = self._describe(last)

    def _update_state(self, node: str, state: NodeState) -> None:
        before = self._states.get(node)
        self._states[node] = state
        was_breached = (
            before is not None and before.state is PromiseState.breached
        )
        is_breached = state.state is PromiseState.breached
        if was_breached == is_breached:
            return
        alarm = Alarm(
            node,
            'raised' if is_breached else 'cleared',
            state.cause.value,
            time.time(),
        )
        self._alarms.append(alarm)
        self._alarms = self._alarms[-MAX_ALARMS:]
        self._log.warn(
            'A breach was raised.' if is_breached else 'A breach was cleared.',
            node=node,
            cause=state.cause.value,
        )

    def _describe(self, last: int) -> dict[str, Any]:
        promises = {}
        for node, state in self._states.items():
            tally = merge(
                self._merged.window(node, last, self._policy.long_s),
            )
            met = tally.total - tally.missed
            promises[node] = {
                'state': state.state.value,
                'cause': state.cause.value,
                'burn': round(state.burn, 2),
                'requests': tally.total,
                'refused': tally.refused,
                'attainment': round(met / tally.total, 4)
                if tally.total
                else None,
                'first_ms_p50': tally.first_ms(MEDIAN),
                'first_ms_p95': tally.first_ms(TAIL),
            }
        return {
            'holder': self._own,
            'at': time.time(),
            'promises': promises,
            'alarms': [
                {
                    'node': alarm.node,
                    'state': alarm.state,
                    'cause': alarm.cause,
                    'at': alarm.at,
                }
                for alarm in self._alarms
            ],
        }

    async def _write(self, fence: int) -> None:
        body = orjson.dumps({**self.document, 'fence': fence})
        stored = await self._store.read(STATUS_KEY)
        if stored is None:
            await self._store.create(STATUS_KEY, body)
            return
        previous = orjson.loads(stored.body)
        if previous.get('fence', 0) > fence:
            return
        try:
            await self._store.replace(STATUS_KEY, body, stored.version)
        except StoreConflictError:
            self._log.warn(
                'The status was not written: another instance wrote it first.'
            )

    async def _read(self) -> None:
        if self._loop.time() - self._read_at_s < READ_INTERVAL_S:
            return
        self._read_at_s = self._loop.time()
        stored = await self._store.read(STATUS_KEY)
        if stored is not None:
            self.document = orjson.loads(stored.body)


def encode_counts_after(
    counts: TallyHistory,
    second: int,
    last: int,
) -> list[pb.NodeCounts]:
    """Return the tallies of complete seconds in the form sent to peers.

    :param second: only seconds after this one are included.
    :param last: the last complete second, from which ages are counted.
    """
    return [
        _encode_tally(node, last - at, tally)
        for at, node, tally in counts.after(second)
        if at <= last
    ]


def _encode_tally(node: str, age_s: int, tally: Tally) -> pb.NodeCounts:
    last = max(tally.first_token_buckets, default=-1)
    buckets = [tally.first_token_buckets[bucket] for bucket in range(last + 1)]
    return pb.NodeCounts(
        node=node,
        age_s=age_s,
        total=tally.total,
        missed=tally.missed,
        refused=tally.refused,
        slow_backend=tally.slow_backend,
        first_buckets=buckets,
    )


def _decode_tally(counts: pb.NodeCounts) -> Tally:
    tally = Tally(
        counts.total,
        counts.missed,
        counts.refused,
        counts.slow_backend,
    )
    for bucket, count in enumerate(counts.first_buckets):
        if count:
            tally.first_token_buckets[bucket] = count
    return tally
