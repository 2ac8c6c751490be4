"""Host the brokers that this instance holds.

An asyncio task owns the brokers; entries speak to them through sessions,
over the network or from the same process.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from siskinpass.process.broker import Broker, BrokerPolicy
from siskinpass.process.logs import ComponentLog
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
UNUSED_KEPT_S = 30.0
FALLBACK = 'fallback:'

OnCommands = Callable[[list[Command]], None]
PolicyLookup = Callable[[str], BrokerPolicy]


@dataclass(slots=True)
class _Hosted:
    """Hold one broker and the sessions of its entries."""

    broker: Broker
    sessions: dict[str, 'Session'] = field(default_factory=dict)
    used_s: float = 0.0


class Session:
    """Connect one entry to one hosted broker."""

    def __init__(
        self,
        host: 'BrokerHost',
        group: str,
        entry: str,
        on_commands: OnCommands,
    ) -> None:
        """Keep where commands go."""
        self._host = host
        self.group = group
        self.entry = entry
        self.on_commands = on_commands

    def tell(self, events: Iterable[Event]) -> None:
        """Tell the broker what happened at the entry."""
        self._host.take(self, events)

    def close(self) -> None:
        """End the session; its slots are kept for a short grace."""
        self._host.end(self)


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
        self._hosted: dict[str, _Hosted] = {}
        self._servers: dict[str, tuple[ServerView, ...]] = {}
        self._log = ComponentLog('broker')

    @property
    def groups(self) -> dict[str, Broker]:
        """Return the brokers by the name of their group."""
        return {group: hosted.broker for group, hosted in self._hosted.items()}

    def open(
        self,
        group: str,
        entry: str,
        on_commands: OnCommands,
    ) -> Session:
        """Start a session; it replaces an earlier one of the same entry."""
        hosted = self._host(group)
        session = Session(self, group, entry, on_commands)
        if entry in hosted.sessions:
            self._apply(hosted, EntryLost(entry))
        hosted.sessions[entry] = session
        return session

    def take(self, session: Session, events: Iterable[Event]) -> None:
        """Apply the events of one session."""
        hosted = self._hosted.get(session.group)
        if hosted is None or hosted.sessions.get(session.entry) != session:
            return
        self._apply(hosted, *events)

    def end(self, session: Session) -> None:
        """End a session after a grace in which a new one may replace it."""
        self._loop.call_later(SESSION_GRACE_S, self._lose, session)

    def lose_entry(self, entry: str) -> None:
        """Void all that a dead entry held."""
        for hosted in self._hosted.values():
            if hosted.sessions.pop(entry, None) is not None:
                self._apply(hosted, EntryLost(entry))

    def list_servers(self, pools: dict[str, tuple[ServerView, ...]]) -> None:
        """Take the backend servers of each group."""
        self._servers = pools
        for group, hosted in self._hosted.items():
            self._apply(hosted, ServersListed(self._listed(group)))

    async def run(self) -> None:
        """Let time pass for all brokers."""
        while True:
            await asyncio.sleep(TICK_S)
            for group, hosted in tuple(self._hosted.items()):
                self._apply(hosted, ClockTicked())
                self._drop_unused(group, hosted)

    def _host(self, group: str) -> _Hosted:
        hosted = self._hosted.get(group)
        if hosted is None:
            self._log.note('Took over a group.', group=group)
            hosted = _Hosted(Broker(self._policy_of(group)))
            self._hosted[group] = hosted
            self._apply(hosted, ServersListed(self._listed(group)))
        hosted.used_s = self._loop.time()
        return hosted

    def _listed(self, group: str) -> tuple[ServerView, ...]:
        return self._servers.get(group.removeprefix(FALLBACK), ())

    def _apply(self, hosted: _Hosted, *events: Event) -> None:
        commands = hosted.broker.apply_all(events, self._loop.time())
        if not commands:
            return
        by_entry: dict[str, list[Command]] = {}
        for command in commands:
            by_entry.setdefault(command.entry, []).append(command)
        for entry, own in by_entry.items():
            session = hosted.sessions.get(entry)
            if session is not None:
                session.on_commands(own)

    def _lose(self, session: Session) -> None:
        hosted = self._hosted.get(session.group)
        if hosted and hosted.sessions.get(session.entry) == session:
            hosted.sessions.pop(session.entry)
            self._apply(hosted, EntryLost(session.entry))

    def _drop_unused(self, group: str, hosted: _Hosted) -> None:
        now_s = self._loop.time()
        if hosted.sessions:
            hosted.used_s = now_s
        elif now_s - hosted.used_s > UNUSED_KEPT_S:
            self._hosted.pop(group)
