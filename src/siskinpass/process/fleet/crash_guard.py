"""Keep prompt parts and requests that crash backend servers away from them.

Each instance sees only its own requests end, so that instances announce to each
other which requests a crash cut off and which parts were in answers that went
on. Whichever first knows enough asks the others whether they know better,
blocks the part or the request and announces that. Blocks, and the most telling
of the requests that crashes cut off, are also recorded in the store, for
instances that start later or missed the announcements.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

from siskinpass.codes import Code
from siskinpass.exceptions import RefusedError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.blocked_parts import BLOCK_S, BlockedParts, BlockList
from siskinpass.process.crash_evidence import (
    BEGUN_WEIGHT,
    BrokenRequest,
    ClearedPart,
    CrashEvidence,
)
from siskinpass.process.fleet.fact_topics import (
    BLAMED,
    BLOCKED,
    BROKEN,
    CLEARED,
    Exchange,
)
from siskinpass.process.fleet.part_records import PartRecords
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import Listed, StoreUnavailable, StoreUpdate
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.request.identity import is_identity
from siskinpass.request.isolation import SUSPICIOUS_CRASHES
from siskinpass.request.ticket import ServerView

MS_PER_S = 1000
# Time after which the idle connections to a server that ended are closed.
CLOSE_DELAY_S = 0.05
# Longest wait for the result of the check whether a server has ended: one that
# cannot be reached at all delays it.
VERDICT_S = 0.15
# Time that the others have to object to the blame on a part. They announce
# twice, ``ANNOUNCE_AGAIN_S`` apart.
CONTEST_S = 0.5
# An instance that refuses a request records its parts if the one that blocked
# them seems to have failed to.
UNRECORDED_S = 3.0

HasEnded = Callable[[ServerView], Awaitable[bool]]
OnEnded = Callable[[str, int], None]
OnBlocked = Callable[[Iterable[BlockedParts]], None]


class CrashGuard:
    """Owner of what this instance knows about what crashes servers.

    :param has_ended: returns whether a server's process has ended.
    :param store: where blocked parts are recorded.
    :param exchange: sends facts to the other instances and receives theirs.
    :param on_ended: called with the name and the incarnation of each server
        whose process has ended under a request, here or at another instance.
    """

    def __init__(
        self,
        has_ended: HasEnded,
        store: StoreClient,
        exchange: Exchange,
        on_ended: OnEnded,
        metrics: Metrics,
    ) -> None:
        self._has_ended = has_ended
        self._records = PartRecords(store)
        self._exchange = exchange
        self._on_ended = on_ended
        self._metrics = metrics
        self._log = ComponentLog('parts')
        self._crashes = CrashEvidence()
        self._blocks = BlockList()
        self._recorded: set[frozenset[str]] = set()
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._background = BackgroundTasks()
        self._listeners: list[OnBlocked] = []
        self._contests: dict[frozenset[str], asyncio.Task[None]] = {}
        self._subscribe()

    @property
    def blocked(self) -> tuple[BlockedParts, ...]:
        """Return all blocked parts."""
        return self._blocks.current(time.time())

    @property
    def is_watching(self) -> bool:
        """Return whether anything is suspected or blocked."""
        return bool(self.blocked) or not self._crashes.is_empty

    def crashes_of(self, name: str) -> int:
        """Return how many servers have ended under a request or a part."""
        return self._crashes.count(name)

    def subscribe(self, listener: OnBlocked) -> None:
        """Call a function with all parts that are blocked from now on."""
        self._listeners.append(listener)

    async def admit(self, parts: tuple[str, ...]) -> None:
        """Refuse a prompt that would crash a server.

        Waits until it is decided whether its parts are to blame.

        :param parts: names of the parts that other prompts may share.
        :raises RefusedError: if the prompt holds blocked parts.
        """
        given = frozenset(parts)
        contests = [
            contest
            for blamed, contest in self._contests.items()
            if blamed <= given
        ]
        if contests:
            await asyncio.wait(contests)
        self.check(parts)

    def check(self, parts: tuple[str, ...]) -> None:
        """Refuse a prompt that is known to crash servers.

        :param parts: names of the parts that other prompts may share.
        :raises RefusedError: if the prompt holds blocked parts.
        """
        now_s = time.time()
        found = self._blocks.find(parts, now_s) if parts else None
        if found is None:
            return
        if found.needs_renewal(now_s) or self._is_unrecorded(found, now_s):
            self._block(BlockedParts(found.parts, now_s))
        raise RefusedError(
            Code.request_blocked if found.is_request else Code.part_blocked,
            retry_after_ms=int(BLOCK_S * MS_PER_S),
        )

    def is_blocked(self, parts: tuple[str, ...]) -> bool:
        """Return whether a prompt would be refused."""
        return self._blocks.find(parts, time.time()) is not None

    def clear(self, parts: tuple[str, ...]) -> None:
        """Record that an answer to a prompt with some parts went on."""
        cleared = self._crashes.clear(parts)
        if cleared:
            CLEARED.announce(self._exchange, cleared)
            self._check_beside(cleared)

    async def note_broken(
        self, request: BrokenRequest, server: ServerView
    ) -> None:
        """Record that an answer broke off, if its server has ended.

        A server that still accepts connections, or that only this instance does
        not reach, has not crashed. Returns once that is known, or seems to take
        long.
        """
        check = self._background.start(self._check_server(request, server))
        await asyncio.wait((check,), timeout=VERDICT_S)

    def _subscribe(self) -> None:
        BROKEN.subscribe(self._exchange, self._add_ended)
        CLEARED.subscribe(self._exchange, self._merge_cleared)
        BLAMED.subscribe(self._exchange, self._object)
        BLOCKED.subscribe(self._exchange, self._merge)

    def _merge_cleared(self, pairs: Iterable[ClearedPart]) -> None:
        """Merge parts that another instance saw in answers that went on."""
        self._check_beside(self._crashes.merge_cleared(pairs))

    def _object(self, blamed: Iterable[ClearedPart]) -> None:
        """Object if another instance blames parts that were sound here."""
        cleared = self._crashes.cleared_among(blamed)
        if cleared:
            CLEARED.announce(self._exchange, cleared)

    def receive_relayed(self, blocked: tuple[BlockedParts, ...]) -> None:
        """Merge parts that the reader of the store knows as blocked."""
        self._recorded.update(one.parts for one in blocked)
        self._merge(blocked)

    def apply_store(self, update: StoreUpdate) -> None:
        """Apply a store update of the blocked parts.

        A record that is missing, as after the restore of a copy, is written
        again with the next request that is refused.
        """
        if isinstance(update, StoreUnavailable):
            return
        if isinstance(update, Listed):
            self._recorded.clear()
        records = [
            one
            for stored in update.stored
            if not stored.is_deleted
            for one in self._records.read(stored)
        ]
        self.receive_relayed(
            tuple(one for one in records if isinstance(one, BlockedParts))
        )
        self._add_broken(
            one for one in records if isinstance(one, BrokenRequest)
        )

    def _merge(self, blocked: Iterable[BlockedParts]) -> None:
        added = self._blocks.merge(blocked, time.time())
        for one in added:
            self._log.note(
                'Prompt parts are blocked.',
                parts=sorted(one.parts),
                asked_s=int(one.at_s),
            )
        if added:
            self._crashes.explain(one.parts for one in self.blocked)
            self._metrics.set_state('blocked_parts', len(self.blocked))
            for listener in self._listeners:
                listener(added)

    async def _check_server(
        self, request: BrokenRequest, server: ServerView
    ) -> None:
        probe = self._probes.get(server.name)
        if probe is None:
            probe = asyncio.ensure_future(self._is_gone(server))
            self._probes[server.name] = probe
            probe.add_done_callback(lambda _: self._probes.pop(server.name))
        if await probe:
            self._log.note(
                'A server ended under a request.',
                call=request.call,
                server=server.name,
                parts=request.parts,
                begun=request.weight == BEGUN_WEIGHT,
            )
            self._metrics.noticed('crash')
            BROKEN.announce(self._exchange, (request,))
            self._add_ended((request,))
            for one in self._worth_recording(request):
                self._background.start(
                    self._records.write_suspects(one, self._crashes.suspects)
                )

    def _worth_recording(self, request: BrokenRequest) -> set[BrokenRequest]:
        """Return the requests that instances that start later should know.

        Most of those that a crash cuts off are sound. Those that fell in an
        earlier crash too, or as their answers began, are few.
        """
        found = {request} if request.weight == BEGUN_WEIGHT else set()
        for name in filter(is_identity, request.parts):
            if self._crashes.count(name) >= SUSPICIOUS_CRASHES:
                found.update(self._crashes.requests(name))
        return found

    async def _is_gone(self, server: ServerView) -> bool:
        # A process that ends closes all its connections, idle ones too.
        await asyncio.sleep(CLOSE_DELAY_S)
        return await self._has_ended(server)

    def _add_ended(self, requests: Iterable[BrokenRequest]) -> None:
        """Add requests whose servers have just ended."""
        given = tuple(requests)
        for request in given:
            name, _, incarnation = request.server.rpartition('/')
            self._log.note(
                'A server counts as ended.', call=request.call, server=name
            )
            self._on_ended(name, int(incarnation))
        self._add_broken(given)

    def _add_broken(self, requests: Iterable[BrokenRequest]) -> None:
        added = self._crashes.merge(requests)
        self._blame({part for request in added for part in request.parts})

    def _check_beside(self, cleared: tuple[ClearedPart, ...]) -> None:
        """Look again at the parts that were in prompts with cleared ones."""
        if cleared:
            self._blame(self._crashes.parts_beside(cleared))

    def _blame(self, parts: Iterable[str]) -> None:
        for part in sorted(parts):
            blamed = self._crashes.blamed(part)
            is_new = blamed and blamed not in self._contests
            if is_new and not self.is_blocked(tuple(blamed)):
                self._contest(part, blamed)

    def _contest(self, part: str, blamed: frozenset[str]) -> None:
        """Ask the others about blamed parts; block them if none objects."""
        servers = self._crashes.servers(part)
        self._log.note(
            'Prompt parts are blamed.', parts=sorted(blamed), servers=servers
        )
        pairs = tuple((one, server) for one in blamed for server in servers)
        BLAMED.announce(self._exchange, pairs)
        task = asyncio.ensure_future(self._decide(part))
        self._contests[blamed] = task
        task.add_done_callback(lambda _: self._contests.pop(blamed))

    async def _decide(self, part: str) -> None:
        await asyncio.sleep(CONTEST_S)
        blamed = self._crashes.blamed(part)
        if blamed and not self.is_blocked(tuple(blamed)):
            self._log.warn(
                'Prompt parts crash servers.',
                parts=sorted(blamed),
                servers=self._crashes.servers(part),
            )
            self._block(BlockedParts(blamed, time.time()))

    def _block(self, blocked: BlockedParts) -> None:
        self._merge((blocked,))
        BLOCKED.announce(self._exchange, (blocked,))
        self._recorded.add(blocked.parts)
        self._background.start(self._records.write(blocked))

    def _is_unrecorded(self, found: BlockedParts, now_s: float) -> bool:
        is_old = now_s - found.at_s >= UNRECORDED_S
        return is_old and found.parts not in self._recorded
