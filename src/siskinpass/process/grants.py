"""Keep the granted slots of one group and what they load on its servers.

Pure logic.
"""

from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod

from siskinpass.process.limits import Sample
from siskinpass.process.placement import Server, ServerTable
from siskinpass.process.preemption import Running, load_of, unread_of
from siskinpass.request.ticket import (
    GrantReleased,
    GrantReported,
    LoadEvent,
    PeerLoadsReported,
    PrefillCompleted,
    PromptPlaced,
    ServerLoad,
    ServersListed,
    Ticket,
    TokensObserved,
)


class GrantBook:
    """Hold the granted tickets and count them on their servers."""

    def __init__(self, table: ServerTable) -> None:
        """Start without grants.

        :param table: servers of the group.
        """
        self._table = table
        self._running: dict[str, Running] = {}

    def __len__(self) -> int:
        """Return how many slots are granted."""
        return len(self._running)

    def __contains__(self, ticket_id: str) -> bool:
        """Tell whether a ticket holds a slot."""
        return ticket_id in self._running

    @property
    def running(self) -> Iterable[Running]:
        """Return the granted slots."""
        return self._running.values()

    def start(
        self,
        ticket: Ticket,
        server: Server,
        now_s: float,
        *,
        is_protected: bool,
    ) -> int:
        """Count a new grant and return the tokens that its server reads."""
        name = server.view.name
        cache = self._table.cache
        unread = ticket.tokens_in - cache.cached(name, ticket.pieces)
        cache.note(name, ticket.pieces)
        held = Running(ticket, name, protected=is_protected, unread=unread)
        self._running[ticket.ticket_id] = held
        server.add(held.load)
        server.expect_reading(unread, ticket, now_s)
        self._table.remember(ticket.prefix, name)
        return unread

    def report(self, event: GrantReported) -> None:
        """Count a grant that an entry got from the broker before."""
        ticket = event.ticket
        self._running[ticket.ticket_id] = Running(ticket, event.server)
        server = self._table.find(event.server)
        if server is not None:
            server.add(load_of(ticket, 0))

    def end(self, event: GrantReleased, now_s: float) -> Ticket | None:
        """Take a grant off and return its ticket, none where unknown."""
        held = self._running.pop(event.ticket_id, None)
        if held is None:
            return None
        server = self._table.find(held.server)
        if server is not None:
            server.add(-held.load)
            in_trouble = event.failed or event.server_error
            server.note_outcome(now_s, in_trouble=in_trouble)
            server.note_end(now_s, failed=event.failed)
        return held.ticket

    def take(self, event: LoadEvent, now_s: float) -> None:
        """Take in what changes the load or the list of the servers."""
        self._take(event, now_s)

    @singledispatchmethod
    def _take(self, event: LoadEvent, now_s: float) -> None:
        raise TypeError(event)

    @_take.register
    def _read_prompt(self, event: PrefillCompleted, now_s: float) -> None:
        held = self._running.get(event.ticket_id)
        if held is None:
            return
        server = self._table.find(held.server)
        if server is not None:
            read = unread_of(held.ticket, held.unread)
            server.add(-ServerLoad(unread=read))
            server.note_progress(now_s)
        held.unread = 0

    @_take.register
    def _place(self, event: PromptPlaced, now_s: float) -> None:
        self._table.cache.note(event.server, event.pieces)
        server = self._table.find(event.server)
        if server is not None:
            server.expect_reading(event.unread, event, now_s)

    @_take.register
    def _take_peers(self, event: PeerLoadsReported, now_s: float) -> None:
        self._table.take_peer_loads(event.loads)

    @_take.register
    def _observe(self, event: TokensObserved, now_s: float) -> None:
        server = self._table.find(event.server)
        if server is not None:
            server.note_progress(now_s)
            server.limit.observe(
                event.token_s,
                event.first_s,
                Sample(event.count, server.running, now_s),
            )

    @_take.register
    def _list(self, event: ServersListed, now_s: float) -> None:
        self._table.replace(event.servers)
        counted = Counter(held.server for held in self._running.values())
        for server in self._table.servers:
            server.running = counted[server.view.name]

    def held_by(self, entry: str) -> list[str]:
        """Return the tickets that an entry holds."""
        return [
            ticket_id
            for ticket_id, held in self._running.items()
            if held.ticket.entry == entry
        ]
