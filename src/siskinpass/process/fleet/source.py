"""Keep the state of this instance up to date, from the store or a reader.

In a small fleet each instance reads the store. In a large one a few do, and the
others follow one of them; the cost at the store then does not grow with the
fleet. An instance that hears none of the others reads the store itself.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.fleet.crash_guard import CrashGuard
from siskinpass.process.fleet.feed import StateFeed, decode_update
from siskinpass.process.fleet.members import FleetMembers
from siskinpass.process.fleet.reader import StoreReader
from siskinpass.process.fleet.roles import reader_order, readers
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.watch import StoreUnavailable
from siskinpass.process.logs import ComponentLog
from siskinpass.process.peer_grpc import FleetPeerStub
from siskinpass.process.peers import PEER_ERRORS

CHECK_S = 0.4  # time between checks of this instance's role
# A reader that sends nothing for more than two heartbeats of the feed is lost.
SILENCE_S = 1.8
# Time for the first update: a connection, and a listing of the store.
FIRST_UPDATE_S = 0.7
FRESH_WAIT_S = 0.5
POLL_S = 0.02
# Upper limit of the delay before the readers are tried again.
MAX_RETRY_S = 1.5
# Time for which a reader that failed is not tried again.
FAILED_TTL_S = 2.0
# While no reader hears the store, instances that try it themselves, per second
# over the whole fleet.
DIRECT_READS_PER_S = 5.0
DIRECT_READ_S = 3.0


@dataclass(frozen=True, slots=True)
class SourceParts:
    """Parts that the source connects.

    :param small_fleet: number of instances up to which each reads the store.
    """

    members: FleetMembers
    reader: StoreReader
    state: StoredState
    feed: StateFeed
    guard: CrashGuard
    small_fleet: int


class StateSource:
    """Task that reads the store, or follows an instance that does."""

    def __init__(self, own: str, parts: SourceParts) -> None:
        """Start without a source.

        :param own: name of this instance.
        """
        self._own = own
        self._parts = parts
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('source')
        self._failed_until_s: dict[str, float] = {}

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        while True:
            if self._reads_itself():
                await self._read()
                continue
            name = self._next_reader()
            if name:
                await self._follow(name)
            else:
                await self._read_rarely()

    async def relay(self, version: int) -> AsyncIterator[pb.StateUpdate]:
        """Return the state and its changes for a follower.

        The store is read meanwhile, also by an instance that is not one of the
        readers.

        :param version: configuration version in force at the follower.
        """
        with self._parts.reader.reading():
            await self._wait_fresh()
            async with aclosing(self._parts.feed.follow(version)) as updates:
                async for update in updates:
                    yield update

    def _reads_itself(self) -> bool:
        return self._is_reader() or self._parts.reader.is_needed

    def _is_reader(self) -> bool:
        members = self._parts.members
        serving = members.serving
        return (
            members.is_isolated
            or len(serving) <= self._parts.small_fleet
            or self._own in readers(serving)
        )

    def _next_reader(self) -> str:
        """Return the reader to follow, empty if all have failed lately."""
        now_s = self._loop.time()
        names = reader_order(self._own, self._parts.members.serving)
        return next(
            (
                name
                for name in names
                if self._failed_until_s.get(name, 0.0) <= now_s
            ),
            '',
        )

    async def _read(self) -> None:
        self._log.note('This instance reads the store.')
        with self._parts.reader.reading():
            await asyncio.sleep(CHECK_S)
            while self._is_reader() or self._parts.feed.followers:
                await asyncio.sleep(CHECK_S)

    async def _read_rarely(self) -> None:
        """Wait, or try the store although no reader hears it.

        The store may refuse just the readers; but if it is away, hundreds of
        instances that try it would hold up its return.
        """
        share = DIRECT_READS_PER_S / len(self._parts.members.serving)
        if random.random() < share:
            with self._parts.reader.reading():
                await asyncio.sleep(DIRECT_READ_S)
        else:
            await asyncio.sleep(random.uniform(0, MAX_RETRY_S))

    async def _follow(self, name: str) -> None:
        self._log.note('This instance follows a reader.', reader=name)
        try:
            await self._receive(name)
        except PEER_ERRORS as error:
            self._log.warn('Lost the reader.', reader=name, cause=repr(error))
            self._parts.members.links.drop(name)
        if not self._should_leave(name):
            self._failed_until_s[name] = self._loop.time() + FAILED_TTL_S
            self._parts.state.apply_servers(StoreUnavailable())

    def _should_leave(self, name: str) -> bool:
        """Return whether to stop following a reader that works.

        Followers of an instance that is not one of the readers, or is no longer
        one, would keep it reading.
        """
        if self._reads_itself():
            return True
        now_s = self._loop.time()
        expected = [
            reader
            for reader in readers(self._parts.members.serving)
            if self._failed_until_s.get(reader, 0.0) <= now_s
        ]
        return bool(expected) and name not in expected

    async def _receive(self, name: str) -> None:
        """Apply a reader's updates until it is lost or no longer fresh."""
        channel = self._parts.members.links.channel(name)
        async with FleetPeerStub(channel).Follow.open() as stream:
            async with asyncio.timeout(FIRST_UPDATE_S):
                request = pb.FollowRequest(
                    config_version=self._parts.state.version
                )
                await stream.send_message(request, end=True)
                update = await stream.recv_message()
            while update is not None and self._apply(update):
                if self._should_leave(name):
                    break
                async with asyncio.timeout(SILENCE_S):
                    update = await stream.recv_message()
            await stream.cancel()

    def _apply(self, update: pb.StateUpdate) -> bool:
        """Apply an update and return whether to go on with this reader.

        An instance without any state takes that of a reader that has lost the
        store, too.
        """
        is_wanted = update.is_fresh or not self._parts.state.ready.is_set()
        relayed = decode_update(update)
        if is_wanted and update.config_version:
            self._parts.state.apply_relayed(relayed)
        self._parts.guard.receive_relayed(relayed.blocked)
        return update.is_fresh

    async def _wait_fresh(self) -> None:
        deadline_s = self._loop.time() + FRESH_WAIT_S
        while not self._parts.feed.is_fresh and self._loop.time() < deadline_s:
            await asyncio.sleep(POLL_S)
