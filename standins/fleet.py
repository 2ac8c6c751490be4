"""Fake platform for fleet instances: its object store and backend servers.

Unlike the other stand-ins these run in the process of the test, which sets
their faults as attributes.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from standins.http_server import (
    Connections,
    HangUpError,
    Request,
    Response,
    json_response,
    serve,
)
from standins.paths import ServerPaths

PREFIX = '/-/objects/'
FIRST_REVISION = 10
NOISE_BYTES = 65_536  # of each piece of an endless body
TRICKLE_S = 0.1
MAX_TRICKLED_BYTES = 600
DRAIN_S = 2.5  # from the announcement of a server's end to the end
LEASES = 'siskinpass-duties'  # kind of the lease object of the duties
ODD = '@odd'  # value in an object, see ``ObjectStore.odd``
RESTART_S = 0.5  # from the end of a server's process to its next start


class ObjectStore:
    """Object store with revisions and watches.

    :ivar history_from: lowest revision that a watch can start from; a lower
        one is answered with status 410.
    :ivar is_down: whether all calls end without a response.
    :ivar stalls_watches: whether watches get no response once there is a
        change to report; those without one still time out as usual.
    :ivar era: number of restores, plus one; stated in each answer.
    :ivar odd: text of a JSON value that stands in answers in place of ``ODD``.
    :ivar refused_machines: addresses that get no answers.
    :ivar lost_answers: number of coming writes of leases that are executed and
        not answered.
    :ivar object_calls: method, kind and name of the calls about one object.
    """

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revisions = itertools.count(FIRST_REVISION)
        self._revision = FIRST_REVISION
        self._changed = asyncio.Condition()
        self.history_from = 0
        self.is_down = False
        self.stalls_watches = False
        self.era: int | str = 1
        self.odd = b'null'
        self.refused_machines: set[str] = set()
        self.lost_answers = 0
        self.object_calls: list[tuple[str, str, str]] = []

    def copy(self) -> 'StoreCopy':
        """Return a copy of all objects, to restore later."""
        return StoreCopy(dict(self._objects), self._revision)

    async def restore(self, stored: 'StoreCopy') -> None:
        """Go back to a copy; later changes and revisions are gone."""
        self.era = int(self.era) + 1
        self._objects = dict(stored.objects)
        self._revision = stored.revision
        self._revisions = itertools.count(stored.revision + 1)
        self._changes = []
        self.history_from = stored.revision
        async with self._changed:
            self._changed.notify_all()

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object for an operator or a backend server."""
        self._revision = next(self._revisions)
        stored = {
            'metadata': {'name': name, 'revision': self._revision},
            'spec': spec,
        }
        self._objects[kind, name] = stored
        await self._record_change(kind, stored, is_deleted=False)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object; do nothing if there is none."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision = next(self._revisions)
            await self._record_change(kind, stored, is_deleted=True)

    def names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return {
            name for stored_kind, name in self._objects if stored_kind == kind
        }

    async def __call__(self, request: Request) -> Response:
        """Return the response to a call.

        :raises HangUpError: if the store is down.
        """
        if self.is_down or request.source in self.refused_machines:
            raise HangUpError
        response = await self._respond(request)
        headers = {**response.headers, 'Store-Era': str(self.era)}
        body = response.body.replace(b'"%b"' % ODD.encode(), self.odd)
        return replace(response, headers=headers, body=body)

    async def _respond(self, request: Request) -> Response:
        kind, _, name = request.path.removeprefix(PREFIX).partition('/')
        if request.method == 'GET' and 'watch' in request.query:
            return await self._watch(kind, request)
        self.object_calls.append((request.method, kind, name))
        if request.method == 'GET' and name:
            stored = self._objects.get((kind, name))
            return json_response(stored or {}, 200 if stored else 404)
        if request.method == 'GET':
            return self._list(kind)
        return await self._write(request, kind, name)

    async def _write(self, request: Request, kind: str, name: str) -> Response:
        if request.method == 'DELETE':
            await self.remove(kind, name)
            return json_response({})
        document = request.json()
        name = document['metadata']['name']
        stored = self._objects.get((kind, name))
        if request.method == 'POST' and stored:
            return json_response(stored, 409)
        expected = document['metadata'].get('revision')
        if request.method == 'PUT' and expected:
            if stored is None:
                return json_response({}, 404)
            if stored['metadata']['revision'] != expected:
                return json_response(stored, 409)
        await self.put(kind, name, document['spec'])
        written = self._objects[kind, name]
        if self.lost_answers and kind == LEASES:
            self.lost_answers -= 1
            raise HangUpError
        return json_response(written)

    def _list(self, kind: str) -> Response:
        matching = [
            stored
            for (stored_kind, _), stored in self._objects.items()
            if stored_kind == kind
        ]
        return json_response(
            {
                'items': matching,
                'has-more': False,
                'current-rev': self._revision,
            },
        )

    async def _watch(self, kind: str, request: Request) -> Response:
        since = int(request.query['watch'])
        wait_s = int(request.query['wait-ms']) / 1000
        era = self.era
        if not self.history_from <= since <= self._revision:
            return json_response({}, 410)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self.is_down
                        or era != self.era
                        or self._changes_since(kind, since)
                    ),
                )
        except TimeoutError:
            return self._events_response([])
        if self.stalls_watches:
            await asyncio.Event().wait()
        if self.is_down:
            raise HangUpError
        if era != self.era:
            return json_response({}, 410)
        return self._events_response(self._changes_since(kind, since))

    def _changes_since(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            {'object': stored, 'deleted': is_deleted}
            for changed_at, stored_kind, stored, is_deleted in self._changes
            if changed_at > revision and stored_kind == kind
        ]

    def _events_response(self, events: list[dict[str, Any]]) -> Response:
        return json_response(
            {'events': events, 'current-rev': self._revision},
        )

    async def take_down(self) -> None:
        """End all calls without a response, pending watches included."""
        self.is_down = True
        async with self._changed:
            self._changed.notify_all()

    async def _record_change(
        self,
        kind: str,
        stored: dict[str, Any],
        *,
        is_deleted: bool,
    ) -> None:
        self._changes.append((self._revision, kind, stored, is_deleted))
        async with self._changed:
            self._changed.notify_all()


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All objects of a store at one revision."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


@dataclass(slots=True)
class Faults:
    """Number of coming requests on which a backend server has each fault.

    :param declines: requests not run and answered 503 with the header that
        says so.
    :param hang_ups: requests run, after which the connection is closed without
        a response.
    :param cuts: streams broken off in the fourth event.
    :param silent: requests run and never answered.
    :param bare_refusals: requests run and answered 503 without the header that
        says whether they were run.
    :param pauses: requests not run and answered 503 with a time for which the
        server wants no more of them.
    :param endless: requests run and answered with a body without end.
    :param trickles: streams that send one byte at a time, never a whole event.
    :param empties: streams that end right after their heads.
    """

    declines: int = 0
    hang_ups: int = 0
    cuts: int = 0
    silent: int = 0
    bare_refusals: int = 0
    pauses: int = 0
    endless: int = 0
    trickles: int = 0
    empties: int = 0


@dataclass(slots=True)
class BackendServer:
    """Backend server that records the requests it runs.

    :param gap_s: pause before each event of a stream.
    :param events: number of events of a stream.
    :param runs: requests run so far.
    :param arrivals: ids of the requests that arrived, run or not.
    :param arrival_times_s: when they arrived, on the event loop's clock.
    :param pause: time to state with a pause, in seconds.
    :param notices: headers that each answer carries.
    :param sent_bytes: bytes of endless bodies sent so far.
    :param crashing_parts: prompt parts under which the server's process ends as
        soon as it begins an answer.
    :param crashing_bodies: bodies under which the process ends as soon as it
        begins to run a request.
    :param on_crash: called when it does.
    :param version: version of its software, which its events show.
    :param is_framed: whether answers have a length or chunks; the others end
        with their connection.
    :param streams: streams that it is sending now.
    :param slots: answers that it works on at once, 0 for any number; it turns
        further requests away.
    :param work_s: time for each of them.
    :param max_refusals: requests that it may turn away in a second before its
        process ends, stated in each answer; ``None`` for any number.
    :param refused_s: when it turned requests away, on the event loop's clock.
    :param falls: how often its process ended for that.
    :param silent_s: time until which it sends nothing, on the same clock.
    """

    name: str
    gap_s: float = 0.01
    events: int = 8
    faults: Faults = field(default_factory=Faults)
    runs: list[Request] = field(default_factory=list)
    arrivals: list[str] = field(default_factory=list)
    arrival_times_s: list[float] = field(default_factory=list)
    pause: str = '2.5'
    notices: dict[str, str] = field(default_factory=dict)
    sent_bytes: int = 0
    crashing_parts: frozenset[str] = frozenset()
    crashing_bodies: frozenset[bytes] = frozenset()
    on_crash: Callable[[], None] | None = None
    version: str = ''
    is_framed: bool = True
    streams: int = 0
    slots: int = 0
    work_s: float = 0.0
    working: int = 0
    max_refusals: int | None = None
    refused_s: list[float] = field(default_factory=list)
    falls: int = 0
    silent_s: float = 0.0

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request.

        :raises HangUpError: if a fault closes the connection.
        """
        response = await self._respond_in_slot(request)
        await self._wait_while_silent()
        if self.max_refusals is not None:
            stated = {'Server-Brittle': str(self.max_refusals)}
            response = replace(response, headers={**response.headers, **stated})
        return replace(
            response,
            headers={**response.headers, **self.notices},
            is_framed=self.is_framed,
        )

    async def _respond_in_slot(self, request: Request) -> Response:
        if self.slots and self.working >= self.slots:
            return self._turn_away(request)
        self.working += 1
        try:
            await asyncio.sleep(self.work_s)
            return await self._respond(request)
        finally:
            self.working -= 1

    async def _wait_while_silent(self) -> None:
        left_s = self.silent_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0, left_s))

    def _turn_away(self, request: Request) -> Response:
        now_s = asyncio.get_running_loop().time()
        self.refused_s.append(now_s)
        recent = sum(at_s > now_s - 1 for at_s in self.refused_s)
        if self.max_refusals is not None and recent > self.max_refusals:
            self.falls += 1
            self.on_crash()
            raise HangUpError
        return Response(
            503,
            headers={
                'X-Not-Executed': '1',
                'X-Attempt-Id': request.headers.get('x-attempt-id', ''),
            },
        )

    async def _respond(self, request: Request) -> Response:
        self.arrivals.append(request.headers.get('x-attempt-id', ''))
        self.arrival_times_s.append(asyncio.get_running_loop().time())
        if request.headers.get('x-expect-instance') != self.name:
            return Response(421)
        refusal = {'X-Not-Executed': '1'}
        if self._consume_fault('pauses'):
            refusal['Retry-After'] = self.pause
        if 'Retry-After' in refusal or self._consume_fault('declines'):
            return Response(503, headers=refusal)
        self.runs.append(request)
        if request.body in self.crashing_bodies:
            await asyncio.sleep(self.gap_s)
            self.on_crash()
            raise HangUpError
        if self._consume_fault('hang_ups'):
            raise HangUpError
        if self._consume_fault('silent'):
            await asyncio.Event().wait()
        headers = {
            'X-Attempt-Id': request.headers.get('x-attempt-id', ''),
            'X-Server-Seal': f'seal-{self.name}',
        }
        if self._consume_fault('bare_refusals'):
            return Response(503, headers=headers)
        stream = self._stream_of(request)
        if stream is not None:
            return Response(headers=headers, stream=stream)
        body = orjson.dumps({'ran': self.name, 'body': request.body.decode()})
        return Response(200, body, headers)

    def _stream_of(self, request: Request) -> AsyncIterator[bytes] | None:
        if self.crashing_parts.intersection(shared_parts(request)):
            return self._crash()
        if self._consume_fault('endless'):
            return self._noise()
        if 'stream' in request.path:
            after = int(request.headers.get('last-event-id', '0'))
            return self._stream(after)
        return None

    def _consume_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        setattr(self.faults, fault, max(0, remaining - 1))
        return remaining > 0

    async def _crash(self) -> AsyncIterator[bytes]:
        await asyncio.sleep(self.gap_s)
        self.on_crash()
        yield b'id: '

    async def _noise(self) -> AsyncIterator[bytes]:
        while True:
            self.sent_bytes += NOISE_BYTES
            yield bytes(NOISE_BYTES)
            await asyncio.sleep(0)

    async def _stream(self, after: int) -> AsyncIterator[bytes]:
        if self._consume_fault('empties'):
            return
        is_cut = self._consume_fault('cuts')
        while self._consume_fault('trickles'):
            for _ in range(MAX_TRICKLED_BYTES):
                yield b':'
                await asyncio.sleep(TRICKLE_S)
        self.streams += 1
        try:
            async for event in self._events(after, is_cut=is_cut):
                yield event
        finally:
            self.streams -= 1

    async def _events(
        self, after: int, *, is_cut: bool
    ) -> AsyncIterator[bytes]:
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            await self._wait_while_silent()
            if is_cut and number == after + 4:
                yield b'id: '
                raise HangUpError
            yield f'id: {number}\ndata: {self.version}x{number}\n\n'.encode()


def shared_parts(request: Request) -> list[str]:
    """Return the names of the prompt parts that requests may share.

    The last part belongs only to the request itself.
    """
    entries = request.headers.get('x-prompt-prefix', '').split(',')
    return [entry.partition(':')[0] for entry in entries[:-1]]


@dataclass(frozen=True, slots=True)
class CrashCauses:
    """What ends the process of a backend server.

    :param parts: prompt parts under which it ends as it begins an answer.
    :param bodies: bodies under which it ends as it begins to run a request.
    """

    parts: frozenset[str] = frozenset()
    bodies: frozenset[bytes] = frozenset()


class RestartingServer:
    """Backend server whose process ends on some requests.

    It starts again after a while, at the same address and under a new id. The
    entry of the process that ended stays for a while.

    :param store: where it registers.
    :param entry: registration without what changes at a start.
    :param causes: what ends a process.
    :param prepare: called with each of its processes before it serves.
    :param paths: paths of instances to it, which refuse while it does not run.
    :ivar arrivals: requests that its processes ran, in order.
    :ivar crash_times_s: when processes ended, on the monotonic clock.
    :ivar processes: all of its processes, the current one last.
    """

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        entry: dict[str, Any],
        causes: CrashCauses,
        prepare: Callable[[BackendServer], None] | None = None,
        paths: ServerPaths | None = None,
    ) -> None:
        self.name = name
        self._store = store
        self._entry = entry
        self._connections = Connections()
        self._listener: asyncio.Server | None = None
        self._causes = causes
        self._prepare = prepare
        self._paths = paths
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_running = False
        self.restart_s = RESTART_S
        self.arrivals: list[Request] = []
        self.crash_times_s: list[float] = []
        self.processes: list[BackendServer] = []

    @property
    def crashes(self) -> int:
        """Return the number of processes that ended."""
        return len(self.crash_times_s)

    @property
    def version(self) -> str:
        """Return the version of its software."""
        return self._entry.get('version', '')

    @property
    def is_serving(self) -> bool:
        """Return whether it runs and does not leave."""
        return self._is_running and self._entry['state'] == 'ready'

    @property
    def process(self) -> BackendServer:
        """Return the current process, or the last one."""
        return self.processes[-1]

    async def start(self) -> None:
        """Listen and register as a new process."""
        server = BackendServer(
            f'{self.name}-{self.crashes}',
            crashing_parts=self._causes.parts,
            crashing_bodies=self._causes.bodies,
            on_crash=self.crash,
            version=self._entry.get('version', ''),
            runs=self.arrivals,
        )
        if self._prepare is not None:
            self._prepare(server)
        self.processes.append(server)
        host, port = self._entry['address'].rsplit(':', 1)
        self._listener = await serve(server, host, int(port), self._connections)
        if self._paths is not None:
            await self._paths.open(self._entry['address'])
        self._is_running = True
        await self.register()

    async def register(self) -> None:
        """Write the entry of the current process, if it runs."""
        if self._is_running:
            await self._store.put(
                'servers',
                self.process.name,
                self._entry | {'born': len(self.processes)},
            )

    async def expire(self) -> None:
        """Remove the entries of processes that have ended."""
        ended = self.processes[:-1] if self._is_running else self.processes
        for process in tuple(ended):
            await self._store.remove('servers', process.name)

    async def leave(self) -> None:
        """Announce the end, serve a little longer and end."""
        self._entry = self._entry | {'state': 'draining'}
        await self.register()
        await asyncio.sleep(DRAIN_S)
        self._is_running = False
        self.close()
        await self._store.remove('servers', self.process.name)

    def close(self) -> None:
        """End without a restart."""
        for task in self._tasks:
            task.cancel()
        self._end_process()

    def crash(self) -> None:
        """End the process at once; another one starts later."""
        if not self._is_running:
            return
        self._is_running = False
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self._end_process()
        task = asyncio.get_running_loop().create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _end_process(self) -> None:
        self._listener.close()
        self._connections.abort()
        if self._paths is not None:
            self._paths.refuse(self._entry['address'])

    async def _restart(self) -> None:
        ended = self.process.name
        await asyncio.sleep(self.restart_s)
        await self.start()
        await self._store.remove('servers', ended)
