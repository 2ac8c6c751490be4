"""Run the parts of one entry instance and pass messages between them."""

import asyncio
import signal
import time
from collections.abc import Iterable
from functools import partial

from siskinpass.connection.backend import BackendPool, PoolPolicy
from siskinpass.connection.http_caller import HttpCaller, Serve
from siskinpass.exceptions import FormatError, StoreConflictError, StoreError
from siskinpass.platform import directory
from siskinpass.platform.config import CONFIG_KIND, CONFIG_NAME, decode_config
from siskinpass.platform.objects import INSTANCES_KIND, StoredObject
from siskinpass.platform.workers import WORKERS_KIND, decode_worker
from siskinpass.process.addresses import addresses_near
from siskinpass.process.affinity import AffinityChooser
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.forward import Forwarder, RetryBudgets, Tools
from siskinpass.process.fleet.loads import LoadExchange
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import (
    Changed,
    KindWatch,
    Listed,
    Lost,
    News,
)
from siskinpass.process.gossip import Gossip
from siskinpass.process.limits import LimitPolicy
from siskinpass.process.logs import PartLog
from siskinpass.process.membership import Member, Membership, MembershipPolicy
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_book import ServerBook
from siskinpass.request.inbound import WireRequest
from siskinpass.request.retry_window import RetryWindow
from siskinpass.request.ticket import PromptPlaced, ServerView
from siskinpass.version.routes import CallerLimits, RouteTable

NS_PER_MS = 1_000_000
BACKLOG = 1024
# One lost answer in twenty is ordinary on the sheets; three in a row are not.
PROBE_AFTER = 3
# The chooser bounds what a server gets, by all instances' loads.
UNLIMITED = LimitPolicy(start=10_000, least=10_000, most=10_000)
TICK_S = 0.1
# The load reports' port follows that of the heartbeats.
LOADS_PORT_STEP = 2
# Kept connections to backend servers are reused for long; the server's own
# Keep-Alive shortens this.
BACKEND_IDLE_S = 60.0
BACKEND_IDLE_MOST = 64
CONNECT_S = 1.0
REGISTER_RETRY_S = 0.5
# A directory answer is kept for up to three times as long; the shorter, the
# sooner callers leave an instance that stops.
DIRECTORY_TTL_S = 1
KEPT_ANSWERS = 3  # some callers keep an answer for three times as long
CROSSING_S = 0.3  # requests that were sent before a listener closed arrive
EXIT_MARGIN_S = 0.3  # before the kill that follows the grace time
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
TEXT = (b'Content-Type', b'text/plain; charset=utf-8')
JSON = (b'Content-Type', b'application/json')


class FleetNode:
    """Own the parts of one process."""

    def __init__(self, settings: FleetSettings) -> None:
        """Make the parts; nothing is opened yet."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._log = PartLog('node')
        self._metrics = Metrics()
        self._table: RouteTable | None = None
        self._servers = ServerBook()
        self._has_servers = False
        self._ready = asyncio.Event()
        self._stopping = asyncio.Event()
        self._callers: set[HttpCaller] = set()
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._most_instances = 1
        self._store = StoreClient(settings.store, self._note_store_call)
        self._assigner = Assigner(self._policy_of, self._tell_placed)
        bounds = settings.promises.retries
        self._budgets = RetryBudgets(
            partial(RetryWindow, bounds.ratio, bounds.slack, bounds.window_s),
            self._count_instances,
        )
        self._forwarder = Forwarder(
            Tools(
                table=self._current_table,
                assigner=self._assigner,
                backends=BackendPool(
                    self._loop,
                    PoolPolicy(CONNECT_S, BACKEND_IDLE_S, BACKEND_IDLE_MOST),
                ),
                metrics=self._metrics,
                may_retry=self._budgets.spend,
                note_request=self._budgets.note_request,
            ),
        )
        self._gossip = Gossip(
            Membership(self._own_member(), MembershipPolicy(), _chance()),
            settings.name.partition('-')[0],
            self._take_members,
        )
        self._loads = LoadExchange(
            settings.name,
            self._own_loads,
            self._peer_sockets,
            self._assigner.take_peer_loads,
            self._assigner.note_placed,
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        self._log.note('The process starts.', instance=self._settings.name)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._open_peers()
        for kind, tell in (
            (CONFIG_KIND, self._take_config),
            (WORKERS_KIND, self._take_workers),
        ):
            self._start(KindWatch(self._store, kind, tell).run())
        self._start(self._register())
        await _first_of(self._ready.wait(), self._stopping.wait())
        if not self._stopping.is_set():
            await self._open_callers()
            await self._stopping.wait()
        await self._drain()

    def _start(self, work) -> None:
        self._tasks.append(self._loop.create_task(work))

    async def _open_peers(self) -> None:
        settings = self._settings
        for protocol, port in (
            (self._gossip, settings.peer_port),
            (self._loads, settings.peer_port + LOADS_PORT_STEP),
        ):
            await self._loop.create_datagram_endpoint(
                lambda protocol=protocol: protocol,
                local_addr=(settings.ip, port),
            )
        self._start(self._gossip.run())
        self._start(self._loads.run())
        self._start(self._assigner.run())
        self._start(self._tick())
        await self._listen(settings.readiness, self._serve_readiness)
        await self._listen(settings.metrics, self._serve_metrics)

    async def _open_callers(self) -> None:
        settings = self._settings
        await self._listen(settings.callers, self._forwarder.serve)
        await self._listen(settings.directory, self._serve_directory)
        self._log.note(
            'The instance serves.',
            version=self._table.version,
            servers=len(self._servers.views),
        )

    async def _listen(self, address: str, serve: Serve) -> None:
        host, port = address.rsplit(':', 1)
        listener = await self._loop.create_server(
            partial(self._accept, serve),
            host,
            int(port),
            backlog=BACKLOG,
        )
        self._listeners.append(listener)

    def _accept(self, serve: Serve) -> HttpCaller:
        caller = HttpCaller(self._caller_limits, serve)
        caller.is_leaving = self._stopping.is_set()
        self._callers.add(caller)
        return caller

    async def _drain(self) -> None:
        """Stop taking work, finish what is open, then leave."""
        started_s = self._loop.time()
        self._log.note(
            'The instance is leaving.',
            open=self._forwarder.open_requests,
        )
        version = self._table.version if self._table else 0
        self._gossip.tell_self(leaving=True, tree_version=version)
        for caller in self._callers:
            caller.is_leaving = True
        self._start(self._deregister())
        # Callers that kept an answer of the directory still come.
        await asyncio.sleep(KEPT_ANSWERS * DIRECTORY_TTL_S)
        for listener in self._listeners:
            listener.close()
        await asyncio.sleep(CROSSING_S)
        for caller in self._callers:
            caller.leave()
        ends_s = started_s + self._settings.promises.grace_s - EXIT_MARGIN_S
        while self._forwarder.open_requests and self._loop.time() < ends_s:
            await asyncio.sleep(TICK_S)
        # Lets the last answers reach their callers.
        await asyncio.sleep(TICK_S)
        self._log.note(
            'The process ends.',
            cut=self._forwarder.open_requests,
        )

    async def _deregister(self) -> None:
        try:
            await self._store.delete(INSTANCES_KIND, self._settings.name)
        except StoreError as error:
            self._log.warn('Deregistering failed.', cause=str(error))

    def _reload(self) -> None:
        self._log.note('The settings may have changed.')

    async def _register(self) -> None:
        """Write this instance into the store and learn of the others."""
        own = self._own_member()
        body = directory.encode_member(own)
        while True:
            try:
                await self._register_once(body)
                listed = await self._store.list_kind(INSTANCES_KIND)
            except (StoreError, FormatError) as error:
                self._log.warn('Registering failed.', cause=str(error))
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                break
        members = tuple(_members(listed.stored))
        self._most_instances = max(self._most_instances, len(members))
        self._gossip.list_seeds(members)

    async def _register_once(self, body: object) -> None:
        name = self._settings.name
        try:
            await self._store.create(INSTANCES_KIND, name, body)
        except StoreConflictError:
            await self._store.replace(INSTANCES_KIND, name, body)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self._servers.pass_time(self._loop.time()):
                self._publish_servers()
            self._callers = {one for one in self._callers if one.is_open}

    def _take_config(self, news: News) -> None:
        if isinstance(news, Lost):
            return
        for stored in news.stored:
            if stored.name == CONFIG_NAME and not stored.is_deleted:
                self._adopt(stored)

    def _adopt(self, stored: StoredObject) -> None:
        try:
            table = decode_config(stored.body)
        except FormatError as error:
            self._log.warn('A configuration is wrong.', cause=str(error))
            return
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        self._log.note(
            'A configuration is in force.',
            version=table.version,
            routes=len(table.routes),
        )
        self._check_ready()

    def _take_workers(self, news: News) -> None:
        now_s = self._loop.time()
        if isinstance(news, Lost):
            self._servers.lose(now_s)
            return
        if isinstance(news, Listed):
            self._servers.list_all(self._views(news.stored), now_s)
        elif isinstance(news, Changed):
            for stored in news.stored:
                self._change_worker(stored, now_s)
        self._has_servers = True
        self._publish_servers()
        self._check_ready()

    def _change_worker(self, stored: StoredObject, now_s: float) -> None:
        views = () if stored.is_deleted else tuple(self._views((stored,)))
        for view in views:
            self._servers.change(view, now_s)
        if not views:
            self._servers.remove(stored.name, now_s)

    def _views(self, stored: Iterable[StoredObject]) -> Iterable[ServerView]:
        for entry in stored:
            try:
                yield decode_worker(entry.name, entry.body)
            except FormatError as error:
                self._log.warn(
                    'An entry names no server.',
                    entry=entry.name,
                    cause=str(error),
                )

    def _publish_servers(self) -> None:
        self._assigner.list_servers(self._servers.views)

    def _check_ready(self) -> None:
        if self._table is not None and self._has_servers:
            self._ready.set()

    def _current_table(self) -> RouteTable | None:
        return self._table

    def _caller_limits(self) -> CallerLimits:
        return self._table.limits if self._table else CallerLimits()

    def _policy_of(self, pool: str) -> BrokerPolicy:
        service = self._table.services.get(pool) if self._table else None
        engine = service.engine if service else None
        return BrokerPolicy(
            UNLIMITED,
            pauses=False,
            chooser=AffinityChooser(),
            moves=False,
            probe_after=PROBE_AFTER,
            memory_tokens=engine.memory_tokens if engine else 0,
        )

    def _own_member(self) -> Member:
        settings = self._settings
        return Member(
            settings.name,
            settings.peers,
            settings.callers,
            settings.zone,
            incarnation=time.time_ns() // NS_PER_MS,
        )

    def _tell_placed(self, placed: PromptPlaced) -> None:
        self._loads.tell_placed(placed)

    def _own_loads(self):
        return self._assigner.loads

    def _peer_sockets(self) -> list[tuple[str, int]]:
        own = self._settings.name
        found = []
        for member in self._gossip.membership.live:
            if member.name != own:
                host, port = member.peer_address.rsplit(':', 1)
                found.append((host, int(port) + LOADS_PORT_STEP))
        return found

    def _take_members(self) -> None:
        self._most_instances = max(
            self._most_instances,
            len(self._gossip.membership.live),
        )

    def _count_instances(self) -> int:
        return self._most_instances

    def _serve_readiness(
        self, caller: HttpCaller, request: WireRequest
    ) -> None:
        is_ready = self._ready.is_set() and not self._stopping.is_set()
        caller.answer(STATUS_OK if is_ready else STATUS_UNAVAILABLE)

    def _serve_metrics(self, caller: HttpCaller, request: WireRequest) -> None:
        self._metrics.state('running', self._assigner.running)
        self._metrics.state('waiting', self._assigner.waiting)
        self._metrics.state(
            'version', self._table.version if self._table else 0
        )
        caller.answer(STATUS_OK, (TEXT,), self._metrics.render())

    def _serve_directory(
        self, caller: HttpCaller, request: WireRequest
    ) -> None:
        asked = directory.decode_question(request.target.decode('latin-1'))
        if asked is None:
            caller.answer(STATUS_NOT_FOUND)
            return
        members = self._gossip.membership.serving
        told = addresses_near(members, asked.zone)
        body = directory.encode_answer(told, DIRECTORY_TTL_S)
        caller.answer(STATUS_OK, (JSON,), body)

    def _note_store_call(self, call: str, outcome: str) -> None:
        self._metrics.store_called(f'{call} {outcome}')


def _members(stored: Iterable[StoredObject]) -> Iterable[Member]:
    for entry in stored:
        member = directory.decode_member(entry.body)
        if member is not None:
            yield member


async def _first_of(*waits) -> None:
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _chance():
    import random

    return random.Random()
