"""Fake platform: object store, instance list and weight store.

The object store keeps versioned values of up to one megabyte and supports
conditional updates and watches. It counts all calls and limits their rate. On
command it is unavailable or slow, returns stale values, or applies a write and
closes the connection without confirming it.
"""

import asyncio
import time
from collections import Counter, deque
from dataclasses import dataclass

from standins.http_server import (
    HangUpError,
    Request,
    Response,
    json_response,
    serve,
)

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 30


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Options of the platform.

    :param writes_per_s: maximum rate of writes to the object store.
    :param reads_per_s: maximum rate of reads from the object store, watches
        and listings included.
    :param list_lag_s: age of the instance list.
    :param weight_loads_per_s: maximum rate of loads from the weight store.
    """

    writes_per_s: float = 500
    reads_per_s: float = 2000
    list_lag_s: float = 1
    weight_loads_per_s: float = 2


class RateLimit:
    """Token bucket that holds at most the calls of one second.

    :param per_s: calls allowed per second. A rate below 1 still allows one
        call once enough time has passed.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Take a token; return whether there was one."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_s) * self._per_s
        self._tokens = min(max(1, self._per_s), refilled)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectStore:
    """In-memory object store.

    :ivar counts: number of calls by kind, of refusals by reason, of watches.
    :ivar down: whether all calls end without a response.
    :ivar slow_s: time added to each call.
    :ivar lose_confirmations: number of coming writes that take effect but end
        without a response.
    :ivar stale_reads: number of coming reads of ``stale_key`` that return the
        value before the latest write.
    """

    def __init__(self, options: PlatformOptions) -> None:
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._changed = asyncio.Condition()
        self._writes = RateLimit(options.writes_per_s)
        self._reads = RateLimit(options.reads_per_s)
        self._version = 0
        self.counts: Counter[str] = Counter()
        self.down = False
        self.slow_s = 0.0
        self.lose_confirmations = 0
        self.stale_reads = 0
        self.stale_key = ''
        self._previous: dict[str, tuple[int, bytes]] = {}

    async def __call__(self, request: Request) -> Response:
        """Return the response to a call.

        :raises HangUpError: if the store is down, or loses a confirmation.
        """
        kind = 'read' if request.method == 'GET' else 'write'
        self.counts[kind] += 1
        if self.down:
            self.counts['refused_down'] += 1
            raise HangUpError
        rate = self._reads if kind == 'read' else self._writes
        if not rate.try_acquire():
            self.counts['refused_rate'] += 1
            return json_response({'error': 'too many calls'}, 429)
        await asyncio.sleep(self.slow_s)
        key = request.path.removeprefix('/objects/')
        if kind == 'read':
            return await self._read(key, request)
        return await self._write(key, request)

    async def _read(self, key: str, request: Request) -> Response:
        if 'prefix' in request.query:
            return self._list(request.query['prefix'])
        if 'watch' in request.query:
            self.counts['watch'] += 1
            await self._wait_for_newer(key, request.query)
        if self.down:
            raise HangUpError
        if key not in self._objects:
            return json_response({'error': 'no such object'}, 404)
        version, body = self._objects[key]
        stale = key == self.stale_key and key in self._previous
        if self.stale_reads > 0 and stale:
            self.stale_reads -= 1
            version, body = self._previous[key]
        return Response(200, body, {'ETag': str(version)})

    def _list(self, prefix: str) -> Response:
        return json_response(
            {
                key: version
                for key, (version, _) in self._objects.items()
                if key.startswith(prefix)
            },
        )

    async def _wait_for_newer(self, key: str, query: dict) -> None:
        known_version = int(query['watch'])
        wait_s = min(float(query.get('wait_s', 10)), MAX_WATCH_S)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._objects.get(key, (0,))[0] > known_version,
                )
        except TimeoutError:
            return

    async def _write(self, key: str, request: Request) -> Response:
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response({'error': 'too large'}, 413)
        current = self._objects.get(key, (0, b''))[0]
        if not _precondition_holds(request, current):
            return json_response({'error': 'other version'}, 412)
        if request.method == 'DELETE':
            self._objects.pop(key, None)
        else:
            self._version += 1
            if key in self._objects:
                self._previous[key] = self._objects[key]
            self._objects[key] = (self._version, request.body)
        async with self._changed:
            self._changed.notify_all()
        if self.lose_confirmations > 0:
            self.lose_confirmations -= 1
            raise HangUpError
        return Response(204, b'', {'ETag': str(self._version)})


def _precondition_holds(request: Request, current: int) -> bool:
    if request.headers.get('if-none-match') == '*':
        return current == 0
    expected = request.headers.get('if-match')
    return expected is None or int(expected) == current


class InstanceList:
    """List of live and leaving instances, which lags behind its updates."""

    def __init__(self, options: PlatformOptions) -> None:
        self._lag_s = options.list_lag_s
        self._current: dict[str, dict] = {}
        self._unpublished: deque[tuple[float, list]] = deque()
        self._published: list = []

    def list_response(self) -> Response:
        """Return a response with the list as it was ``list_lag_s`` ago."""
        cutoff_s = time.monotonic() - self._lag_s
        while self._unpublished and self._unpublished[0][0] <= cutoff_s:
            self._published = self._unpublished.popleft()[1]
        return json_response({'instances': self._published})

    def update(self, request: Request) -> Response:
        """Add, change or remove the instances in a request.

        An instance with the state ``gone`` is removed. Fields missing in the
        request keep their value.
        """
        for instance in request.json():
            name = instance['name']
            if instance.get('state') == 'gone':
                self._current.pop(name, None)
            else:
                self._current[name] = {
                    **self._current.get(name, {}),
                    **instance,
                }
        snapshot = [dict(instance) for instance in self._current.values()]
        self._unpublished.append((time.monotonic(), snapshot))
        return json_response({'instances': len(snapshot)})


class Platform:
    """HTTP API of the platform, with all its services on one port."""

    def __init__(self, options: PlatformOptions) -> None:
        self._store = ObjectStore(options)
        self._list = InstanceList(options)
        self._weight_loads = RateLimit(options.weight_loads_per_s)

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request.

        :raises HangUpError: if the object store does not answer.
        """
        path = request.path
        if path.startswith('/objects'):
            return await self._store(request)
        if path == '/instances':
            return self._list.list_response()
        if path.startswith('/weights/'):
            allowed = self._weight_loads.try_acquire()
            return json_response({'allowed': allowed}, 200 if allowed else 429)
        return self._admin(path, request)

    def _admin(self, path: str, request: Request) -> Response:
        if path == '/admin/instances':
            return self._list.update(request)
        if path == '/admin/counts':
            return json_response(self._store.counts)
        if path != '/admin/store':
            return json_response({'error': 'no such path'}, 404)
        command = request.json()
        store = self._store
        store.down = bool(command.get('down', store.down))
        store.slow_s = float(command.get('slow_s', store.slow_s))
        store.stale_reads = int(command.get('stale_reads', store.stale_reads))
        store.stale_key = command.get('stale_key', store.stale_key)
        store.lose_confirmations = int(
            command.get('lose_confirmations', store.lose_confirmations),
        )
        return json_response({'down': store.down})


async def run_platform(options: PlatformOptions, host: str, port: int) -> None:
    """Serve the platform on an address until cancelled."""
    server = await serve(Platform(options), host, port)
    async with server:
        await server.serve_forever()
