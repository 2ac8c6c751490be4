"""Start a deployment as real processes: platform, back ends, entries."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Generator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from siskinpass.version.document import parse_tree, tree_mapping
from siskinpass.version.keys import make_key

OPERATOR_KEY = 'operator-key'
PEER_KEY = 'peer-key-of-the-bench'
READY_S = 30.0
POLL_S = 0.05
BUILD = Path('build')
UDP = socket.SOCK_DGRAM
# Each driver has loopback addresses of its own, so that one never takes a port
# that another's restarting process has just left.
NETWORK = f'127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
HOST = f'{NETWORK}.1'
MIN_PORT = 12_000
MAX_PORT = 32_000
_PORTS = itertools.cycle(
    (
        *range(MIN_PORT + os.getpid() % 10_000, MAX_PORT),
        *range(MIN_PORT, MIN_PORT + os.getpid() % 10_000),
    ),
)


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe a deployment.

    :param tree: YAML file of the settings tree.
    :param entries: number of entry instances.
    :param engines: options of each engine, by name.
    :param services: options of each plain service, by name.
    :param proxied: whether entries reach each other, the platform and the
        back ends through fault-injecting proxies.
    :param flags: more flags for each entry.
    :param source: sources of another version of the product.
    :param broken: safeguard that the entries run without.
    """

    tree: Path
    entries: int = 3
    engines: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    services: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    platform: Mapping[str, Any] = field(default_factory=dict)
    zones: tuple[str, ...] = ('a', 'b', 'c')
    proxied: bool = False
    flags: tuple[str, ...] = ()
    source: str = ''
    broken: str = ''


@dataclass(slots=True)
class Entry:
    """Hold one entry instance."""

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    announced_peers: str
    process: subprocess.Popen | None = None


class Cluster:
    """Own the processes of one deployment."""

    def __init__(self, plan: Plan) -> None:
        """Choose the addresses; nothing is started yet."""
        self.plan = plan
        self.http = urllib3.PoolManager(maxsize=16, retries=False)
        self.keys: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.entries: list[Entry] = []
        self.platform = free_address()
        self.proxy_api = free_address()
        self._routes: dict[str, tuple[str, str]] = {}
        self._logs = BUILD / 'logs'
        self._logs.mkdir(parents=True, exist_ok=True)
        for number in range(plan.entries):
            self.entries.append(self._plan_entry(number))

    @property
    def operators(self) -> str:
        """Return the operators' side of the first running entry."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                return entry.operators
        return self.entries[0].operators

    def start(self) -> None:
        """Start everything and wait until all entries are ready."""
        self._start_standin('platform', self.platform, self.plan.platform)
        pools = _pools(self.plan.tree)
        for name, options in self.plan.engines.items():
            self._start_backend('engine', name, options, pools['engine'])
        for name, options in self.plan.services.items():
            self._start_backend('service', name, options, pools['service'])
        self._start_proxies()
        self.wait_http(self.platform, '/instances')
        self._list_backends(pools)
        self.list_entries()
        for entry in self.entries:
            self.start_entry(entry)
        self.wait_http(self.entries[0].operators, '/healthz')
        self.apply_tree()
        for entry in self.entries:
            self.wait_http(entry.callers, '/readyz')
        self.wait_members(len(self.entries))

    def start_engine(self, name: str) -> None:
        """Start an engine anew at its address."""
        pools = _pools(self.plan.tree)['engine']
        chosen = {'name': name, **self.plan.engines[name]}
        chosen.setdefault('models', next(iter(pools.values()))['models'])
        self._start_standin('engine', self.addresses[name], chosen, name)

    def start_entry(self, entry: Entry) -> None:
        """Start one entry instance."""
        flags = {
            'name': entry.name,
            'zone': entry.zone,
            'callers': entry.callers,
            'operators': entry.operators,
            'peers': entry.peers,
            'platform': self.via_proxy('platform', self.platform),
            'operator-key': OPERATOR_KEY,
            'peer-key': PEER_KEY,
        }
        if entry.announced_peers:
            flags['announced-peers'] = entry.announced_peers
        program = ['siskinpass']
        if self.plan.broken:
            program = ['bench.broken', self.plan.broken]
        command = [sys.executable, '-m', *program, 'serve']
        for flag, text in flags.items():
            command.extend((f'--{flag}', text))
        command.extend(self.plan.flags)
        entry.process = self._spawn(entry.name, command)

    def apply_tree(self) -> None:
        """Make a key for each workspace and put the tree in force."""
        tree = tree_mapping(parse_tree(self.plan.tree.read_text()))
        for name, branch in tree['workspaces'].items():
            self.keys[name], entry = make_key()
            branch['keys'] = [
                {
                    'salt': entry.salt,
                    'digest': entry.digest,
                    'default_class': '',
                },
            ]
        self.propose(tree, 0)

    def propose(self, tree: Any, base: int) -> dict[str, Any]:
        """Propose a tree; return what the instance answered."""
        body = orjson.dumps({'base': base, 'tree': tree, 'author': 'bench'})
        return self.operate('PUT', '/tree', body)

    def operate(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        operators: str = '',
    ) -> Any:
        """Call a page of the operators' side."""
        answer = self.http.request(
            method,
            f'http://{operators or self.operators}{path}',
            body=body or None,
            headers={'X-Siskinpass-Operator-Key': OPERATOR_KEY},
            timeout=20,
        )
        return answer.json()

    def status(self, entry: Entry) -> dict[str, Any]:
        """Return what an entry says that holds."""
        return self.operate('GET', '/status', operators=entry.operators)

    def order(self, name: str, order: Mapping[str, Any], path: str) -> Any:
        """Give an order to a stand-in."""
        address = self.addresses.get(name, self.platform)
        answer = self.http.request(
            'POST',
            f'http://{address}{path}',
            body=orjson.dumps(order),
            timeout=10,
        )
        return answer.json()

    def fault(self, **order: Any) -> Any:
        """Give an order to the fault-injecting proxies."""
        answer = self.http.request(
            'POST',
            f'http://{self.proxy_api}/',
            body=orjson.dumps(order),
            timeout=10,
        )
        return answer.json()

    def read(self, name: str, path: str) -> Any:
        """Read a page of a stand-in."""
        address = self.addresses.get(name, self.platform)
        answer = self.http.request('GET', f'http://{address}{path}', timeout=10)
        return answer.json()

    def list_entries(self) -> None:
        """Put the entries on the platform's list."""
        self.order(
            'platform',
            [
                {
                    'name': entry.name,
                    'role': 'entry',
                    'peer': entry.announced_peers or entry.peers,
                    'address': entry.callers,
                    'zone': entry.zone,
                    'state': 'live',
                }
                for entry in self.entries
            ],
            '/admin/instances',
        )

    def kill(self, process: subprocess.Popen) -> None:
        """Kill a process at once."""
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """Kill everything."""
        processes = list(self.processes.values())
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()

    def via_proxy(self, name: str, address: str) -> str:
        """Return the address under which others reach a part."""
        return self._routes[name][0] if name in self._routes else address

    def wait_http(self, address: str, path: str) -> None:
        """Wait until a page answers with 200."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            try:
                answer = self.http.request(
                    'GET',
                    f'http://{address}{path}',
                    timeout=2,
                )
            except HTTPError:
                time.sleep(POLL_S)
                continue
            if answer.status == 200:
                return
            time.sleep(POLL_S)
        raise TimeoutError(f'{address}{path} did not answer in {READY_S} s')

    def wait_members(self, count: int) -> None:
        """Wait until all entries see each other."""
        deadline = time.monotonic() + READY_S
        for entry in self.entries:
            while time.monotonic() < deadline:
                instances = self.status(entry)['instances'].values()
                live = [seen for seen in instances if seen['state'] == 'live']
                if len(live) >= count:
                    break
                time.sleep(POLL_S)

    def _plan_entry(self, number: int) -> Entry:
        zones = self.plan.zones
        name = f'entry-{number + 1}'
        host = f'{NETWORK}.{number + 2}' if self.plan.proxied else HOST
        peers = free_address(host)
        announced = ''
        if self.plan.proxied:
            announced = free_address()
            self._routes[name] = (announced, peers)
        return Entry(
            name,
            zones[number % len(zones)],
            free_address(),
            free_address(),
            peers,
            announced,
        )

    def _start_backend(
        self,
        kind: str,
        name: str,
        options: Mapping[str, Any],
        pools: Mapping[str, Any],
    ) -> None:
        address = free_address()
        self.addresses[name] = address
        chosen = {'name': name, **options}
        if kind == 'engine':
            pool = next(iter(pools.values()))
            chosen.setdefault('models', pool['models'])
        if self.plan.proxied:
            self._routes[name] = (free_address(), address)
        self._start_standin(kind, address, chosen, name)

    def _start_proxies(self) -> None:
        if not self.plan.proxied:
            return
        self._routes['platform'] = (free_address(), self.platform)
        self._start_standin('proxies', self.proxy_api, self._routes)
        time.sleep(0.5)

    def _list_backends(self, pools: Mapping[str, Any]) -> None:
        listed = []
        for kind, names in (
            ('engine', self.plan.engines),
            ('service', self.plan.services),
        ):
            listed.extend(
                {
                    'name': name,
                    'role': next(iter(pools[kind])),
                    'address': self.via_proxy(name, self.addresses[name]),
                    'zone': 'a',
                    'state': 'live',
                }
                for name in names
            )
        self.order('platform', listed, '/admin/instances')

    def _start_standin(
        self,
        kind: str,
        address: str,
        options: Mapping[str, Any],
        name: str = '',
    ) -> None:
        text = orjson.dumps(options).decode()
        command = [sys.executable, '-m', 'standins', kind, address, text]
        self._spawn(name or kind, command)

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen:
        environment = {**os.environ, 'UV_USE_IO_URING': '0'}
        if self.plan.source and 'siskinpass' in command:
            environment['PYTHONPATH'] = self.plan.source
        log = (self._logs / f'{name}.log').open('ab')
        process = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()
        self.processes[name] = process
        return process


@contextmanager
def running(plan: Plan) -> Generator[Cluster, None, None]:
    """Run a deployment and kill it in the end."""
    cluster = Cluster(plan)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def deployment(name: str, entries: int, **changes: Any) -> Plan:
    """Return the plan of one of the example deployments."""
    engines, services = (5, 3) if name == 'fieltro-lanera' else (6, 3)
    plan = Plan(
        tree=Path('examples') / f'{name}.yaml',
        entries=entries,
        engines={f'engine-{number}': {} for number in range(1, engines + 1)},
        services={f'app-{number}': {} for number in range(1, services + 1)},
    )
    return replace(plan, **changes)


def free_address(host: str = HOST) -> str:
    """Return an address that nothing listens on.

    It lies below the ports that the kernel gives to outgoing connections, so
    that none of these takes it before its listener starts.
    """
    for port in _PORTS:
        with socket.socket() as tcp, socket.socket(type=UDP) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        return f'{host}:{port}'
    raise RuntimeError('no free port')


def _pools(tree: Path) -> dict[str, dict[str, Any]]:
    mapping = tree_mapping(parse_tree(tree.read_text()))
    kinds: dict[str, dict[str, Any]] = {'engine': {}, 'service': {}}
    for name, pool in mapping['pools'].items():
        kinds[pool['kind']][name] = pool
    return kinds
