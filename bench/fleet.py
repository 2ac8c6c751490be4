"""Run entry instances of a fleet as processes on the stand-in platform."""

import asyncio
import itertools
import os
import re
import socket
import sys
import tempfile
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

from siskinpass.process.fleet.settings import (
    METRICS_PORT_STEP,
    SMALL_FLEET,
    SMALL_FLEET_VARIABLE,
)
from standins.cloud import CloudApi
from standins.fleet import (
    BackendServer,
    CrashCauses,
    ObjectStore,
    RestartingServer,
)
from standins.http_server import Connections, serve
from standins.paths import ServerPaths

WAIT_S = 20.0
POLL_S = 0.02
# Below the range from which outgoing connections take their own ports.
MIN_PORT = 10_000
MAX_PORT = 32_000
BLOCK_PORTS = 2_200  # of one process
HOST = 'h.example'
# Body of a whole stream of a server.
WHOLE = b''.join(
    f'id: {number}\ndata: x{number}\n\n'.encode() for number in range(1, 9)
)
KEY = 'key-1'
LOCALHOST = '127.0.0.1'
METRICS = 4  # of an instance's ports
IPS_PER_NETWORK = 200
LIMITS = 'cpu-share: 0.5, cores: 1'  # of an instance's machine
SETTINGS = """
node-name: "{name}"
ip: "{ip}"
zone: "{zone}"
seed-nodes: {seeds}
listen:
  front: "127.0.0.1:{ports[0]}"
  ready: "127.0.0.1:{ports[1]}"
  directory: "127.0.0.1:{ports[2]}"
internal-port-range: [{ports[3]}, {ports[4]}]
platform: {{address: "127.0.0.1:{store}"}}
limits: {{{limits}}}
bounds: {{grace-s: 8}}
{more}
"""
INSTANCE_MODULE = 'siskinpass.process.fleet'
CLOUD_SETTINGS = """
cloud-api: {{address: "127.0.0.1:{port}", duties: ["usage", "scale"]}}
"""


def route(prefix, kind, more=None):
    """Return a route of the configuration.

    :param more: fields that override the defaults.
    """
    return {
        'name': prefix,
        'host': HOST,
        'path-prefix': prefix,
        'route-type': kind,
        'timeout-ms': 3000,
        'target-latency-ms': 200,
        'service': 'app',
    } | (more or {})


ROUTES = (
    route('/safe/', 'safe', {'max-attempts': 2}),
    route('/once/', 'unsafe'),
    route('/short/', 'unsafe', {'timeout-ms': 300}),
    route(
        '/stream/',
        'stream',
        {'stream-resume': True, 'max-attempts': 2, 'target-gap-ms': 300},
    ),
    route('/plain-stream/', 'stream', {'target-gap-ms': 300}),
)


def config(version, routes=ROUTES):
    """Return a configuration with the service and workspace of the tests."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': 'app', 'max-connections': 99}],
        'tenants': [{'name': 'w', 'api-keys': [KEY]}],
    }


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer as a caller receives it.

    :param status: status code, 0 if no head was received.
    :param is_whole: whether the answer was received to its end.
    :param raw: all bytes received.
    """

    status: int
    head: str = ''
    body: bytes = b''
    is_whole: bool = True
    raw: bytes = b''

    def header(self, name):
        """Return a header's value, empty if it is missing."""
        found = re.search(
            rf'^{name}: (.*?)\r?$', self.head, re.MULTILINE | re.IGNORECASE
        )
        return found.group(1) if found else ''


@dataclass(frozen=True, slots=True)
class Variant:
    """What differs from the usual fleet.

    :param builds: folders of sources that instances run from, by their names.
    :param cloud: cloud API of the instances' duties, ``None`` for no duties.
    :param module: module that runs as each instance.
    """

    builds: dict[str, Path] = field(default_factory=dict)
    cloud: CloudApi | None = None
    module: str = INSTANCE_MODULE


@dataclass(slots=True)
class Fleet:
    """Running store, backend servers and instances.

    :param small_fleet: number of instances up to which each reads the store.
    :param zones: availability zones, which instances are dealt out to in turn.
    :param zone_of: zone of each instance by its name.
    :param connections: open connections of each server.
    :param ports: ports of each instance by its name, and of ``store``.
    :param ips: address of each instance by its name, for other instances and
        for connections to servers.
    :param paths: paths from instances to servers.
    :param builds: folders of sources that instances run from, by their names;
        all others run from this checkout.
    :param cloud: cloud API of the instances' duties, ``None`` for no duties.
    :param module: module that runs as each instance.
    """

    store: ObjectStore
    servers: list[BackendServer]
    small_fleet: int = SMALL_FLEET
    zones: str = 'a'
    zone_of: dict[str, str] = field(default_factory=dict)
    ports: dict[str, list[int]] = field(default_factory=dict)
    ips: dict[str, str] = field(default_factory=dict)
    paths: ServerPaths | None = None
    server_ports: dict[str, int] = field(default_factory=dict)
    connections: dict[str, Connections] = field(default_factory=dict)
    logs: dict[str, Path] = field(default_factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(
        default_factory=dict,
    )
    builds: dict[str, Path] = field(default_factory=dict)
    cloud: CloudApi | None = None
    module: str = INSTANCE_MODULE

    @property
    def runs(self):
        """Return the requests that the servers ran, server by server."""
        return [run for server in self.servers for run in server.runs]

    @property
    def log(self):
        """Return the log lines of all instances, one instance after another."""
        return b''.join(path.read_bytes() for path in self.logs.values())

    async def ask(
        self,
        path,
        *,
        name='front-1',
        key=KEY,
        more='',
        call='id-1',
        body='body',
    ):
        """Send one request to an instance and return its answer.

        :param more: further header lines.
        :param call: request id.
        :param body: text of the body.
        """
        wire = (
            f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {call}\r\n'
            f'Authorization: Bearer {key}\r\nX-Deadline-Ms: 5000\r\n'
            f'{more}Connection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )
        return await exchange(self.ports[name][0], wire.encode())

    async def read_events(
        self, path, count, *, name='front-1', call='id-1', more=''
    ):
        """Read the first events of a stream, then leave.

        :returns: the status, 0 without one, and the bytes of the events.
        """
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[name][0]
        )
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {call}\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 5000\r\n'
            f'{more}Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        arrived = b''
        try:
            while arrived.count(b'\ndata: ') < count:
                piece = await asyncio.wait_for(reader.read(65536), WAIT_S)
                if not piece:
                    break
                arrived += piece
        finally:
            writer.close()
        answer = parse(arrived)
        return answer.status, answer.body

    async def get(self, path, kind, name='front-1'):
        """Send a GET request to one of an instance's other listeners.

        :param kind: 1 for readiness, 2 for the directory, 4 for the metrics.
        """
        wire = f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        host = self.ips[name] if kind == METRICS else LOCALHOST
        return await exchange(self.ports[name][kind], wire.encode(), host)

    async def start(self, name):
        """Start one instance without waiting until it is ready."""
        ports = free_ports(4)
        ports.append(ports[-1] + METRICS_PORT_STEP)
        self.ports[name] = ports
        number = len(self.ips)
        ip = self.ips.setdefault(name, _instance_ip(number))
        zone = self.zone_of.setdefault(
            name, self.zones[number % len(self.zones)]
        )
        path = Path(tempfile.mkdtemp()) / 'boot.yaml'
        self.logs[name] = path.with_name('log.jsonl')
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                ports=ports,
                store=self.ports['store'][0],
                seeds=[],
                more=self._cloud_settings,
                limits=LIMITS,
            ),
        )
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            self.module,
            env=os.environ
            | {
                'SISKINPASS_SETTINGS': str(path),
                SMALL_FLEET_VARIABLE: str(self.small_fleet),
            }
            | self._source_variables(name),
            stdout=self.logs[name].open('ab'),
        )

    @property
    def _cloud_settings(self):
        if self.cloud is None:
            return ''
        return CLOUD_SETTINGS.format(port=self.ports['cloud'][0])

    def _source_variables(self, name):
        build = self.builds.get(name)
        return {} if build is None else {'PYTHONPATH': str(build)}

    async def restart_all(self):
        """Kill all instances at once, start them and wait until they serve."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):  # It may have ended before.
                process.kill()
        for name, process in tuple(self.processes.items()):
            await process.wait()
            await self.start(name)
        for name in self.processes:
            port = self.ports[name][0]
            await wait_until(
                lambda port=port: accepts(port), f'{name} to serve'
            )

    async def is_ready(self, name='front-1'):
        """Return whether an instance reports that it is ready."""
        try:
            return (await self.get('/-/readiness', 1, name)).status == 200
        except OSError:
            return False


class PortBlock:
    """Ports that no other process with a block takes.

    The first port of a block is held as long as the process runs.
    """

    def __init__(self) -> None:
        self._lock, first = self._reserve()
        self._ports = itertools.cycle(range(first + 1, first + BLOCK_PORTS))
        self._held: set[int] = set()

    def take(self, count: int) -> list[int]:
        """Return TCP ports that nothing listens on.

        None is returned again before all others were, as a process that got it
        may not listen yet. Instances also use UDP ports of these and
        neighbouring numbers, which are assumed to be free.
        """
        found: list[int] = []
        while len(found) < count:
            port = next(self._ports)
            if port in self._held:
                continue
            with suppress(OSError), socket.create_server(('127.0.0.1', port)):
                found.append(port)
        return found

    def hold(self) -> int:
        """Take a port that nothing else gets, also while nothing listens."""
        port = self.take(1)[0]
        self._held.add(port)
        return port

    def release(self) -> None:
        """Release all ports that are held."""
        self._held.clear()

    def _reserve(self) -> tuple[socket.socket, int]:
        for first in range(MIN_PORT, MAX_PORT - BLOCK_PORTS, BLOCK_PORTS):
            with suppress(OSError):
                return socket.create_server(('127.0.0.1', first)), first
        raise AssertionError('all blocks of ports are taken')


@lru_cache(maxsize=1)
def _port_block() -> PortBlock:
    return PortBlock()


def _instance_ip(number: int) -> str:
    network, host = divmod(number, IPS_PER_NETWORK)
    return f'127.0.{network + 1}.{host + 1}'


def free_ports(count):
    """Return TCP ports that nothing listens on."""
    return _port_block().take(count)


async def exchange(port, wire, host=LOCALHOST):
    """Send bytes on a new connection and read the answer up to its close."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(wire)
    try:
        arrived = await asyncio.wait_for(reader.read(-1), WAIT_S)
    except ConnectionResetError:
        arrived = b''
    finally:
        writer.close()
    return parse(arrived)


def parse(arrived):
    """Parse an answer; a chunked body is decoded."""
    head, _, body = arrived.partition(b'\r\n\r\n')
    if not head:
        return Answer(0, is_whole=False)
    text = head.decode()
    status = int(text.split()[1])
    if 'chunked' not in text.lower():
        return Answer(status, text, body, raw=arrived)
    whole = body.endswith(b'0\r\n\r\n')
    chunks = re.split(rb'(?:^|\r\n)[0-9a-f]+\r\n', body)
    text_body = b''.join(chunks).strip(b'\r\n') + b'\n\n'
    return Answer(status, text, text_body, whole, arrived)


async def wait_until(condition, description):
    """Wait until a condition is true.

    :param condition: function, or coroutine function, that is polled.
    :raises AssertionError: if it is still false after ``WAIT_S``.
    """
    for _ in range(int(WAIT_S / POLL_S)):
        outcome = condition()
        if asyncio.iscoroutine(outcome):
            outcome = await outcome
        if outcome:
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f'timed out waiting for {description}')


@asynccontextmanager
async def running_fleet(
    instances: int = 1,
    servers: int = 2,
    small_fleet: int = SMALL_FLEET,
    *,
    has_paths: bool = False,
    zones: str = 'a',
    variant: Variant | None = None,
) -> AsyncGenerator[Fleet, None]:
    """Run a store, backend servers and instances; stop them afterwards.

    Entered once all instances are ready and accept connections.

    :param has_paths: whether the paths from each instance to all servers can
        be cut.
    :param zones: availability zones, a letter each.
    :param variant: what differs from the usual fleet.
    """
    async with AsyncExitStack() as stack:
        fleet = Fleet(ObjectStore(), [], small_fleet, zones)
        chosen = variant or Variant()
        fleet.builds.update(chosen.builds)
        fleet.ports['store'] = free_ports(1)
        fleet.module = chosen.module
        fleet.cloud = chosen.cloud
        if fleet.cloud is not None:
            fleet.ports['cloud'] = free_ports(1)
            await _listen(stack, fleet.cloud, fleet.ports['cloud'][0])
        if has_paths:
            fleet.paths = ServerPaths(
                fleet.store,
                _port_block().hold,
                is_shared=instances > small_fleet,
            )
            stack.callback(_port_block().release)
            stack.callback(fleet.paths.close)
        await _listen(
            stack, fleet.paths or fleet.store, fleet.ports['store'][0]
        )
        for number in range(servers):
            server = BackendServer(f'i-{number}')
            fleet.servers.append(server)
            port = free_ports(1)[0]
            fleet.server_ports[server.name] = port
            fleet.connections[server.name] = Connections()
            await _listen(stack, server, port, fleet.connections[server.name])
            await fleet.store.put('servers', server.name, server_entry(port))
        await fleet.store.put('config', 'main', config(3))
        stack.push_async_callback(_end, fleet)
        for number in range(1, instances + 1):
            await fleet.start(f'front-{number}')
        for name in tuple(fleet.processes):
            await wait_until(
                lambda name=name: fleet.is_ready(name), f'{name} to be ready'
            )
            await wait_until(
                lambda name=name: accepts(fleet.ports[name][2]),
                f'{name} to serve',
            )
        yield fleet


def server_entry(port, **more):
    """Return a backend server's registration in the store."""
    return {
        'service': 'app',
        'address': f'127.0.0.1:{port}',
        'zone': 'a',
        'slots': 6,
        'state': 'ready',
        'born': 1,
    } | more


async def start_crashing_server(
    fleet: Fleet,
    number: int,
    causes: CrashCauses,
    version: str = '',
    prepare: Callable[[BackendServer], None] | None = None,
) -> RestartingServer:
    """Start a backend server that crashes on some requests.

    :param number: distinguishes the servers of a fleet.
    :param version: version of its software.
    :param prepare: called with each of its processes before it serves.
    """
    server = RestartingServer(
        f'i-{number}',
        fleet.store,
        server_entry(free_ports(1)[0], version=version),
        causes,
        prepare,
        fleet.paths,
    )
    await server.start()
    return server


@asynccontextmanager
async def running_crashing_fleet(
    causes: CrashCauses,
    servers: int,
    is_served: Callable[[Fleet, str], Awaitable[bool]],
    **more: int,
) -> AsyncGenerator[tuple[Fleet, list[RestartingServer]], None]:
    """Run a fleet before servers that crash on some requests.

    Entered once all instances serve.

    :param servers: number of servers.
    :param is_served: returns whether an instance, given by its name, serves.
    """
    async with running_fleet(servers=0, **more) as fleet:
        started = [
            await start_crashing_server(fleet, number, causes)
            for number in range(servers)
        ]
        for name in fleet.processes:
            await wait_until(
                lambda name=name: is_served(fleet, name), f'{name} to serve'
            )
        yield fleet, started
        for server in started:
            server.close()


async def accepts(port):
    """Return whether anything listens on a port."""
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return False
    writer.close()
    return True


async def _listen(stack, handler, port, connections=None):
    server = await serve(handler, '127.0.0.1', port, connections)
    stack.callback(server.close)


async def _end(fleet):
    for process in fleet.processes.values():
        if process.returncode is None:
            process.kill()
        await process.wait()
