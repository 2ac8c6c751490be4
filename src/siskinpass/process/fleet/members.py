"""Discovery of the instances of a fleet.

A starting instance asks the seeds of its settings for the other instances, and
if none answers, the instances that the store lists. Gossip keeps the list up to
date. Instances that read the store list themselves there.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from grpclib.client import Channel

from siskinpass.exceptions import FormatError, StoreConflictError, StoreError
from siskinpass.platform.directory import decode_member, encode_member
from siskinpass.platform.objects import INSTANCES_KIND
from siskinpass.process import codec
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.fleet.roles import (
    MAX_SERVING,
    all_serving_members,
    duty_candidates,
    relay_members,
)
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.gossip import Gossip
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import (
    Member,
    Membership,
    MembershipPolicy,
)
from siskinpass.process.peer_grpc import FleetPeerStub
from siskinpass.process.peers import PEER_ERRORS, PeerLinks, PeerSecurity
from siskinpass.process.server_pace import Sharing

NS_PER_MS = 1_000_000
# The store may be unreachable at the start; the pause between attempts is as
# long as a call to it may take.
REGISTER_RETRY_S = 0.5
# An instance registers only if it is still a reader after this time: while a
# fleet starts, its instances know few others and take themselves for readers.
REGISTER_DELAY_S = 2.0
# Instances do not register again all at once after the store was restored.
REGISTER_JITTER_S = 1.0
CALL_TIMEOUT_S = 0.4  # of a call to another instance
JOIN_RETRY_S = 0.1
# Time after which the store is asked for other instances, if no seed answers.
SEEDS_S = 0.25
# All instances of a fleet start at about the same time when it starts for the
# first time, long before its first callers.
FIRST_JOIN_S = 1.5
MAX_ASKED = 3
# Members are read from another instance a few times soon after the start, when
# lists still grow, and now and then afterwards, as gossip may be lost.
REFRESH_DELAYS_S = (0.3, 0.7, 1.5)
REFRESH_S = 15.0
# An instance that hears no heartbeat for this long is cut off from the others:
# it probes at least two of them a second.
ISOLATED_S = 1.5
# Time after its start in which an instance may not know all others yet.
JOINING_S = 5.0


class FleetMembers:
    """Owner of this instance's view of the membership.

    :param store: where readers register their addresses, from which a new
        instance learns them if no seed answers.
    :ivar links: channels to the other instances.
    :ivar on_change: called when another instance was met or lost, if set.
    """

    def __init__(self, settings: FleetSettings, store: StoreClient) -> None:
        self._settings = settings
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('member')
        self.on_change: Callable[[], None] | None = None
        self._max_seen = 1
        self._registered = 1  # instances that the store lists
        self._started_s = self._loop.time()
        self._is_registered = False
        self._caller_members: list[Member] = []
        self._relay_members: list[Member] = []
        self._duty_candidates: list[Member] = []
        self._own = Member(
            settings.name,
            settings.peers,
            settings.callers,
            settings.zone,
            incarnation=time.time_ns() // NS_PER_MS,
            capacity=settings.capacity,
        )
        self.links = PeerLinks(
            settings.name, settings.ip, PeerSecurity(settings.store)
        )
        self.gossip = Gossip(
            Membership(self._own, MembershipPolicy(), random.Random()),
            # The store's address is the key of the heartbeats' hash, so that
            # heartbeats of another deployment are dropped.
            settings.store,
            self._update_live,
        )

    @property
    def max_seen(self) -> int:
        """Return the largest number of instances known at the same time."""
        return self._max_seen

    @property
    def serving(self) -> list[Member]:
        """Return the members that are neither dead nor leaving."""
        return self.gossip.membership.serving

    @property
    def caller_members(self) -> list[Member]:
        """Return the members that callers are sent to."""
        return self._caller_members

    @property
    def relay_members(self) -> list[Member]:
        """Return the members that relay requests to servers."""
        return self._relay_members

    @property
    def duty_candidates(self) -> list[Member]:
        """Return the members that may hold the lease of the duties."""
        return self._duty_candidates

    def duty_rank(self) -> int | None:
        """Return the number of candidates for the duties before this instance.

        :returns: ``None`` if it is not one. An instance that is cut off from
            the others would report only its own usage.
        """
        if self.is_isolated and self._max_seen > 1:
            return None
        names = [member.name for member in self._duty_candidates]
        own = self._settings.name
        return names.index(own) if own in names else None

    @property
    def own(self) -> Member:
        """Return this instance as it was at its start."""
        return self._own

    def caller_names(self) -> list[str]:
        """Return the names of the members that callers are sent to."""
        return [member.name for member in self._caller_members]

    @property
    def is_isolated(self) -> bool:
        """Return whether no heartbeat has arrived for a while."""
        silent_s = self._loop.time() - self.gossip.received_s
        return silent_s > ISOLATED_S

    def sharing(self) -> Sharing:
        """Return the instances that share the limits of servers.

        One that hears no other shares with as many as it ever knew, and one
        that has just started with as many as are registered.
        """
        own = self._settings.name
        if self.is_isolated:
            return Sharing(own, (own,), max(self._max_seen, self._registered))
        names = sorted(member.name for member in self._caller_members)
        is_joining = self._loop.time() - self._started_s < JOINING_S
        least = min(self._registered, MAX_SERVING) if is_joining else 1
        return Sharing(own, tuple(names), least)

    def peer_sockets(
        self, members: Iterable[Member], port_step: int
    ) -> list[tuple[str, int]]:
        """Return the ``(ip, port)`` of the others among some instances.

        :param port_step: offset of the port from the heartbeat port.
        """
        found = []
        for member in members:
            if member.name != self._settings.name:
                host, port = member.peer_address.rsplit(':', 1)
                found.append((host, int(port) + port_step))
        return found

    def meet(self, member: Member) -> list[Member]:
        """Add an instance that asks for the others, and return all live ones.

        :param member: its own state.
        """
        self.gossip.merge((member,))
        return self.gossip.membership.live

    async def join(self) -> None:
        """Learn the other instances; waits a limited time for them."""
        if not await self._meet_seeds():
            await self._meet_registered()

    async def refresh(self) -> None:
        """Read the members from other instances now and then."""
        for delay_s in REFRESH_DELAYS_S:
            await asyncio.sleep(delay_s)
            await self._refresh_once()
        while True:
            await asyncio.sleep(random.uniform(REFRESH_S / 2, REFRESH_S))
            await self._refresh_once()

    async def register(self, is_reader: Callable[[], bool]) -> None:
        """Register in the store while reading it, again after each restore.

        :param is_reader: returns whether this instance reads the store.
        """
        if self._has_others:
            await asyncio.sleep(REGISTER_DELAY_S)
        while True:
            if is_reader() and await self._try_register():
                await self._wait_for_restore()
                await asyncio.sleep(random.uniform(0, REGISTER_JITTER_S))
            else:
                await asyncio.sleep(REGISTER_RETRY_S)

    async def leave(self, version: int) -> None:
        """Announce by gossip that this instance leaves, and deregister it."""
        self.gossip.update_own_state(leaving=True, tree_version=version)
        if not self._is_registered:
            return
        try:
            await self._store.delete(INSTANCES_KIND, self._settings.name)
        except StoreError as error:
            self._log.warn(
                'Deregistration from the store failed.', cause=str(error)
            )

    @property
    def _has_others(self) -> bool:
        return len(self.gossip.membership.live) > 1

    async def _meet_seeds(self) -> bool:
        """Ask the seeds until one answers; return whether one did.

        On the first start one is asked again at the end, as their own lists
        are still growing.
        """
        seeds = self._settings.other_seeds
        is_first = self._settings.is_first_start
        limit_s = FIRST_JOIN_S if is_first else SEEDS_S
        end_s = self._loop.time() + limit_s
        has_met = False
        while seeds and not has_met and self._loop.time() < end_s:
            # A seed may be a small machine, which all others ask at once.
            has_met = await self._meet(random.choice(seeds))
            await asyncio.sleep(0 if has_met else JOIN_RETRY_S)
        if has_met and is_first:
            await asyncio.sleep(end_s - self._loop.time())
            await self._meet(random.choice(seeds))
        return has_met

    async def _try_register(self) -> bool:
        try:
            await self._register_once()
        except (StoreError, FormatError) as error:
            self._log.warn(
                'Registration in the store failed; retrying.',
                cause=str(error),
            )
            return False
        return True

    async def _register_once(self) -> None:
        name = self._settings.name
        body = encode_member(self._own)
        self._is_registered = True
        try:
            await self._store.create(INSTANCES_KIND, name, body)
        except StoreConflictError:
            await self._store.replace(INSTANCES_KIND, name, body)
        if not self._has_others:
            await self._read_registered(stale=False)

    async def _wait_for_restore(self) -> None:
        era = self._store.era
        while self._store.era == era:
            await asyncio.sleep(REGISTER_RETRY_S)

    async def _read_registered(self, *, stale: bool) -> list[Member]:
        listed = await self._store.list_kind(INSTANCES_KIND, stale=stale)
        found = [decode_member(entry.body) for entry in listed.stored]
        members = [
            member
            for member in found
            if member is not None and member.name != self._settings.name
        ]
        self._registered = len(members) + 1
        self.gossip.set_seeds(tuple(members))
        return members

    async def _meet_registered(self) -> bool:
        try:
            members = await self._read_registered(stale=True)
        except (StoreError, FormatError) as error:
            self._log.warn('No instances were listed.', cause=str(error))
            return False
        asked = random.sample(members, min(MAX_ASKED, len(members)))
        return await self._meet_any(member.peer_address for member in asked)

    async def _refresh_once(self) -> None:
        others = [
            member.peer_address
            for member in self.serving
            if member.name != self._settings.name
        ]
        if others:
            await self._meet_any((random.choice(others),))

    async def _meet_any(self, addresses: Iterable[str]) -> bool:
        """Ask several instances for the others; return whether any answers."""
        others = [one for one in addresses if one != self._settings.peers]
        return any(await asyncio.gather(*map(self._meet, others)))

    async def _meet(self, address: str) -> bool:
        channel = self.links.open(address)
        try:
            known = await self._read_members(channel)
        except PEER_ERRORS as error:
            self._log.routine(
                'An instance did not list its members.',
                address=address,
                cause=repr(error),
            )
            return False
        finally:
            channel.close()
        self.gossip.merge(known)
        return True

    async def _read_members(self, channel: Channel) -> list[Member]:
        request = pb.MembersRequest(
            sender=codec.encode_member(self.gossip.membership.own)
        )
        reply = await FleetPeerStub(channel).ReadMembers(
            request, timeout=CALL_TIMEOUT_S
        )
        return codec.unpack_members(reply.members)

    def _update_live(self) -> None:
        live = self.gossip.membership.live
        self._max_seen = max(self._max_seen, len(live))
        serving = self.serving
        self._caller_members = all_serving_members(serving)
        self._relay_members = relay_members(serving, self._caller_members)
        self._duty_candidates = duty_candidates(serving)
        self.links.update_addresses({
            member.name: member.peer_address
            for member in live
            if member.name != self._settings.name
        })
        if self.on_change is not None:
            self.on_change()
