"""Routing table and backend servers, as read from the store."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from siskinpass.exceptions import FormatError
from siskinpass.platform.config import CONFIG_NAME, decode_config
from siskinpass.platform.objects import StoredObject
from siskinpass.platform.servers import SERVERS_KIND, decode_server
from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.fleet.list_updates import ListUpdates
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import (
    Changed,
    Listed,
    StoreUnavailable,
    StoreUpdate,
)
from siskinpass.process.known_servers import KnownServers
from siskinpass.process.logs import ComponentLog
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import CallerLimits, RouteTable, Service


@dataclass(frozen=True, slots=True)
class RelayedState:
    """State of an instance that reads the store, or changes of it.

    :param is_full: whether all servers are listed.
    :param config: configuration as the operator wrote it, ``None`` if it has
        not changed.
    :param servers: new and changed servers.
    :param removed: names of the servers that have left.
    :param blocked: prompt parts that crash servers; nothing if none was added.
    """

    is_full: bool
    config: Any = None
    servers: tuple[ServerView, ...] = ()
    removed: tuple[str, ...] = ()
    blocked: tuple[BlockedParts, ...] = ()


class StoredState:
    """Holder of the newest routing table and the registered servers.

    :param on_servers: called with all servers whenever they or the
        configuration changed.
    :param on_config: called with the version and document of each
        configuration that comes into force.
    """

    def __init__(
        self,
        on_servers: Callable[[Iterable[ServerView]], None],
        on_config: Callable[[int, Any], None] | None = None,
    ) -> None:
        self._on_servers = ListUpdates(on_servers).receive
        self._on_config = on_config
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('state')
        self._table: RouteTable | None = None
        self._servers = KnownServers()
        self._has_servers = False
        self.ready = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the configuration version in force, 0 before the first."""
        return self._table.version if self._table else 0

    @property
    def is_reachable(self) -> bool:
        """Return whether the servers are known as the store lists them."""
        return self._has_servers and self._servers.is_reachable

    def table(self) -> RouteTable | None:
        """Return the routing table in force, ``None`` before the first."""
        return self._table

    def services(self) -> tuple[Service, ...]:
        """Return the services in force, none before the first version."""
        return tuple(self._table.services.values()) if self._table else ()

    def resumable_services(self) -> frozenset[str]:
        """Return the services that have streams which may be resumed."""
        return self._table.resumable_services if self._table else frozenset()

    def resumable_groups(self) -> frozenset[frozenset[str]]:
        """Return the services of each route whose streams may be resumed."""
        return self._table.resumable_groups if self._table else frozenset()

    async def read_served(
        self, store: StoreClient
    ) -> frozenset[tuple[str, str]]:
        """Read the versions with servers of each service from the store.

        :returns: pairs of service and version, of resumable services only.
        :raises StoreError: if the store does not answer or reports an error.
        """
        page = await store.list_kind(SERVERS_KIND)
        services = self.resumable_services()
        return frozenset(
            (view.pool, view.version)
            for view in self._decode_views(page.stored)
            if view.pool in services
        )

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force for requests, else the defaults."""
        return self._table.limits if self._table else CallerLimits()

    def apply_config(self, update: StoreUpdate) -> None:
        """Apply a store update of the configuration.

        Unreadable and older versions are ignored, and so is an outage of the
        store.
        """
        if isinstance(update, StoreUnavailable):
            return
        for stored in update.stored:
            if stored.name == CONFIG_NAME and not stored.is_deleted:
                self._adopt(stored)

    def apply_servers(self, update: StoreUpdate) -> None:
        """Apply a store update of the backend servers."""
        now_s = self._loop.time()
        if isinstance(update, StoreUnavailable):
            self._servers.mark_unreachable(now_s)
            return
        if isinstance(update, Listed):
            apply = (
                self._servers.apply_restored
                if update.is_restored
                else self._servers.apply_listing
            )
            apply(self._decode_views(update.stored), now_s)
        elif isinstance(update, Changed):
            for stored in update.stored:
                self._change(stored, now_s)
        self._has_servers = True
        self._on_servers(self._servers.views)
        self._check_ready()

    def apply_relayed(self, relayed: RelayedState) -> None:
        """Apply the state of an instance that reads the store."""
        if relayed.config is not None:
            self._adopt(StoredObject(CONFIG_NAME, 0, relayed.config))
        now_s = self._loop.time()
        if relayed.is_full:
            self._servers.apply_relayed(relayed.servers, now_s)
        else:
            for view in relayed.servers:
                self._put(view, now_s)
            for name in relayed.removed:
                self._remove(name, now_s)
        self._has_servers = True
        if relayed.is_full or relayed.servers or relayed.removed:
            self._on_servers(self._servers.views)
        self._check_ready()

    def expire_missing(self) -> None:
        """Remove the servers that are still missing after a store outage."""
        if self._servers.expire_missing(self._loop.time()):
            self._on_servers(self._servers.views)

    def mark_leaving(self, server: ServerView) -> bool:
        """Stop using a server that announced its end in an answer.

        :returns: whether it was not known to be leaving.
        """
        if not self._servers.mark_leaving(server.name, server.incarnation):
            return False
        self._log.note('A server announced that it leaves.', server=server.name)
        self._on_servers(self._servers.views)
        return True

    def receive_leaving(self, servers: Iterable[ServerView]) -> None:
        """Stop using servers of which other instances say that they leave."""
        for server in servers:
            self.mark_leaving(server)

    def _adopt(self, stored: StoredObject) -> None:
        try:
            table = decode_config(stored.body)
        except FormatError as error:
            self._log.warn(
                'Ignored an unreadable configuration; the previous one stays.',
                revision=stored.revision,
                cause=str(error),
            )
            return
        if table.version <= self.version:
            return
        self._table = table
        self._log.note(
            'A configuration is in force.',
            version=table.version,
            revision=stored.revision,
            routes=len(table.routes),
        )
        if self._on_config is not None:
            self._on_config(table.version, stored.body)
        self._on_servers(self._servers.views)
        self._check_ready()

    def _change(self, stored: StoredObject, now_s: float) -> None:
        views = (
            () if stored.is_deleted else tuple(self._decode_views((stored,)))
        )
        for view in views:
            self._put(view, now_s, stored.revision)
        if not views:
            self._remove(stored.name, now_s, stored.revision)

    def _put(self, view: ServerView, now_s: float, revision: int = 0) -> None:
        self._servers.put(view, now_s)
        self._log.note(
            'A server changed.',
            server=view.name,
            leaving=view.leaving,
            revision=revision,
        )

    def _remove(self, name: str, now_s: float, revision: int = 0) -> None:
        self._servers.remove(name, now_s)
        self._log.note(
            'A server has no entry any more.', server=name, revision=revision
        )

    def _decode_views(
        self, stored: Iterable[StoredObject]
    ) -> Iterable[ServerView]:
        for entry in stored:
            try:
                yield decode_server(entry.name, entry.body)
            except FormatError as error:
                self._log.warn(
                    'Ignored an unreadable server entry.',
                    entry=entry.name,
                    cause=str(error),
                )

    def _check_ready(self) -> None:
        if self._table is not None and self._has_servers:
            self.ready.set()
