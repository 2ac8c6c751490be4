"""Reach backend servers by own connections, or else through other instances."""

import asyncio
import time
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass

from siskinpass.connection.backend import BackendConnection, BackendPool
from siskinpass.exceptions import ConnectError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.own_paths import OwnPaths
from siskinpass.process.fleet.path_reports import (
    MAX_FAILED,
    PathReport,
    PathReports,
)
from siskinpass.process.fleet.relay_client import (
    RelayClient,
    RelayedConnection,
)
from siskinpass.process.fleet.relay_wire import RelayOutcome
from siskinpass.process.fleet.relays import Relays
from siskinpass.process.logs import ComponentLog
from siskinpass.process.membership import Member
from siskinpass.request.ticket import ServerView

REPORT_INTERVAL_S = 1.0
Watching = AbstractContextManager[Callable[[], None] | None]


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open connection to a server.

    :param is_direct: whether it is this instance's own.
    """

    connection: BackendConnection | RelayedConnection
    is_direct: bool


@dataclass(frozen=True, slots=True)
class AccessParts:
    """Dependencies of the access to servers.

    :param backends: own connections to servers.
    :param relay_pool: connections to other instances.
    :param own: this instance.
    :param key: key that all instances of the deployment share.
    :param candidates: returns the instances that serve.
    :param announce: sends reports to the other instances.
    :param on_broken_path: called with the name of each server that others
        reach, but not this instance.
    """

    backends: BackendPool
    relay_pool: BackendPool
    own: Member
    key: str
    candidates: Callable[[], Iterable[Member]]
    announce: Callable[[Iterable[PathReport]], None]
    on_broken_path: Callable[[str], None]


class ServerAccess:
    """Owner of all ways to the backend servers.

    :ivar paths: own connections.
    :ivar reports: what the other instances do not reach.
    """

    def __init__(self, parts: AccessParts) -> None:
        self._parts = parts
        self._log = ComponentLog('access')
        self.paths = OwnPaths(parts.backends, self._note_failed)
        self.reports = PathReports()
        self._relays = RelayClient(
            parts.relay_pool,
            Relays(parts.own, parts.candidates, self.reports),
            parts.key,
        )
        self._background = BackgroundTasks()
        self._confirming: set[str] = set()

    @property
    def is_cut_off(self) -> bool:
        """Return whether no server is known to be reached directly."""
        return self.paths.is_cut_off

    async def open(self, view: ServerView, *, fresh: bool) -> OpenConnection:
        """Return a connection to a server, through another instance if need be.

        :param fresh: whether a new connection must be used.
        :raises ConnectError: if it cannot be opened; nothing was sent.
        """
        idle = None if fresh else self.paths.reuse(view)
        if idle is not None:
            return OpenConnection(idle, is_direct=True)
        if not self.paths.is_open(view):
            relayed = self._relays.open(view, fresh=fresh)
            if relayed is not None:
                return OpenConnection(relayed, is_direct=False)
        return OpenConnection(await self.paths.connect(view), is_direct=True)

    def watch(self, opened: OpenConnection, view: ServerView) -> Watching:
        """Watch a request on a connection; yields a function to call on data.

        It is ``None`` for a relayed one, whose data says nothing of own paths.
        """
        if opened.is_direct:
            return self.paths.watch(view, opened.connection)
        return nullcontext()

    async def has_ended(self, view: ServerView) -> bool:
        """Return whether a server's process has ended.

        Its address must refuse connections of this instance and of another one
        that reaches other servers: a broken path may refuse them too.
        """
        if self.paths.is_open(view) and not await self._is_refused(view):
            return False
        if not self._relays.relays.has_others:
            return await self._is_refused(view)
        outcome = await self._relays.confirm(view)
        return outcome is RelayOutcome.refused

    async def run(self) -> None:
        """Probe paths and report broken ones until cancelled."""
        probing = self._background.keep(self.paths.run)
        try:
            await self._report()
        finally:
            probing.cancel()

    async def _report(self) -> None:
        has_reported = False
        while True:
            failed = self.paths.failed
            if failed or has_reported:
                report = PathReport(
                    self._parts.own.name,
                    self.paths.is_cut_off or len(failed) > MAX_FAILED,
                    failed[:MAX_FAILED],
                    time.time(),
                )
                self._parts.announce((report,))
            has_reported = bool(failed)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _is_refused(self, view: ServerView) -> bool:
        idle = self.paths.reuse(view)
        if idle is not None:
            idle.give_back()
            return False
        try:
            connection = await self.paths.connect(view)
        except ConnectError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        connection.give_back()
        return False

    def _note_failed(self, view: ServerView) -> None:
        self._background.start(self._confirm(view))

    async def _confirm(self, view: ServerView) -> None:
        if view.name in self._confirming:
            return
        self._confirming.add(view.name)
        outcome = await self._relays.confirm(view)
        self._confirming.discard(view.name)
        if outcome is RelayOutcome.reached and not self.paths.is_alive(view):
            self._log.note(
                'The path to a server is broken; others reach it.',
                server=view.name,
            )
            self._parts.on_broken_path(view.name)
