"""Open this instance's own connections to backend servers, and probe them."""

import asyncio
import itertools
import random
from collections.abc import Callable, Generator, Iterable
from contextlib import contextmanager
from functools import partial

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendConnection, BackendPool
from siskinpass.exceptions import ConnectError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.logs import ComponentLog
from siskinpass.process.path_health import PathHealth
from siskinpass.request.ticket import ServerView

TICK_S = 0.1
# Pause between two probes of a server; a sound one that is silent is not
# connected to more often either.
PROBE_INTERVAL_S = 0.5
PROBES_AT_ONCE = 3
# Covers one lost packet of a probe within the time in which callers connect.
PROBE_TIMEOUT_S = 0.5
# A broken path may accept a connection and reset it: only one that is still
# open after this time shows that the server is reached.
PROBE_OPEN_S = 0.2
CLOSED_UNUSED = 'the connection was closed unused'


class OwnPaths:
    """Owner of the connections and of what they show about the paths.

    :param backends: pool of the connections.
    :param on_failed: called with each server that cannot be connected to while
        a request waits for its answer.
    """

    def __init__(
        self, backends: BackendPool, on_failed: Callable[[ServerView], None]
    ) -> None:
        self._backends = backends
        self._on_failed = on_failed
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('paths')
        self._health = PathHealth()
        self._servers: dict[str, ServerView] = {}
        self._probed_s: dict[str, float] = {}
        self._background = BackgroundTasks()
        self._turns = itertools.count()

    @property
    def failed(self) -> tuple[str, ...]:
        """Return the servers to which no new connection can be opened."""
        return self._health.failed

    @property
    def is_cut_off(self) -> bool:
        """Return whether nothing shows that any server can be reached."""
        return self._health.is_cut_off

    def update_servers(self, views: Iterable[ServerView]) -> None:
        """Replace the list of servers."""
        self._servers = {view.name: view for view in views}
        self._health.keep_only(self._servers)
        self._probed_s = {
            name: at_s
            for name, at_s in self._probed_s.items()
            if name in self._servers
        }

    def is_open(self, view: ServerView) -> bool:
        """Return whether a new connection to a server is likely to open."""
        return self._health.may_connect(view.name)

    def is_alive(self, view: ServerView) -> bool:
        """Return whether open connections to a server are likely to work."""
        return self.is_open(view) or self._health.may_reuse(view.name)

    def reuse(self, view: ServerView) -> BackendConnection | None:
        """Return an idle connection that is likely to work, if any."""
        if self.is_alive(view):
            return self._backends.reuse(view.address)
        return None

    async def open(self, view: ServerView, *, fresh: bool) -> BackendConnection:
        """Return a connection to a server that is likely to be reached.

        :param fresh: whether to open a new connection in any case.
        :raises ConnectError: if there is no path, or no connection can be
            opened; nothing was sent.
        """
        idle = None if fresh else self.reuse(view)
        if idle is not None:
            return idle
        has_failed = view.name in self._health.failed
        if has_failed or not await self.reaches_any():
            raise ConnectError(
                Code.backend_unreachable, 'the path to the server is broken'
            )
        return await self.connect(view)

    async def connect(self, view: ServerView) -> BackendConnection:
        """Open a new connection, whatever is known of the path.

        :raises ConnectError: if it cannot be opened.
        """
        started_s = self._loop.time()
        try:
            connection = await self._backends.connect(view.address, fresh=True)
        except ConnectError as error:
            self._note_failed(view, started_s, error)
            raise
        self._health.note_accepted(self._loop.time())
        return connection

    async def check(self, view: ServerView) -> None:
        """Open a new connection and wait to see that it stays open.

        :raises ConnectError: if it cannot be opened, or is closed at once.
        """
        connection = await self._connect_in_time(view)
        if not await self._stays_open(view, connection):
            raise ConnectError(Code.backend_unreachable, CLOSED_UNUSED)

    @contextmanager
    def watch(
        self, view: ServerView, connection: BackendConnection
    ) -> Generator[Callable[[], None], None, None]:
        """Watch a request on a connection to a server.

        Yields a function to call on data.
        """
        started_s = self._loop.time()
        self._health.note_sent(view.name, started_s)
        try:
            yield partial(self._note_data, view.name)
        finally:
            self._health.note_ended(view.name)
            if connection.is_lost and not self._health.has_data(
                view.name, started_s
            ):
                self._probe_if_due(view)

    async def reaches_any(self) -> bool:
        """Return whether any server is reached; tries a few if none is known.

        Those that have not failed are tried first.
        """
        if not self._health.is_cut_off:
            return True
        failed = self._health.failed
        views = sorted(
            self._servers.values(),
            key=lambda view: (view.name in failed, random.random()),
        )
        tries = [self._start_probe(view) for view in views[:PROBES_AT_ONCE]]
        for attempt in asyncio.as_completed(tries):
            await attempt
            if not self._health.is_cut_off:
                return True
        return False

    async def run(self) -> None:
        """Probe silent servers and broken paths until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for view in self._due():
                self._probe_if_due(view)

    def _due(self) -> list[ServerView]:
        """Return the servers to probe now, a few at a time.

        While nothing is known to be reached, servers that have not failed are
        probed too: the only one that failed may be gone.
        """
        names = set(self._health.failed)
        names.update(self._health.silent(self._loop.time()))
        if self._health.is_cut_off:
            names.update(self._servers)
        due = [
            self._servers[name]
            for name in sorted(names & self._servers.keys())
            if self._is_due(name)
        ]
        turn = next(self._turns) % max(1, len(due))
        return [*due[turn:], *due[:turn]][:PROBES_AT_ONCE]

    def _is_due(self, server: str) -> bool:
        probed_s = self._probed_s.get(server, 0.0)
        return self._loop.time() - probed_s >= PROBE_INTERVAL_S

    def _probe_if_due(self, view: ServerView) -> None:
        if self._is_due(view.name):
            self._start_probe(view)

    def _start_probe(self, view: ServerView) -> asyncio.Task[None]:
        self._probed_s[view.name] = self._loop.time()
        return self._background.start(self._probe(view))

    async def _probe(self, view: ServerView) -> None:
        """Try a server; returns once that shows whether it is reached."""
        try:
            connection = await self._connect_in_time(view)
        except ConnectError:
            return
        staying = self._background.start(self._stays_open(view, connection))
        if self._health.is_cut_off:
            await staying

    async def _connect_in_time(self, view: ServerView) -> BackendConnection:
        started_s = self._loop.time()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self.connect(view)
        except TimeoutError as timeout:
            error = ConnectError(Code.backend_unreachable, 'no answer in time')
            self._note_failed(view, started_s, error)
            raise error from timeout

    async def _stays_open(
        self, view: ServerView, connection: BackendConnection
    ) -> bool:
        """Return whether an unused connection stays open; give it back."""
        await asyncio.sleep(PROBE_OPEN_S)
        if connection.is_open:
            self._note_connected(view)
            connection.give_back()
            return True
        error = ConnectError(Code.backend_unreachable, CLOSED_UNUSED)
        self._health.note_closed()
        self._note_failed(view, self._loop.time(), error)
        return False

    def _note_data(self, server: str) -> None:
        self._health.note_data(server, self._loop.time())

    def _note_connected(self, view: ServerView) -> None:
        if view.name in self._health.failed:
            self._log.note('A server is reached again.', server=view.name)
        self._health.note_connected(view.name, self._loop.time())

    def _note_failed(
        self, view: ServerView, started_s: float, error: Exception
    ) -> None:
        is_new = view.name not in self._health.failed
        self._health.note_failed(view.name, started_s)
        if is_new:
            self._log.note(
                'A server cannot be connected to.',
                server=view.name,
                cause=str(error) or repr(error),
                is_cut_off=self._health.is_cut_off,
            )
        if self._health.is_waiting(view.name):
            self._on_failed(view)
