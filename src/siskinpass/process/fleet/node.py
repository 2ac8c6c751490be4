"""Entry instance: creates its parts, connects, starts and stops them."""

import asyncio
import signal
from collections.abc import Iterable
from dataclasses import replace
from functools import partial

from grpclib.server import Server

from siskinpass.connection.backend import BackendPool, PoolPolicy
from siskinpass.connection.http_caller import (
    LATE_ARRIVAL_S,
    HttpCaller,
    Serve,
)
from siskinpass.platform import directory
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.broker import BrokerPolicy
from siskinpass.process.fleet import fact_topics
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.budgets import RetryBudgets
from siskinpass.process.fleet.capacity_planner import PlannerInputs
from siskinpass.process.fleet.crash_guard import CrashGuard
from siskinpass.process.fleet.duty_parts import Duties, FleetParts
from siskinpass.process.fleet.feed import StateFeed
from siskinpass.process.fleet.forward import ForwardContext, Forwarder
from siskinpass.process.fleet.kept_parts import KeptPartsLoader
from siskinpass.process.fleet.listeners import EarlySockets, Listeners
from siskinpass.process.fleet.loads import LoadExchange
from siskinpass.process.fleet.members import FleetMembers
from siskinpass.process.fleet.notices import ServerNotices
from siskinpass.process.fleet.peers import FleetPeerService
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.fleet.reader import StoreReader
from siskinpass.process.fleet.relay_server import (
    RELAY_LIMITS,
    RelayContext,
    RelayServer,
)
from siskinpass.process.fleet.relays import RELAY_PORT_STEP
from siskinpass.process.fleet.roles import serving_members
from siskinpass.process.fleet.server_access import AccessParts, ServerAccess
from siskinpass.process.fleet.server_limits import ServerLimits
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.source import SourceParts, StateSource
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.stream_records import StreamRecords
from siskinpass.process.fleet.stream_versions import (
    StreamVersions,
    VersionSources,
)
from siskinpass.process.fleet.work_exchange import WorkExchange
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pauses import ServerPauses
from siskinpass.request.inbound import WireRequest
from siskinpass.request.stop_plan import StopPlan, plan_stop
from siskinpass.request.ticket import PromptPlaced, ServerLoad, ServerView

# Short against RECOVERY_GRACE_S of ``known_servers``, which ends on a tick.
TICK_S = 0.4
DRAIN_TICK_S = 0.1  # the same against the grace time of a stopping process
LOADS_PORT_STEP = 2  # offset of the load port from the heartbeat port
# Idle connections to backend servers are kept long, because opening new ones is
# expensive; a server's Keep-Alive header shortens the time.
MAX_IDLE = 64
BACKEND_POOL = PoolPolicy(connect_s=1.0, idle_s=60.0, max_idle=MAX_IDLE)
# To relays; another one is asked if the first cannot be connected to soon.
RELAY_CONNECT_S = 0.4
RELAY_POOL = PoolPolicy(RELAY_CONNECT_S, idle_s=60.0, max_idle=MAX_IDLE)
# Callers cache a directory answer for up to three times its TTL. With a shorter
# TTL they leave a stopping instance sooner.
DIRECTORY_TTL_S = 1
CACHED_TTLS = 3
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
TEXT = (b'Content-Type', b'text/plain; charset=utf-8')
JSON = (b'Content-Type', b'application/json')


class FleetNode:
    """Owner of all parts of one process."""

    def __init__(
        self,
        settings: FleetSettings,
        early: EarlySockets,
    ) -> None:
        """Create the parts without opening sockets or starting tasks.

        :param early: sockets that listen for callers already, by address.
        """
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('node')
        self._metrics = Metrics()
        self._directory_ttl_s = min(
            DIRECTORY_TTL_S,
            settings.operator_bounds.directory_s,
        )
        self._stopping = asyncio.Event()
        self._accepts_callers = False
        self._listeners = Listeners(settings.callers_hold, self._metrics, early)
        self._background = BackgroundTasks()
        self._store = StoreClient(
            settings.store, self._count_store_call, settings.ip
        )
        self._members = FleetMembers(settings, self._store)
        self._pauses = ServerPauses()
        self._assigner = Assigner(
            self._policy_for, self._pauses, self._send_placement
        )
        self._backends = BackendPool(
            self._loop, replace(BACKEND_POOL, local_host=settings.ip)
        )
        self._loads = LoadExchange(
            settings.name,
            self._own_loads,
            self._load_sockets,
            self._assigner.set_peer_loads,
            self._assigner.record_placement,
        )
        self._access = ServerAccess(
            AccessParts(
                self._backends,
                BackendPool(
                    self._loop, replace(RELAY_POOL, local_host=settings.ip)
                ),
                self._members.own,
                settings.store,
                lambda: self._members.relay_members,
                partial(fact_topics.PATHS.announce, self._loads),
                lambda server: self._forwarder.stop_unreachable(server),
            )
        )
        self._guard = CrashGuard(
            self._access.has_ended,
            self._store,
            self._loads,
            self._assigner.mark_ended,
            self._metrics,
        )
        self._limits = ServerLimits(
            self._members.sharing,
            self._assigner.apply_shares,
            partial(fact_topics.LIMITS.announce, self._loads),
            partial(fact_topics.BRITTLE.announce, self._loads),
            self._metrics,
        )
        self._feed = StateFeed()
        self._state = StoredState(
            self._update_servers, self._feed.publish_config
        )
        self._work = WorkExchange(
            settings.name, self._assigner, self._loads, self._metrics
        )
        self._versions = StreamVersions(
            settings.name,
            StreamRecords(self._store, settings.name),
            VersionSources(
                self._state.resumable_services,
                self._state.resumable_groups,
                self._members.caller_names,
                lambda: (
                    self._state.is_reachable or not self._members.is_isolated
                ),
                lambda: not self._members.is_isolated,
                lambda: self._state.read_served(self._store),
                lambda: self._store.era,
                partial(fact_topics.STREAMS.announce, self._loads),
                partial(fact_topics.UNRECORDED.announce, self._loads),
            ),
            self._metrics,
            is_first_start=settings.is_first_start,
        )
        self._reader = StoreReader(
            self._store,
            self._state,
            self._guard,
            self._feed,
            settings.operator_bounds,
        )
        self._source = StateSource(
            settings.name,
            SourceParts(
                self._members,
                self._reader,
                self._state,
                self._feed,
                self._guard,
                settings.small_fleet,
            ),
        )
        self._notices = ServerNotices(
            self._pauses, self._limits, self._announce_leaving, self._metrics
        )
        self._duties = Duties(
            settings,
            FleetParts(
                self._store,
                self._members,
                self._loads,
                self._metrics,
                self._assigner.demand,
                PlannerInputs(
                    self._state.services,
                    lambda: self._assigner.servers,
                    lambda: self._state.is_reachable,
                ),
            ),
        )
        self._forwarder = Forwarder(self._forward_context())
        self._relay = RelayServer(
            RelayContext(
                settings.store,
                self._assigner.find_usable,
                self._access.paths,
                self._notices.receive,
                self._metrics,
            )
        )
        self._subscribe()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and return."""
        self._watch_signals()
        await self._open_peers()
        await self._join()
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

    def _subscribe(self) -> None:
        self._members.on_change = self._loads.greet_peers
        fact_topics.LEAVING.subscribe(self._loads, self._state.receive_leaving)
        fact_topics.LIMITS.subscribe(self._loads, self._limits.receive)
        fact_topics.BRITTLE.subscribe(self._loads, self._limits.receive_brittle)
        fact_topics.STREAMS.subscribe(self._loads, self._versions.receive)
        fact_topics.UNRECORDED.subscribe(
            self._loads, self._versions.receive_unrecorded
        )
        fact_topics.PATHS.subscribe(self._loads, self._access.reports.receive)
        self._guard.subscribe(self._apply_blocked)

    def _apply_blocked(self, added: Iterable[BlockedParts]) -> None:
        self._feed.publish_blocked(self._guard.blocked)
        self._forwarder.stop_blocked()

    def _load_kept_parts(self) -> None:
        """Query the engines' caches, except on the system's first start.

        Engines may have been running before this process. Instances that no
        caller is sent to spare them the query.
        """
        names = {member.name for member in self._members.caller_members}
        if self._settings.is_first_start or self._settings.name not in names:
            return
        services = self._state.table().services
        engines = [
            view
            for view in self._assigner.servers
            if view.pool in services and services[view.pool].engine
        ]
        loader = KeptPartsLoader(
            self._backends, self._assigner.record_placement
        )
        self._background.start(loader.load(engines))

    def _forward_context(self) -> ForwardContext:
        budgets = RetryBudgets(
            self._settings.operator_bounds.retries,
            lambda: self._members.max_seen,
        )
        return ForwardContext(
            table=self._state.table,
            assigner=self._assigner,
            access=self._access,
            metrics=self._metrics,
            may_retry=budgets.spend,
            note_request=budgets.note_request,
            on_notice=self._notices.receive,
            guard=self._guard,
            versions=self._versions,
            count_usage=self._duties.count,
        )

    def _watch_signals(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _open_peers(self) -> None:
        settings = self._settings
        gossip = self._members.gossip
        service = FleetPeerService(
            settings.store, self._members.meet, self._source.relay
        )
        await Server([service]).start(settings.ip, settings.peer_port)
        loads_port = settings.peer_port + LOADS_PORT_STEP
        await self._open_datagrams(gossip, settings.peer_port)
        await self._open_datagrams(self._loads, loads_port)
        for part in (
            gossip,
            self._loads,
            self._assigner,
            self._access,
            self._work,
        ):
            self._background.keep(part.run)
        self._background.keep(self._tick)
        await self._listen(settings.readiness, self._serve_readiness)
        await self._listen(settings.metrics, self._serve_metrics)
        await self._listeners.listen(
            f'{settings.ip}:{settings.peer_port + RELAY_PORT_STEP}',
            self._relay.serve,
            lambda: RELAY_LIMITS,
        )

    async def _join(self) -> None:
        await self._members.join()
        for run in (
            self._source.run,
            self._versions.run,
            self._members.refresh,
            partial(self._members.register, self._is_reader),
        ):
            self._background.keep(run)
        self._duties.start(self._background)

    def _is_reader(self) -> bool:
        return self._reader.is_needed

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
        self._load_kept_parts()
        settings = self._settings
        await self._listen(settings.callers, self._forwarder.serve)
        await self._listen(settings.directory, self._serve_directory)
        self._accepts_callers = True
        self._log.note(
            'The instance accepts callers.', version=self._state.version
        )

    async def _drain(self) -> None:
        """Stop accepting requests, finish the open ones and close."""
        # Callers with a cached directory answer still connect.
        stop_plan = plan_stop(
            self._loop.time(),
            self._settings.operator_bounds.grace_s,
            CACHED_TTLS * self._directory_ttl_s,
        )
        self._forwarder.stop(stop_plan)
        self._relay.stop()
        self._log.note(
            'The instance is leaving.',
            open=self._forwarder.open_requests,
        )
        self._background.start(self._members.leave(self._state.version))
        await self._listeners.close(stop_plan.accepting_s, LATE_ARRIVAL_S)
        await self._finish_open(stop_plan)
        self._log.note('The process ends.', cut=self._forwarder.open_requests)

    async def _finish_open(self, stop_plan: StopPlan) -> None:
        await self._wait_until_settled(stop_plan.answers_s)
        self._listeners.refuse_incomplete()
        await self._wait_until_settled(stop_plan.exit_s)
        # Gives the last answers time to reach their callers.
        await asyncio.sleep(DRAIN_TICK_S)

    async def _wait_until_settled(self, deadline_s: float) -> None:
        while self._open_requests and self._loop.time() < deadline_s:
            await asyncio.sleep(DRAIN_TICK_S)

    @property
    def _open_requests(self) -> int:
        """Return how many requests or answers are under way in any state."""
        return (
            self._listeners.open_connections
            + self._forwarder.open_requests
            + self._relay.open_requests
        )

    def _reload(self) -> None:
        self._log.note('Ignored SIGHUP: no setting can be reloaded.')

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._state.expire_missing()
            self._limits.refresh(self._assigner.servers)
            self._versions.refresh()
            self._listeners.forget_closed()

    def _policy_for(self, pool: str) -> BrokerPolicy:
        table = self._state.table()
        engine_count = table.engine_count if table else 0
        return fleet_policy(
            table.memory_of(pool) if table else 0,
            self._settings.placement_zone,
            learns_speeds=self._settings.learns_speeds,
            max_parts=self._settings.callers_hold.prompt_parts
            // max(1, engine_count),
        )

    def _update_servers(self, views: Iterable[ServerView]) -> None:
        given = tuple(views)
        self._assigner.set_servers(given)
        self._access.paths.update_servers(given)
        self._limits.refresh(given)
        self._versions.list_servers(given)
        self._feed.publish_servers(given)

    async def _listen(self, address: str, serve: Serve) -> None:
        await self._listeners.listen(address, serve, self._state.caller_limits)

    def _load_sockets(self) -> list[tuple[str, int]]:
        """Return the sockets of the instances that need load reports.

        These are the ones that callers are sent to.
        """
        return self._members.peer_sockets(
            self._members.caller_members, LOADS_PORT_STEP
        )

    def _send_placement(self, placed: PromptPlaced) -> None:
        self._loads.send_placement(placed)

    def _announce_leaving(self, server: ServerView) -> None:
        if self._state.mark_leaving(server):
            fact_topics.LEAVING.announce(self._loads, (server,))

    def _own_loads(self) -> dict[str, ServerLoad]:
        return self._assigner.loads

    def _serve_readiness(
        self,
        caller: HttpCaller,
        request: WireRequest,
    ) -> None:
        is_ready = self._accepts_callers and not self._stopping.is_set()
        caller.answer(STATUS_OK if is_ready else STATUS_UNAVAILABLE)

    def _serve_metrics(self, caller: HttpCaller, request: WireRequest) -> None:
        self._metrics.set_state('running', self._assigner.running)
        self._metrics.set_state('waiting', self._assigner.waiting)
        self._metrics.set_state('version', self._state.version)
        self._metrics.set_states(self._assigner.states)
        self._listeners.reports.set_states()
        caller.answer(STATUS_OK, (TEXT,), self._metrics.render())

    def _serve_directory(
        self,
        caller: HttpCaller,
        request: WireRequest,
    ) -> None:
        query = directory.decode_resolution_query(
            request.target.decode('latin-1')
        )
        if query is None:
            caller.answer(STATUS_NOT_FOUND)
            return
        serving = serving_members(self._members.serving, query.zone)
        addresses = [member.caller_address for member in serving]
        body = directory.encode_resolution(addresses, self._directory_ttl_s)
        caller.answer(STATUS_OK, (JSON,), body)

    def _count_store_call(self, call: str, outcome: str) -> None:
        self._metrics.store_called(f'{call} {outcome}')
