"""Keep what the store told: the routing table and the backend servers."""

import asyncio
from collections.abc import Callable, Iterable

from siskinpass.exceptions import FormatError
from siskinpass.platform.config import CONFIG_NAME, decode_config
from siskinpass.platform.objects import StoredObject
from siskinpass.platform.servers import decode_server
from siskinpass.process.fleet.watch import Changed, Listed, Lost, News
from siskinpass.process.logs import PartLog
from siskinpass.process.server_book import ServerBook
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import CallerLimits, RouteTable


class StoredState:
    """Own the newest routing table and the registry's entries.

    :param on_servers: takes the servers whenever they or the configuration
        changed.
    """

    def __init__(
        self,
        on_servers: Callable[[Iterable[ServerView]], None],
    ) -> None:
        """Start without a table and without servers."""
        self._on_servers = on_servers
        self._loop = asyncio.get_running_loop()
        self._log = PartLog('state')
        self._table: RouteTable | None = None
        self._servers = ServerBook()
        self._has_servers = False
        self.ready = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._table.version if self._table else 0

    def table(self) -> RouteTable | None:
        """Return the routing table in force, none before the first."""
        return self._table

    def caller_limits(self) -> CallerLimits:
        """Return the bounds in force for what callers send."""
        return self._table.limits if self._table else CallerLimits()

    def take_config(self, news: News) -> None:
        """Take in what the store told of the configuration."""
        if isinstance(news, Lost):
            return
        for stored in news.stored:
            if stored.name == CONFIG_NAME and not stored.is_deleted:
                self._adopt(stored)

    def take_workers(self, news: News) -> None:
        """Take in what the store told of the backend servers."""
        now_s = self._loop.time()
        if isinstance(news, Lost):
            self._servers.lose(now_s)
            return
        if isinstance(news, Listed):
            self._servers.list_all(self._views(news.stored), now_s)
        elif isinstance(news, Changed):
            for stored in news.stored:
                self._change(stored, now_s)
        self._has_servers = True
        self._on_servers(self._servers.views)
        self._check_ready()

    def pass_time(self) -> None:
        """Drop the servers that stayed missing after an outage."""
        if self._servers.pass_time(self._loop.time()):
            self._on_servers(self._servers.views)

    def _adopt(self, stored: StoredObject) -> None:
        try:
            table = decode_config(stored.body)
        except FormatError as error:
            self._log.warn(
                'A configuration cannot be read; the one before holds.',
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
        views = () if stored.is_deleted else tuple(self._views((stored,)))
        for view in views:
            self._servers.change(view, now_s)
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

    def _views(self, stored: Iterable[StoredObject]) -> Iterable[ServerView]:
        for entry in stored:
            try:
                yield decode_server(entry.name, entry.body)
            except FormatError as error:
                self._log.warn(
                    'An entry names no server.',
                    entry=entry.name,
                    cause=str(error),
                )

    def _check_ready(self) -> None:
        if self._table is not None and self._has_servers:
            self.ready.set()
