"""Host the brokers that this instance holds.

An asyncio task owns the brokers; entries speak to them through sessions,
over the network or from the same process.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.logs import PartLog
from siskinpass.request.ticket import (
    ClockTicked,
    Command,
    EntryLost,
    Event,
    ServersListed,
    ServerView,
)

TICK_S = 0.05
SESSION_GRACE_S = 1.0
IDLE_BROKER_TTL_S = 30.0
FALLBACK_PREFIX = 'fallback:'

OnCommands = Callable[[list[Command]], None]
PolicyLookup = Callable[[str], BrokerPolicy]


@dataclass(slots=True)
class _HostedBroker:
    """Hold one broker and the sessions of its entries."""

    broker: Broker
    sessions: dict[str, 'EntrySession'] = field(default_factory=dict)
    last_used_s: float = 0.0


class EntrySession:
    """Connect one entry to one hosted broker."""

    def __init__(
        self,
        host: 'BrokerHost',
        group: str,
        entry: str,
        on_commands: OnCommands,
    ) -> None:
        """Keep where commands go."""
        self._broker_for = host
        self.group = group
        self.entry = entry
        self.on_commands = on_commands

    def apply(self, events: Iterable[Event]) -> None:
        """Tell the broker what happened at the entry."""
        self._broker_for.apply_events(self, events)

    def close(self) -> None:
        """End the session; its slots are kept for a short grace."""
        self._broker_for.close_session(self)


class BrokerHost:
    """Own the brokers of this instance."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy_of: PolicyLookup,
    ) -> None:
        """Start without brokers.

        :param policy_of: gives the policy of a group by its name.
        """
        self._loop = loop
        self._policy_of = policy_of
        self._hosted: dict[str, _HostedBroker] = {}
        self._servers: dict[str, tuple[ServerView, ...]] = {}
        self._log = PartLog('broker')

    @property
    def brokers(self) -> dict[str, Broker]:
        """Return the brokers by the name of their group."""
        return {group: hosted.broker for group, hosted in self._hosted.items()}

    def open(
        self,
        group: str,
        entry: str,
        on_commands: OnCommands,
    ) -> EntrySession:
        """Start a session; it replaces an earlier one of the same entry."""
        hosted = self._broker_for(group)
        session = EntrySession(self, group, entry, on_commands)
        if entry in hosted.sessions:
            self._apply(hosted, EntryLost(entry))
        hosted.sessions[entry] = session
        return session

    def apply_events(
        self, session: EntrySession, events: Iterable[Event]
    ) -> None:
        """Apply the events of one session."""
        hosted = self._hosted.get(session.group)
        if hosted is None or hosted.sessions.get(session.entry) != session:
            return
        self._apply(hosted, *events)

    def close_session(self, session: EntrySession) -> None:
        """End a session after a grace in which a new one may replace it."""
        self._loop.call_later(SESSION_GRACE_S, self._expire_session, session)

    def remove_entry(self, entry: str) -> None:
        """Void all that a dead entry held."""
        for hosted in self._hosted.values():
            if hosted.sessions.pop(entry, None) is not None:
                self._apply(hosted, EntryLost(entry))

    def update_servers(self, pools: dict[str, tuple[ServerView, ...]]) -> None:
        """Take the backend servers of each group."""
        self._servers = pools
        for group, hosted in self._hosted.items():
            self._apply(hosted, ServersListed(self._servers_of(group)))

    async def run(self) -> None:
        """Let time pass for all brokers."""
        while True:
            await asyncio.sleep(TICK_S)
            for group, hosted in tuple(self._hosted.items()):
                self._apply(hosted, ClockTicked())
                self._drop_unused(group, hosted)

    def _broker_for(self, group: str) -> _HostedBroker:
        hosted = self._hosted.get(group)
        if hosted is None:
            self._log.note('Took over a group.', group=group)
            hosted = _HostedBroker(Broker(self._policy_of(group)))
            self._hosted[group] = hosted
            self._apply(hosted, ServersListed(self._servers_of(group)))
        hosted.last_used_s = self._loop.time()
        return hosted

    def _servers_of(self, group: str) -> tuple[ServerView, ...]:
        return self._servers.get(group.removeprefix(FALLBACK_PREFIX), ())

    def _apply(self, hosted: _HostedBroker, *events: Event) -> None:
        commands = hosted.broker.apply_all(events, self._loop.time())
        if not commands:
            return
        by_entry: dict[str, list[Command]] = {}
        for command in commands:
            by_entry.setdefault(command.entry, []).append(command)
        for entry, addressed in by_entry.items():
            session = hosted.sessions.get(entry)
            if session is not None:
                session.on_commands(addressed)

    def _expire_session(self, session: EntrySession) -> None:
        hosted = self._hosted.get(session.group)
        if hosted and hosted.sessions.get(session.entry) == session:
            hosted.sessions.pop(session.entry)
            self._apply(hosted, EntryLost(session.entry))

    def _drop_unused(self, group: str, hosted: _HostedBroker) -> None:
        now_s = self._loop.time()
        if hosted.sessions:
            hosted.last_used_s = now_s
        elif now_s - hosted.last_used_s > IDLE_BROKER_TTL_S:
            self._hosted.pop(group)
