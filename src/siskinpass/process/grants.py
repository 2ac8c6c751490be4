"""Track the granted slots of one group and their load on its servers.

Pure logic.
"""

from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod

from siskinpass.process.limits import Sample
from siskinpass.process.placement import ENDED_S, Server, ServerTable
from siskinpass.process.preemption import (
    ActiveGrant,
    StreamBegun,
    ticket_load,
    unread_by_tier,
)
from siskinpass.process.server_speed import MIN_TOKENS, StreamPace
from siskinpass.process.zone_choice import shared_key
from siskinpass.request.isolation import ServerEnded
from siskinpass.request.ticket import (
    GrantReleased,
    GrantReported,
    LoadEvent,
    PeerLoadsReported,
    PrefillCompleted,
    PromptPlaced,
    ServerLoad,
    ServersListed,
    SharesChanged,
    Ticket,
    TokensObserved,
)


class ActiveGrants:
    """Granted slots of a group; keeps the load of its servers up to date."""

    def __init__(self, table: ServerTable) -> None:
        self._table = table
        self._running: dict[str, ActiveGrant] = {}

    def __len__(self) -> int:
        """Return the number of granted slots."""
        return len(self._running)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket holds a slot."""
        return ticket_id in self._running

    @property
    def running(self) -> Iterable[ActiveGrant]:
        """Return the granted slots, in the order in which they were added."""
        return self._running.values()

    def start(
        self,
        ticket: Ticket,
        server: Server,
        now_s: float,
        *,
        is_protected: bool,
    ) -> int:
        """Record a new grant and add its load to the server.

        :param is_protected: whether the slot was granted from the guaranteed
            share of the tier; such a stream is never paused.
        :returns: prompt tokens that the server has to prefill because they are
            not in its KV cache.
        """
        name = server.view.name
        cache = self._table.cache
        cached = cache.cached_tokens(name, ticket.pieces)
        unread = max(0, ticket.tokens_in - cached)
        cache.record(name, ticket.pieces)
        grant = ActiveGrant(
            ticket,
            name,
            protected=is_protected,
            unread=unread,
            placed_s=now_s,
        )
        self._running[ticket.ticket_id] = grant
        server.add(grant.load)
        grant.ahead = self._tokens_ahead(grant, server)
        server.schedule_prefill(unread, ticket, now_s)
        server.take_turn(now_s)
        if ticket.pieces:
            self._table.zones.note_part(shared_key(ticket.pieces), now_s)
        self._table.record_prefix(ticket.prefix, name)
        return unread

    def add_reported(self, event: GrantReported) -> None:
        """Record a grant that an entry got from a previous broker.

        Its prompt counts as prefilled.
        """
        ticket = event.ticket
        self._running[ticket.ticket_id] = ActiveGrant(ticket, event.server)
        server = self._table.find(event.server)
        if server is not None:
            server.add(ticket_load(ticket, 0))

    def remove(self, event: GrantReleased, now_s: float) -> Ticket | None:
        """Remove a released grant and record its outcome on the server.

        :returns: ticket of the grant, or ``None`` if it is unknown.
        """
        grant = self._running.pop(event.ticket_id, None)
        if grant is None:
            return None
        server = self._table.find(grant.server)
        if server is not None:
            self._observe_pace(grant, server, event.events, now_s)
            server.add(-grant.load)
            if event.is_declined:
                server.schedule_prefill(-grant.unread, grant.ticket, now_s)
            is_failure = event.failed or event.server_error
            server.update_failure_rate(now_s, is_failure=is_failure)
            server.update_ejection(now_s, failed=event.failed)
            if is_failure:
                self._table.judge_failures(now_s)
        return grant.ticket

    def apply(self, event: LoadEvent, now_s: float) -> None:
        """Apply an event that changes the list, load or speed of servers."""
        self._handle_event(event, now_s)

    @singledispatchmethod
    def _handle_event(self, event: LoadEvent, now_s: float) -> None:
        raise TypeError(event)

    @_handle_event.register
    def _handle_prefill_completed(
        self, event: PrefillCompleted, now_s: float
    ) -> None:
        grant = self._running.get(event.ticket_id)
        if grant is None:
            return
        server = self._table.find(grant.server)
        if server is not None:
            prefilled = unread_by_tier(grant.ticket, grant.unread)
            server.add(-ServerLoad(unread=prefilled))
            server.clear_failures(now_s)
            if grant.begun is None and grant.ahead:
                passed_s = now_s - grant.placed_s
                self._table.observe_first(server, grant.ahead, passed_s, now_s)
            grant.begun = StreamBegun(
                now_s, server.load.running, server.placed_tokens
            )
        grant.unread = 0

    def _tokens_ahead(self, grant: ActiveGrant, server: Server) -> int:
        """Return the tokens to prefill before the first event of a grant.

        :returns: 0 where the first event would tell little of the speed: the
            prompt is short, or has to wait for a slot.
        """
        slots = server.view.slots
        is_full = slots and server.load.running > slots
        if is_full or grant.unread < MIN_TOKENS:
            return 0
        return server.load.unread_at_or_above(grant.ticket.tier)

    def _observe_pace(
        self, grant: ActiveGrant, server: Server, events: int, now_s: float
    ) -> None:
        begun = grant.begun
        if begun is None or not events:
            return
        pace = StreamPace(
            events - 1,
            now_s - begun.at_s,
            (begun.running + server.load.running) / 2,
            server.placed_tokens - begun.placed_tokens,
        )
        self._table.observe_pace(server, pace, now_s)

    @_handle_event.register
    def _handle_placed(self, event: PromptPlaced, now_s: float) -> None:
        self._table.cache.record(event.server, event.pieces)
        if event.unread > 0 and event.pieces:
            # Otherwise the part is only listed as cached, or was declined.
            self._table.zones.note_part(shared_key(event.pieces), now_s)
        server = self._table.find(event.server)
        if server is not None:
            server.schedule_prefill(event.unread, event, now_s)

    @_handle_event.register
    def _handle_peer_loads(
        self, event: PeerLoadsReported, now_s: float
    ) -> None:
        self._table.set_peer_loads(event.loads)
        self._table.update_zones(now_s)

    @_handle_event.register
    def _handle_shares(self, event: SharesChanged, now_s: float) -> None:
        self._table.set_shares(event.shares, now_s)

    @_handle_event.register
    def _handle_tokens(self, event: TokensObserved, now_s: float) -> None:
        server = self._table.find(event.server)
        if server is not None:
            server.clear_failures(now_s)
            server.changed.add(event.server)
            server.limit.observe(
                event.token_s,
                event.first_s,
                Sample(event.count, server.running, now_s),
            )

    @_handle_event.register
    def _handle_ended(self, event: ServerEnded, now_s: float) -> None:
        server = self._table.find(event.server)
        if server is not None and server.view.incarnation == event.incarnation:
            server.eject(now_s + ENDED_S)
            server.changed.add(event.server)
            self._table.judge_failures(now_s)

    @_handle_event.register
    def _handle_servers(self, event: ServersListed, now_s: float) -> None:
        self._table.replace(event.servers)
        counted = Counter(grant.server for grant in self._running.values())
        for server in self._table.servers:
            server.running = counted[server.view.name]
        # Fewer servers may be left in use than must be.
        self._table.judge_failures(now_s)

    def held_by(self, entry: str) -> list[str]:
        """Return the ids of the tickets of an entry that hold slots."""
        return [
            ticket_id
            for ticket_id, grant in self._running.items()
            if grant.ticket.entry == entry
        ]
