"""Test that waiting, streaming and stalled callers occupy no threads."""

import asyncio
from pathlib import Path

import pytest

from bench.cluster import Plan, running
from bench.demo import number_jobs
from bench.load import Job, Target, run_jobs

STREAMS = 2000
STALLED_CONNECTIONS = 500
# Request threads of the caller and operator listeners, object store, default
# executor, event loop.
MAX_THREADS = 8 + 2 + 6 + 10 + 1


@pytest.fixture
def single_entry():
    """Run one entry with engines that take a second for each token."""
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


def count_threads(cluster):
    """Return the number of threads of the first entry."""
    pid = cluster.entries[0].process.pid
    return len(list(Path(f'/proc/{pid}/task').iterdir()))


async def open_stalled_connection(address):
    """Send part of a request head and leave the connection open."""
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'POST /v1/completions HTTP/1.1\r\nHost:')
    return reader, writer


class TestCrowd:
    """Test one entry with many concurrent callers."""

    def test_nobody_holds_a_thread(self, single_entry):
        """A request is answered while 2,000 streams and 500 stalls are open.

        If streams or unfinished request heads held a thread each, no request
        thread would be left to answer.
        """
        entry = single_entry.entries[0]
        destination = Target([entry.callers], single_entry.keys, 'm1')
        answers, probe, thread_count = asyncio.run(
            self._run_load(single_entry, destination)
        )
        assert probe.complete
        assert thread_count <= MAX_THREADS
        incomplete = [answer for answer in answers if not answer.complete]
        assert not incomplete[:3]
        assert len(answers) == STREAMS

    async def _run_load(self, single_entry, destination):
        jobs = [
            Job(number / 1000, 'one', 'stream', 'engine', 6, 'p')
            for number in range(STREAMS)
        ]
        streams = asyncio.ensure_future(
            run_jobs(number_jobs(jobs), destination)
        )
        while single_entry.read('engine-0', '/load').get('running', 0) < 100:
            await asyncio.sleep(0.2)
        stalled = [
            await open_stalled_connection(single_entry.entries[0].callers)
            for _ in range(STALLED_CONNECTIONS)
        ]
        probe = await run_jobs([_probe()], destination)
        thread_count = count_threads(single_entry)
        answers = await streams
        for _, writer in stalled:
            writer.close()
        return answers, probe[0], thread_count


def _probe():
    return Job(0, 'one', 'probe', 'service', 0, '', 999_999)
