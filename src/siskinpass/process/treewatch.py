"""Keep the newest accepted version of the settings tree in force.

A few instances watch the store. The others learn of a new version from the
heartbeats, and read it from an instance that announces it. An instance without
a version also reads the store.
"""

import asyncio
from collections.abc import Callable

from siskinpass.exceptions import StoreError, TreeError
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import Member
from siskinpass.process.peers import (
    CALL_TIMEOUT_S,
    PEER_ERRORS,
    PeerLinks,
)
from siskinpass.process.rendezvous import rank
from siskinpass.version.repository import TreeRepository, load_version
from siskinpass.version.tree_version import CurrentVersion, TreeVersion

WATCHER_COUNT = 2  # instances that watch the store
WATCH_TIMEOUT_S = 10.0  # longest wait of one watch
RETRY_S = 0.5
WATCHER_CHECK_S = 0.5  # time between checks for becoming a watcher


class TreeWatch:
    """The version in force at this instance, and the tasks that update it."""

    def __init__(
        self,
        own: str,
        repository: TreeRepository,
        links: PeerLinks,
        on_version: Callable[[TreeVersion], None],
    ) -> None:
        """Start with no version in force.

        :param own: name of this instance.
        :param links: channels to the other instances.
        :param on_version: called with each version that is put in force.
        """
        self._own = own
        self._repository = repository
        self._links = links
        self._on_version = on_version
        self._current_version = CurrentVersion()
        self._members: tuple[Member, ...] = ()
        self._newer_announced = asyncio.Event()
        self._stored_version = 0
        self._log = ComponentLog('tree')

    @property
    def current_version(self) -> CurrentVersion:
        """Return the holder of the version in force."""
        return self._current_version

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Replace the live members, with the versions in force there."""
        self._members = members
        if any(
            member.tree_version > self._current_version.number
            for member in members
        ):
            self._newer_announced.set()

    def adopt_if_newer(self, version: TreeVersion) -> None:
        """Put a version in force if its number is higher than the current."""
        if self._current_version.adopt_if_newer(version):
            self._log.note('A version is in force.', number=version.number)
            self._on_version(version)

    async def run(self) -> None:
        """Follow the store and the other instances until cancelled."""
        await asyncio.gather(self._follow_store(), self._follow_peers())

    async def _follow_store(self) -> None:
        while True:
            if not (
                self._is_watcher() or self._current_version.current is None
            ):
                await asyncio.sleep(WATCHER_CHECK_S)
                continue
            try:
                await self._read_store()
            except StoreError:
                await asyncio.sleep(RETRY_S)
            except TreeError as error:
                self._log.warn('The stored tree is invalid.', why=str(error))
                await asyncio.sleep(RETRY_S)

    async def _read_store(self) -> None:
        if self._current_version.current is None:
            self._stored_version = 0
        wait_s = WATCH_TIMEOUT_S if self._is_watcher() else 0.1
        stored = await self._repository.watch(self._stored_version, wait_s)
        if stored is None:
            await asyncio.sleep(RETRY_S)
            return
        if stored.version == self._stored_version:
            return
        version = await self._repository.load(stored)
        self._stored_version = stored.version
        if version is not None:
            self.adopt_if_newer(version)

    async def _follow_peers(self) -> None:
        while True:
            await self._newer_announced.wait()
            self._newer_announced.clear()
            for member in self._members_ahead():
                if await self._read_peer(member):
                    break
            if self._members_ahead():
                await asyncio.sleep(RETRY_S)
                self._newer_announced.set()

    def _members_ahead(self) -> list[Member]:
        number = self._current_version.number
        return [
            member
            for member in self._members
            if member.tree_version > number and member.name != self._own
        ]

    async def _read_peer(self, member: Member) -> bool:
        request = pb.TreeRequest(newer_than=self._current_version.number)
        try:
            stub = self._links.stub(member.name)
            reply = await stub.ReadTree(request, timeout=CALL_TIMEOUT_S)
        except PEER_ERRORS:
            self._links.drop(member.name)
            return False
        if reply.version <= self._current_version.number:
            return False
        try:
            version = load_version(reply.version, reply.text)
        except TreeError as error:
            self._log.warn('A peer sent an invalid tree.', why=str(error))
            return False
        self.adopt_if_newer(version)
        return True

    def _is_watcher(self) -> bool:
        names = {member.name for member in self._members} | {self._own}
        return self._own in rank('tree', names)[:WATCHER_COUNT]
