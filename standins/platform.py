"""Stand in for the platform: object store, instance list, weight store.

The object store keeps versioned values up to a megabyte, with conditional
updates and watches; it counts each call, limits the rates, and on order is
down, slow, reads stale, or loses the confirmation of a write that took effect.
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
    """Set the limits of the platform.

    :param writes_per_s: writes that the store takes.
    :param reads_per_s: reads that the store takes.
    :param list_lag_s: age of what the instance list tells.
    :param weight_loads_per_s: loads that the weight store takes.
    """

    writes_per_s: float = 500
    reads_per_s: float = 2000
    list_lag_s: float = 1
    weight_loads_per_s: float = 2


class RateLimit:
    """Allow a number of calls a second."""

    def __init__(self, per_s: float) -> None:
        """Start with a full second's allowance."""
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Take one call from the allowance."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_s) * self._per_s
        self._tokens = min(max(1, self._per_s), refilled)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ObjectStore:
    """Keep versioned objects in memory."""

    def __init__(self, options: PlatformOptions) -> None:
        """Start empty."""
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
        """Answer one call."""
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
    """Tell live and leaving instances as they were some time ago."""

    def __init__(self, options: PlatformOptions) -> None:
        """Start with an empty list."""
        self._lag_s = options.list_lag_s
        self._current: dict[str, dict] = {}
        self._unpublished: deque[tuple[float, list]] = deque()
        self._published: list = []

    def list_response(self) -> Response:
        """Answer with the list as it was."""
        cutoff_s = time.monotonic() - self._lag_s
        while self._unpublished and self._unpublished[0][0] <= cutoff_s:
            self._published = self._unpublished.popleft()[1]
        return json_response({'instances': self._published})

    def update(self, request: Request) -> Response:
        """Add, change or remove instances."""
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
    """Answer for all the platform's services on one port."""

    def __init__(self, options: PlatformOptions) -> None:
        """Start all services empty."""
        self._store = ObjectStore(options)
        self._list = InstanceList(options)
        self._weight_loads = RateLimit(options.weight_loads_per_s)

    async def __call__(self, request: Request) -> Response:
        """Answer one request."""
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
    """Serve the platform until cancelled."""
    server = await serve(Platform(options), host, port)
    async with server:
        await server.serve_forever()
