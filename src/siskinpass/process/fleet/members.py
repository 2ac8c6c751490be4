"""Discovery of the instances of a fleet through the store and gossip."""

import asyncio
import random
import time

from siskinpass.exceptions import FormatError, StoreConflictError, StoreError
from siskinpass.platform.directory import decode_member, encode_member
from siskinpass.platform.objects import INSTANCES_KIND
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.gossip import Gossip
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import Member, Membership, MembershipPolicy

NS_PER_MS = 1_000_000
# The store may be unreachable at the start; the pause between attempts is as
# long as a call to it may take.
REGISTER_RETRY_S = 0.5


class FleetMembers:
    """Owner of this instance's view of the membership.

    :param store: where instances register their addresses, from which a new
        instance learns them.
    """

    def __init__(self, settings: FleetSettings, store: StoreClient) -> None:
        self._settings = settings
        self._store = store
        self._log = ComponentLog('member')
        self._max_seen = 1
        self._own = Member(
            settings.name,
            settings.peers,
            settings.callers,
            settings.zone,
            incarnation=time.time_ns() // NS_PER_MS,
        )
        self.gossip = Gossip(
            Membership(self._own, MembershipPolicy(), random.Random()),
            # The store's address is the key of the heartbeats' hash, so that
            # heartbeats of another deployment are dropped.
            settings.store,
            self._update_max_seen,
        )

    @property
    def max_seen(self) -> int:
        """Return the largest number of instances known at the same time."""
        return self._max_seen

    @property
    def serving(self) -> list[Member]:
        """Return the members that are neither dead nor leaving."""
        return self.gossip.membership.serving

    def peer_sockets(self, port_step: int) -> list[tuple[str, int]]:
        """Return the ``(ip, port)`` of the other live instances.

        :param port_step: offset of the port from the heartbeat port.
        """
        found = []
        for member in self.gossip.membership.live:
            if member.name != self._settings.name:
                host, port = member.peer_address.rsplit(':', 1)
                found.append((host, int(port) + port_step))
        return found

    async def register(self) -> None:
        """Register in the store and read the other instances from it.

        Retries until it succeeds.
        """
        while True:
            try:
                await self._register_once()
            except (StoreError, FormatError) as error:
                self._log.warn(
                    'Registration in the store failed; retrying.',
                    cause=str(error),
                )
                await asyncio.sleep(REGISTER_RETRY_S)
            else:
                return

    async def leave(self, version: int) -> None:
        """Announce by gossip that this instance leaves, and deregister it."""
        self.gossip.update_own_state(leaving=True, tree_version=version)
        try:
            await self._store.delete(INSTANCES_KIND, self._settings.name)
        except StoreError as error:
            self._log.warn(
                'Deregistration from the store failed.', cause=str(error)
            )

    async def _register_once(self) -> None:
        name = self._settings.name
        body = encode_member(self._own)
        try:
            await self._store.create(INSTANCES_KIND, name, body)
        except StoreConflictError:
            await self._store.replace(INSTANCES_KIND, name, body)
        listed = await self._store.list_kind(INSTANCES_KIND)
        found = [decode_member(entry.body) for entry in listed.stored]
        members = tuple(member for member in found if member is not None)
        self._max_seen = max(self._max_seen, len(members))
        self.gossip.set_seeds(members)

    def _update_max_seen(self) -> None:
        live = len(self.gossip.membership.live)
        self._max_seen = max(self._max_seen, live)
