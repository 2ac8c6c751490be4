"""Overhead of an entry: latency, processor time and memory."""

import asyncio
import os
import statistics
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson
import uvloop

from bench.cluster import BUILD, Cluster, Plan, running
from bench.load import Answer, Job, Target, run_jobs, send
from bench.summary import quantile

STREAM_COUNTS = (1, 50, 200, 400)
ENGINES = 4
TOKENS = 200
STEP_MS = 20
PROBE_COUNT = 200
TICKS_PER_S = os.sysconf('SC_CLK_TCK')  # unit of the times in /proc
OUTPUT_FILE = BUILD / 'bench' / 'overhead.json'
ROW_FORMAT = '{:>8}{:>12}{:>12}{:>12}{:>12}{:>14}{:>14}{:>12}{:>10}\n'


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process has used so far.

    :param rss_kb: resident memory.
    """

    cpu_s: float
    rss_kb: int
    threads: int


def usage(pid: int) -> Usage:
    """Return the resource usage of a process, from ``/proc``."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(') ', 1)[1].split()
    status = Path(f'/proc/{pid}/status').read_text()
    rss_kb = int(status.split('VmRSS:')[1].split()[0])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(cpu_s, rss_kb, int(fields[17]))


def plan() -> Plan:
    """Return a deployment whose engines never limit the throughput."""
    engine = {
        'step_ms': STEP_MS,
        'sequence_ms': 0,
        'prefill_ms': 0,
        'batch': 2000,
    }
    return Plan(
        tree=Path('bench/overhead.yaml'),
        entries=1,
        engines={f'engine-{number}': engine for number in range(ENGINES)},
        services={'app-1': {'work_ms': 0}},
    )


def measure(sizes: Sequence[int] = STREAM_COUNTS) -> list[dict[str, Any]]:
    """Measure one row per number of concurrent streams and save the rows."""
    with running(plan()) as cluster:
        rows = [uvloop.run(_measure(cluster, size)) for size in sizes]
    OUTPUT_FILE.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_FILE.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    return rows


def show(rows: Sequence[dict[str, Any]]) -> None:
    """Print the rows of ``measure`` as a table."""
    write = sys.stdout.write
    write(
        ROW_FORMAT.format(
            'streams',
            'direct p50',
            'added p50',
            'added p99',
            'tokens/s',
            'us CPU/token',
            'ms CPU/call',
            'KB/stream',
            'threads',
        ),
    )
    for row in rows:
        write(
            ROW_FORMAT.format(
                row['streams'],
                f'{row["direct_p50_ms"]:.2f}',
                f'{row["added_p50_ms"]:.2f}',
                f'{row["added_p99_ms"]:.2f}',
                f'{row["tokens_per_s"]:.0f}',
                f'{row["cpu_us_per_token"]:.1f}',
                f'{row["cpu_ms_per_call"]:.2f}',
                f'{row["kb_per_stream"]:.0f}',
                row['threads'],
            ),
        )


async def _measure(cluster: Cluster, size: int) -> dict[str, Any]:
    entry = cluster.entries[0]
    pid = entry.process.pid
    routed = Target([entry.callers], cluster.keys, 'm1')
    app = next(iter(cluster.plan.services))
    direct = replace(
        routed, addresses=[cluster.addresses[app]], idle_connections={}
    )
    await _probe(routed, 20)
    idle = usage(pid)
    idle_calls_ms = await _probe(routed, PROBE_COUNT)
    after_calls = usage(pid)
    jobs = [_stream_job(number, size) for number in range(size)]
    start_s = time.monotonic()
    streams = asyncio.ensure_future(run_jobs(jobs, routed))
    await asyncio.sleep(1.5)
    during_streams = usage(pid)
    direct_ms = await _probe(direct, PROBE_COUNT, interval_s=0.004)
    routed_ms = await _probe(routed, PROBE_COUNT, interval_s=0.004)
    answers = await streams
    end = usage(pid)
    span_s = time.monotonic() - start_s
    return _row(
        size,
        answers,
        (direct_ms, routed_ms, idle_calls_ms),
        (idle, after_calls, during_streams, end),
        span_s,
    )


def _row(size, answers, probes, used, span_s) -> dict[str, Any]:
    direct_ms, routed_ms, _ = probes
    idle, after_calls, during_streams, end = used
    tokens = sum(answer.tokens for answer in answers)
    if not all(answer.complete for answer in answers):
        raise RuntimeError('a stream was not answered completely')
    per_call_s = (after_calls.cpu_s - idle.cpu_s) / PROBE_COUNT
    # The probes sent during the streams are not part of the cost of tokens.
    cpu_s = end.cpu_s - after_calls.cpu_s - PROBE_COUNT * per_call_s
    return {
        'streams': size,
        'direct_p50_ms': quantile(direct_ms, 0.5),
        'added_p50_ms': quantile(routed_ms, 0.5) - quantile(direct_ms, 0.5),
        'added_p99_ms': quantile(routed_ms, 0.99) - quantile(direct_ms, 0.99),
        'tokens_per_s': tokens / span_s,
        'cpu_us_per_token': cpu_s / tokens * 1_000_000,
        'cpu_ms_per_call': per_call_s * 1000,
        'kb_per_stream': (during_streams.rss_kb - after_calls.rss_kb) / size,
        'rss_mb': end.rss_kb / 1024,
        'cpu_of_a_core': (end.cpu_s - after_calls.cpu_s) / span_s,
        'threads': during_streams.threads,
        'first_p50_ms': statistics.median(
            (answer.first_s - answer.sent_s) * 1000 for answer in answers
        ),
    }


def _stream_job(number: int, size: int) -> Job:
    at_s = number / size
    return Job(at_s, 'one', 'stream', 'engine', TOKENS, 'p', number)


async def _probe(
    routed: Target,
    count: int,
    interval_s: float = 0,
) -> list[float]:
    """Return the durations of small calls in ms, sorted.

    :raises RuntimeError: if a call fails.
    """
    times = []
    for number in range(count):
        job = Job(0, 'one', 'probe', 'service', 0, '', number)
        answer: Answer = await send(job, routed, routed.addresses[0])
        if not answer.complete:
            raise RuntimeError(f'probe call failed: {answer}')
        times.append((answer.end_s - answer.sent_s) * 1000)
        await asyncio.sleep(interval_s)
    return sorted(times)
