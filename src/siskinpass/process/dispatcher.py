"""Find the broker of each group and keep the desks attached to it."""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.process.desk import Asker, Desk, Port
from siskinpass.process.hosting import FALLBACK, BrokerHost
from siskinpass.process.logs import PartLog
from siskinpass.process.rendezvous import holder
from siskinpass.request.ticket import Command, Event, Ticket, TokensObserved

UNREACHABLE_S = 2.0

# Opens a port to the broker of a group at another instance.
Dial = Callable[[str, Desk, Callable[[Port], None]], Port]


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
        self._desks: dict[str, Desk] = {}
        self._instances: frozenset[str] = frozenset((own,))
        self._unreachable: dict[str, float] = {}
        self._log = PartLog('dispatch')
        self.alone = False

    @property
    def instances(self) -> frozenset[str]:
        """Return the instances that may hold brokers."""
        return self._instances

    @property
    def desks(self) -> Iterable[Desk]:
        """Return the desks."""
        return self._desks.values()

    def ask(self, ticket: Ticket, asker: Asker) -> None:
        """Open a ticket for a pool."""
        self._desk(ticket.pool).ask(ticket, asker)

    def withdraw(self, pool: str, ticket_id: str) -> None:
        """Take back a ticket."""
        self._desk(pool).withdraw(ticket_id)

    def release(self, pool: str, ticket_id: str, *, failed: bool) -> None:
        """Give a slot back."""
        self._desk(pool).release(ticket_id, failed=failed)

    def observe(self, pool: str, observed: TokensObserved) -> None:
        """Tell the broker of a server's speed."""
        self._desk(pool).observe(observed)

    def take_instances(self, names: Iterable[str]) -> None:
        """Take the live instances; desks whose broker moved follow it."""
        self._instances = frozenset(names) or frozenset((self._own,))
        for desk in self._desks.values():
            self._follow(desk)

    def recheck(self) -> None:
        """Return from a fallback to a broker that is worth trying again."""
        for desk in self._desks.values():
            self._follow(desk)

    def _desk(self, group: str) -> Desk:
        desk = self._desks.get(group)
        if desk is None:
            desk = Desk(group, self._attach)
            self._desks[group] = desk
        return desk

    def _follow(self, desk: Desk) -> None:
        if desk.broker and desk.broker != self._broker_of(desk.group):
            self._note_retry(Code.retry_broker_changed)
            self._attach(desk)

    def _broker_of(self, group: str) -> str:
        """Return the instance to ask, or the fallback's name."""
        if self.alone:
            return self._own
        name = holder(group, self._instances)
        if self._unreachable.get(name, 0) > self._loop.time():
            return f'{FALLBACK}{name}'
        return name

    def _attach(self, desk: Desk) -> None:
        broker = self._broker_of(desk.group)
        if broker.startswith(FALLBACK):
            port = self._open_local(f'{FALLBACK}{desk.group}', desk)
        elif broker == self._own:
            port = self._open_local(desk.group, desk)
        else:
            port = self._dial(
                broker,
                desk,
                lambda failed: self._lose(desk, broker, failed),
            )
        desk.attach(port, broker)

    def _open_local(self, group: str, desk: Desk) -> LocalPort:
        port = LocalPort(self._host, group, self._own)
        port.on_commands = lambda commands: desk.take(port, commands)
        return port

    def _lose(self, desk: Desk, broker: str, port: Port) -> None:
        if desk.broker != broker or not desk.speaks_through(port):
            return
        self._log.warn('A broker does not answer.', broker=broker)
        self._unreachable[broker] = self._loop.time() + UNREACHABLE_S
        self._note_retry(Code.retry_broker_changed)
        desk.detach()
