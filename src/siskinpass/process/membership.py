"""Track the live instances with heartbeats and gossip.

Pure logic without I/O, after SWIM (Das, Gupta, Motivala, 2002). In each
interval an instance probes one other; if no ack arrives, it asks a few others
to probe it too. Changes of member states are piggybacked on these packets. The
number of packets that an instance sends per interval does not depend on the
number of instances.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import singledispatchmethod


@dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """Configuration of the failure detector.

    :param probe_interval_s: time between probes.
    :param large_group: number of members above which each of them is probed
        often enough by the others, so that one member may probe more rarely.
    :param large_probe_interval_s: time between probes in a large group.
    :param ack_timeout_s: wait for an ack before others are asked to probe.
    :param suspect_timeout_s: time after which a suspect is declared dead.
    :param forget_after_s: time after which a dead member is removed.
    :param indirect_probes: number of other members that are asked to probe.
    :param updates: maximum number of member states piggybacked on a packet, not
        counting the state of its receiver.
    """

    probe_interval_s: float = 0.2
    large_group: int = 24
    large_probe_interval_s: float = 0.5
    ack_timeout_s: float = 0.1
    suspect_timeout_s: float = 0.8
    forget_after_s: float = 60.0
    indirect_probes: int = 2
    updates: int = 6


ALIVE = 0
SUSPECT = 1
LEAVING = 2
DEAD = 3

# Number of packets on which each change of a member's state is sent.
UPDATE_REPEATS = 8
MAX_SEED_PINGS = 3  # per probe interval


@dataclass(frozen=True, slots=True)
class Member:
    """State of one member, as exchanged by gossip.

    :param peer_address: ``ip:port`` of its heartbeats.
    :param caller_address: ``ip:port`` at which it serves callers.
    :param zone: availability zone.
    :param incarnation: start time of its process in Unix ms; a restarted or
        replaced instance has a higher one.
    :param counter: incremented only by the member itself, to refute a suspicion
        and on every change of its own state.
    :param state: 0 alive, 1 suspect, 2 leaving, 3 dead.
    :param tree_version: number of the settings tree's version in force there.
    :param capacity: processor capacity in hundredths of a core, 0 where
        unknown.
    """

    name: str
    peer_address: str
    caller_address: str = ''
    zone: str = ''
    incarnation: int = 0
    counter: int = 0
    state: int = ALIVE
    tree_version: int = 0
    capacity: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return a sort key: of two states of a member, the greater wins."""
        return (self.incarnation, self.counter, self.state)


@dataclass(frozen=True, slots=True)
class Packet:
    """One heartbeat with piggybacked member states.

    :param kind: ``ping``, ``ack``, or ``ask`` for an indirect probe.
    :param sender: the sender's own state.
    :param sequence: matches an ack to its probe; 0 if the ack is not awaited.
    :param updates: states of other members.
    :param target: for an ``ask``, the member to probe; for an ``ack``, the
        member that answered an indirect probe, empty for the sender itself.
    """

    kind: str
    sender: Member
    sequence: int
    updates: tuple[Member, ...] = ()
    target: str = ''


@dataclass(frozen=True, slots=True)
class PacketArrived:
    """A packet was received."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class SeedsListed:
    """The list of instances was read.

    :param members: all listed instances; replaces the earlier list.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MembersRead:
    """Another instance sent its list of members.

    :param members: in the states that it knows.
    """

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A periodic tick, on which time-outs are checked and probes are sent."""


@dataclass(frozen=True, slots=True)
class OwnStateChanged:
    """The state that this instance announces of itself changed."""

    leaving: bool
    tree_version: int


@dataclass(frozen=True, slots=True)
class SendPacket:
    """A packet is to be sent.

    :param address: ``ip:port``.
    """

    address: str
    packet: Packet


@dataclass(slots=True)
class _Probe:
    """The probe of the current interval.

    :param target: name of the probed member.
    :param asked: whether other members were asked to probe it too.
    :param answered: whether a direct or indirect ack arrived.
    """

    target: str
    sequence: int
    sent_s: float
    asked: bool = False
    answered: bool = False


@dataclass(slots=True)
class _Entry:
    """A known member.

    :param since_s: when it entered its current state.
    :param repeats_left: number of packets on which it is still to be sent.
    """

    member: Member
    since_s: float
    repeats_left: int = UPDATE_REPEATS


MembershipEvent = (
    PacketArrived | SeedsListed | MembersRead | TimePassed | OwnStateChanged
)


class Membership:
    """The members known to this instance, and the probing of them."""

    def __init__(
        self,
        own: Member,
        policy: MembershipPolicy,
        rng: random.Random,
    ) -> None:
        """Start with this instance as the only member."""
        self._own = own
        self._policy = policy
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._indirect: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._next_probe_s = 0.0
        self._seeds: tuple[Member, ...] = ()
        self._now_s = 0.0
        self._outgoing: list[SendPacket] = []
        self._own_repeats = UPDATE_REPEATS

    @property
    def own(self) -> Member:
        """Return the state that this instance announces of itself."""
        return self._own

    @property
    def probe_interval_s(self) -> float:
        """Return the time between two probes, in seconds."""
        if len(self._entries) > self._policy.large_group:
            return self._policy.large_probe_interval_s
        return self._policy.probe_interval_s

    @property
    def members(self) -> list[Member]:
        """Return all known members, including this instance and dead ones."""
        known = [entry.member for entry in self._entries.values()]
        return [self._own, *known]

    @property
    def live(self) -> list[Member]:
        """Return the members that are not dead, including suspects."""
        return [member for member in self.members if member.state != DEAD]

    @property
    def serving(self) -> list[Member]:
        """Return the members that are neither dead nor leaving."""
        return [
            member
            for member in self.members
            if member.state in {ALIVE, SUSPECT}
        ]

    def apply(
        self,
        event: MembershipEvent,
        now_s: float,
    ) -> list[SendPacket]:
        """Apply one event and return the packets to send.

        :param now_s: monotonic clock in seconds; a reading earlier than the
            previous one is ignored.
        """
        self._now_s = max(self._now_s, now_s)
        self._apply_event(event)
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    @singledispatchmethod
    def _apply_event(self, event: object) -> None:
        raise TypeError(event)

    @_apply_event.register
    def _handle_packet(self, event: PacketArrived) -> None:
        packet = event.packet
        self._merge_all((packet.sender, *packet.updates))
        if packet.kind == 'ping':
            self._send(packet.sender, 'ack', packet.sequence)
        elif packet.kind == 'ask':
            self._probe_on_request(packet)
        else:
            self._handle_ack(packet)

    @_apply_event.register
    def _handle_seeds(self, event: SeedsListed) -> None:
        own = self._own.name
        self._seeds = tuple(seed for seed in event.members if seed.name != own)

    @_apply_event.register
    def _handle_members(self, event: MembersRead) -> None:
        self._merge_all(event.members)

    @_apply_event.register
    def _handle_own_change(self, event: OwnStateChanged) -> None:
        self._own = replace(
            self._own,
            counter=self._own.counter + 1,
            state=LEAVING if event.leaving else ALIVE,
            tree_version=event.tree_version,
        )
        if event.leaving:
            for entry in self._entries.values():
                if entry.member.state != DEAD:
                    self._send(entry.member, 'ping', 0)

    @_apply_event.register
    def _handle_tick(self, event: TimePassed) -> None:
        self._expire_members()
        self._request_indirect_probes()
        if self._now_s >= self._next_probe_s:
            self._finish_probe()
            self._next_probe_s = self._now_s + self.probe_interval_s
            self._ping_missing_seeds()
            self._start_probe()

    def _merge_all(self, reports: Iterable[Member]) -> None:
        for member in reports:
            if member.name == self._own.name:
                self._refute(member)
            else:
                self._merge(member)

    def _merge(self, member: Member) -> None:
        known = self._entries.get(member.name)
        if known is None:
            if member.state != DEAD:
                self._entries[member.name] = _Entry(member, self._now_s)
            return
        if member.precedence > known.member.precedence:
            if member.state == known.member.state:
                known.member = member
                known.repeats_left = UPDATE_REPEATS
            else:
                self._entries[member.name] = _Entry(member, self._now_s)

    def _refute(self, report: Member) -> None:
        same = report.incarnation == self._own.incarnation
        wrong = report.state in {SUSPECT, DEAD}
        if same and wrong and report.counter >= self._own.counter:
            self._own = replace(self._own, counter=report.counter + 1)

    def _expire_members(self) -> None:
        policy = self._policy
        for name, entry in tuple(self._entries.items()):
            age_s = self._now_s - entry.since_s
            state = entry.member.state
            if state == SUSPECT and age_s >= policy.suspect_timeout_s:
                self._set_state(name, DEAD)
            elif state == DEAD and age_s >= policy.forget_after_s:
                self._entries.pop(name)

    def _set_state(self, name: str, state: int) -> None:
        entry = self._entries[name]
        member = replace(entry.member, state=state)
        self._entries[name] = _Entry(member, self._now_s)

    def _request_indirect_probes(self) -> None:
        probe = self._probe
        if probe is None or probe.answered or probe.asked:
            return
        if self._now_s - probe.sent_s < self._policy.ack_timeout_s:
            return
        probe.asked = True
        others = [
            entry.member
            for name, entry in self._entries.items()
            if name != probe.target and entry.member.state in {ALIVE, LEAVING}
        ]
        count = min(self._policy.indirect_probes, len(others))
        for helper in self._rng.sample(others, count):
            self._send(helper, 'ask', probe.sequence, probe.target)

    def _finish_probe(self) -> None:
        probe, self._probe = self._probe, None
        if probe is None or probe.answered:
            return
        entry = self._entries.get(probe.target)
        if entry is None:
            return
        if entry.member.state in {ALIVE, LEAVING}:
            self._set_state(probe.target, SUSPECT)

    def _start_probe(self) -> None:
        target = self._next_target()
        if target is None:
            return
        self._sequence += 1
        self._probe = _Probe(target.name, self._sequence, self._now_s)
        self._send(target, 'ping', self._sequence)

    def _next_target(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = [
                    name
                    for name, entry in self._entries.items()
                    if entry.member.state != DEAD
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            entry = self._entries.get(self._probe_order.pop())
            if entry is not None and entry.member.state != DEAD:
                return entry.member

    def _ping_missing_seeds(self) -> None:
        """Ping a few listed instances that are unknown or considered dead."""
        missing = [
            seed
            for seed in self._seeds
            if seed.name not in self._entries
            or self._entries[seed.name].member.state == DEAD
        ]
        count = min(MAX_SEED_PINGS, len(missing))
        for seed in self._rng.sample(missing, count):
            self._send(seed, 'ping', 0)

    def _probe_on_request(self, packet: Packet) -> None:
        entry = self._entries.get(packet.target)
        if entry is None:
            return
        self._sequence += 1
        # Bounds the memory for probes that are never acknowledged.
        if len(self._indirect) > 100:
            self._indirect.clear()
        self._indirect[self._sequence] = (packet.sender.name, packet.sequence)
        self._send(entry.member, 'ping', self._sequence)

    def _handle_ack(self, packet: Packet) -> None:
        request = self._indirect.pop(packet.sequence, None)
        if request is not None:
            requester = self._entries.get(request[0])
            if requester is not None:
                subject = packet.sender.name
                self._send(requester.member, 'ack', request[1], subject)
            return
        probe = self._probe
        if probe and probe.sequence == packet.sequence:
            answered = packet.target or packet.sender.name
            probe.answered = probe.answered or answered == probe.target

    def _send(
        self,
        receiver: Member,
        kind: str,
        sequence: int,
        target: str = '',
    ) -> None:
        packet = Packet(
            kind, self._own, sequence, self._select_updates(receiver), target
        )
        self._outgoing.append(SendPacket(receiver.peer_address, packet))

    def _select_updates(self, receiver: Member) -> tuple[Member, ...]:
        """Return the member states that were sent least often since a change.

        States that were sent ``UPDATE_REPEATS`` times are left out. A suspect
        or dead receiver also gets its own state, since it can refute only a
        suspicion that it knows of.
        """
        selected = sorted(
            (
                entry
                for entry in self._entries.values()
                if entry.repeats_left > 0
            ),
            key=lambda entry: entry.repeats_left,
            reverse=True,
        )[: self._policy.updates]
        for entry in selected:
            entry.repeats_left -= 1
        reports = [entry.member for entry in selected]
        known = self._entries.get(receiver.name)
        if known and known.member.state in {SUSPECT, DEAD}:
            reports.append(known.member)
        return tuple(reports)
