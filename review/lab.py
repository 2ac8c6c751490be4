"""Small stand-ins for the cases of the review: store, worker, consumer.

Only the standard library is used. The instances are the project's own programs,
started as processes with the command of ``deploy/system.toml`` and settings
like those of a small deployment.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'orders.example'
KEY = 'key-of-a-tenant'
TENANT = 'tenant-1'
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 8.0
RECOVERY_S = 12.0
REASONS = {200: 'OK', 201: 'Created', 404: 'Not Found', 409: 'Conflict',
           410: 'Gone', 421: 'Misdirected Request', 503: 'Service Unavailable'}


class CannotRunError(Exception):
    """The case could not be set up."""


def trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writer of ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def __call__(self, text):
        self._file.write(f'{time.monotonic() - self._began_s:8.3f} {text}\n')
        self._file.flush()


# --- HTTP -------------------------------------------------------------------

class Message:
    """Head and body of one request or answer."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=''):
        """Return the last value of a header."""
        return dict(self.headers).get(name, default)


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        name, _, text = line.partition(':')
        headers.append((name.strip().lower(), text.strip()))
    return first, headers


async def read_chunked(reader, on_piece=None, gap_s=None):
    """Return a chunked body.

    :param gap_s: longest time between two pieces, ``None`` for any.
    """
    body = b''
    while True:
        async with asyncio.timeout(gap_s):
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if not size:
            while (await reader.readuntil(b'\r\n')) != b'\r\n':
                pass
            return body
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        body += piece
        if on_piece is not None:
            on_piece(piece)


async def read_request(reader):
    """Return one whole request."""
    first, headers = await read_head(reader)
    fields = dict(headers)
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(fields.get('content-length', '0')))
    return Message(first, headers, body)


def encode_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def encode(status, headers, body):
    """Return an answer with a length."""
    return encode_head(status, [*headers, ('Content-Length', len(body))]) + body


# --- store ------------------------------------------------------------------

class Store:
    """The platform's metadata store, as PROTOCOL.md describes it.

    Specs are kept as the JSON text that their writer sent.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Condition()
        self.answer_s = STORE_ANSWER_S
        self.on_call = None
        self.generation = 0
        self._watched = []

    async def start(self, host, port):
        """Listen on an address."""
        self.address = f'{host}:{port}'
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=8_000_000
        )

    async def put(self, kind, name, spec):
        """Write an object; one that says the same makes no new revision."""
        known = self.objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return
        self.revision += 1
        made = known['made'] if known else self.revision
        stored = {'name': name, 'rev': self.revision, 'made': made, 'spec': spec}
        self.objects[kind, name] = stored
        await self._note(kind, stored, False)

    async def remove(self, kind, name):
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            await self._note(kind, stored, True)

    async def _note(self, kind, stored, deleted):
        self.changes.append((self.revision, time.monotonic(), kind, stored, deleted))
        async with self.changed:
            self.changed.notify_all()

    def watchers(self, kind, within_s):
        """Return the addresses that have watched a kind lately."""
        since_s = time.monotonic() - within_s
        return {host for at_s, one, host in self._watched if one == kind and at_s > since_s}

    def silence(self):
        """Let all open channels go silent for good; new ones work."""
        self.generation += 1
        self.record('all open channels to the store go silent')

    async def _serve(self, reader, writer):
        generation = self.generation
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if generation == self.generation:
                    status, body = await self._answer(request, writer)
                if generation != self.generation:
                    await reader.read()
                    break
                headers = [('Content-Type', 'application/json'), ('Store-Era', '1')]
                writer.write(encode(status, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request, writer):
        method, target, _ = request.first.split(' ')
        path, _, query = target.partition('?')
        fields = dict(part.partition('=')[::2] for part in query.split('&') if part)
        kind, _, name = path.removeprefix('/-/objects/').partition('/')
        if self.on_call is not None:
            await self.on_call(method, kind, name, fields)
        if 'watch' in fields:
            host = writer.get_extra_info('peername')[0]
            self._watched.append((time.monotonic(), kind, host))
            return await self._watch(kind, int(fields['watch']), int(fields['wait-ms']) / 1000)
        await asyncio.sleep(self.answer_s)
        if method == 'GET' and name:
            stored = self.objects.get((kind, name))
            return (200, self._text(stored)) if stored else (404, b'{}')
        if method == 'GET':
            return 200, self._list(kind, fields.get('after-rev', ''))
        if method == 'DELETE':
            await self.remove(kind, name)
            return 200, b'{}'
        document = json.loads(request.body)
        name = name or document['metadata']['name']
        known = self.objects.get((kind, name))
        if method == 'POST' and known:
            return 409, self._text(known)
        if method == 'PUT' and not known:
            return 404, b'{}'
        await self.put(kind, name, json.dumps(document.get('spec')))
        return 200, self._text(self.objects[kind, name])

    def _text(self, stored):
        meta = {'name': stored['name'], 'revision': stored['rev'],
                'create-revision': stored['made'], 'finalizers': [], 'deleting': False}
        return (b'{"metadata":%b,"spec":%b,"status":null}'
                % (json.dumps(meta).encode(), stored['spec'].encode()))

    def _list(self, kind, after):
        names = sorted(name for one, name in self.objects if one == kind and name > after)
        items, size = [], 0
        for name in names:
            text = self._text(self.objects[kind, name])
            if items and (len(items) >= PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                break
            items.append(text)
            size += len(text)
        more = b'true' if len(items) < len(names) else b'false'
        return (b'{"items":[%b],"has-more":%b,"current-rev":%d}'
                % (b','.join(items), more, self.revision))

    async def _watch(self, kind, since, wait_s):
        now_s = time.monotonic()
        lost = [rev for rev, at_s, *_ in self.changes if now_s - at_s > HISTORY_S]
        if since > self.revision or (lost and since < lost[-1]):
            return 410, b'{}'
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self._since(kind, since))
        await asyncio.sleep(self.answer_s)
        events = [b'{"object":%b,"deleted":%b}'
                  % (self._text(stored), b'true' if deleted else b'false')
                  for stored, deleted in self._since(kind, since)]
        return 200, (b'{"events":[%b],"current-rev":%d}'
                     % (b','.join(events), self.revision))

    def _since(self, kind, since):
        return [(stored, deleted) for rev, _, one, stored, deleted in self.changes
                if rev > since and one == kind]


# --- worker -----------------------------------------------------------------

class Worker:
    """One worker: registers, beats, answers; may drain or crash.

    :param work: returns the seconds that a request takes.
    :ivar respond: answers a request in place of a plain answer, if set; returns
        the bytes to send, or ``None`` to close the channel.
    """

    boots = 0

    def __init__(self, lab, service, address, work, slots=64, version='v1'):
        self.lab, self.service, self.address = lab, service, address
        self.work, self.slots, self.version = work, slots, version
        self.state = 'ready'
        self.running = 0
        self.is_up = False
        self.respond = None
        self.drained_s = None
        self._writers = set()
        self._beat = None
        lab.workers.append(self)

    async def start(self):
        """Listen and register as a new boot with a new id."""
        Worker.boots += 1
        self.name = f'i-{Worker.boots:04d}{random.getrandbits(24):06x}'
        self.born = int(time.time() * 1000)
        self.state, self.drained_s, self.is_up = 'ready', None, True
        host, port = self.address.rsplit(':', 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=8_000_000)
        await self.register()
        self._beat = asyncio.create_task(self._beats())
        self.lab.record(f'worker {self.name} starts at {self.address}')

    async def register(self):
        """Write the entry."""
        entry = {'service': self.service, 'address': self.address, 'zone': 'zone-a',
                 'version': self.version, 'slots': self.slots, 'state': self.state,
                 'cold-remaining-ms': 0, 'born': self.born}
        await self.lab.store.put('servers', self.name, json.dumps(entry))

    async def _beats(self):
        # A beat that changes only ``sequence`` changes no entry.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def drain(self):
        """Report ``draining``; serving goes on until ``stop``."""
        self.state = 'draining'
        await self.register()
        self.drained_s = time.monotonic()
        self.lab.record(f'worker {self.name}: the store has accepted "draining"')

    async def stop(self):
        """Exit in order; the entry is removed."""
        self._end()
        await self.lab.store.remove('servers', self.name)
        self.lab.record(f'worker {self.name} has left')

    def crash(self):
        """End as a killed process does; the entry expires after three beats."""
        name = self.name
        self.lab.record(f'worker {name} crashes with {self.running} requests at work')
        self._end()
        self.lab.spawn(self._expire(name))

    async def _expire(self, name):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.lab.store.remove('servers', name)

    def close(self):
        """End at the end of the run."""
        if self.is_up:
            self._end()

    def _end(self):
        self.is_up = False
        self._beat.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        boot = self.name
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self.name == boot and self.is_up:
                request = await read_request(reader)
                wire = await self._run(request, boot, reader, writer)
                if wire is None or not self.is_up or self.name != boot:
                    break
                writer.write(wire)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _run(self, request, boot, reader, writer):
        call = request.get('x-attempt-id')
        lab, now_s = self.lab, time.monotonic()
        leaving = [('Server-Leaving', '1')] if self.state == 'draining' else []
        echo = [('X-Attempt-Id', call), ('X-Instance-Id', boot), *leaving]
        if request.get('x-expect-instance') not in {boot, ''}:
            return encode(421, echo, b'')
        lab.arrived(call, self, request, now_s)
        if self.running >= self.slots:
            return encode(503, [*echo, ('X-Not-Executed', '1')], b'')
        lab.ran(call, self, request)
        self.running += 1
        try:
            await self._work(request, reader)
            if self.respond is not None:
                return await self.respond(self, request, echo, reader, writer)
        finally:
            self.running -= 1
        body = b'%b ran at %b' % (call.encode(), boot.encode())
        return encode(200, [*echo, ('X-Server-Seal', f'seal.{call}'),
                            ('Keep-Alive', 'timeout=30')], body)

    async def _work(self, request, reader):
        """Work; stop when the channel closes, as most workers do."""
        end_s = time.monotonic() + self.work(request)
        while (left_s := end_s - time.monotonic()) > 0:
            if reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(min(left_s, 0.02))


# --- consumer ---------------------------------------------------------------

class Sent:
    """One consumer attempt and its answer; status 0 is a closed channel."""

    def __init__(self, call, instance, path):
        self.call, self.instance, self.path = call, instance, path
        self.sent_s = time.monotonic()
        self.status, self.body, self.retry_after, self.seal = 0, b'', '', ''
        self.took_s = 0.0
        self.error = ''


class Lab:
    """Store, workers and instances of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.workers = []
        self.instances = {}
        self.sent = []
        self.runs = {}
        self.arrivals = []
        self._tasks = set()
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        network = f'127.{random.randint(20, 120)}.{random.randint(1, 250)}'
        self._ip = lambda number: f'{network}.{number}'
        self._numbers = iter(range(1, 100000))

    def spawn(self, work):
        """Run a coroutine beside the others."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def arrived(self, call, worker, request, now_s):
        """Record that a request reached a worker."""
        self.arrivals.append((now_s, call, worker, worker.name))
        self.record(f'arrived {call} at {worker.name} {request.first}')

    def ran(self, call, worker, request):
        """Record that a worker began to work on a request."""
        self.runs.setdefault(call, []).append((time.monotonic(), worker.name))
        self.record(f'runs {call} at {worker.name}')

    def address(self, number):
        """Return a free loopback address of its own for a worker or the store."""
        return f'{self._ip(number)}:{free_port(self._ip(number))}'

    async def open_store(self):
        """Start the store."""
        host, port = self.address(250).rsplit(':', 1)
        await self.store.start(host, int(port))

    async def put_config(self, version, routes, services, tenants=None, limits=None):
        """Write a config as the operator."""
        document = {
            'version': version, 'routes': routes,
            'services': [{'name': one, 'health-path': '/health', 'max-connections': 360,
                          'protocol': 'h1', 'tls': False} for one in services],
            'limits': limits or {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
                                 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000},
            'tenants': tenants or [{'name': TENANT, 'api-keys': [KEY], 'priority': 1}],
        }
        await self.store.put('config', 'main', json.dumps(document))
        self.record(f'the store has accepted config {version}')

    def prepare_instances(self, count):
        """Write the settings of some instances."""
        self._ports = self._common_ports(count)
        for number in range(1, count + 1):
            name = f'front-{number}'
            path = self._temporary / f'{name}.yaml'
            path.write_text(self._settings(number, count, first=True))
            self.instances[name] = {'number': number, 'path': path, 'process': None,
                                    'ip': self._ip(number), 'count': count}

    def _common_ports(self, count):
        for _ in range(50):
            base = random.randint(10500, 31000)
            wanted = [*range(base, base + 16), base + 20, base + 21, base + 22, base + 23]
            if all(is_free(self._ip(number), port)
                   for number in range(1, count + 1) for port in wanted):
                return base
        raise CannotRunError('no free ports')

    def _settings(self, number, count, *, first):
        ip, base = self._ip(number), self._ports
        return json.dumps({
            'node-name': f'front-{number}', 'role': 'entry', 'machine-class': 'front',
            'serves': ['front', 'directory', 'control'], 'ip': ip, 'zone': 'zone-a',
            'region': 'region-a', 'zones': {'zone-a': 'region-a'},
            'listen': {'front': f'{ip}:{base + 20}', 'ready': f'{ip}:{base + 21}',
                       'control': f'{ip}:{base + 22}', 'directory': f'{ip}:{base + 23}'},
            'internal-port-range': [base, base + 15],
            'seed-nodes': [f'{self._ip(one)}:{base + 22}' for one in range(1, min(count, 3) + 1)],
            'bootstrap': first, 'fault-counted': False,
            'limits': {'cpu-share': 0.537, 'cores': 2, 'memory-mb': 300, 'max-fds': 4100,
                       'link-mbps': 1000.0, 'disk-mb': 0},
            'data-dir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeat-ms': 1200,
            'bounds': {'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000,
                       'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200,
                       'config-apply-ms': 2000, 'rollback-slack-ms': 250, 'max-stretch-ms': 5000,
                       'revoke-strict': False, 'revoke-ms': 5000, 'retry-budget-ratio': 0.2,
                       'retry-window-s': 10, 'retry-slack': 54, 'recovery-s': 12,
                       'pass-ms': 120, 'retry-after-s': 10, 'ttl_max_s': 5},
            'platform': {'address': self.store.address, 'form': 'objects', 'writes-per-s': 400,
                         'reads-per-s': 2000, 'history-s': 20, 'value-bytes': 1048576,
                         'ttl-min-ms': 1000},
        }, indent=1)

    async def start_instance(self, name, *, first=True):
        """Start an instance with the command of the deploy file."""
        one = self.instances[name]
        one['path'].write_text(self._settings(one['number'], one['count'], first=first))
        roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
        words = shlex.split(next(iter(roles.values()))['run'])
        environment = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment |= {'SISKINPASS_SETTINGS': str(one['path']),
                        'PYTHONPATH': str(ROOT / 'target' / 'deps')}
        with (self._temporary / f'{name}.log').open('ab') as log:
            one['process'] = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record(f'{name} starts')

    async def kill_instance(self, name):
        """Kill an instance and wait for its end."""
        process = self.instances[name]['process']
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        self.record(f'{name} is killed')

    async def is_ready(self, name):
        """Ask an instance whether it is ready, as the platform does."""
        answer = await self.fetch(self.instances[name]['ip'], self._ports + 21, '/-/readiness')
        return answer == 200

    async def fetch(self, host, port, path):
        """Return the status of a GET, 0 without an answer."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode())
                first, _ = await read_head(reader)
                writer.close()
                return int(first.split(' ')[1])
        return 0

    async def wait_ready(self, names=None, limit_s=20.0):
        """Wait until instances are ready; return whether they are."""
        end_s = time.monotonic() + limit_s
        for name in names or tuple(self.instances):
            while not await self.is_ready(name):
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.1)
        self.record('the instances are ready')
        return True

    async def ask(self, path, *, name=None, deadline_ms=2500, method='POST', body=None,
                  more=(), call=None, gap_s=None, key=KEY):
        """Send one consumer attempt on a new channel; return what came back."""
        name = name or random.choice(tuple(self.instances))
        call = call or f'{next(self._numbers):06d}{random.getrandbits(40):010x}'
        sent = Sent(call, name, path)
        self.sent.append(sent)
        body = f'body of {call}'.encode() if body is None else body
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', f'X-Attempt-Id: {call}',
                 f'X-Deadline-Ms: {deadline_ms}', f'Authorization: Bearer {key}', *more]
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        self.instances[name]['ip'], self._ports + 20)
                sent.sent_s = time.monotonic()
                writer.write('\r\n'.join([*lines, '', '']).encode() + (body if method != 'GET' else b''))
                async with asyncio.timeout(gap_s):
                    first, headers = await read_head(reader)
                fields = dict(headers)
                status = int(first.split(' ')[1])
                if 'chunked' in fields.get('transfer-encoding', ''):
                    sent.body = await read_chunked(reader, gap_s=gap_s)
                else:
                    sent.body = await reader.readexactly(int(fields.get('content-length', '0')))
                sent.status, sent.seal = status, fields.get('x-server-seal', '')
                sent.retry_after = fields.get('retry-after', '')
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            sent.error = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        sent.took_s = time.monotonic() - sent.sent_s
        self.record(f'answer {call} from {name} {method} {path}: {sent.status} '
                    f'after {sent.took_s:.3f} s retry-after={sent.retry_after!r} '
                    f'{sent.error} {sent.body[:60]!r}')
        return sent

    async def close(self):
        """End all processes that were started, and remove the temporary folder."""
        for name in self.instances:
            if self.instances[name]['process'] is not None:
                await self.kill_instance(name)
        for worker in self.workers:
            worker.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.wait(others or {asyncio.ensure_future(asyncio.sleep(0))}, timeout=2)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)


def route(name, kind, service, **more):
    """Return a route of the config."""
    return {'name': name, 'host': HOST, 'path-prefix': f'/{name}/', 'route-type': kind,
            'timeout-ms': 2500, 'target-latency-ms': 200, 'priority': 2, 'service': service,
            'max-attempts': 1, 'auth-exempt': False, 'sticky': False,
            'stream-resume': False} | more


def is_free(ip, port):
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def free_port(ip):
    """Return a free port of a loopback address."""
    for _ in range(200):
        port = random.randint(10500, 31900)
        if is_free(ip, port):
            return port
    raise CannotRunError('no free port')


def main(folder, scenario, limit_s=115.0):
    """Run a scenario and exit with 1 if the rule was broken, 0 if it held."""

    async def run():
        lab = Lab(folder)
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(lab)
        finally:
            await lab.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}', file=sys.stderr)
        sys.exit(2)
    print('broken:' if broken else 'held', broken or '', flush=True)
    os._exit(1 if broken else 0)
