"""Connect the broker client of each group to the instance that runs its broker.

While that instance cannot be reached, a local fallback broker takes its place.
"""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.process.broker_client import (
    BrokerClient,
    BrokerSession,
    TicketListener,
)
from siskinpass.process.hosting import FALLBACK_PREFIX, BrokerHost
from siskinpass.process.logs import ComponentLog
from siskinpass.process.rendezvous import holder
from siskinpass.request.ticket import Command, Event, Ticket, TokensObserved

# Time for which an instance counts as unreachable after a session with its
# broker was lost.
UNREACHABLE_TTL_S = 2.0

# Opens a session with the broker of the client's group at the named instance.
# The last argument is called with the session when it is lost.
SessionOpener = Callable[
    [str, BrokerClient, Callable[[BrokerSession], None]], BrokerSession
]


class LocalSession:
    """Session with a broker in this process."""

    def __init__(self, host: BrokerHost, group: str, entry: str) -> None:
        """Open the session.

        Events and commands are delivered in a later iteration of the event
        loop. Commands are dropped until ``on_commands`` is set.

        :param group: name of the group, with the prefix for a fallback broker.
        :param entry: name of this instance.
        """
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._session = host.open(group, entry, self._deliver)
        self.on_commands: Callable[[list[Command]], None] | None = None

    def send(self, events: list[Event]) -> None:
        """Schedule events for the broker, in order."""
        if events:
            self._loop.call_soon(self._session.apply, events)

    def close(self) -> None:
        """End the session; commands that arrive later are dropped."""
        self._closed = True
        self._session.close()

    def _deliver(self, commands: list[Command]) -> None:
        if self.on_commands is not None and not self._closed:
            self._loop.call_soon(self.on_commands, commands)


class Dispatcher:
    """Broker clients of this entry instance, one for each group.

    :ivar decides_locally: whether this instance runs the brokers of all groups
        itself, for its own tickets only.
    """

    def __init__(
        self,
        own: str,
        host: BrokerHost,
        open_session: SessionOpener,
        count_retry: Callable[[Code], None],
    ) -> None:
        """Start with this instance as the only one known.

        :param own: name of this instance.
        :param host: the brokers of this instance.
        :param open_session: opens a session with another instance.
        :param count_retry: called with ``retry_broker_changed`` for each client
            whose broker has moved or whose session was lost.
        """
        self._own = own
        self._host = host
        self._open_session = open_session
        self._count_retry = count_retry
        self._loop = asyncio.get_running_loop()
        self._clients: dict[str, BrokerClient] = {}
        self._instances: frozenset[str] = frozenset((own,))
        self._unreachable: dict[str, float] = {}
        self._log = ComponentLog('dispatch')
        self.decides_locally = False

    @property
    def instances(self) -> frozenset[str]:
        """Return the names of the instances that may run brokers."""
        return self._instances

    @property
    def broker_clients(self) -> Iterable[BrokerClient]:
        """Return the clients of all groups used so far."""
        return self._clients.values()

    def ask(self, ticket: Ticket, listener: TicketListener) -> None:
        """Open a ticket with the broker of its pool.

        :param listener: called with the broker's decisions on it.
        """
        self._client(ticket.pool).ask(ticket, listener)

    def withdraw(self, pool: str, ticket_id: str) -> None:
        """Withdraw a ticket, whether it waits or holds a slot."""
        self._client(pool).withdraw(ticket_id)

    def release(self, pool: str, ticket_id: str, *, failed: bool) -> None:
        """Release a granted slot.

        :param failed: whether the backend server failed the request.
        """
        self._client(pool).release(ticket_id, failed=failed)

    def observe(self, pool: str, observed: TokensObserved) -> None:
        """Report the speed of a server to the broker of its pool."""
        self._client(pool).observe(observed)

    def update_instances(self, names: Iterable[str]) -> None:
        """Replace the instances that may run brokers.

        Clients whose broker has moved are connected to the new one.

        :param names: if empty, this instance alone is used.
        """
        self._instances = frozenset(names) or frozenset((self._own,))
        for client in self._clients.values():
            self._reattach_if_moved(client)

    def recheck(self) -> None:
        """Switch clients back from a fallback once their broker may be tried.

        That is ``UNREACHABLE_TTL_S`` after the session was lost.
        """
        for client in self._clients.values():
            self._reattach_if_moved(client)

    def _client(self, group: str) -> BrokerClient:
        client = self._clients.get(group)
        if client is None:
            client = BrokerClient(group, self._attach)
            self._clients[group] = client
        return client

    def _reattach_if_moved(self, client: BrokerClient) -> None:
        if client.broker and client.broker != self._broker_of(client.group):
            self._count_retry(Code.retry_broker_changed)
            self._attach(client)

    def _broker_of(self, group: str) -> str:
        """Return the name of the instance that runs a group's broker.

        While it is considered unreachable, its name has the fallback prefix.
        """
        if self.decides_locally:
            return self._own
        name = holder(group, self._instances)
        if self._unreachable.get(name, 0) > self._loop.time():
            return f'{FALLBACK_PREFIX}{name}'
        return name

    def _attach(self, client: BrokerClient) -> None:
        broker = self._broker_of(client.group)
        if broker.startswith(FALLBACK_PREFIX):
            session = self._open_local(
                f'{FALLBACK_PREFIX}{client.group}', client
            )
        elif broker == self._own:
            session = self._open_local(client.group, client)
        else:
            session = self._open_session(
                broker,
                client,
                lambda failed: self._handle_lost_session(
                    client, broker, failed
                ),
            )
        client.attach(session, broker)

    def _open_local(self, group: str, client: BrokerClient) -> LocalSession:
        session = LocalSession(self._host, group, self._own)
        session.on_commands = lambda commands: client.handle_commands(
            session, commands
        )
        return session

    def _handle_lost_session(
        self, client: BrokerClient, broker: str, session: BrokerSession
    ) -> None:
        if client.broker != broker or not client.is_attached_to(session):
            return
        self._log.warn(
            'Lost the session with a broker.',
            broker=broker,
        )
        self._unreachable[broker] = self._loop.time() + UNREACHABLE_TTL_S
        self._count_retry(Code.retry_broker_changed)
        client.detach()
