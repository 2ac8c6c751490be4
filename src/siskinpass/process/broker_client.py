"""Hold the waiting and granted tickets of this entry instance for one group.

The client has a session with one broker at a time. When the broker moves or
stops responding, the client sends all tickets and grants to the next.
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
    """Callbacks for the decisions of a broker on one ticket."""

    def granted(self, grant: Granted) -> None:
        """Handle the grant of a slot on a backend server."""

    def refused(self, refusal: Refused) -> None:
        """Handle the refusal of the ticket; no further call follows."""

    def paused(self) -> None:
        """Handle the request to stop the stream in favor of an upper tier."""

    def moved(self) -> None:
        """Handle the request to resume the stream on another server."""


class BrokerSession(Protocol):
    """Session with one broker."""

    def send(self, events: list[Event]) -> None:
        """Send events in order."""

    def close(self) -> None:
        """End the session with the broker."""


@dataclass(slots=True)
class _TicketRecord:
    """A ticket with its listener.

    :param server: backend server of the granted slot, empty while waiting.
    """

    ticket: Ticket
    listener: TicketListener
    server: str = ''


class BrokerClient:
    """Client of the broker of one group, for the tickets of this entry."""

    def __init__(
        self, group: str, on_session_needed: Callable[['BrokerClient'], None]
    ) -> None:
        """Start without a session.

        :param on_session_needed: called when an event is due and no session is
            attached; it should call :meth:`attach`, which sends the current
            state in place of the event.
        """
        self.group = group
        self._on_session_needed = on_session_needed
        self._records: dict[str, _TicketRecord] = {}
        self._session: BrokerSession | None = None
        self.broker = ''

    @property
    def waiting_tickets(self) -> int:
        """Return the number of waiting tickets."""
        return sum(not record.server for record in self._records.values())

    @property
    def tickets(self) -> int:
        """Return the number of tickets that wait or hold a slot."""
        return len(self._records)

    def ask(self, ticket: Ticket, listener: TicketListener) -> None:
        """Open a ticket.

        :param listener: called with the broker's decisions on it.
        """
        self._records[ticket.ticket_id] = _TicketRecord(ticket, listener)
        self._send(TicketOpened(ticket))

    def withdraw(self, ticket_id: str) -> None:
        """Withdraw a ticket, whether it waits or holds a slot."""
        if self._records.pop(ticket_id, None) is not None:
            self._send(GrantReleased(ticket_id))

    def release(self, ticket_id: str, *, failed: bool) -> None:
        """Release a granted slot.

        :param failed: whether the backend server failed the request.
        """
        if self._records.pop(ticket_id, None) is not None:
            self._send(GrantReleased(ticket_id, failed))

    def observe(self, observed: TokensObserved) -> None:
        """Report the speed of a server; dropped if no session is attached."""
        if self._session is not None:
            self._session.send([observed])

    def is_attached_to(self, session: BrokerSession) -> bool:
        """Return whether a session is the one in use."""
        return session is self._session

    def attach(self, session: BrokerSession, broker: str) -> None:
        """Switch to a new broker and send it all tickets and grants.

        :param session: replaces the current session, which is closed.
        :param broker: name of the broker at the other end.
        """
        if self._session is not None:
            self._session.close()
        self._session = session
        self.broker = broker
        events: list[Event] = []
        for record in self._records.values():
            if record.server:
                events.append(GrantReported(record.ticket, record.server))
            else:
                events.append(TicketOpened(record.ticket))
        session.send(events)

    def detach(self) -> None:
        """Close the session.

        A new one is requested at once if there are tickets, else when the next
        event is due.
        """
        if self._session is not None:
            self._session.close()
        self._session = None
        self.broker = ''
        if self._records:
            self._on_session_needed(self)

    def handle_commands(
        self, session: BrokerSession, commands: list[Command]
    ) -> None:
        """Handle the broker's commands; those of an old session are ignored."""
        if session is not self._session:
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
        record.listener.granted(command)

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
        if self._session is None:
            self._on_session_needed(self)
        else:
            self._session.send([event])
