"""Chaos runs: random faults under load, then a check of all guarantees."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
import uvloop

from bench.chaos_checks import Observations, find_violations, memory_growth
from bench.cluster import BUILD, Cluster, Entry, deployment, running
from bench.load import Answer, Job, Target, as_row, send
from bench.overhead import usage

ENTRIES = 8
DEPLOYMENT = 'fieltro-lanera'
# Class, kind of pool, requests per second, mean answer length in tokens.
REQUEST_RATES = (
    ('counter', 'engine', 12.0, 15),
    ('order', 'service', 16.0, 0),
    ('stock', 'service', 4.0, 0),
    ('summary', 'engine', 2.0, 60),
    ('pattern', 'engine', 3.0, 400),
)
SAMPLE_INTERVAL_S = 0.5
ORDER_ATTEMPTS = 3  # of a caller, for each call of a service
FAULT_FREE_END_S = 1.5  # time before the end in which no fault starts


class ChaosRun:
    """One chaos run and what was observed in it.

    Faults and load draw from separate random generators.
    """

    def __init__(self, cluster: Cluster, seed: int, seconds: float) -> None:
        """Start without faults.

        :param seconds: time during which load is sent.
        """
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._load_rng = random.Random(seed + 1)
        self._seconds = seconds
        self._model = 'fieltro-chat'
        self._target = Target([], cluster.keys, self._model, seed)
        self._available = set(range(ENTRIES))
        self._tasks: set[asyncio.Task] = set()
        self._number = 0
        self.observations = Observations()
        self.injected: Counter[str] = Counter()

    async def run(self) -> None:
        """Send load and inject faults, then collect the logs.

        Open requests are awaited after all faults are cleared.
        """
        start_s = time.monotonic()
        sampling = asyncio.ensure_future(self._sample_entries())
        injecting = asyncio.ensure_future(self._inject_faults(start_s))
        await self._load(start_s)
        await injecting
        await self._clear_faults()
        while self._tasks:
            await asyncio.wait(self._tasks)
        sampling.cancel()
        await self._collect_logs()

    async def _load(self, start_s: float) -> None:
        total = sum(rate for _, _, rate, _ in REQUEST_RATES)
        while time.monotonic() - start_s < self._seconds:
            await asyncio.sleep(self._load_rng.expovariate(total))
            class_load = self._load_rng.choices(
                REQUEST_RATES,
                [rate for _, _, rate, _ in REQUEST_RATES],
            )[0]
            self._start_task(self._submit_job(class_load))

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit_job(
        self, class_load: tuple[str, str, float, int]
    ) -> None:
        leaf, kind, _, tokens = class_load
        self._number += 1
        job = Job(
            0,
            self._load_rng.choice(sorted(self._target.keys)),
            leaf,
            kind,
            max(1, int(tokens * self._load_rng.uniform(0.5, 1.5))),
            'sizes and colours ' * 4,
            self._number,
        )
        attempts = ORDER_ATTEMPTS if kind == 'service' else 1
        for _ in range(attempts):
            answer = await self._send(job)
            if answer.complete or answer.ran == 'yes':
                return
            await asyncio.sleep(max(0.2, answer.retry_after_ms / 1000))

    async def _send(self, job: Job) -> Answer:
        number = self._load_rng.choice(sorted(self._available))
        entry = self._cluster.entries[number]
        answer = await send(job, self._target, entry.callers)
        self.observations.answers.append((entry.name, job, answer))
        return answer

    async def _sample_entries(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for number in sorted(self._available):
                entry = self._cluster.entries[number]
                pid = entry.process.pid
                try:
                    status = await asyncio.to_thread(
                        self._cluster.status,
                        entry,
                    )
                except Exception:
                    continue
                self.observations.versions.append(
                    (entry.name, pid, status['version']),
                )
                self.observations.memory.setdefault(
                    (entry.name, pid), []
                ).append(
                    usage(pid).rss_kb,
                )

    async def _inject_faults(self, start_s: float) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._crash_engine,
            self._slow_engine,
            self._leave_engine,
            self._leave_engine,
            self._cross_engine,
            self._cut_connections,
            self._cut_services,
            self._cut_services,
            self._silence_connections,
            self._lose_one_way,
            self._store_down,
            self._store_slow,
            self._lose_confirmations,
            self._stale_reads,
            self._edit_tree,
            self._edit_tree,
        ]
        pending: list[Callable[[], Awaitable[None]]] = []
        running_faults: set[asyncio.Task] = set()
        while time.monotonic() - start_s < self._seconds - FAULT_FREE_END_S:
            if not pending:
                # Each fault in the list is injected once before any repeats.
                pending = self._rng.sample(faults, len(faults))
            fault = pending.pop()
            self.injected[fault.__name__.strip('_')] += 1
            self.observations.fault_log.append(
                (time.monotonic() - start_s, fault.__name__),
            )
            task = asyncio.ensure_future(fault())
            running_faults.add(task)
            task.add_done_callback(running_faults.discard)
            # A pause of 0 injects two faults at the same time.
            await asyncio.sleep(self._rng.choice((0.0, 0.7, 1.5, 3.0)))
        if running_faults:
            await asyncio.wait(running_faults)

    def _withdraw_entry(self) -> Entry | None:
        """Stop sending load to a random entry.

        :returns: the entry, or None if only half of the entries still get load.
        """
        if len(self._available) <= ENTRIES // 2:
            return None
        number = self._rng.choice(sorted(self._available))
        self._available.discard(number)
        return self._cluster.entries[number]

    def _return_entry(self, entry: Entry) -> None:
        self._available.add(self._cluster.entries.index(entry))

    async def _kill_entry(self) -> None:
        entry = self._withdraw_entry()
        if entry is None:
            return
        self.observations.killed.append((entry.name, time.monotonic()))
        await asyncio.to_thread(self._cluster.kill, entry.process)
        await asyncio.sleep(self._rng.uniform(0.1, 4))
        await self._restart(entry)

    async def _restart(self, entry: Entry) -> None:
        self._cluster.start_entry(entry)
        await asyncio.to_thread(
            self._cluster.wait_http,
            entry.callers,
            '/readyz',
        )
        self._return_entry(entry)

    async def _pause_entry(self) -> None:
        entry = self._withdraw_entry()
        if entry is None:
            return
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 6))
        entry.process.send_signal(signal.SIGCONT)
        self._return_entry(entry)

    async def _stop_entry(self) -> None:
        entry = self._withdraw_entry()
        if entry is None:
            return
        self.observations.stopped.append((entry.name, time.monotonic()))
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(entry.process.wait)
        if entry.process.returncode != 0:
            code = entry.process.returncode
            self.observations.unclean_stops.append(
                f'{entry.name} exited with code {code} after SIGTERM'
            )
        await self._restart(entry)

    def _random_engine(self) -> str:
        return self._rng.choice(sorted(self._cluster.plan.engines))

    async def _crash_engine(self) -> None:
        name = self._random_engine()
        process = self._cluster.processes[name]
        if process.poll() is not None:
            return
        await self._collect_engine_log(name)
        await asyncio.to_thread(self._cluster.kill, process)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        self._cluster.restart_engine(name)

    async def _slow_engine(self) -> None:
        name = self._random_engine()
        await self._configure_engine(name, {'slow': self._rng.choice((2, 5))})
        await asyncio.sleep(self._rng.uniform(1, 5))
        await self._configure_engine(name, {'slow': 1})

    async def _cross_engine(self) -> None:
        await self._configure_engine(self._random_engine(), {'cross': 2})

    async def _leave_engine(self) -> None:
        name = self._random_engine()
        if self.observations.is_leaving(name):
            return
        start_s = time.time()
        window = [name, start_s, float('inf')]
        self.observations.leave_windows.append(window)
        await self._set_instance_state(name, 'leaving')
        await asyncio.sleep(self._rng.uniform(6, 9))
        window[2] = time.time()
        await self._collect_engine_log(name)
        await self._set_instance_state(name, 'live')

    async def _cut_connections(self) -> None:
        await self._configure_proxies(kind='cut', name=self._random_proxied())

    async def _cut_services(self) -> None:
        for name in self._cluster.plan.services:
            await self._configure_proxies(kind='cut', name=name)

    async def _silence_connections(self) -> None:
        await self._configure_proxies(
            kind='silence', name=self._random_proxied()
        )

    def _random_proxied(self) -> str:
        names = [
            *self._cluster.plan.engines,
            *self._cluster.plan.services,
            *self._cluster.plan.services,
            *(entry.name for entry in self._cluster.entries),
            'platform',
        ]
        return self._rng.choice(names)

    async def _lose_one_way(self) -> None:
        one, other = self._rng.sample(self._cluster.entries, 2)
        source = one.peers.rsplit(':', 1)[0]
        fault = {'name': other.name, 'kind': 'set', 'source': source}
        await self._configure_proxies(**fault, drop_out=True)
        await asyncio.sleep(self._rng.uniform(1, 5))
        await self._configure_proxies(**fault, drop_out=False)

    async def _store_down(self) -> None:
        await self._configure_store({'down': True})
        await asyncio.sleep(self._rng.uniform(1, 8))
        await self._configure_store({'down': False})

    async def _store_slow(self) -> None:
        await self._configure_store({'slow_s': 0.4})
        await asyncio.sleep(self._rng.uniform(1, 5))
        await self._configure_store({'slow_s': 0})

    async def _lose_confirmations(self) -> None:
        await self._configure_store({'lose_confirmations': 3})

    async def _stale_reads(self) -> None:
        await self._configure_store({
            'stale_reads': 10**6,
            'stale_key': 'tree/head',
        })
        await asyncio.sleep(self._rng.uniform(2, 4))
        await self._configure_store({'stale_reads': 0})

    async def _edit_tree(self) -> None:
        """Propose two edits at the same time, at different instances."""
        entries = [
            self._cluster.entries[number]
            for number in self._rng.sample(sorted(self._available), 2)
        ]
        await asyncio.gather(*[self._edit(entry) for entry in entries])

    async def _edit(self, entry: Entry) -> None:
        name = self._rng.choice(sorted(self._target.keys))
        max_wait_ms = self._rng.randrange(40_000, 90_000)
        try:
            number = await asyncio.to_thread(
                self._propose,
                entry,
                name,
                max_wait_ms,
            )
        except Exception:
            return
        if number:
            self.observations.edits.append((number, name, max_wait_ms))

    def _propose(self, entry: Entry, name: str, max_wait_ms: int) -> int | None:
        reply = self._cluster.call_operator_api(
            'GET', '/tree', b'', entry.operators
        )
        tree = reply['tree']
        leaf = tree['workspaces'][name]['classes']['summary']
        leaf['max_wait_ms'] = max_wait_ms
        body = orjson.dumps({'base': reply['version'], 'tree': tree})
        answer = self._cluster.call_operator_api(
            'PUT', '/tree', body, entry.operators
        )
        return answer.get('version')

    async def _configure_engine(self, name: str, order: dict[str, Any]) -> None:
        try:
            await asyncio.to_thread(
                self._cluster.order,
                name,
                order,
                '/admin/slow',
            )
        except Exception:
            return

    async def _configure_store(self, order: dict[str, Any]) -> None:
        await asyncio.to_thread(
            self._cluster.order,
            'platform',
            order,
            '/admin/store',
        )

    async def _set_instance_state(self, name: str, state: str) -> None:
        await asyncio.to_thread(
            self._cluster.order,
            'platform',
            [{'name': name, 'state': state}],
            '/admin/instances',
        )

    async def _configure_proxies(self, **order: Any) -> None:
        await asyncio.to_thread(self._cluster.fault, **order)

    async def _clear_faults(self) -> None:
        await self._configure_proxies(kind='clear')
        await self._configure_store(
            {
                'down': False,
                'slow_s': 0,
                'lose_confirmations': 0,
                'stale_reads': 0,
            },
        )

    async def _collect_engine_log(self, name: str) -> None:
        """Record the runs of an engine, whose log ends with its process."""
        try:
            log = await asyncio.to_thread(self._cluster.read, name, '/log')
        except Exception:
            return
        for request_id, attempts in log.items():
            for number, run in enumerate(attempts):
                key = (name, request_id, number, run['at'])
                self.observations.engine_runs[key] = run['at']

    async def _collect_logs(self) -> None:
        for name in self._cluster.plan.engines:
            await self._collect_engine_log(name)
        for name in self._cluster.plan.services:
            runs = await asyncio.to_thread(self._cluster.read, name, '/log')
            self.observations.service_runs.extend(run['body'] for run in runs)
        entry = self._cluster.entries[min(self._available)]
        reply = await asyncio.to_thread(
            self._cluster.call_operator_api,
            'GET',
            '/tree',
            b'',
            entry.operators,
        )
        self.observations.final_tree = reply['tree']


@dataclass(slots=True)
class ChaosResult:
    """Result of a chaos run.

    :param injected: how often each fault was injected.
    :param checks: number of checks of each kind.
    :param violations: one sentence for each broken guarantee.
    :param memory: memory growth, as a sentence.
    """

    seed: int
    injected: dict[str, int]
    checks: dict[str, int]
    violations: list[str] = field(default_factory=list)
    memory: str = ''


def chaos(
    seed: int, minutes: float, disabled_safeguard: str = ''
) -> ChaosResult:
    """Run a deployment under faults and check its guarantees.

    Faults, violations and answers are written to
    ``build/bench/chaos-SEED.json``.

    :param disabled_safeguard: key of ``bench.broken.MUTATIONS`` or empty.
    """
    services = {f'app-{number}': {'work_ms': 150} for number in range(1, 4)}
    plan = deployment(
        DEPLOYMENT,
        ENTRIES,
        proxied=True,
        disabled_safeguard=disabled_safeguard,
        services=services,
    )
    with running(plan) as cluster:
        run = ChaosRun(cluster, seed, minutes * 60)
        uvloop.run(run.run())
    checks, violations = find_violations(run.observations)
    growth = memory_growth(run.observations)
    result = ChaosResult(seed, dict(run.injected), checks, violations, growth)
    _write_trace(run.observations, result)
    return result


def show(result: ChaosResult) -> None:
    """Print faults, checks, memory growth and the first 20 violations."""
    write = sys.stdout.write
    faults = ', '.join(
        f'{name} {count}' for name, count in sorted(result.injected.items())
    )
    write(f'seed {result.seed}\nfaults: {faults}\n')
    for name, count in result.checks.items():
        write(f'checked {count:>7} {name}\n')
    write(f'{result.memory}\n')
    for violation in result.violations[:20]:
        write(f'VIOLATION {violation}\n')
    write(f'violations: {len(result.violations)}\n')


def _write_trace(observations: Observations, result: ChaosResult) -> None:
    out = BUILD / 'bench'
    out.mkdir(parents=True, exist_ok=True)
    document = {
        'seed': result.seed,
        'violations': result.violations,
        'faults': observations.fault_log,
        'answers': [
            {'entry': entry, **as_row(answer)}
            for entry, _, answer in observations.answers
        ],
    }
    path = Path(out / f'chaos-{result.seed}.json')
    path.write_bytes(orjson.dumps(document))
