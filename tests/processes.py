"""Help the tests that drive real processes."""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from bench.cluster import Cluster, Entry
from bench.demo import number_jobs
from bench.load import Answer, Job, Target, send_jobs

WAIT_S = 30.0
POLL_S = 0.05


def wait_until(holds: Callable[[], Any], what: str) -> Any:
    """Wait for an event and return what it told; it must come."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        told = holds()
        if told:
            return told
        time.sleep(POLL_S)
    raise AssertionError(f'waited in vain: {what}')


def target(cluster: Cluster, *entries: Entry, **headers: str) -> Target:
    """Return where to send requests, to some or all entries."""
    chosen = entries or tuple(cluster.entries)
    model = 'fieltro-chat'
    return Target(
        [entry.callers for entry in chosen],
        cluster.keys,
        model,
        headers=headers,
    )


def counter(tokens: int = 5, at_s: float = 0.0, **more: Any) -> Job:
    """Return a counter request."""
    return Job(at_s, 'centro', 'counter', 'engine', tokens, 'size?', **more)


def pattern(tokens: int = 200, at_s: float = 0.0) -> Job:
    """Return a long drafting job."""
    return Job(at_s, 'centro', 'pattern', 'engine', tokens, 'all patterns')


def order(at_s: float = 0.0) -> Job:
    """Return an order, which must not run twice."""
    return Job(at_s, 'centro', 'order', 'service', 0, '')


def ask(jobs: list[Job], where: Target) -> list[Answer]:
    """Send jobs and return their answers."""
    # A kept connection belongs to the event loop that opened it.
    where.idle_connections.clear()
    return asyncio.run(send_jobs(number_jobs(jobs), where))


def raw(address: str, wire: bytes, *, end: bool = False) -> bytes:
    """Send bytes and return all that is answered until the end."""
    host, port = address.rsplit(':', 1)
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(wire)
        if end:
            sock.shutdown(socket.SHUT_WR)
        answer = b''
        while piece := sock.recv(65536):
            answer += piece
        return answer


def service_runs(cluster: Cluster) -> list[str]:
    """Return the bodies of all calls that plain services ran."""
    return [
        run['body']
        for name in cluster.plan.services
        for run in cluster.read(name, '/log')
    ]


def metric(cluster: Cluster, entry: Entry, name: str, label: str) -> float:
    """Return one counter of an entry, 0 where it was never counted."""
    text = cluster.http.request(
        'GET',
        f'http://{entry.operators}/metrics',
    ).data.decode()
    for line in text.splitlines():
        if line.startswith(name) and label in line:
            return float(line.rsplit(' ', 1)[1])
    return 0.0


def metric_sum(cluster: Cluster, name: str, label: str) -> float:
    """Return one counter over all entries that run."""
    return sum(
        metric(cluster, entry, name, label)
        for entry in cluster.entries
        if entry.process.poll() is None
    )
