"""Stand-ins of the platform, of workers and of consumers for review/6 to 10.

Standard library only. The instances are processes of the project, started with
the command of the deploy file.
"""

import asyncio
import bisect
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STORE_S = 0.004  # for an answer of the store
PAGE_ITEMS = 500
TOKENS_PER_S = 56_100  # that an engine reads
BOUNDS = {
    'seed-lag-s': 3,
    'addr-reuse-s': 2,
    'contact-ms': 3000,
    'ack-ms': 4000,
    'catch-up-s': 4,
    'drain-ms': 2000,
    'grace-s': 8,
    'loss-slack-ms': 200,
    'config-apply-ms': 2000,
    'rollback-slack-ms': 250,
    'max-stretch-ms': 5000,
    'revoke-strict': False,
    'revoke-ms': 5000,
    'retry-budget-ratio': 0.2,
    'retry-window-s': 10,
    'retry-slack': 58,
    'recovery-s': 12,
    'pass-ms': 120,
    'retry-after-s': 10,
    'ttl_max_s': 5,
}
REASONS = {200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict'}


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._started_s = time.monotonic()
        self.write('TROUBLE', int(TROUBLE))

    def write(self, *words):
        at_s = time.monotonic() - self._started_s
        print(f'{at_s:8.3f}', *words, file=self._file, flush=True)

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)


async def read_head(reader):
    """Return the first line and the headers, names in lower case."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = text.rstrip('\r\n').split('\r\n')
    pairs = [line.partition(':') for line in lines]
    return first, {name.lower(): rest.strip() for name, _, rest in pairs}


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Listener:
    """HTTP/1.1 server; ``answer`` writes the answer to one request."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, backlog=512
        )

    def stop(self):
        """End as a process does that is killed."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                source = writer.get_extra_info('peername')[0]
                await self.answer(
                    writer, method, target, headers, body, source
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            ValueError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reply(writer, status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join((*lines, '', '')).encode('latin-1') + body)


class Store(Listener):
    """The platform's store: objects, lists in pages, watches.

    :ivar on_page: called with the source and the kind after each page but the
        last of a list.
    """

    def __init__(self):
        super().__init__()
        self.objects = {}
        self.revision = 100
        self.changes = []
        self.changed = asyncio.Condition()
        self.on_page = None
        self.lists = []

    async def put(self, kind, name, spec):
        """Write an object; a spec of bytes is kept as it is."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known[2] if known else self.revision
        self.objects[kind, name] = (raw, self.revision, created)
        await self._note(kind, self._text(kind, name), is_deleted=False)

    async def remove(self, kind, name):
        if (kind, name) in self.objects:
            text = self._text(kind, name)
            self.objects.pop((kind, name))
            self.revision += 1
            await self._note(kind, text, is_deleted=True)

    async def _note(self, kind, text, *, is_deleted):
        flag = b'true' if is_deleted else b'false'
        event = b'{"deleted":%b,"object":%b}' % (flag, text)
        self.changes.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    def _text(self, kind, name):
        raw, revision, created = self.objects[kind, name]
        metadata = {
            'name': name,
            'revision': revision,
            'create-revision': created,
            'finalizers': [],
            'deleting': False,
        }
        return b'{"metadata":%b,"spec":%b,"status":null}' % (
            json.dumps(metadata).encode(),
            raw,
        )

    async def answer(self, writer, method, target, headers, body, source):
        await asyncio.sleep(STORE_S)
        path, _, query_text = target.partition('?')
        query = dict(
            one.split('=', 1) for one in query_text.split('&') if one
        )
        kind, _, name = path.removeprefix('/-/objects/').partition('/')
        era = (('Content-Type', 'application/json'), ('Store-Era', '1'))
        if method == 'GET' and 'watch' in query:
            status, text = await self._watch(kind, query)
        elif method == 'GET' and name:
            found = (kind, name) in self.objects
            status = 200 if found else 404
            text = self._text(kind, name) if found else b'{}'
        elif method == 'GET':
            status, text, has_more = self._list(kind, query)
            self.lists.append((source, kind, query.get('after-rev', '')))
            reply(writer, status, text, era)
            if has_more and self.on_page is not None:
                await writer.drain()
                await self.on_page(source, kind)
            return
        else:
            status, text = await self._write(method, kind, name, query, body)
        reply(writer, status, text, era)

    def _list(self, kind, query):
        names = sorted(name for one, name in self.objects if one == kind)
        first = bisect.bisect_right(names, query.get('after-rev', ''))
        page = names[first : first + PAGE_ITEMS]
        has_more = first + PAGE_ITEMS < len(names)
        items = b','.join(self._text(kind, name) for name in page)
        text = b'{"items":[%b],"has-more":%b,"current-rev":%d}' % (
            items,
            b'true' if has_more else b'false',
            self.revision,
        )
        return 200, text, has_more

    async def _watch(self, kind, query):
        since = int(query['watch'])

        def events():
            return [
                event
                for revision, one, event in self.changes
                if one == kind and revision > since
            ]

        try:
            async with (
                asyncio.timeout(int(query.get('wait-ms', 0)) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(events)
        except TimeoutError:
            pass
        return 200, b'{"events":[%b],"current-rev":%d}' % (
            b','.join(events()),
            self.revision,
        )

    async def _write(self, method, kind, name, query, body):
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, b'{}'
        document = json.loads(body)
        metadata = document.get('metadata', {})
        name = name or metadata['name']
        known = self.objects.get((kind, name))
        wanted = metadata.get('revision') or query.get('revision')
        if method == 'POST' and known:
            return 409, self._text(kind, name)
        if method == 'PUT' and known is None:
            return 404, b'{}'
        if wanted and known and known[1] != int(wanted):
            return 409, self._text(kind, name)
        await self.put(kind, name, document.get('spec'))
        return 200, self._text(kind, name)


class Worker(Listener):
    """Worker that records what it runs.

    :param work_s: time for a request, or to the first event of a stream.
    """

    def __init__(self, lab, name, service, zone, work_s=0.045, slots=6):
        super().__init__()
        self.lab, self.name, self.service = lab, name, service
        self.zone, self.work_s, self.slots = zone, work_s, slots
        self.kv_tokens = 668_607
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.address = ''
        self.sequence = 0

    @property
    def entry(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-remaining-ms': 0,
            'born': self.born,
            'sequence': self.sequence,
        }

    async def start(self):
        host, port = self.lab.worker_ip(), self.lab.ports.worker
        self.address = f'{host}:{port}'
        await self.listen(host, port)
        await self.register()

    async def register(self):
        await self.lab.store.put('servers', self.name, self.entry)

    async def answer(self, writer, method, target, headers, body, source):
        call = headers.get('x-attempt-id', '')
        given = (('X-Attempt-Id', call), ('Keep-Alive', 'timeout=30'))
        expected = headers.get('x-expect-instance', self.name)
        if expected != self.name:
            reply(writer, 421, b'', (('X-Instance-Id', self.name),))
            return
        if target in {'/health', '/-/kv-list'}:
            # It has no time for a list of its cache.
            status = 200 if target == '/health' else 503
            reply(writer, status, b'', (('X-Instance-Id', self.name),))
            return
        if not call:
            reply(writer, 400, b'', (('X-Not-Executed', '1'),))
            return
        tokens = int(headers.get('x-token-count', '0').split(',')[0])
        if tokens > self.kv_tokens:
            # Larger than its memory: as if it were full.
            given = (*given, ('X-Not-Executed', '1'))
            reply(writer, 503, b'', given)
            return
        self.lab.note_run(self, call, method, target, headers, body, source)
        await asyncio.sleep(self.work_s + tokens / TOKENS_PER_S)
        seal = (('X-Server-Seal', f'{self.name}.{call}'),)
        if target.startswith('/stream/'):
            text = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
            kind = (('Content-Type', 'text/event-stream'),)
            reply(writer, 200, text, (*given, *seal, *kind))
        else:
            reply(writer, 200, f'done {call}'.encode(), (*given, *seal))


class Ports:
    """Ports that are free on all addresses that the lab uses."""

    def __init__(self, hosts):
        self._hosts = hosts
        first = random.randrange(11000, 30000, 40)
        while not self._are_free(first):
            first = random.randrange(11000, 30000, 40)
        self.front, self.ready, self.control, self.directory = range(
            first, first + 4
        )
        self.internal = first + 4
        self.store, self.worker = first + 30, first + 31

    def _are_free(self, first):
        for host in self._hosts:
            for port in range(first, first + 32):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        try:
                            probe.bind((host, port))
                        except OSError:
                            return False
        return True


class Machine:
    """One machine with its process of the system."""

    def __init__(self, lab, number, zone):
        self.lab, self.zone = lab, zone
        self.name = f'front-{zone}-{number}'
        self.ip = f'127.1.0.{number}'
        self.process = None
        self.starts = 0

    def settings(self):
        ports, lab = self.lab.ports, self.lab
        return {
            'node-name': self.name,
            'role': 'entry',
            'machine-class': 'front',
            'serves': ['front', 'control', 'directory'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'nordeste',
            'zones': {zone: 'nordeste' for zone in lab.zones},
            'listen': {
                'front': f'{self.ip}:{ports.front}',
                'ready': f'{self.ip}:{ports.ready}',
                'control': f'{self.ip}:{ports.control}',
                'directory': f'{self.ip}:{ports.directory}',
            },
            'internal-port-range': [ports.internal, ports.internal + 15],
            'seed-nodes': [
                f'{one.ip}:{ports.control}' for one in lab.machines[:3]
            ],
            'bootstrap': self.starts == 0,
            'limits': {
                'cpu-share': 0.537,
                'cores': 2,
                'memory-mb': lab.memory_mb,
                'max-fds': 4100,
                'link-mbps': 1000.0,
                'disk-mb': 0,
            },
            'data-dir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat-ms': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': f'{lab.store_ip}:{ports.store}',
                'form': 'objects',
                'writes-per-s': 400,
                'reads-per-s': 2000,
                'history-s': 20,
                'value-bytes': 1048576,
                'ttl-min-ms': 1000,
            },
        }

    async def start(self):
        if self.lab.is_closing:
            return
        path = self.lab.folder / f'{self.name}.yaml'
        path.write_text(json.dumps(self.settings()))
        self.starts += 1
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        log = (self.lab.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'SISKINPASS_SETTINGS': str(path),
            },
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    @property
    def memory_mb(self):
        """Return the memory that the process holds, in MB."""
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6

    async def is_ready(self):
        answer = await exchange(
            self.ip, self.lab.ports.ready, 'GET', '/-/readiness', timeout_s=1
        )
        return answer.status == 200


class Answer:
    """Answer to one request; status 0 if there was none."""

    def __init__(self, status=0, headers=None, body=b'', *, is_whole=False):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_whole = is_whole


async def exchange(
    host, port, method, target, headers=(), body=b'', timeout_s=5, linger_s=0
):
    """Send one request on a new channel.

    :param linger_s: for which the channel is kept and read on afterwards; what
        arrives is in ``extra`` of the answer.
    """
    answer, writer = Answer(), None
    answer.extra = b''
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in headers]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    wire = '\r\n'.join((*lines, '', '')).encode('latin-1') + body
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=1 << 20
            )
            writer.write(wire)
            first, given = await read_head(reader)
            answer.status, answer.headers = int(first.split()[1]), given
            answer.body = await read_body(reader, given)
            answer.is_whole = True
        if linger_s:
            async with asyncio.timeout(linger_s):
                answer.extra = await reader.read(65536)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Lab:
    """Store, workers and machines of one case."""

    def __init__(self, folder, zones=('recife', 'fortaleza', 'salvador')):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.memory_mb = 300
        self.store_ip = '127.1.1.1'
        self.store = Store()
        self.workers, self.runs = [], []
        self.machines = []
        self.is_closing = False
        self.on_run = None
        self._next_worker = 0
        self._calls = 0

    def worker_ip(self):
        self._next_worker += 1
        high, low = divmod(self._next_worker, 250)
        return f'127.2.{high}.{low + 1}'

    def note_run(self, worker, call, method, target, headers, body, source):
        self.runs.append((call, worker.name, method, target, body))
        if self.on_run is not None:
            self.on_run(worker, call, method, target, headers, body, source)

    def new_call(self):
        self._calls += 1
        return f'{self._calls:08x}{random.getrandbits(32):08x}'

    async def start(self, machines, config):
        self.machines = [
            Machine(self, number + 1, self.zones[number % len(self.zones)])
            for number in range(machines)
        ]
        hosts = [self.store_ip, '127.2.0.2']
        self.ports = Ports([*hosts, *(one.ip for one in self.machines)])
        await self.store.listen(self.store_ip, self.ports.store)
        await self.store.put('config', 'main', config)

    async def start_machines(self):
        for machine in self.machines:
            await machine.start()
        if not await self.wait_ready():
            raise RuntimeError('not all machines became ready')

    async def wait_ready(self, timeout_s=20):
        """Return whether all machines are ready in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            found = [await one.is_ready() for one in self.machines]
            if all(found):
                return True
            await asyncio.sleep(0.1)
        return False

    async def resolve(self, zone):
        """Ask up to three directories; return addresses or nothing."""
        near = sorted(
            self.machines, key=lambda one: (one.zone != zone, random.random())
        )
        for machine in near[:3]:
            answer = await exchange(
                machine.ip,
                self.ports.directory,
                'GET',
                f'/-/resolution?name={HOST}&region=nordeste&zone={zone}',
                timeout_s=1,
            )
            if answer.status == 200 and answer.is_whole:
                found = json.loads(answer.body).get('addresses')
                if found:
                    return found
        return []

    async def close(self):
        self.is_closing = True
        # Twice: one may just have been started.
        for machine in (*self.machines, *self.machines):
            await machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.store.stop()
        for worker in self.workers:
            worker.stop()


def order_headers(call, deadline_ms=1500):
    return [
        ('X-Attempt-Id', call),
        ('X-Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {KEY}'),
    ]


def route(prefix, kind, service, timeout_ms=1500, **more):
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path-prefix': prefix,
        'route-type': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 150,
        'priority': 2,
        'service': service,
        'max-attempts': 2 if kind == 'safe' else 1,
        'auth-exempt': False,
        'sticky': False,
        'stream-resume': False,
    } | more


def config(routes, services):
    return {
        'version': 7,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api-keys': [KEY], 'priority': 1}],
    }


def service(name, connections=110, **more):
    return {
        'name': name,
        'health-path': '/health',
        'max-connections': connections,
        'protocol': 'h1',
        'tls': False,
    } | more


def run_case(play, folder):
    """Play a case and exit with its status; 2 if it could not run."""
    lab = Lab(folder)

    async def play_and_close():
        try:
            async with asyncio.timeout(115):
                return await play(lab)
        finally:
            await lab.close()

    # Ends the processes of the system, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(play_and_close())
    except Exception as error:
        lab.record.say('could not run:', repr(error))
        status = 2
    lab.record.say('exit', status)
    sys.exit(status)
