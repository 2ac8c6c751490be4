"""Proxies that forward TCP and UDP and inject faults on command.

Each proxy has one target, and a fault applies either to one source address or
to all. This allows separating an instance from only some of its peers.
"""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

from standins.http_server import Request, Response, json_response, serve

READ_BYTES = 65536


@dataclass(frozen=True, slots=True)
class Fault:
    """Faults injected into the traffic from a source address.

    :param delay_s: time by which each read from a connection and each datagram
        is delayed.
    :param refuse: whether new connections are reset and datagrams dropped.
    :param drop_out: whether data to the target is dropped.
    :param drop_back: whether data from the target is dropped; TCP only, since
        the target sends its datagrams directly.
    """

    delay_s: float = 0.0
    refuse: bool = False
    drop_out: bool = False
    drop_back: bool = False


class FaultProxy:
    """TCP and UDP proxy of one target."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._faults: dict[str, Fault] = {}
        self._connections: set[_ForwardedConnection] = set()

    def fault(self, source: str) -> Fault:
        """Return the fault for a source address.

        A source without a fault of its own has the one that is set for all.
        """
        return self._faults.get(source) or self._faults.get('', Fault())

    def set_fault(self, fault: Fault, source: str = '') -> None:
        """Set the fault for a source address.

        :param source: empty to set the fault for all sources without one of
            their own.
        """
        self._faults[source] = fault

    def clear(self) -> None:
        """Remove all faults.

        Connections already silenced by :meth:`silence_connections` stay silent.
        """
        self._faults.clear()

    def reset_connections(self) -> int:
        """Reset all open connections.

        :returns: number of connections that were open.
        """
        connections = tuple(self._connections)
        for connection in connections:
            connection.abort()
        return len(connections)

    def silence_connections(self) -> int:
        """Drop all further data on the connections that are open now.

        They stay open; new connections are not affected.

        :returns: number of connections that were open.
        """
        for connection in self._connections:
            connection.silent = True
        return len(self._connections)

    async def start(self, host: str, port: int) -> None:
        """Listen for TCP and UDP on an address."""
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            backlog=1024,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: _DatagramForwarder(self),
            local_addr=(host, port),
        )

    @property
    def target(self) -> tuple[str, int]:
        """Host and port that traffic is forwarded to."""
        return self._target

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = writer.get_extra_info('peername')[0]
        if self.fault(source).refuse:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(
                *self._target,
                local_addr=(source, 0),
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _ForwardedConnection(
            self, source, (reader, writer), upstream
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class _ForwardedConnection:
    """Client connection and its connection to the target.

    :param client: reader and writer of the connection from the client.
    :param upstream: reader and writer of the connection to the target.
    """

    def __init__(
        self, proxy: FaultProxy, source: str, client, upstream
    ) -> None:
        self._proxy = proxy
        self._source = source
        self._client = client
        self._upstream = upstream
        self.silent = False

    async def run(self) -> None:
        """Forward in both directions until both ends have closed."""
        client_reader, client_writer = self._client
        upstream_reader, upstream_writer = self._upstream
        await asyncio.gather(
            self._forward(client_reader, upstream_writer, 'drop_out'),
            self._forward(upstream_reader, client_writer, 'drop_back'),
        )

    def abort(self) -> None:
        """Reset both connections."""
        self._client[1].transport.abort()
        self._upstream[1].transport.abort()

    async def _forward(self, reader, writer, drop: str) -> None:
        with suppress(OSError):
            while chunk := await reader.read(READ_BYTES):
                fault = self._proxy.fault(self._source)
                if fault.delay_s:
                    await asyncio.sleep(fault.delay_s)
                if self.silent or getattr(fault, drop):
                    continue
                writer.write(chunk)
                await writer.drain()
            if not self.silent:
                writer.close()


class _DatagramForwarder(asyncio.DatagramProtocol):
    """Forwards datagrams to the target.

    Peers answer the address in a message, not the sender of the datagram, so
    there is nothing to forward back.
    """

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        fault = self._proxy.fault(addr[0])
        if fault.refuse or fault.drop_out:
            return
        if fault.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(fault.delay_s, self._send, data)
        else:
            self._send(data)

    def _send(self, datagram: bytes) -> None:
        self._transport.sendto(datagram, self._proxy.target)


class ProxyApi:
    """HTTP API that injects faults into several proxies."""

    def __init__(self, proxies: dict[str, FaultProxy]) -> None:
        self._proxies = proxies

    async def __call__(self, request: Request) -> Response:
        """Apply a command to the named proxy, or to all if it has no name.

        :returns: response with the sum of connections and faults affected.
        """
        command = request.json()
        name = command.pop('name', '')
        kind = command.pop('kind')
        chosen = [self._proxies[name]] if name else list(self._proxies.values())
        counts = [_apply_command(proxy, kind, command) for proxy in chosen]
        return json_response({'touched': sum(counts)})


def _apply_command(proxy: FaultProxy, kind: str, command: dict) -> int:
    if kind == 'cut':
        return proxy.reset_connections()
    if kind == 'silence':
        return proxy.silence_connections()
    if kind == 'clear':
        proxy.clear()
        return 0
    source = command.pop('source', '')
    proxy.set_fault(replace(proxy.fault(source), **command), source)
    return 1


async def run_proxies(
    routes: dict[str, tuple[str, str]],
    host: str,
    port: int,
) -> None:
    """Serve proxies and their HTTP API until cancelled.

    :param routes: listening address and target of each proxy by its name.
    :param host: host of the HTTP API.
    :param port: port of the HTTP API.
    """
    proxies = {}
    for name, (listen, target) in routes.items():
        proxies[name] = FaultProxy(_address(target))
        await proxies[name].start(*_address(listen))
    server = await serve(ProxyApi(proxies), host, port)
    async with server:
        await server.serve_forever()


def _address(text: str) -> tuple[str, int]:
    host, port = text.rsplit(':', 1)
    return host, int(port)
