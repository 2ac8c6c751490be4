"""Network paths from single instances to backend servers, which can be cut.

The store lists each server to each instance at an address of its own, where a
proxy forwards to the server. Instances are told apart by the address that they
connect to the store from.
"""

import asyncio
import enum
import socket
from collections.abc import Callable, Collection
from contextlib import suppress
from dataclasses import replace
from typing import Any

import orjson

from standins.http_server import Handler, Request, Response

READ_BYTES = 65536
HOST = '127.0.0.1'
# Connections that fill the accept queue of a listener that accepts none.
FILLING = 3
SERVERS_PATH = '/-/objects/servers'


class PathState(enum.Enum):
    """How a path treats connections.

    ``sound``: it forwards all of them.
    ``silent``: open ones carry nothing, new ones get no answer.
    ``reset``: open ones are reset, new ones refused.
    ``refused``: open ones live on, new ones are refused.
    ``one_way``: nothing comes from the server, new ones get no answer.
    """

    sound = 'sound'
    silent = 'silent'
    reset = 'reset'
    refused = 'refused'
    one_way = 'one_way'


CUTS = tuple(state for state in PathState if state is not PathState.sound)
HANGING = frozenset((PathState.silent, PathState.one_way))


class Path:
    """Proxy between one instance and one server.

    :param target: port of the server.
    :param port: port that the instance connects to.
    """

    def __init__(self, target: int, port: int) -> None:
        self._target = target
        self._state = PathState.sound
        self._flows = {True: asyncio.Event(), False: asyncio.Event()}
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None
        self._sockets: list[socket.socket] = []
        self.port = port

    async def switch(self, state: PathState) -> None:
        """Change how connections are treated from now on."""
        self._state = state
        self._stop_listening()
        if state is PathState.reset:
            for writer in tuple(self._writers):
                writer.transport.abort()
        self._set_flow(to_server=True, on=state is not PathState.silent)
        self._set_flow(to_server=False, on=state not in HANGING)
        if state is PathState.sound:
            self._listener = await asyncio.start_server(
                self._accept, HOST, self.port
            )
        elif state in HANGING:
            self._hang()

    def refuse(self) -> None:
        """Refuse new connections, as the server does not run."""
        self._stop_listening()

    def close(self) -> None:
        """Stop forwarding."""
        self._stop_listening()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for sock in self._sockets:
            sock.close()
        self._sockets = []

    def _hang(self) -> None:
        """Listen with a full accept queue, so that connects get no answer."""
        listener = socket.create_server((HOST, self.port), backlog=0)
        self._sockets.append(listener)
        for _ in range(FILLING):
            sock = socket.socket()
            sock.setblocking(False)  # noqa: FBT003
            self._sockets.append(sock)
            with suppress(BlockingIOError):
                sock.connect((HOST, self.port))

    def _set_flow(self, *, to_server: bool, on: bool) -> None:
        if on:
            self._flows[to_server].set()
        else:
            self._flows[to_server].clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            to_server = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, to_server[1]}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, to_server[1], to_server=True),
                self._forward(to_server[0], writer, to_server=False),
            )
        finally:
            self._writers -= pair
            for one in pair:
                one.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        try:
            while piece := await reader.read(READ_BYTES):
                await self._flows[to_server].wait()
                writer.write(piece)
                await writer.drain()
            await self._flows[to_server].wait()
            writer.close()
        except OSError:
            writer.transport.abort()


class ServerPaths:
    """Handler of a store that lists servers at the addresses of paths.

    :param store: handler of the store itself.
    :param take_port: returns a free port.
    """

    def __init__(self, store: Handler, take_port: Callable[[], int]) -> None:
        self._store = store
        self._take_port = take_port
        self._paths: dict[tuple[str, str], Path] = {}
        self._states: dict[str, PathState] = {}
        self._ended: set[str] = set()

    async def __call__(self, request: Request) -> Response:
        """Return the store's response with the addresses of paths."""
        response = await self._store(request)
        if request.method != 'GET' or request.path != SERVERS_PATH:
            return response
        page = orjson.loads(response.body)
        stored = [
            *page.get('items', ()),
            *(event['object'] for event in page.get('events', ())),
        ]
        for one in stored:
            one['spec'] = await self._redirect(request.source, one['spec'])
        return replace(response, body=orjson.dumps(page))

    async def cut(self, sources: Collection[str], state: PathState) -> None:
        """Change all paths of some instances, given by their addresses."""
        for source in sources:
            self._states[source] = state
        for (source, address), path in tuple(self._paths.items()):
            if source in sources:
                await self._switch(source, address, path)

    async def open(self, address: str) -> None:
        """Open the paths to a server that has started."""
        self._ended.discard(address)
        for (source, target), path in tuple(self._paths.items()):
            if target == address:
                await self._switch(source, address, path)

    def refuse(self, address: str) -> None:
        """Refuse connections to a server that has ended."""
        self._ended.add(address)
        for (_, target), path in self._paths.items():
            if target == address:
                path.refuse()

    async def _switch(self, source: str, address: str, path: Path) -> None:
        await path.switch(self._states.get(source, PathState.sound))
        if address in self._ended:
            path.refuse()

    def close(self) -> None:
        """Close all paths."""
        for path in self._paths.values():
            path.close()

    async def _redirect(self, source: str, entry: Any) -> Any:
        address = entry.get('address') if isinstance(entry, dict) else None
        if not isinstance(address, str):
            return entry
        _, _, port = address.rpartition(':')
        if not port.isdecimal():
            return entry
        path = self._paths.get((source, address))
        if path is None:
            path = Path(int(port), self._take_port())
            self._paths[source, address] = path
            await self._switch(source, address, path)
        return entry | {'address': f'{HOST}:{path.port}'}
