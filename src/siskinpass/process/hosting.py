"""Run the brokers of the groups that this instance is responsible for.

Entry instances reach a broker through sessions, over the network or within the
process.
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
# Time after the end of a session for which its tickets and grants stay valid.
SESSION_GRACE_S = 1.0
# Time after which a broker without sessions is deleted.
IDLE_BROKER_TTL_S = 30.0
# Name prefix of a local broker that stands in while the group's own broker
# cannot be reached.
FALLBACK_PREFIX = 'fallback:'

OnCommands = Callable[[list[Command]], None]
PolicyLookup = Callable[[str], BrokerPolicy]


@dataclass(slots=True)
class _HostedBroker:
    """One broker with its sessions.

    :param sessions: sessions by the name of the entry instance.
    :param last_used_s: when it last had a session.
    """

    broker: Broker
    sessions: dict[str, 'EntrySession'] = field(default_factory=dict)
    last_used_s: float = 0.0


class EntrySession:
    """Broker's side of the session with one entry instance."""

    def __init__(
        self,
        host: 'BrokerHost',
        group: str,
        entry: str,
        on_commands: OnCommands,
    ) -> None:
        """Create a session; :meth:`BrokerHost.open` registers it.

        :param on_commands: called with the commands for the entry instance.
        """
        self._host = host
        self.group = group
        self.entry = entry
        self.on_commands = on_commands

    def apply(self, events: Iterable[Event]) -> None:
        """Apply events of the entry instance to the broker.

        They are ignored if a newer session has replaced this one.
        """
        self._host.apply_events(self, events)

    def close(self) -> None:
        """End the session.

        The entry's tickets and grants stay valid for ``SESSION_GRACE_S``.
        """
        self._host.close_session(self)


class BrokerHost:
    """The brokers of this instance, created on first use."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy_of: PolicyLookup,
    ) -> None:
        """Start without brokers.

        :param policy_of: returns the policy of a group by its name.
        """
        self._loop = loop
        self._policy_of = policy_of
        self._hosted: dict[str, _HostedBroker] = {}
        self._servers: dict[str, tuple[ServerView, ...]] = {}
        self._log = ComponentLog('broker')

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
        """Open a session with the broker of a group.

        An earlier session of the same entry instance is replaced, and its
        tickets and grants are voided.

        :param entry: name of the entry instance.
        :param on_commands: called with the commands for the entry instance.
        """
        hosted = self._broker_for(group)
        session = EntrySession(self, group, entry, on_commands)
        if entry in hosted.sessions:
            self._apply(hosted, EntryLost(entry))
        hosted.sessions[entry] = session
        return session

    def apply_events(
        self, session: EntrySession, events: Iterable[Event]
    ) -> None:
        """Apply events of a session; those of a replaced one are ignored."""
        hosted = self._hosted.get(session.group)
        if hosted is None or hosted.sessions.get(session.entry) != session:
            return
        self._apply(hosted, *events)

    def close_session(self, session: EntrySession) -> None:
        """End a session after ``SESSION_GRACE_S``, unless it is replaced."""
        self._loop.call_later(SESSION_GRACE_S, self._expire_session, session)

    def remove_entry(self, entry: str) -> None:
        """End the sessions of a dead entry instance, without the grace period.

        All brokers void its tickets and grants.
        """
        for hosted in self._hosted.values():
            if hosted.sessions.pop(entry, None) is not None:
                self._apply(hosted, EntryLost(entry))

    def update_servers(self, pools: dict[str, tuple[ServerView, ...]]) -> None:
        """Replace the list of backend servers of each group."""
        self._servers = pools
        for group, hosted in self._hosted.items():
            self._apply(hosted, ServersListed(self._servers_of(group)))

    async def run(self) -> None:
        """Send clock ticks to all brokers and delete unused ones."""
        while True:
            await asyncio.sleep(TICK_S)
            for group, hosted in tuple(self._hosted.items()):
                self._apply(hosted, ClockTicked())
                self._drop_unused(group, hosted)

    def _broker_for(self, group: str) -> _HostedBroker:
        hosted = self._hosted.get(group)
        if hosted is None:
            self._log.note('Started a broker for a group.', group=group)
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
