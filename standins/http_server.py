"""Serve HTTP/1.1 for the stand-ins with one coroutine per request."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import httptools
import orjson


@dataclass(frozen=True, slots=True)
class Request:
    """Describe one whole request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed body, an empty mapping where there is none."""
        return orjson.loads(self.body) if self.body else {}


@dataclass(frozen=True, slots=True)
class Response:
    """Describe one answer; ``stream`` goes before ``body``."""

    status: int = 200
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: AsyncIterator[bytes] | None = None


class HangUpError(Exception):
    """Close the connection without an answer."""


Handler = Callable[[Request], Awaitable[Response]]


def json_response(document: Any, status: int = 200) -> Response:
    """Answer with a JSON document."""
    return Response(
        status,
        orjson.dumps(document),
        {'Content-Type': 'application/json'},
    )


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Listen on an address and answer each request through the handler."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: _Connection(handler),
        host,
        port,
        backlog=2048,
    )


class _Connection(asyncio.Protocol):
    """Own one accepted connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._url = b''
        self._writable = asyncio.Event()
        self._writable.set()
        self._requests: asyncio.Queue[Request] = asyncio.Queue()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._task = asyncio.ensure_future(self._handle_requests())

    def connection_lost(self, exc: Exception | None) -> None:
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
