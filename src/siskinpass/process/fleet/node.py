"""Run the parts of one entry instance and pass messages between them."""

import asyncio
import signal
from collections.abc import Coroutine
from functools import partial

from siskinpass.connection.backend import BackendPool, PoolPolicy
from siskinpass.connection.http_caller import HttpCaller, Serve
from siskinpass.platform import directory
from siskinpass.platform.config import CONFIG_KIND
from siskinpass.platform.servers import SERVERS_KIND
from siskinpass.process.addresses import addresses_near
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.budgets import RetryBudgets
from siskinpass.process.fleet.forward import Forwarder, Tools
from siskinpass.process.fleet.kept_parts import KeptParts
from siskinpass.process.fleet.loads import LoadExchange
from siskinpass.process.fleet.members import FleetMembers
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import KindWatch, watch_wait_s
from siskinpass.process.logs import PartLog
from siskinpass.process.metrics import Metrics
from siskinpass.request.inbound import WireRequest
from siskinpass.request.retry_window import RetryWindow
from siskinpass.request.ticket import PromptPlaced, ServerLoad

BACKLOG = 1024  # connections that wait to be accepted, as in a burst
TICK_S = 0.1  # a tenth of the shortest bound that is checked in it
LOADS_PORT_STEP = 2  # from the port of the heartbeats to that of the loads
# Kept connections to backend servers are reused for long, new ones are dear;
# the server's own Keep-Alive shortens this.
IDLE_MOST = 64
BACKEND_POOL = PoolPolicy(connect_s=1.0, idle_s=60.0, max_idle=IDLE_MOST)
# A directory answer is kept for up to three times as long; the shorter, the
# sooner callers leave an instance that stops.
DIRECTORY_TTL_S = 1
KEPT_ANSWERS = 3
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
        self._directory_s = min(
            DIRECTORY_TTL_S,
            settings.promises.directory_s,
        )
        self._stopping = asyncio.Event()
        self._callers: set[HttpCaller] = set()
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._store = StoreClient(settings.store, self._note_store_call)
        self._members = FleetMembers(settings, self._store)
        self._assigner = Assigner(self._policy_of, self._tell_placed)
        self._state = StoredState(self._assigner.list_servers)
        self._backends = BackendPool(self._loop, BACKEND_POOL)
        self._forwarder = Forwarder(self._tools())
        self._loads = LoadExchange(
            settings.name,
            self._own_loads,
            partial(self._members.peer_sockets, LOADS_PORT_STEP),
            self._assigner.take_peer_loads,
            self._assigner.note_placed,
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        self._log.note('The process starts.', instance=self._settings.name)
        self._watch_signals()
        await self._open_peers()
        self._follow_store()
        ready = self._loop.create_task(self._state.ready.wait())
        stopping = self._loop.create_task(self._stopping.wait())
        await asyncio.wait(
            (ready, stopping),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not stopping.done():
            await self._open_callers()
            await stopping
        await self._drain()

    def _learn_kept_parts(self) -> None:
        """Ask the engines, which may have run before this process."""
        if self._settings.is_first_start:
            return
        services = self._state.table().services
        engines = [
            view
            for view in self._assigner.servers
            if view.pool in services and services[view.pool].engine
        ]
        learner = KeptParts(self._backends, self._assigner.note_placed)
        self._start(learner.learn(engines))

    def _tools(self) -> Tools:
        bounds = self._settings.promises.retries
        budgets = RetryBudgets(
            partial(RetryWindow, bounds.ratio, bounds.slack, bounds.window_s),
            lambda: self._members.most,
        )
        return Tools(
            table=self._state.table,
            assigner=self._assigner,
            backends=self._backends,
            metrics=self._metrics,
            may_retry=budgets.spend,
            note_request=budgets.note_request,
        )

    def _watch_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(self._loop.create_task(work))

    def _follow_store(self) -> None:
        wait_s = watch_wait_s(self._settings.promises.contact_s)
        for kind, tell in (
            (CONFIG_KIND, self._state.take_config),
            (SERVERS_KIND, self._state.take_workers),
        ):
            self._start(KindWatch(self._store, kind, wait_s, tell).run())
        self._start(self._members.register())

    async def _open_peers(self) -> None:
        settings = self._settings
        gossip = self._members.gossip
        loads_port = settings.peer_port + LOADS_PORT_STEP
        await self._open_datagrams(gossip, settings.peer_port)
        await self._open_datagrams(self._loads, loads_port)
        for work in (gossip, self._loads, self._assigner):
            self._start(work.run())
        self._start(self._tick())
        await self._listen(settings.readiness, self._serve_readiness)
        await self._listen(settings.metrics, self._serve_metrics)

    async def _open_datagrams(
        self,
        protocol: asyncio.DatagramProtocol,
        port: int,
    ) -> None:
        await self._loop.create_datagram_endpoint(
            lambda: protocol,
            local_addr=(self._settings.ip, port),
        )

    async def _open_callers(self) -> None:
        self._learn_kept_parts()
        settings = self._settings
        await self._listen(settings.callers, self._forwarder.serve)
        await self._listen(settings.directory, self._serve_directory)
        self._log.note('The instance serves.', version=self._state.version)

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
        caller = HttpCaller(self._state.caller_limits, serve)
        caller.is_leaving = self._stopping.is_set()
        self._callers.add(caller)
        return caller

    async def _drain(self) -> None:
        """Stop taking work, finish what is open, then leave."""
        ends_s = self._loop.time() + self._settings.promises.grace_s
        self._log.note(
            'The instance is leaving.',
            open=self._forwarder.open_requests,
        )
        for caller in self._callers:
            caller.is_leaving = True
        self._start(self._members.leave(self._state.version))
        # Callers that kept an answer of the directory still come.
        await asyncio.sleep(KEPT_ANSWERS * self._directory_s)
        for listener in self._listeners:
            listener.close()
        await asyncio.sleep(CROSSING_S)
        for caller in self._callers:
            caller.leave()
        await self._finish_open(ends_s - EXIT_MARGIN_S)
        self._log.note('The process ends.', cut=self._forwarder.open_requests)

    async def _finish_open(self, ends_s: float) -> None:
        while self._forwarder.open_requests and self._loop.time() < ends_s:
            await asyncio.sleep(TICK_S)
        # Lets the last answers reach their callers.
        await asyncio.sleep(TICK_S)

    def _reload(self) -> None:
        self._log.note('A signal tells of changed settings; none is in use.')

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._state.pass_time()
            self._callers = {one for one in self._callers if one.is_open}

    def _policy_of(self, pool: str) -> BrokerPolicy:
        table = self._state.table()
        service = table.services.get(pool) if table else None
        engine = service.engine if service else None
        return fleet_policy(engine.memory_tokens if engine else 0)

    def _tell_placed(self, placed: PromptPlaced) -> None:
        self._loads.tell_placed(placed)

    def _own_loads(self) -> dict[str, ServerLoad]:
        return self._assigner.loads

    def _serve_readiness(
        self,
        caller: HttpCaller,
        request: WireRequest,
    ) -> None:
        is_ready = self._state.ready.is_set() and not self._stopping.is_set()
        caller.answer(STATUS_OK if is_ready else STATUS_UNAVAILABLE)

    def _serve_metrics(self, caller: HttpCaller, request: WireRequest) -> None:
        self._metrics.state('running', self._assigner.running)
        self._metrics.state('waiting', self._assigner.waiting)
        self._metrics.state('version', self._state.version)
        caller.answer(STATUS_OK, (TEXT,), self._metrics.render())

    def _serve_directory(
        self,
        caller: HttpCaller,
        request: WireRequest,
    ) -> None:
        asked = directory.decode_resolution_query(
            request.target.decode('latin-1')
        )
        if asked is None:
            caller.answer(STATUS_NOT_FOUND)
            return
        told = addresses_near(self._members.serving, asked.zone)
        body = directory.encode_resolution(told, self._directory_s)
        caller.answer(STATUS_OK, (JSON,), body)

    def _note_store_call(self, call: str, outcome: str) -> None:
        self._metrics.store_called(f'{call} {outcome}')
