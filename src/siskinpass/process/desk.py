"""Keep the open tickets and held grants of this entry for one group.

The desk speaks to one broker at a time through a port. When the broker
moves or falls silent it tells everything again to the next one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

from siskinpass.request.ticket import (
    Command,
    Event,
    Granted,
    GrantReleased,
    GrantReported,
    Moved,
    Paused,
    Refused,
    Ticket,
    TicketOpened,
    TokensObserved,
)


class Asker(Protocol):
    """Wait for what a broker decides about one ticket."""

    def granted(self, server: str) -> None:
        """Take in that the ticket has a slot."""

    def refused(self, refusal: Refused) -> None:
        """Take in that the ticket is given up on."""

    def paused(self) -> None:
        """Take in that the stream must make room."""

    def moved(self) -> None:
        """Take in that the stream must go on elsewhere."""


class Port(Protocol):
    """Carry events to one broker."""

    def send(self, events: list[Event]) -> None:
        """Send events in order."""

    def close(self) -> None:
        """Stop speaking to the broker."""


@dataclass(slots=True)
class _Asked:
    """Hold one ticket and who waits for it."""

    ticket: Ticket
    asker: Asker
    server: str = ''


class Desk:
    """Own the tickets of this entry for one group."""

    def __init__(self, group: str, on_use: Callable[['Desk'], None]) -> None:
        """Start without a broker.

        :param on_use: called when there is something to tell and no port.
        """
        self.group = group
        self._on_use = on_use
        self._asked: dict[str, _Asked] = {}
        self._port: Port | None = None
        self.broker = ''

    @property
    def open_tickets(self) -> int:
        """Return how many tickets wait."""
        return sum(not asked.server for asked in self._asked.values())

    @property
    def tickets(self) -> int:
        """Return how many tickets wait or hold a slot."""
        return len(self._asked)

    def ask(self, ticket: Ticket, asker: Asker) -> None:
        """Open a ticket."""
        self._asked[ticket.ticket_id] = _Asked(ticket, asker)
        self._tell(TicketOpened(ticket))

    def withdraw(self, ticket_id: str) -> None:
        """Take back a ticket, whether it waits or holds a slot."""
        if self._asked.pop(ticket_id, None) is not None:
            self._tell(GrantReleased(ticket_id))

    def release(self, ticket_id: str, *, failed: bool) -> None:
        """Give a slot back."""
        if self._asked.pop(ticket_id, None) is not None:
            self._tell(GrantReleased(ticket_id, failed))

    def observe(self, observed: TokensObserved) -> None:
        """Tell the broker of a server's speed."""
        if self._port is not None:
            self._port.send([observed])

    def speaks_through(self, port: Port) -> bool:
        """Tell whether a port is the one in use."""
        return port is self._port

    def attach(self, port: Port, broker: str) -> None:
        """Tell everything to a new broker."""
        if self._port is not None:
            self._port.close()
        self._port = port
        self.broker = broker
        events: list[Event] = []
        for asked in self._asked.values():
            if asked.server:
                events.append(GrantReported(asked.ticket, asked.server))
            else:
                events.append(TicketOpened(asked.ticket))
        port.send(events)

    def detach(self) -> None:
        """Stop speaking to the broker, and find another on the next use."""
        if self._port is not None:
            self._port.close()
        self._port = None
        self.broker = ''
        if self._asked:
            self._on_use(self)

    def take(self, port: Port, commands: list[Command]) -> None:
        """Take in what the broker decided; an old broker is not heard."""
        if port is not self._port:
            return
        for command in commands:
            self._take(command)

    @singledispatchmethod
    def _take(self, command: Command) -> None:
        raise TypeError(command)

    @_take.register
    def _take_grant(self, command: Granted) -> None:
        asked = self._asked.get(command.ticket_id)
        if asked is None:
            self._tell(GrantReleased(command.ticket_id))
            return
        asked.server = command.server
        asked.asker.granted(command.server)

    @_take.register
    def _take_refusal(self, command: Refused) -> None:
        asked = self._asked.pop(command.ticket_id, None)
        if asked is not None:
            asked.asker.refused(command)

    @_take.register
    def _take_pause(self, command: Paused) -> None:
        asked = self._asked.get(command.ticket_id)
        if asked is not None and asked.server:
            asked.asker.paused()

    @_take.register
    def _take_move(self, command: Moved) -> None:
        asked = self._asked.get(command.ticket_id)
        if asked is not None and asked.server:
            asked.asker.moved()

    def _tell(self, event: TicketOpened | GrantReleased) -> None:
        if self._port is None:
            self._on_use(self)
        else:
            self._port.send([event])
