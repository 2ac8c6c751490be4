"""Soak runs of a fleet: prompts that crash servers, limits and other faults.

Real entry instances run as processes before stand-ins of the platform. Requests
with one part, and one request that comes again, crash the servers while sound
ones share the caller and the other parts, servers state limits, and instances
and the store are disturbed from outside. What callers and servers saw is
checked at the end.
"""

import asyncio
import itertools
import math
import random
import re
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from bench.fleet import (
    POLL_S,
    WHOLE,
    Answer,
    Fleet,
    config,
    running_fleet,
    start_crashing_server,
)
from bench.soak_checks import (
    CONTACT_S,
    ONCE,
    SOUND,
    STATUS_OK,
    STREAM,
    Arrival,
    Brittleness,
    Cut,
    Disturbance,
    NamedLimit,
    Observations,
    Sent,
    find_violations,
)
from bench.soak_load import CAUSES, CRASHING_KINDS, SoakLoad
from bench.soak_streams import StreamCaller
from siskinpass.process.fleet.loads import ANNOUNCE_AGAIN_S
from siskinpass.process.fleet.node import LOADS_PORT_STEP
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.fleet import BackendServer, RestartingServer
from standins.paths import CUTS, PathState

SERVERS = 6
ZONES = 'abc'
QUIET_S = 2.5  # at the start, without requests that crash servers
FAULT_INTERVAL_S = 1.5
RELEASE_INTERVAL_S = (0.5, 3.0)
MAX_DOWN_S = 1.5
LIMITS_PER_S = (0.5, 1.0, 1.2, 4.0)
STORM_VERSIONS = 6
BURST_REQUESTS = 60
FLOOD_DATAGRAMS = 4000  # more than a socket's buffer holds
JUNK = bytes(1024)
VERSION = re.compile(rb'data: [\w.]*x')  # in the events of a server
MAX_SHOWN = 10  # violations
CUT_S = (4.0, 7.0)  # of cuts, and of fewer slots at brittle servers
BRITTLE_SLOTS = 12
MAX_REFUSALS = 3
SILENT_S = 1.0
ENTRY_EXPIRY_S = 3.6  # of servers that have ended: three heartbeats
PEER_PORT = 3  # of an instance's ports


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of one run.

    :param seconds: time during which requests are sent.
    :param with_faults: whether instances and the store are disturbed too.
    :param small_fleet: number of instances up to which each reads the store.
    """

    seed: int = 1
    seconds: float = 20.0
    instances: int = 9
    with_faults: bool = True
    small_fleet: int = SMALL_FLEET


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one run.

    :param counts: how often each fault and each kind of answer came.
    """

    violations: list[str]
    counts: Counter[str]


class Soak:
    """One run. Faults and load draw from separate random generators.

    :ivar seen: what callers and servers saw.
    :ivar counts: how often each fault and each kind of answer came.
    :ivar failed: faults and requests that could not be played.
    """

    def __init__(
        self, fleet: Fleet, servers: list[RestartingServer], plan: SoakPlan
    ) -> None:
        """Start without load."""
        self._fleet = fleet
        self._servers = servers
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._load = SoakLoad(plan.seed + 1)
        self._numbers = itertools.count(1)
        self._versions = itertools.count(10)
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_s = time.monotonic()
        self._busy: set[str] = set()
        self._server_numbers = itertools.count(len(servers))
        self._software = itertools.count(1)
        self._version = 0
        self._release_rng = random.Random(plan.seed + 2)
        self._retired: list[RestartingServer] = []
        self._limits: dict[str, NamedLimit] = {}
        self._cut_off_names: frozenset[str] = frozenset()
        self._is_brittle = False
        self.seen = Observations()
        self.counts: Counter[str] = Counter()
        self.failed: list[str] = []

    async def run(self) -> None:
        """Send load and inject faults, then wait for all answers."""
        faults = asyncio.gather(self._inject_faults(), self._release())
        while self._age_s() < self._plan.seconds:
            await asyncio.sleep(self._load.pause_s())
            kind = self._load.next_kind()
            if kind not in CRASHING_KINDS or self._age_s() > QUIET_S:
                self._start(self._ask(kind))
        await faults
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._collect()

    def close(self) -> None:
        """End all servers."""
        for server in (*self._servers, *self._retired):
            server.close()

    def _age_s(self) -> float:
        return time.monotonic() - self._start_s

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = task.exception()
        if error is not None:
            self.failed.append(f'a part of the run failed: {error!r}')

    async def _ask(self, kind: str) -> None:
        if kind == STREAM:
            await self._stream()
            return
        name = self._load.choose(sorted(self._fleet.processes))
        number = next(self._numbers)
        call = f'{kind}/{name}/{number}'
        request = self._load.make(kind, number)
        sent = Sent(kind, call, name, time.monotonic())
        try:
            answer = await self._fleet.ask(
                request.path,
                name=name,
                call=call,
                more=request.more,
                body=request.body,
            )
        except (OSError, TimeoutError):
            self.counts[f'{kind} no answer'] += 1
            self.seen.sent.append(sent)
            return
        self.counts[f'{kind} {answer.status}'] += 1
        self.seen.sent.append(_received(sent, answer))

    async def _stream(self) -> None:
        caller = StreamCaller(self._fleet, self._load.fork(), self._serving)
        found = await caller.run(next(self._numbers))
        self.seen.streams.append(found)
        self.counts['streams'] += 1
        for take_up in found.take_ups:
            self.counts[f'take-up went on: {take_up.went_on}'] += 1

    def _serving(self, version: str) -> int:
        """Return how many servers of a version serve."""
        return sum(
            server.is_serving and server.version == version
            for server in self._servers
        )

    async def _inject_faults(self) -> None:
        pending: list[Callable[[], Awaitable[None]]] = []
        while self._age_s() < self._plan.seconds - MAX_DOWN_S:
            await asyncio.sleep(FAULT_INTERVAL_S)
            if not pending:
                pending = self._faults()
                self._rng.shuffle(pending)
            fault = pending.pop()
            self.counts[fault.__name__.strip('_')] += 1
            self._start(fault())

    def _faults(self) -> list[Callable[[], Awaitable[None]]]:
        alone = [self._name_limit, self._name_limit, self._lift_limit]
        if not self._plan.with_faults:
            return alone
        return [
            *alone,
            self._kill,
            self._kill_all,
            self._stop,
            self._pause,
            self._flood,
            self._take_store_down,
            self._restore_store,
            self._storm,
            self._burst,
            self._end_server,
            self._cut_off,
            self._cut_off,
            self._make_brittle,
            self._silence_server,
        ]

    async def _name_limit(self) -> None:
        server = self._rng.choice(self._servers)
        if server.name in self._limits:
            return
        per_s = self._rng.choice(LIMITS_PER_S)
        process = server.process
        process.notices['Server-Limit'] = str(per_s)
        self._limits[server.name] = NamedLimit(
            process.name, per_s, time.monotonic(), math.inf
        )

    async def _lift_limit(self) -> None:
        for server in self._servers:
            limit = self._limits.pop(server.name, None)
            if limit is not None:
                self._end_limit(limit)
                server.process.notices.clear()
                return

    def _end_limit(self, limit: NamedLimit) -> None:
        self.seen.limits.append(
            NamedLimit(
                limit.process, limit.per_s, limit.start_s, time.monotonic()
            )
        )

    async def _kill(self) -> None:
        await self._replace(signal.SIGKILL)

    async def _kill_all(self) -> None:
        """Take the power from all instances at once."""
        async with AsyncExitStack() as stack:
            names = [
                await stack.enter_async_context(self._disturbed_instance())
                for _ in self._fleet.processes.keys() - self._busy
            ]
            for name in names:
                self._fleet.processes[name].kill()
            for name in names:
                await self._fleet.processes[name].wait()
            await asyncio.sleep(self._rng.uniform(0, MAX_DOWN_S))
            for name in names:
                await self._fleet.start(name)

    async def _stop(self) -> None:
        await self._replace(signal.SIGTERM)

    async def _replace(self, number: signal.Signals) -> None:
        async with self._disturbed_instance() as name:
            process = self._fleet.processes[name]
            process.send_signal(number)
            await process.wait()
            await asyncio.sleep(self._rng.uniform(0, MAX_DOWN_S))
            await self._fleet.start(name)

    async def _pause(self) -> None:
        async with self._disturbed_instance() as name:
            process = self._fleet.processes[name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, MAX_DOWN_S))
            process.send_signal(signal.SIGCONT)

    async def _flood(self) -> None:
        """Fill an instance's buffer, so that announcements to it are lost."""
        async with self._disturbed_instance() as name:
            port = self._fleet.ports[name][PEER_PORT] + LOADS_PORT_STEP
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for _ in range(FLOOD_DATAGRAMS):
                    sender.sendto(JUNK, (self._fleet.ips[name], port))
            await asyncio.sleep(ANNOUNCE_AGAIN_S)

    @asynccontextmanager
    async def _disturbed_instance(self) -> AsyncGenerator[str, None]:
        while not self._fleet.processes.keys() - self._busy:
            await asyncio.sleep(POLL_S)
        free = sorted(self._fleet.processes.keys() - self._busy)
        name = self._rng.choice(free)
        self._busy.add(name)
        start_s = time.monotonic()
        index = len(self.seen.disturbances)
        self.seen.disturbances.append(Disturbance(name, start_s, math.inf))
        try:
            yield name
        finally:
            self._busy.discard(name)
            self.seen.disturbances[index] = Disturbance(
                name, start_s, time.monotonic()
            )

    async def _take_store_down(self) -> None:
        start_s = time.monotonic()
        index = len(self.seen.disturbances)
        self.seen.disturbances.append(Disturbance('', start_s, math.inf))
        await self._fleet.store.take_down()
        await asyncio.sleep(self._rng.uniform(0.2, MAX_DOWN_S))
        self._fleet.store.is_down = False
        self.seen.disturbances[index] = Disturbance(
            '', start_s, time.monotonic()
        )

    async def _restore_store(self) -> None:
        """Take the store back to a copy; servers register again."""
        copy = self._fleet.store.copy()
        await asyncio.sleep(self._rng.uniform(0.2, MAX_DOWN_S))
        now_s = time.monotonic()
        self.seen.disturbances.append(Disturbance('', now_s, now_s))
        await self._fleet.store.restore(copy)
        for server in (*self._servers, *self._retired):
            await server.register()
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for server in (*self._servers, *self._retired):
            await server.expire()

    async def _storm(self) -> None:
        for _ in range(STORM_VERSIONS):
            version = config(next(self._versions))
            await self._fleet.store.put('config', 'main', version)
            await asyncio.sleep(0.1)

    async def _burst(self) -> None:
        for _ in range(BURST_REQUESTS):
            self._start(self._ask(SOUND))

    async def _end_server(self) -> None:
        self._rng.choice(self._servers).crash()

    async def _cut_off(self) -> None:
        """Cut some instances off from all servers."""
        cut = self._choose_cut() - self._cut_off_names
        sources = {self._fleet.ips[name] for name in cut}
        state = self._rng.choice(CUTS)
        self.counts[f'cut {state.value}'] += 1
        start_s = self._excuse(cut)
        self._cut_off_names |= cut
        await self._fleet.paths.cut(sources, state)
        await asyncio.sleep(self._rng.uniform(*CUT_S))
        await self._fleet.paths.cut(sources, PathState.sound)
        self._cut_off_names -= cut
        self.seen.cuts.append(Cut(cut, start_s, self._excuse(cut)))

    def _choose_cut(self) -> frozenset[str]:
        """Choose one, most of all, or most or all of those in a zone."""
        names = sorted(self._fleet.processes)
        most = max(1, len(names) * 2 // 3)
        zones = self._fleet.zone_of
        zone = zones[self._rng.choice(names)]
        near = [name for name in names if zones[name] == zone]
        return frozenset(
            self._rng.choice((
                self._rng.sample(names, 1),
                self._rng.sample(names, most),
                self._rng.sample(near, max(1, len(near) - 1)),
                near,
            ))
        )

    def _excuse(self, names: Iterable[str]) -> float:
        """Excuse instances for the contact time; return the time."""
        now_s = time.monotonic()
        self.seen.disturbances.extend(
            Disturbance(name, now_s, now_s) for name in names
        )
        return now_s

    async def _make_brittle(self) -> None:
        """Let servers end that turn requests away, and take fewer later."""
        if self._is_brittle:
            return
        self._is_brittle = True
        servers = [one for one in self._servers if one.is_serving]
        processes = [one.process for one in servers]
        for process in processes:
            process.max_refusals = MAX_REFUSALS
        await asyncio.sleep(CONTACT_S)
        for process in processes:
            process.slots = BRITTLE_SLOTS
        await asyncio.sleep(self._rng.uniform(*CUT_S))
        falls = sum(process.falls for process in processes)
        for process in processes:
            process.max_refusals, process.slots = None, 0
        self.seen.brittle.append(Brittleness(len(processes), falls))
        self._is_brittle = False

    async def _silence_server(self) -> None:
        server = self._rng.choice(self._servers)
        server.process.silent_s = time.monotonic() + SILENT_S

    async def _release(self) -> None:
        """Release software versions in series that overlap."""
        ways = (
            self._release_one,
            self._release_half,
            self._release_rest,
            self._roll_back,
        )
        while self._age_s() < self._plan.seconds - MAX_DOWN_S:
            await asyncio.sleep(self._release_rng.uniform(*RELEASE_INTERVAL_S))
            way = self._release_rng.choice(ways)
            self.counts[way.__name__.strip('_')] += 1
            self._start(way())

    async def _release_one(self) -> None:
        """Replace one server by one of the next software version."""
        self._version = next(self._software)
        await self._replace_servers(1)

    async def _release_half(self) -> None:
        """Replace half of the servers, one after the other."""
        self._version = next(self._software)
        for _ in range(len(self._servers) // 2):
            await self._replace_servers(1)

    async def _release_rest(self) -> None:
        """Replace all servers of other versions at once."""
        await self._replace_servers(len(self._servers))

    async def _roll_back(self) -> None:
        """Replace servers by ones of the version before."""
        self._version = max(0, self._version - 1)
        await self._replace_servers(2)

    async def _replace_servers(self, count: int) -> None:
        version = f'v{self._version}'
        old = [one for one in self._servers if one.version != version][:count]
        self._servers = [one for one in self._servers if one not in old]
        self._retired.extend(old)
        for _ in old:
            new = await start_crashing_server(
                self._fleet, next(self._server_numbers), CAUSES, version
            )
            self._servers.append(new)
        await asyncio.gather(*(server.leave() for server in old))

    def _collect(self) -> None:
        for limit in self._limits.values():
            self._end_limit(limit)
        for server in (*self._servers, *self._retired):
            self.seen.crashes_s.extend(server.crash_times_s)
            self.seen.ran.update(
                request.headers.get('x-attempt-id', '')
                for request in server.arrivals
            )
            for process in server.processes:
                self.seen.arrivals.extend(_arrivals(process))


def soak(plan: SoakPlan) -> SoakResult:
    """Run once and return what was violated."""
    return asyncio.run(_soak(plan))


async def _soak(plan: SoakPlan) -> SoakResult:
    async with running_fleet(
        instances=plan.instances,
        servers=0,
        small_fleet=plan.small_fleet,
        has_paths=True,
        zones=ZONES,
    ) as fleet:
        servers = [
            await start_crashing_server(fleet, number, CAUSES, 'v0')
            for number in range(SERVERS)
        ]
        await asyncio.sleep(FAULT_INTERVAL_S)
        run = Soak(fleet, servers, plan)
        try:
            await run.run()
        finally:
            run.close()
    run.counts['crashes'] = len(run.seen.crashes_s)
    violations = [*run.failed, *find_violations(run.seen)]
    return SoakResult(violations, run.counts)


def show(outcome: SoakResult) -> None:
    """Print the outcome of a run."""
    for name, count in sorted(outcome.counts.items()):
        sys.stdout.write(f'{name}: {count}\n')
    for violation in outcome.violations[:MAX_SHOWN]:
        sys.stdout.write(f'VIOLATION {violation}\n')
    sys.stdout.write(f'{len(outcome.violations)} violations\n')


def _received(sent: Sent, answer: Answer) -> Sent:
    is_right = answer.status == STATUS_OK and answer.is_whole
    if sent.kind == ONCE:
        is_right = is_right and b'"body":"body"' in answer.body
    else:
        plain = VERSION.sub(b'data: x', answer.body)
        is_right = is_right and plain == WHOLE
    # A stream that broke off is no right answer, but no wrong one either.
    body = answer.body if answer.is_whole else b''
    return Sent(
        sent.kind,
        sent.call,
        sent.instance,
        sent.at_s,
        answer.status,
        is_right,
        body,
    )


def _arrivals(process: BackendServer) -> list[Arrival]:
    found = []
    pairs = zip(process.arrivals, process.arrival_times_s, strict=True)
    for call, at_s in pairs:
        kind, _, rest = call.partition('/')
        instance = rest.partition('/')[0]
        found.append(Arrival(kind, call, instance, process.name, at_s))
    return found
