"""Network paths from single instances to backend servers, which can be cut.

The store lists servers at the addresses of proxies, which forward to them.
Instances are told apart by the address that they connect from.
"""

import asyncio
import enum
import socket
import struct
from collections import defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from standins.http_server import Handler, Request, Response
from standins.packet_filter import drop_packets

READ_BYTES = 65536
BACKLOG = 2048  # connections of a listener that wait to be accepted
RESET_ON_CLOSE = struct.pack('ii', 1, 0)  # linger for no time
HOST = '127.0.0.1'
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
REFUSING = frozenset((PathState.reset, PathState.refused))


@dataclass(slots=True)
class Source:
    """Paths of one instance to all servers.

    :param to_server: set while connections carry data to servers.
    :param from_server: the same of data from servers.
    """

    state: PathState = PathState.sound
    to_server: asyncio.Event = field(default_factory=asyncio.Event)
    from_server: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Carry data both ways."""
        self.switch(self.state)

    def switch(self, state: PathState) -> None:
        """Change how connections are treated from now on."""
        self.state = state
        _set(self.to_server, on=state is not PathState.silent)
        _set(self.from_server, on=state not in HANGING)


class Path:
    """Proxy to one server, for one instance or for all of them.

    :param target: port of the server.
    :param port: port that instances connect to.
    :param owner: address of the only instance that uses it, empty for all.
        Where all share it, new connections that are to be refused are accepted
        and reset.
    """

    def __init__(
        self, target: int, port: int, owner: str, sources: dict[str, Source]
    ) -> None:
        self._target = target
        self._owner = owner
        self._sources = sources
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._socket: socket.socket | None = None
        self._listener: asyncio.Server | None = None
        self.port = port

    async def update(self) -> None:
        """Treat connections as the states of their sources say."""
        for writer, source in tuple(self._writers.items()):
            if self._sources[source].state is PathState.reset:
                _reset(writer)
        if self._sources[self._owner].state in REFUSING:
            self.refuse()
            return
        hanging = [
            name for name, one in self._sources.items() if one.state in HANGING
        ]
        if self._socket is not None:
            drop_packets(self._socket, hanging)
            return
        opened = socket.create_server((HOST, self.port))
        self._socket = opened
        drop_packets(opened, hanging)
        listener = await asyncio.start_server(
            self._accept, sock=opened, backlog=BACKLOG
        )
        if self._socket is opened:
            self._listener = listener
        else:
            listener.close()

    def refuse(self) -> None:
        """Refuse all new connections."""
        self._socket = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close(self) -> None:
        """Stop forwarding."""
        self.refuse()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        name = writer.get_extra_info('peername')[0]
        source = self._sources[name]
        if source.state in REFUSING:
            _reset(writer)
            return
        try:
            server_reader, to_server = await asyncio.open_connection(
                HOST, self._target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, to_server)
        self._writers.update(dict.fromkeys(pair, name))
        try:
            await asyncio.gather(
                _forward(reader, to_server, source.to_server),
                _forward(server_reader, writer, source.from_server),
            )
        finally:
            for one in pair:
                self._writers.pop(one)
                one.close()


class ServerPaths:
    """Handler of a store that lists servers at the addresses of paths.

    :param store: handler of the store itself.
    :param take_port: returns a free port.
    :param is_shared: whether all instances use the same path to a server. If
        not, each instance must read the store itself.
    """

    def __init__(
        self, store: Handler, take_port: Callable[[], int], *, is_shared: bool
    ) -> None:
        self._store = store
        self._take_port = take_port
        self._is_shared = is_shared
        self._paths: dict[tuple[str, str], Path] = {}
        self._sources: defaultdict[str, Source] = defaultdict(Source)
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
        owner = '' if self._is_shared else request.source
        for one in stored:
            one['spec'] = await self._redirect(owner, one['spec'])
        return replace(response, body=orjson.dumps(page))

    async def cut(self, sources: Collection[str], state: PathState) -> None:
        """Change all paths of some instances, given by their addresses."""
        for source in sources:
            self._sources[source].switch(state)
        for (_, address), path in tuple(self._paths.items()):
            await self._update(address, path)

    async def open(self, address: str) -> None:
        """Open the paths to a server that has started."""
        self._ended.discard(address)
        for (_, target), path in tuple(self._paths.items()):
            if target == address:
                await self._update(address, path)

    def refuse(self, address: str) -> None:
        """Refuse connections to a server that has ended."""
        self._ended.add(address)
        for (_, target), path in self._paths.items():
            if target == address:
                path.refuse()

    def close(self) -> None:
        """Close all paths."""
        for path in self._paths.values():
            path.close()

    async def _update(self, address: str, path: Path) -> None:
        if address in self._ended:
            path.refuse()
        else:
            await path.update()

    async def _redirect(self, owner: str, entry: Any) -> Any:
        address = entry.get('address') if isinstance(entry, dict) else None
        if not isinstance(address, str):
            return entry
        _, _, port = address.rpartition(':')
        if not port.isdecimal():
            return entry
        path = self._paths.get((owner, address))
        if path is None:
            path = Path(int(port), self._take_port(), owner, self._sources)
            self._paths[owner, address] = path
            await self._update(address, path)
        return entry | {'address': f'{HOST}:{path.port}'}


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    flowing: asyncio.Event,
) -> None:
    """Forward data to its end, while an event is set."""
    try:
        while piece := await reader.read(READ_BYTES):
            await flowing.wait()
            writer.write(piece)
            await writer.drain()
        await flowing.wait()
        writer.close()
    except OSError:
        writer.transport.abort()


def _set(event: asyncio.Event, *, on: bool) -> None:
    if on:
        event.set()
    else:
        event.clear()


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.is_closing():  # else its socket may be closed
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
