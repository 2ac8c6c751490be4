"""Test that callers who wait, stream or stall hold no thread."""

import asyncio
from pathlib import Path

import pytest

from bench.cluster import Plan, running
from bench.demo import number_jobs
from bench.load import Job, Target, send_jobs

STREAMS = 2000
SENDERS = 500
# Request threads of both sides, store, default executor, loop.
THREADS_MOST = 8 + 2 + 6 + 10 + 1


@pytest.fixture
def alone():
    """Run one entry before an engine whose tokens take a second."""
    engine = {
        'step_ms': 1000,
        'sequence_ms': 0,
        'prefill_ms': 0,
        'batch': 5000,
    }
    plan = Plan(
        tree=Path('bench/overhead.yaml'),
        entries=1,
        engines={f'engine-{number}': engine for number in range(2)},
        services={'app-1': {'work_ms': 0}},
    )
    with running(plan) as started:
        yield started


def threads(cluster):
    """Return the threads of the entry."""
    pid = cluster.entries[0].process.pid
    return len(list(Path(f'/proc/{pid}/task').iterdir()))


async def stall(address):
    """Send half a head and keep the connection."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'POST /v1/completions HTTP/1.1\r\nHost:')
    return reader, writer


class TestCrowd:
    """Test one process under many callers."""

    def test_nobody_holds_a_thread(self, alone):
        """A new request is answered beside 2,000 streams and 500 stalls."""
        entry = alone.entries[0]
        where = Target([entry.callers], alone.keys, 'm1')
        answers, probe, during = asyncio.run(self._crowd(alone, where))
        assert probe.complete
        assert during <= THREADS_MOST
        broken = [answer for answer in answers if not answer.complete]
        assert not broken[:3]
        assert len(answers) == STREAMS

    async def _crowd(self, alone, where):
        jobs = [
            Job(number / 1000, 'one', 'stream', 'engine', 6, 'p')
            for number in range(STREAMS)
        ]
        streams = asyncio.ensure_future(send_jobs(number_jobs(jobs), where))
        while alone.read('engine-0', '/load').get('running', 0) < 100:
            await asyncio.sleep(0.2)
        stalled = [
            await stall(alone.entries[0].callers) for _ in range(SENDERS)
        ]
        probe = await send_jobs([_probe()], where)
        during = threads(alone)
        answers = await streams
        for _, writer in stalled:
            writer.close()
        return answers, probe[0], during


def _probe():
    return Job(0, 'one', 'probe', 'service', 0, '', 999_999)
