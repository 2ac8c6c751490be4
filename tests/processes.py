"""Helpers for tests that run a deployment as real processes."""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

from bench.cluster import Cluster, Entry
from bench.demo import number_jobs
from bench.load import Answer, Job, Target, run_jobs

WAIT_S = 30.0
POLL_S = 0.05


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Poll a condition until its result is true, and return that.

    :raises AssertionError: if it is still false after ``WAIT_S``.
    """
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        outcome = condition()
        if outcome:
            return outcome
        time.sleep(POLL_S)
    raise AssertionError(f'timed out waiting for {description}')


def target(cluster: Cluster, *entries: Entry, **headers: str) -> Target:
    """Return a target for requests to the entries.

    :param entries: all entries of the cluster if none are given.
    :param headers: headers added to each request.
    """
    chosen = entries or tuple(cluster.entries)
    model = 'fieltro-chat'
    return Target(
        [entry.callers for entry in chosen],
        cluster.keys,
        model,
        headers=headers,
    )


def counter(tokens: int = 5, at_s: float = 0.0, **more: Any) -> Job:
    """Return a request of the class ``counter``, with a short answer."""
    return Job(at_s, 'centro', 'counter', 'engine', tokens, 'size?', **more)


def pattern(tokens: int = 200, at_s: float = 0.0) -> Job:
    """Return a request of the class ``pattern``, with a long answer."""
    return Job(at_s, 'centro', 'pattern', 'engine', tokens, 'all patterns')


def order(at_s: float = 0.0) -> Job:
    """Return a request of the class ``order``, which must not run twice."""
    return Job(at_s, 'centro', 'order', 'service', 0, '')


def send_jobs(jobs: list[Job], destination: Target) -> list[Answer]:
    """Send jobs, each at its time, and return their answers."""
    # Kept connections belong to an event loop that has ended.
    destination.idle_connections.clear()
    return asyncio.run(run_jobs(number_jobs(jobs), destination))


def send_raw(address: str, wire: bytes, *, half_close: bool = False) -> bytes:
    """Send bytes and return all that is received until the other side closes.

    :param half_close: whether to close the sending direction afterwards.
    """
    host, port = address.rsplit(':', 1)
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(wire)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        answer = b''
        while chunk := sock.recv(65536):
            answer += chunk
        return answer


def service_runs(cluster: Cluster) -> list[str]:
    """Return the bodies of all calls that the plain services ran."""
    return [
        run['body']
        for name in cluster.plan.services
        for run in cluster.read(name, '/log')
    ]


def metric(cluster: Cluster, entry: Entry, name: str, label: str) -> float:
    """Return a metric of an entry, 0 if it is missing.

    :param label: text that the line of the metric contains.
    """
    text = cluster.http.request(
        'GET',
        f'http://{entry.operators}/metrics',
    ).data.decode()
    for line in text.splitlines():
        if line.startswith(name) and label in line:
            return float(line.rsplit(' ', 1)[1])
    return 0.0


def metric_sum(cluster: Cluster, name: str, label: str) -> float:
    """Return the sum of a metric over all running entries."""
    return sum(
        metric(cluster, entry, name, label)
        for entry in cluster.entries
        if entry.process.poll() is None
    )
