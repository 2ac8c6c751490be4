"""Find the broker of each group and keep the desks attached to it."""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.process.broker_client import BrokerClient, Port, TicketListener
from siskinpass.process.hosting import FALLBACK, BrokerHost
from siskinpass.process.logs import ComponentLog
from siskinpass.process.rendezvous import holder
from siskinpass.request.ticket import Command, Event, Ticket, TokensObserved

UNREACHABLE_S = 2.0

# Opens a port to the broker of a group at another instance.
Dial = Callable[[str, BrokerClient, Callable[[Port], None]], Port]


class LocalPort:
    """Speak to a broker in this process."""

    def __init__(self, host: BrokerHost, group: str, entry: str) -> None:
        """Open a session; commands arrive in a later turn of the loop."""
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._session = host.open(group, entry, self._take)
        self.on_commands: Callable[[list[Command]], None] | None = None

    def send(self, events: list[Event]) -> None:
        """Send events in order."""
        if events:
            self._loop.call_soon(self._session.tell, events)

    def close(self) -> None:
        """End the session."""
        self._closed = True
        self._session.close()

    def _take(self, commands: list[Command]) -> None:
        if self.on_commands is not None and not self._closed:
            self._loop.call_soon(self.on_commands, commands)


class Dispatcher:
    """Own the desks of this entry.

    :param own: name of this instance.
    :param dial: opens a port to another instance.
    """

    def __init__(
        self,
        own: str,
        host: BrokerHost,
        dial: Dial,
        note_retry: Callable[[Code], None],
    ) -> None:
        """Start alone."""
        self._own = own
        self._host = host
        self._dial = dial
        self._note_retry = note_retry
        self._loop = asyncio.get_running_loop()
        self._clients: dict[str, BrokerClient] = {}
        self._instances: frozenset[str] = frozenset((own,))
        self._unreachable: dict[str, float] = {}
        self._log = ComponentLog('dispatch')
        self.alone = False

    @property
    def instances(self) -> frozenset[str]:
        """Return the instances that may hold brokers."""
        return self._instances

    @property
    def broker_clients(self) -> Iterable[BrokerClient]:
        """Return the desks."""
        return self._clients.values()

    def ask(self, ticket: Ticket, listener: TicketListener) -> None:
        """Open a ticket for a pool."""
        self._client(ticket.pool).ask(ticket, listener)

    def withdraw(self, pool: str, ticket_id: str) -> None:
        """Take back a ticket."""
        self._client(pool).withdraw(ticket_id)

    def release(self, pool: str, ticket_id: str, *, failed: bool) -> None:
        """Give a slot back."""
        self._client(pool).release(ticket_id, failed=failed)

    def observe(self, pool: str, observed: TokensObserved) -> None:
        """Tell the broker of a server's speed."""
        self._client(pool).observe(observed)

    def take_instances(self, names: Iterable[str]) -> None:
        """Take the live instances; desks whose broker moved follow it."""
        self._instances = frozenset(names) or frozenset((self._own,))
        for client in self._clients.values():
            self._follow(client)

    def recheck(self) -> None:
        """Return from a fallback to a broker that is worth trying again."""
        for client in self._clients.values():
            self._follow(client)

    def _client(self, group: str) -> BrokerClient:
        client = self._clients.get(group)
        if client is None:
            client = BrokerClient(group, self._attach)
            self._clients[group] = client
        return client

    def _follow(self, client: BrokerClient) -> None:
        if client.broker and client.broker != self._broker_of(client.group):
            self._note_retry(Code.retry_broker_changed)
            self._attach(client)

    def _broker_of(self, group: str) -> str:
        """Return the instance to ask, or the fallback's name."""
        if self.alone:
            return self._own
        name = holder(group, self._instances)
        if self._unreachable.get(name, 0) > self._loop.time():
            return f'{FALLBACK}{name}'
        return name

    def _attach(self, client: BrokerClient) -> None:
        broker = self._broker_of(client.group)
        if broker.startswith(FALLBACK):
            port = self._open_local(f'{FALLBACK}{client.group}', client)
        elif broker == self._own:
            port = self._open_local(client.group, client)
        else:
            port = self._dial(
                broker,
                client,
                lambda failed: self._lose(client, broker, failed),
            )
        client.attach(port, broker)

    def _open_local(self, group: str, client: BrokerClient) -> LocalPort:
        port = LocalPort(self._host, group, self._own)
        port.on_commands = lambda commands: client.take(port, commands)
        return port

    def _lose(self, client: BrokerClient, broker: str, port: Port) -> None:
        if client.broker != broker or not client.is_attached_to(port):
            return
        self._log.warn('A broker does not answer.', broker=broker)
        self._unreachable[broker] = self._loop.time() + UNREACHABLE_S
        self._note_retry(Code.retry_broker_changed)
        client.detach()
