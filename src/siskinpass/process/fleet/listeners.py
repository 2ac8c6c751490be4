"""Listen for callers and other instances, and end their connections."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from functools import partial

from siskinpass.connection.held_bytes import HoldLimits
from siskinpass.connection.http_caller import HttpCaller, Serve
from siskinpass.process.caller_limits import CallerLimitReports
from siskinpass.process.fleet.early_listeners import BACKLOG, close_all
from siskinpass.process.metrics import Metrics
from siskinpass.version.routes import CallerLimits

# Connections that waited for longer would be given up by their callers.
MAX_EARLY_S = 2.0

EarlySockets = Mapping[str, socket.socket]


class Listeners:
    """Owner of the listeners and of the connections that they accepted.

    :param limits: limits on what the connections hold together.
    :param early: sockets that listen already, by address.
    """

    def __init__(
        self, limits: HoldLimits, metrics: Metrics, early: EarlySockets
    ) -> None:
        self.reports = CallerLimitReports(metrics, limits)
        self._early = dict(early)
        asyncio.get_running_loop().call_later(MAX_EARLY_S, self._close_early)
        self._listeners: list[asyncio.Server] = []
        self._callers: set[HttpCaller] = set()
        self._is_leaving = False

    async def listen(
        self, address: str, serve: Serve, limits: Callable[[], CallerLimits]
    ) -> None:
        """Listen on an address.

        :param address: ``host:port``.
        :param serve: starts to answer a complete request.
        :param limits: returns the current limits on requests.
        """
        accept = partial(self._accept, serve, limits)
        loop = asyncio.get_running_loop()
        early = self._early.pop(address, None)
        if early is None:
            host, port = address.rsplit(':', 1)
            listener = await loop.create_server(
                accept, host, int(port), backlog=BACKLOG
            )
        else:
            listener = await loop.create_server(
                accept, sock=early, backlog=BACKLOG
            )
        self._listeners.append(listener)

    @property
    def open_connections(self) -> int:
        """Return how many connections have requests or answers under way."""
        return sum(not one.is_settled for one in self._callers)

    async def close(self, accepting_s: float, arriving_s: float) -> None:
        """Stop accepting requests; open ones go on.

        :param accepting_s: time for which connections are still accepted.
        :param arriving_s: time after it for which requests may still arrive.
        """
        self._is_leaving = True
        for caller in self._callers:
            caller.is_leaving = True
        await asyncio.sleep(accepting_s)
        for listener in self._listeners:
            listener.close()
        await asyncio.sleep(arriving_s)
        for connected in self._callers:
            connected.leave()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived whole."""
        for caller in self._callers:
            caller.refuse_incomplete()

    def forget_closed(self) -> None:
        """Forget the connections that were closed."""
        self._callers = {one for one in self._callers if not one.is_lost}

    def _close_early(self) -> None:
        """Refuse connections to the addresses that do not serve yet."""
        close_all(self._early.values())
        self._early.clear()

    def _accept(
        self, serve: Serve, limits: Callable[[], CallerLimits]
    ) -> HttpCaller:
        caller = HttpCaller(limits, serve, self.reports.held)
        caller.is_leaving = self._is_leaving
        self._callers.add(caller)
        return caller
