"""Minimal HTTP/1.1 server with a coroutine as request handler."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import httptools
import orjson


@dataclass(frozen=True, slots=True)
class Request:
    """A request received to its end.

    :param query: query parameters; the last one counts if a name is repeated.
    :param headers: headers by name in lower case.
    :param source: ip that the request came from.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    source: str = ''

    def json(self) -> Any:
        """Return the parsed JSON body, an empty mapping if it is empty."""
        return orjson.loads(self.body) if self.body else {}


@dataclass(frozen=True, slots=True)
class Response:
    """A response.

    :param stream: chunks of the body, sent as they come; ``body`` is ignored
        if this is set.
    :param is_framed: whether the body is sent with a length or in chunks; one
        without either ends with its connection.
    """

    status: int = 200
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None
    is_framed: bool = True


class HangUpError(Exception):
    """Raised by a handler to close the connection without a response.

    Raised by a response's stream, it breaks the response off.
    """


Handler = Callable[[Request], Awaitable[Response]]


def json_response(document: Any, status: int = 200) -> Response:
    """Return a response with a JSON document as body."""
    return Response(
        status,
        orjson.dumps(document),
        {'Content-Type': 'application/json'},
    )


async def serve(
    handler: Handler,
    host: str,
    port: int,
    open_connections: 'Connections | None' = None,
) -> asyncio.Server:
    """Listen on an address and pass each request to the handler.

    Requests of one connection are handled one after another.

    :param open_connections: holds the connections while they are open.
    """
    loop = asyncio.get_running_loop()
    connections = (
        Connections() if open_connections is None else open_connections
    )
    return await loop.create_server(
        lambda: _Connection(handler, connections),
        host,
        port,
        backlog=2048,
    )


class Connections:
    """Open connections of one server.

    :ivar accepted: number of connections since the start.
    """

    def __init__(self) -> None:
        self._transports: set[asyncio.Transport] = set()
        self.accepted = 0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._transports)

    def add(self, transport: asyncio.Transport) -> None:
        """Add a connection that was accepted."""
        self._transports.add(transport)
        self.accepted += 1

    def discard(self, transport: asyncio.Transport) -> None:
        """Remove a connection that was closed."""
        self._transports.discard(transport)

    def abort(self) -> None:
        """Close all of them at once, as the end of a process does."""
        for transport in tuple(self._transports):
            transport.abort()


class _Connection(asyncio.Protocol):
    """Protocol of an accepted connection."""

    def __init__(self, handler: Handler, connections: Connections) -> None:
        self._handler = handler
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._url = b''
        self._writable = asyncio.Event()
        self._writable.set()
        self._requests: asyncio.Queue[Request] = asyncio.Queue()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._connections.add(transport)
        self._task = asyncio.ensure_future(self._handle_requests())

    def connection_lost(self, exc: Exception | None) -> None:
        self._connections.discard(self._transport)
        self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._headers, self._body, self._url = {}, [], b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers[name.decode().lower()] = text.decode()

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        url = urlsplit(self._url.decode())
        self._requests.put_nowait(
            Request(
                self._parser.get_method().decode(),
                url.path,
                dict(parse_qsl(url.query)),
                self._headers,
                b''.join(self._body),
                self._transport.get_extra_info('peername')[0],
            ),
        )

    async def _handle_requests(self) -> None:
        while True:
            request = await self._requests.get()
            try:
                response = await self._handler(request)
                await self._write(response)
            except HangUpError:
                self._transport.abort()
                return

    async def _write(self, response: Response) -> None:
        lines = [f'HTTP/1.1 {response.status} Stand-in']
        lines.extend(f'{key}: {text}' for key, text in response.headers.items())
        if not response.is_framed:
            await self._write_unframed(lines, response)
            return
        if response.stream is None:
            lines.append(f'Content-Length: {len(response.body)}')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            self._transport.write(head.encode() + response.body)
            return
        lines.append('Transfer-Encoding: chunked')
        self._transport.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        async for chunk in response.stream:
            await self._writable.wait()
            self._transport.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
        self._transport.write(b'0\r\n\r\n')

    async def _write_unframed(
        self, lines: list[str], response: Response
    ) -> None:
        self._transport.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        if response.stream is None:
            self._transport.write(response.body)
        else:
            async for chunk in response.stream:
                await self._writable.wait()
                self._transport.write(chunk)
        self._transport.close()
