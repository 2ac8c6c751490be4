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


class TicketListener(Protocol):
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
class _TicketRecord:
    """Hold one ticket and who waits for it."""

    ticket: Ticket
    listener: TicketListener
    server: str = ''


class BrokerClient:
    """Own the tickets of this entry for one group."""

    def __init__(
        self, group: str, on_port_needed: Callable[['BrokerClient'], None]
    ) -> None:
        """Start without a broker.

        :param on_use: called when there is something to tell and no port.
        """
        self.group = group
        self._on_port_needed = on_port_needed
        self._records: dict[str, _TicketRecord] = {}
        self._port: Port | None = None
        self.broker = ''

    @property
    def open_tickets(self) -> int:
        """Return how many tickets wait."""
        return sum(not record.server for record in self._records.values())

    @property
    def tickets(self) -> int:
        """Return how many tickets wait or hold a slot."""
        return len(self._records)

    def ask(self, ticket: Ticket, listener: TicketListener) -> None:
        """Open a ticket."""
        self._records[ticket.ticket_id] = _TicketRecord(ticket, listener)
        self._send(TicketOpened(ticket))

    def withdraw(self, ticket_id: str) -> None:
        """Take back a ticket, whether it waits or holds a slot."""
        if self._records.pop(ticket_id, None) is not None:
            self._send(GrantReleased(ticket_id))

    def release(self, ticket_id: str, *, failed: bool) -> None:
        """Give a slot back."""
        if self._records.pop(ticket_id, None) is not None:
            self._send(GrantReleased(ticket_id, failed))

    def observe(self, observed: TokensObserved) -> None:
        """Tell the broker of a server's speed."""
        if self._port is not None:
            self._port.send([observed])

    def is_attached_to(self, port: Port) -> bool:
        """Tell whether a port is the one in use."""
        return port is self._port

    def attach(self, port: Port, broker: str) -> None:
        """Tell everything to a new broker."""
        if self._port is not None:
            self._port.close()
        self._port = port
        self.broker = broker
        events: list[Event] = []
        for record in self._records.values():
            if record.server:
                events.append(GrantReported(record.ticket, record.server))
            else:
                events.append(TicketOpened(record.ticket))
        port.send(events)

    def detach(self) -> None:
        """Stop speaking to the broker, and find another on the next use."""
        if self._port is not None:
            self._port.close()
        self._port = None
        self.broker = ''
        if self._records:
            self._on_port_needed(self)

    def take(self, port: Port, commands: list[Command]) -> None:
        """Take in what the broker decided; an old broker is not heard."""
        if port is not self._port:
            return
        for command in commands:
            self._handle_command(command)

    @singledispatchmethod
    def _handle_command(self, command: Command) -> None:
        raise TypeError(command)

    @_handle_command.register
    def _handle_granted(self, command: Granted) -> None:
        record = self._records.get(command.ticket_id)
        if record is None:
            self._send(GrantReleased(command.ticket_id))
            return
        record.server = command.server
        record.listener.granted(command.server)

    @_handle_command.register
    def _handle_refused(self, command: Refused) -> None:
        record = self._records.pop(command.ticket_id, None)
        if record is not None:
            record.listener.refused(command)

    @_handle_command.register
    def _handle_paused(self, command: Paused) -> None:
        record = self._records.get(command.ticket_id)
        if record is not None and record.server:
            record.listener.paused()

    @_handle_command.register
    def _handle_moved(self, command: Moved) -> None:
        record = self._records.get(command.ticket_id)
        if record is not None and record.server:
            record.listener.moved()

    def _send(self, event: TicketOpened | GrantReleased) -> None:
        if self._port is None:
            self._on_port_needed(self)
        else:
            self._port.send([event])
