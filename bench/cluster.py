"""Deployments of real processes: platform, backend servers, entries.

The platform and the backend servers are emulated by ``standins``; the entry
instances run the product.
"""

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
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
BUILD = Path('build')
UDP = socket.SOCK_DGRAM
# Each driver process uses its own loopback addresses, so that it never takes a
# port that a process of another driver released for a restart.
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
    """Description of a deployment.

    :param tree: YAML file of the settings tree.
    :param entries: number of entry instances.
    :param engines: ``EngineOptions`` of each engine, by name.
    :param services: ``ServiceOptions`` of each plain service, by name.
    :param platform: ``PlatformOptions`` that differ from their defaults.
    :param zones: availability zones, assigned to the entries in turn.
    :param proxied: whether entries reach each other, the platform and the
        backend servers through fault-injecting proxies.
    :param flags: additional flags for each entry.
    :param source: source folder of another version of the product, empty for
        the installed one.
    :param disabled_safeguard: safeguard that the entries run without, a key of
        ``bench.broken.MUTATIONS``, or empty.
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
    disabled_safeguard: str = ''


@dataclass(slots=True)
class Entry:
    """One entry instance and its addresses.

    :param announced_peers: address of the proxy in front of ``peers``, empty
        without proxies.
    :param process: the running process, None until it is started.
    """

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    announced_peers: str
    process: subprocess.Popen | None = None


class Cluster:
    """Processes of one deployment.

    Their output is appended to ``build/logs``, one file for each process.
    """

    def __init__(self, plan: Plan) -> None:
        """Choose the addresses of the entries without starting a process."""
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
        """Operator address of the first running entry."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                return entry.operators
        return self.entries[0].operators

    def start(self) -> None:
        """Start all processes and wait until all entries are ready.

        :raises TimeoutError: if a process does not answer in time.
        """
        self._start_standin('platform', self.platform, self.plan.platform)
        pools = _pools(self.plan.tree)
        for name, options in self.plan.engines.items():
            self._start_backend('engine', name, options, pools['engine'])
        for name, options in self.plan.services.items():
            self._start_backend('service', name, options, pools['service'])
        self._start_proxies()
        self.wait_http(self.platform, '/instances')
        self._register_backends(pools)
        self.register_entries()
        for entry in self.entries:
            self.start_entry(entry)
        self.wait_http(self.entries[0].operators, '/healthz')
        self.apply_tree()
        for entry in self.entries:
            self.wait_http(entry.callers, '/readyz')
        self.wait_members(len(self.entries))

    def restart_engine(self, name: str) -> None:
        """Start an engine that was killed, at its earlier address."""
        pools = _pools(self.plan.tree)['engine']
        merged_options = {'name': name, **self.plan.engines[name]}
        merged_options.setdefault(
            'models', next(iter(pools.values()))['models']
        )
        self._start_standin(
            'engine', self.addresses[name], merged_options, name
        )

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry without waiting until it is ready."""
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
        if self.plan.disabled_safeguard:
            program = ['bench.broken', self.plan.disabled_safeguard]
        command = [sys.executable, '-m', *program, 'serve']
        for flag, text in flags.items():
            command.extend((f'--{flag}', text))
        command.extend(self.plan.flags)
        entry.process = self._spawn(entry.name, command)

    def apply_tree(self) -> None:
        """Put the tree of the plan in force, with a new key per workspace."""
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
        """Propose a tree and return the answer of the instance.

        :param base: version that the tree is based on.
        """
        body = orjson.dumps({'base': base, 'tree': tree, 'author': 'bench'})
        return self.call_operator_api('PUT', '/tree', body)

    def call_operator_api(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        operators: str = '',
    ) -> Any:
        """Call the operator API and return the parsed JSON answer.

        :param operators: address, by default that of the first running entry.
        """
        answer = self.http.request(
            method,
            f'http://{operators or self.operators}{path}',
            body=body or None,
            headers={'X-Siskinpass-Operator-Key': OPERATOR_KEY},
            timeout=20,
        )
        return answer.json()

    def status(self, entry: Entry) -> dict[str, Any]:
        """Return the status document of an entry."""
        return self.call_operator_api(
            'GET', '/status', operators=entry.operators
        )

    def order(self, name: str, order: Mapping[str, Any], path: str) -> Any:
        """Post a command to a stand-in and return its answer.

        :param name: name of a backend server; any other goes to the platform.
        :param order: JSON body of the command.
        """
        address = self.addresses.get(name, self.platform)
        answer = self.http.request(
            'POST',
            f'http://{address}{path}',
            body=orjson.dumps(order),
            timeout=10,
        )
        return answer.json()

    def fault(self, **order: Any) -> Any:
        """Post a command to the fault-injecting proxies.

        :param order: ``kind`` of the command, ``name`` of the proxy (all
            proxies without it) and the fields of the fault.
        """
        answer = self.http.request(
            'POST',
            f'http://{self.proxy_api}/',
            body=orjson.dumps(order),
            timeout=10,
        )
        return answer.json()

    def read(self, name: str, path: str) -> Any:
        """Return the JSON document at a path of a stand-in.

        :param name: name of a backend server; any other reads the platform.
        """
        address = self.addresses.get(name, self.platform)
        answer = self.http.request('GET', f'http://{address}{path}', timeout=10)
        return answer.json()

    def register_entries(self) -> None:
        """Add the entries to the instance list of the platform."""
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
        """Kill a process with SIGKILL and wait for its end."""
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """Kill all processes with SIGKILL and wait for their end."""
        processes = list(self.processes.values())
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()

    def via_proxy(self, name: str, address: str) -> str:
        """Return the proxy address of a process, its own without a proxy."""
        return self._routes[name][0] if name in self._routes else address

    def wait_http(self, address: str, path: str) -> None:
        """Wait until a GET request is answered with status 200.

        :raises TimeoutError: after ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                answer = self.http.request(
                    'GET',
                    f'http://{address}{path}',
                    timeout=2,
                )
            except HTTPError:
                time.sleep(POLL_INTERVAL_S)
                continue
            if answer.status == 200:
                return
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f'{address}{path} did not answer with status 200 within '
            f'{READY_TIMEOUT_S} s'
        )

    def wait_members(self, count: int) -> None:
        """Wait until each entry sees a number of live instances.

        Returns without an error after ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for entry in self.entries:
            while time.monotonic() < deadline:
                instances = self.status(entry)['instances'].values()
                live = [seen for seen in instances if seen['state'] == 'live']
                if len(live) >= count:
                    break
                time.sleep(POLL_INTERVAL_S)

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
        merged_options = {'name': name, **options}
        if kind == 'engine':
            pool = next(iter(pools.values()))
            merged_options.setdefault('models', pool['models'])
        if self.plan.proxied:
            self._routes[name] = (free_address(), address)
        self._start_standin(kind, address, merged_options, name)

    def _start_proxies(self) -> None:
        if not self.plan.proxied:
            return
        self._routes['platform'] = (free_address(), self.platform)
        self._start_standin('proxies', self.proxy_api, self._routes)
        time.sleep(0.5)

    def _register_backends(self, pools: Mapping[str, Any]) -> None:
        records = []
        for kind, names in (
            ('engine', self.plan.engines),
            ('service', self.plan.services),
        ):
            records.extend(
                {
                    'name': name,
                    'role': next(iter(pools[kind])),
                    'address': self.via_proxy(name, self.addresses[name]),
                    'zone': 'a',
                    'state': 'live',
                }
                for name in names
            )
        self.order('platform', records, '/admin/instances')

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
    """Start a deployment and kill it on leaving the context."""
    cluster = Cluster(plan)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.stop()


def deployment(name: str, entries: int, **changes: Any) -> Plan:
    """Return the plan of one of the example deployments.

    :param changes: fields of the plan that differ from the example.
    """
    engines, services = (5, 3) if name == 'fieltro-lanera' else (6, 3)
    plan = Plan(
        tree=Path('examples') / f'{name}.yaml',
        entries=entries,
        engines={f'engine-{number}': {} for number in range(1, engines + 1)},
        services={f'app-{number}': {} for number in range(1, services + 1)},
    )
    return replace(plan, **changes)


def free_address(host: str = HOST) -> str:
    """Return an address whose TCP and UDP ports are both unused.

    The port is below the ephemeral port range of the kernel, so that no
    outgoing connection takes it before its listener starts.

    :raises RuntimeError: if no port is free.
    """
    for port in _PORTS:
        with socket.socket() as tcp, socket.socket(type=UDP) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        return f'{host}:{port}'
    raise RuntimeError('no free port between MIN_PORT and MAX_PORT')


def _pools(tree: Path) -> dict[str, dict[str, Any]]:
    mapping = tree_mapping(parse_tree(tree.read_text()))
    kinds: dict[str, dict[str, Any]] = {'engine': {}, 'service': {}}
    for name, pool in mapping['pools'].items():
        kinds[pool['kind']][name] = pool
    return kinds
