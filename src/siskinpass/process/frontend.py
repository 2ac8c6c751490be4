"""Listeners for callers and operators."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from typing import Protocol

from siskinpass.codes import Code
from siskinpass.connection.caller import CallerConnection
from siskinpass.connection.held_bytes import hold_limits
from siskinpass.connection.parsing import ParsingServer
from siskinpass.process.caller_limits import CallerLimitReports
from siskinpass.process.metrics import Metrics
from siskinpass.process.pages import (
    CallerPages,
    Node,
    OperatorPages,
    make_application,
)
from siskinpass.process.settings import Settings, load_tls
from siskinpass.request.answer import error_answer
from siskinpass.request.call import CHAT_PATH, SERVICE_PREFIX, TEXT_PATH
from siskinpass.request.head import RequestHead

ADDRESS_TTL_S = 15  # time for which callers may cache an address
OPERATOR_THREADS = 2
MAX_CONNECTIONS = 12_000  # of callers and operators together
BACKLOG = 4096
RELAYED_PATHS = (CHAT_PATH, TEXT_PATH, SERVICE_PREFIX)


class RequestServer(Protocol):
    """Handler of the requests on the relayed paths."""

    def serve(self, caller: CallerConnection, head: RequestHead) -> None:
        """Start to answer a parsed request."""


class Frontend:
    """Owner of the listening sockets and of CherryPy's request threads."""

    def __init__(
        self,
        settings: Settings,
        node: Node,
        relay: RequestServer,
        metrics: Metrics,
    ) -> None:
        """Create the page handlers without opening sockets.

        Must be called on the event loop.

        :param metrics: shows what the connections hold.
        """
        loop = asyncio.get_running_loop()
        self._settings = settings
        self._loop = loop
        self._relay = relay
        self.reports = CallerLimitReports(
            metrics, replace(hold_limits(), connections=MAX_CONNECTIONS)
        )
        self._connections: set[CallerConnection] = set()
        callers = make_application(CallerPages(node, loop, ADDRESS_TTL_S))
        operators = make_application(
            OperatorPages(node, loop, settings.operator_key),
        )
        self._callers = ParsingServer(callers, settings.threads, RELAYED_PATHS)
        self._operators = ParsingServer(operators, OPERATOR_THREADS)

    @asynccontextmanager
    async def listening(self) -> AsyncGenerator[None, None]:
        """Listen on both addresses while the context is entered.

        On exit the listeners and all open connections are closed and the
        threads are stopped.
        """
        self._callers.start_threads()
        self._operators.start_threads()
        callers = await self._listen(self._settings.callers, self._callers)
        operators = await self._listen(
            self._settings.operators,
            self._operators,
        )
        try:
            yield
        finally:
            self._close((callers, operators))

    def _close(self, servers: tuple[asyncio.Server, ...]) -> None:
        for server in servers:
            server.close()
        for connection in tuple(self._connections):
            connection.close()
        self._callers.stop_threads()
        self._operators.stop_threads()

    async def _listen(
        self,
        address: str,
        parser: ParsingServer,
    ) -> asyncio.Server:
        host, port = address.rsplit(':', 1)
        return await self._loop.create_server(
            partial(self._accept, parser),
            host,
            int(port),
            ssl=load_tls(self._settings),
            backlog=BACKLOG,
        )

    def _accept(self, parser: ParsingServer) -> asyncio.Protocol:
        if len(self._connections) >= MAX_CONNECTIONS:
            return _RefusingProtocol()
        return _TrackedConnection(
            self._connections,
            self._loop,
            parser.parse,
            self._relay.serve,
            self.reports.held,
        )


class _TrackedConnection(CallerConnection):
    """Connection that is in the set of open connections while it is open."""

    def __init__(
        self,
        connections: set[CallerConnection],
        loop: asyncio.AbstractEventLoop,
        *args,
    ) -> None:
        super().__init__(loop, *args)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the set."""
        self._connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the set."""
        self._connections.discard(self)
        super().connection_lost(exc)


class _RefusingProtocol(asyncio.Protocol):
    """Protocol for connections beyond ``MAX_CONNECTIONS``."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Answer with an error and close the connection."""

        transport.write(
            error_answer(Code.too_many_connections, retry_after_ms=1000),
        )
        transport.close()
