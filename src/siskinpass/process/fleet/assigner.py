"""Assign requests to backend servers through this instance's brokers.

Each instance has its own broker for each service. The brokers learn the load of
the other instances from load reports; instances with the same view make the
same choices.
"""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from siskinpass.codes import Code
from siskinpass.exceptions import RefusedError
from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.duties.service_demand import DemandMeter
from siskinpass.process.logs import ComponentLog
from siskinpass.process.placement import ServerTable
from siskinpass.process.server_pauses import ServerPauses
from siskinpass.process.server_speed import SpeedChange
from siskinpass.request.isolation import (
    Isolation,
    ServerEnded,
    isolated,
    isolation_after,
)
from siskinpass.request.ticket import (
    ClockTicked,
    Command,
    Event,
    Granted,
    GrantReleased,
    PeerLoadsReported,
    PrefillCompleted,
    PromptPlaced,
    Refused,
    ServerLoad,
    ServersListed,
    ServerView,
    Share,
    SharesChanged,
    Ticket,
    TicketOpened,
)

# Interval at which waiting tickets are checked; a refusal is at most this late.
TICK_S = 0.02
MS_PER_S = 1000
# Time after which callers should try again where only other instances have a
# share of the servers' limits.
RETRY_ELSEWHERE_S = 1.0
# The same where no server has the software version that a stream needs.
RETRY_GONE_S = 3.0
# The same for a request under which servers have ended: others start meanwhile.
RETRY_SUSPECT_S = 1.0

PolicyLookup = Callable[[str], BrokerPolicy]
OnPlaced = Callable[[PromptPlaced], None]


@dataclass(slots=True)
class _Acquisition:
    """Ticket that waits for a server or holds one, with its future."""

    ticket: Ticket
    granted: asyncio.Future[ServerView]
    placed: PromptPlaced | None = None


class Assigner:
    """Owner of one broker for each service.

    :param policy_for: returns the broker policy of a service.
    :param pauses: servers that asked this instance for a pause.
    :param on_placed: called for each prompt that was placed on a server.
    :ivar demand: meter of the work that arrives.
    """

    def __init__(
        self,
        policy_for: PolicyLookup,
        pauses: ServerPauses,
        on_placed: OnPlaced,
    ) -> None:
        self._policy_for = policy_for
        self._pauses = pauses
        self._on_placed = on_placed
        self._loop = asyncio.get_running_loop()
        self._brokers: dict[str, Broker] = {}
        self._acquisitions: dict[str, _Acquisition] = {}
        self._views: dict[str, ServerView] = {}
        self._shares: Mapping[str, Share] = {}
        self._opened = asyncio.Event()
        self.demand = DemandMeter()
        self._log = ComponentLog('speed')

    @property
    def servers(self) -> Iterable[ServerView]:
        """Return the servers of all services."""
        return self._views.values()

    @property
    def loads(self) -> dict[str, ServerLoad]:
        """Return this instance's load by server, without idle servers."""
        return {
            server.view.name: server.own
            for broker in self._brokers.values()
            for server in broker.table.servers
            if server.running
        }

    @property
    def brokers(self) -> Iterable[tuple[str, Broker]]:
        """Return the brokers by the name of their service."""
        return self._brokers.items()

    @property
    def running(self) -> int:
        """Return how many of this instance's requests run on servers."""
        return sum(broker.running for broker in self._brokers.values())

    @property
    def waiting(self) -> int:
        """Return how many of this instance's requests wait for a server."""
        return sum(broker.waiting for broker in self._brokers.values())

    @property
    def states(self) -> dict[str, float]:
        """Return what the metrics tell of zones and groups of servers.

        The speed of each group, and for each service the share of its work that
        has to leave this instance's zone.
        """
        states: dict[str, float] = {}
        for pool, broker in self._brokers.items():
            if broker.table.zones.is_active:
                states[f'crossing {pool}'] = broker.table.zones.share
            for group, factor in broker.table.speeds.groups.items():
                states[' '.join(('speed', pool, *group)).rstrip()] = factor
        return states

    def server_load(self, ticket: Ticket, server: str) -> ServerLoad:
        """Return all instances' load on a server, zero if it is unknown."""
        found = self.broker(ticket.pool).table.find(server)
        return found.load if found else ServerLoad()

    async def acquire(self, ticket: Ticket) -> ServerView:
        """Wait for a backend server and return it.

        :raises RefusedError: if no server is granted; the request did not run.
        """
        self.demand.note_opened(ticket, self._loop.time())
        try:
            return await self._acquire_usable(ticket)
        except (RefusedError, asyncio.CancelledError):
            self.demand.note_failed(ticket.ticket_id)
            raise

    async def _acquire_usable(self, ticket: Ticket) -> ServerView:
        while True:
            self._refuse_if_all_closed(ticket)
            _refuse_if_unsafe(
                self.broker(ticket.pool).table, ticket, self._loop.time()
            )
            _refuse_if_gone(self._views.values(), ticket)
            paused = self._pauses.current(self._loop.time())
            view = await self._acquire(replace(ticket, paused=paused))
            if self._may_use(view):
                return view
            # The server was granted before it asked for a pause or left.
            self.demand.note_failed(ticket.ticket_id)
            self.release(ticket, failed=False)

    async def _acquire(self, ticket: Ticket) -> ServerView:
        acquisition = _Acquisition(ticket, self._loop.create_future())
        self._acquisitions[ticket.ticket_id] = acquisition
        self._apply(ticket.pool, TicketOpened(ticket))
        self._opened.set()
        try:
            return await acquisition.granted
        except asyncio.CancelledError:
            self.release(ticket, failed=False)
            raise

    def _refuse_if_all_closed(self, ticket: Ticket) -> None:
        """Refuse a ticket that no server can take before it expires.

        Servers may have asked for a pause, or stated limits whose share of this
        instance is used up.
        """
        now_s = self._loop.time()
        turns_s = {
            server.view.name: server.turn_s
            for server in self.broker(ticket.pool).table.servers
            if not server.view.leaving
        }
        wait_s = self._pauses.first_end_s(turns_s, now_s)
        if wait_s <= ticket.max_wait_s:
            return
        is_limited = any(turn_s > now_s for turn_s in turns_s.values())
        raise RefusedError(
            Code.servers_limited if is_limited else Code.servers_paused,
            retry_after_ms=int(_retry_s(wait_s) * MS_PER_S),
        )

    def find_usable(self, name: str) -> ServerView | None:
        """Return the server of a name if requests may be sent to it now."""
        view = self._views.get(name)
        return view if view is not None and self._may_use(view) else None

    def is_serving(self, view: ServerView) -> bool:
        """Return whether a server is listed and not leaving."""
        current = self._views.get(view.name)
        return current is not None and not current.leaving

    def _may_use(self, view: ServerView) -> bool:
        return self.is_serving(view) and not self._pauses.is_paused(
            view.name, self._loop.time()
        )

    def complete_prefill(self, ticket: Ticket) -> None:
        """Record that the server has prefilled the ticket's prompt."""
        self.demand.note_prefilled(ticket.ticket_id, self._loop.time())
        self._apply(ticket.pool, PrefillCompleted(ticket.ticket_id))
        self._log_speeds(ticket.pool)

    def release(
        self,
        ticket: Ticket,
        *,
        failed: bool,
        server_error: bool = False,
        is_declined: bool = False,
        events: int = 0,
    ) -> None:
        """Release the ticket's slot; releasing it twice has no effect.

        :param failed: whether the server could not be reached or gave no
            complete and valid answer.
        :param server_error: whether the server answered with an error.
        :param is_declined: whether the server stated that it did not run the
            request.
        :param events: events of a stream that was received whole.
        """
        acquisition = self._acquisitions.pop(ticket.ticket_id, None)
        if acquisition is not None:
            if failed or server_error:
                self.demand.note_failed(ticket.ticket_id)
            else:
                self.demand.note_ended(ticket.ticket_id, self._loop.time())
            released = GrantReleased(
                ticket.ticket_id, failed, server_error, events, is_declined
            )
            self._apply(ticket.pool, released)
            placed = acquisition.placed
            if is_declined and placed is not None and placed.unread:
                self._on_placed(replace(placed, unread=-placed.unread))
            self._log_speeds(ticket.pool)

    def set_servers(self, views: Iterable[ServerView]) -> None:
        """Replace the servers of all services.

        Must also be called when the configuration of the services changes.
        """
        by_pool: dict[str, list[ServerView]] = {}
        self._views = {}
        for view in views:
            self._views[view.name] = view
            by_pool.setdefault(view.pool, []).append(view)
        for pool in self._brokers.keys() | by_pool.keys():
            # The configuration may arrive after the engines that it describes
            # were listed, so their cache size is updated each time.
            policy = self._policy_for(pool)
            self.broker(pool).table.cache.resize(
                policy.kv_capacity_tokens, policy.max_parts
            )
            self._apply(pool, ServersListed(tuple(by_pool.get(pool, ()))))
            if self._shares:
                # A server that is new here may be limited already.
                self._apply(pool, SharesChanged(self._shares))

    def apply_shares(self, shares: Mapping[str, Share]) -> None:
        """Replace this instance's shares of the servers' rate limits."""
        self._shares = shares
        for pool in self._brokers:
            self._apply(pool, SharesChanged(shares))

    def mark_ended(self, name: str, incarnation: int) -> None:
        """Give a server whose process has ended no requests for a while."""
        view = self._views.get(name)
        if view is not None:
            self._apply(view.pool, ServerEnded(name, incarnation))

    def set_peer_loads(self, loads: Mapping[str, ServerLoad]) -> None:
        """Replace the load of the other instances, by server."""
        for pool in self._brokers:
            self._apply(pool, PeerLoadsReported(loads))

    def record_placement(self, placed: PromptPlaced) -> None:
        """Record prompt parts that a server has cached without this broker.

        Another instance placed the prompt, or the engine lists its parts.
        Prompts on unknown servers are ignored.
        """
        view = self._views.get(placed.server)
        if view is not None:
            self._apply(view.pool, placed)

    def broker(self, pool: str) -> Broker:
        """Return the broker of a service, creating it on first use."""
        found = self._brokers.get(pool)
        if found is None:
            found = Broker(self._policy_for(pool))
            self._brokers[pool] = found
        return found

    async def run(self) -> None:
        """Advance the clocks of the brokers until cancelled.

        They advance only while a ticket waits, as most instances of a large
        fleet are idle.
        """
        while True:
            await self._opened.wait()
            self._opened.clear()
            while self.waiting:
                await asyncio.sleep(TICK_S)
                for pool in tuple(self._brokers):
                    self._apply(pool, ClockTicked())

    def _log_speeds(self, pool: str) -> None:
        for change in self.broker(pool).table.speeds.take_changes():
            self._log.note(
                _sentence_of(change),
                service=pool,
                zone=change.zone,
                software=change.version,
                server=change.server,
                factor=round(change.factor, 2),
            )

    def _apply(self, pool: str, event: Event) -> None:
        for command in self.broker(pool).apply(event, self._loop.time()):
            self._execute(command)

    def _execute(self, command: Command) -> None:
        acquisition = self._acquisitions.get(command.ticket_id)
        if acquisition is None:
            return
        if isinstance(command, Granted):
            self._grant(acquisition, command)
        elif isinstance(command, Refused):
            self._acquisitions.pop(command.ticket_id)
            self._refuse(acquisition, command)

    def _grant(self, acquisition: _Acquisition, command: Granted) -> None:
        view = self._views.get(command.server)
        if acquisition.granted.done():
            return
        if view is None:
            self.release(acquisition.ticket, failed=False)
            acquisition.granted.set_exception(
                RefusedError(Code.no_backend_server)
            )
            return
        if command.pieces:
            acquisition.placed = PromptPlaced(
                command.server,
                command.pieces,
                command.unread,
                acquisition.ticket.tier,
                is_tight=acquisition.ticket.is_tight,
            )
            self._on_placed(acquisition.placed)
        self.demand.note_granted(
            command.ticket_id, view, command.unread, self._loop.time()
        )
        acquisition.granted.set_result(view)

    def _refuse(self, acquisition: _Acquisition, command: Refused) -> None:
        if not acquisition.granted.done():
            acquisition.granted.set_exception(
                RefusedError(
                    command.code,
                    retry_after_ms=command.retry_after_ms,
                ),
            )


def _refuse_if_unsafe(table: ServerTable, ticket: Ticket, now_s: float) -> None:
    """Refuse a ticket that may crash servers if it cannot be tried now."""
    if isolation_after(ticket.crashes) is not Isolation.required:
        return
    open_servers = [
        server for server in table.servers if server.free_slots(now_s) > 0
    ]
    if not isolated(open_servers, ticket.crashes, listed=table.size):
        raise RefusedError(
            Code.request_suspected,
            retry_after_ms=int(RETRY_SUSPECT_S * MS_PER_S),
        )


def _refuse_if_gone(views: Iterable[ServerView], ticket: Ticket) -> None:
    """Refuse a ticket if no server has the software version it needs."""
    if ticket.version is None:
        return
    if not any(
        view.pool == ticket.pool and not view.leaving and ticket.fits(view)
        for view in views
    ):
        raise RefusedError(
            Code.version_gone, retry_after_ms=int(RETRY_GONE_S * MS_PER_S)
        )


def _sentence_of(change: SpeedChange) -> str:
    """Return what the log says of a change of speed."""
    what = 'A server' if change.server else 'A group of servers'
    if change.factor == 1:
        return f'{what} is as fast as others again.'
    pace = 'slower' if change.factor < 1 else 'faster'
    return f'{what} is {pace} than others.'


def _retry_s(wait_s: float) -> float:
    return wait_s if math.isfinite(wait_s) else RETRY_ELSEWHERE_S
