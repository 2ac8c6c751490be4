"""Relay the configuration and the backend servers to other instances.

An instance that reads the store publishes what it knows. Each follower gets
everything once and the changes after it, and heartbeats in between.
"""

import asyncio
import zlib
from collections.abc import AsyncIterator, Generator, Iterable
from contextlib import contextmanager
from typing import Any

import orjson

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.codec import decode_server, encode_server
from siskinpass.process.fleet.state import RelayedState
from siskinpass.request.ticket import ServerView

HEARTBEAT_S = 0.7
# Updates that wait for a slow follower. One that is behind by more has to
# follow again.
MAX_WAITING = 256


class StateFeed:
    """Publisher of the state of one instance."""

    def __init__(self) -> None:
        """Start without any state, and not fresh."""
        self._views: dict[str, ServerView] = {}
        self._version = 0
        self._config = b''
        self._is_fresh = False
        self._blocked: tuple[BlockedParts, ...] = ()
        self._followers: set[asyncio.Queue[pb.StateUpdate | None]] = set()

    @property
    def followers(self) -> int:
        """Return the number of followers."""
        return len(self._followers)

    @property
    def is_fresh(self) -> bool:
        """Return whether the store answers, here or at a relaying reader."""
        return self._is_fresh

    def set_fresh(self, *, on: bool) -> None:
        """Record whether the published state is that of the store."""
        if on != self._is_fresh:
            self._is_fresh = on
            self._publish(self._update())

    def publish_config(self, version: int, document: Any) -> None:
        """Publish a configuration that came into force.

        :param document: as the operator wrote it.
        """
        self._version = version
        self._config = zlib.compress(orjson.dumps(document))
        self._publish(self._update(config=self._config))

    def publish_servers(self, views: Iterable[ServerView]) -> None:
        """Publish the changes since the last list of backend servers."""
        listed = {view.name: view for view in views}
        changed = [
            view
            for name, view in listed.items()
            if self._views.get(name) != view
        ]
        removed = self._views.keys() - listed.keys()
        self._views = listed
        if changed or removed:
            self._publish(
                self._update(
                    servers=map(encode_server, changed), removed=sorted(removed)
                )
            )

    def publish_blocked(self, blocked: tuple[BlockedParts, ...]) -> None:
        """Publish all blocked prompt parts."""
        self._blocked = blocked
        self._publish(self._update(blocked=map(_encode_blocked, blocked)))

    async def follow(self, version: int) -> AsyncIterator[pb.StateUpdate]:
        """Return the state, its changes and heartbeats, in order.

        Ends if the follower falls too far behind.

        :param version: configuration version in force at the follower.
        """
        with self._follower() as waiting:
            yield self._full_update(version)
            while True:
                try:
                    update = await asyncio.wait_for(waiting.get(), HEARTBEAT_S)
                except TimeoutError:
                    update = self._update()
                if update is None:
                    return
                yield update

    @contextmanager
    def _follower(
        self,
    ) -> Generator[asyncio.Queue[pb.StateUpdate | None], None, None]:
        waiting: asyncio.Queue[pb.StateUpdate | None] = asyncio.Queue()
        self._followers.add(waiting)
        try:
            yield waiting
        finally:
            self._followers.discard(waiting)

    def _publish(self, update: pb.StateUpdate) -> None:
        for waiting in tuple(self._followers):
            if waiting.qsize() >= MAX_WAITING:
                self._followers.discard(waiting)
                waiting.put_nowait(None)
            else:
                waiting.put_nowait(update)

    def _full_update(self, version: int) -> pb.StateUpdate:
        return self._update(
            is_full=True,
            config=self._config if self._version > version else b'',
            servers=map(encode_server, self._views.values()),
            blocked=map(_encode_blocked, self._blocked),
        )

    def _update(self, **fields: object) -> pb.StateUpdate:
        return pb.StateUpdate(
            is_fresh=self._is_fresh, config_version=self._version, **fields
        )


def decode_update(update: pb.StateUpdate) -> RelayedState:
    """Return the state or the changes in an update of a reader."""
    document = None
    if update.config:
        document = orjson.loads(zlib.decompress(update.config))
    return RelayedState(
        is_full=update.is_full,
        config=document,
        servers=tuple(map(decode_server, update.servers)),
        removed=tuple(update.removed),
        blocked=tuple(map(_decode_blocked, update.blocked)),
    )


def _encode_blocked(blocked: BlockedParts) -> pb.BlockedMessage:
    return pb.BlockedMessage(parts=sorted(blocked.parts), asked_s=blocked.at_s)


def _decode_blocked(message: pb.BlockedMessage) -> BlockedParts:
    return BlockedParts(frozenset(message.parts), message.asked_s)
