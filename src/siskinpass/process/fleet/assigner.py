"""Let this instance's brokers assign requests to backend servers.

Each instance holds a broker for each service; what the others run is told to
it by their load reports, and equal views lead to equal choices.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from siskinpass.codes import Code
from siskinpass.exceptions import RefusedError
from siskinpass.process.broker import Broker, BrokerPolicy
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
    Ticket,
    TicketOpened,
)

# Waiting tickets are looked at this often; a refusal is late by as much.
TICK_S = 0.02

PolicyOf = Callable[[str], BrokerPolicy]
OnPlaced = Callable[[PromptPlaced], None]


@dataclass(slots=True)
class _Asked:
    """Hold one ticket and who waits for its grant."""

    ticket: Ticket
    granted: asyncio.Future[ServerView]


class Assigner:
    """Own one broker for each service.

    :param policy_of: returns how the broker of a service decides.
    :param on_placed: told of each prompt that was placed on a server.
    """

    def __init__(self, policy_of: PolicyOf, on_placed: OnPlaced) -> None:
        """Start without servers."""
        self._policy_of = policy_of
        self._on_placed = on_placed
        self._loop = asyncio.get_running_loop()
        self._brokers: dict[str, Broker] = {}
        self._asked: dict[str, _Asked] = {}
        self._views: dict[str, ServerView] = {}

    @property
    def servers(self) -> Iterable[ServerView]:
        """Return the servers of all services."""
        return self._views.values()

    @property
    def loads(self) -> dict[str, ServerLoad]:
        """Return what this instance runs on each server."""
        return {
            server.view.name: server.own
            for broker in self._brokers.values()
            for server in broker.table.servers
            if server.running
        }

    @property
    def running(self) -> int:
        """Return how many requests run on backend servers."""
        return sum(broker.running for broker in self._brokers.values())

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a server."""
        return sum(broker.waiting for broker in self._brokers.values())

    def load_of(self, ticket: Ticket, server: str) -> ServerLoad:
        """Return what all instances run on a server."""
        found = self.broker(ticket.pool).table.find(server)
        return found.load if found else ServerLoad()

    async def acquire(self, ticket: Ticket) -> ServerView:
        """Wait for a server.

        :raises RefusedError: where the request is given up on; it never ran.
        """
        asked = _Asked(ticket, self._loop.create_future())
        self._asked[ticket.ticket_id] = asked
        self._apply(ticket.pool, TicketOpened(ticket))
        try:
            return await asked.granted
        except asyncio.CancelledError:
            self.release(ticket, failed=False)
            raise

    def note_prompt_read(self, ticket: Ticket) -> None:
        """Take the prompt's work off the ticket's server."""
        self._apply(ticket.pool, PrefillCompleted(ticket.ticket_id))

    def release(
        self,
        ticket: Ticket,
        *,
        failed: bool,
        server_error: bool = False,
    ) -> None:
        """Give a slot back.

        :param failed: whether the server failed the request.
        :param server_error: whether it answered with an error of its own.
        """
        if self._asked.pop(ticket.ticket_id, None) is not None:
            released = GrantReleased(ticket.ticket_id, failed, server_error)
            self._apply(ticket.pool, released)

    def list_servers(self, views: Iterable[ServerView]) -> None:
        """Take the servers of all services, also when the services change."""
        by_pool: dict[str, list[ServerView]] = {}
        self._views = {}
        for view in views:
            self._views[view.name] = view
            by_pool.setdefault(view.pool, []).append(view)
        for pool in self._brokers.keys() | by_pool.keys():
            # A configuration may describe engines that were listed before.
            memory_tokens = self._policy_of(pool).memory_tokens
            self.broker(pool).table.cache.resize(memory_tokens)
            self._apply(pool, ServersListed(tuple(by_pool.get(pool, ()))))

    def take_peer_loads(self, loads: Mapping[str, ServerLoad]) -> None:
        """Take what the other instances run."""
        for pool in self._brokers:
            self._apply(pool, PeerLoadsReported(loads))

    def note_placed(self, placed: PromptPlaced) -> None:
        """Take in a prompt that another instance placed."""
        view = self._views.get(placed.server)
        if view is not None:
            self._apply(view.pool, placed)

    def broker(self, pool: str) -> Broker:
        """Return the broker of a service."""
        found = self._brokers.get(pool)
        if found is None:
            found = Broker(self._policy_of(pool))
            self._brokers[pool] = found
        return found

    async def run(self) -> None:
        """Let time pass."""
        while True:
            await asyncio.sleep(TICK_S)
            for pool in tuple(self._brokers):
                self._apply(pool, ClockTicked())

    def _apply(self, pool: str, event: Event) -> None:
        for command in self.broker(pool).apply(event, self._loop.time()):
            self._take(command)

    def _take(self, command: Command) -> None:
        asked = self._asked.get(command.ticket_id)
        if asked is None:
            return
        if isinstance(command, Granted):
            self._grant(asked, command)
        elif isinstance(command, Refused):
            self._asked.pop(command.ticket_id)
            self._refuse(asked, command)

    def _grant(self, asked: _Asked, command: Granted) -> None:
        view = self._views.get(command.server)
        if asked.granted.done():
            return
        if view is None:
            self.release(asked.ticket, failed=False)
            asked.granted.set_exception(RefusedError(Code.no_backend_server))
            return
        if command.pieces:
            self._on_placed(
                PromptPlaced(
                    command.server,
                    command.pieces,
                    command.unread,
                    asked.ticket.tier,
                    is_tight=asked.ticket.is_tight,
                )
            )
        asked.granted.set_result(view)

    def _refuse(self, asked: _Asked, command: Refused) -> None:
        if not asked.granted.done():
            asked.granted.set_exception(
                RefusedError(
                    command.code,
                    retry_after_ms=command.retry_after_ms,
                ),
            )
