"""Routing table and backend servers, as read from the store."""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.exceptions import FormatError
from siskinpass.platform.config import CONFIG_NAME, decode_config
from siskinpass.platform.objects import StoredObject
from siskinpass.platform.servers import decode_server
from siskinpass.process.fleet.watch import (
    Changed,
    Listed,
    StoreUnavailable,
    StoreUpdate,
)
from siskinpass.process.known_servers import KnownServers
from siskinpass.process.logs import ComponentLog
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import CallerLimits, RouteTable


class StoredState:
    """Holder of the newest routing table and the registered servers.

    :param on_servers: called with all servers whenever they or the
        configuration changed.
    """

    def __init__(
        self,
        on_servers: Callable[[Iterable[ServerView]], None],
    ) -> None:
        self._on_servers = on_servers
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

    def table(self) -> RouteTable | None:
        """Return the routing table in force, ``None`` before the first."""
        return self._table

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
        self._on_servers(self._servers.views)
        self._check_ready()

    def _change(self, stored: StoredObject, now_s: float) -> None:
        views = (
            () if stored.is_deleted else tuple(self._decode_views((stored,)))
        )
        for view in views:
            self._servers.put(view, now_s)
            self._log.note(
                'A server changed.',
                server=view.name,
                leaving=view.leaving,
                revision=stored.revision,
            )
        if not views:
            self._servers.remove(stored.name, now_s)
            self._log.note(
                'A server has no entry any more.',
                server=stored.name,
                revision=stored.revision,
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
