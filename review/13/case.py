"""A machine loses power just before a release of newer software begins.

Seven instances serve, and three workers of software v1. One instance goes dark
with streams open. A second later a worker of software v2 starts beside the
others, which go on serving. The callers notice the silence and take their
streams up at the other instances. Exits with 1 if these go on less than half as
often as new streams begin, 0 if not, 2 if the case could not run.
"""

import asyncio
import os
import random
import re
import signal
import sys
import time
import traceback
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from bench.fleet import (
    HOST,
    KEY,
    config,
    free_ports,
    parse,
    route,
    running_fleet,
    server_entry,
    wait_until,
)
from standins.fleet import BackendServer
from standins.http_server import serve

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 7
DARK = 'front-1'
WORKERS = 3  # of the older software
STREAMS = 24  # at the instance that goes dark
EVENTS = 24
GAP_S = 0.25
LEAD_S = 4.0  # from the start to the traffic, longer than ``contact-ms``
DARK_AT_S = 2.0
DARK_S = 3.5
RELEASE_S = 1.0  # after that
NEW_EVERY_S = 0.1
LENGTH_S = 18.0  # of the traffic
# A caller leaves a stream after eight times the pause that its route allows.
SILENT_S = 2.4
PATIENCE_S = 15.0  # of a caller, from its first attempt
TRIES = 5
TRY_AGAIN_S = 0.1
OK = 200
LEAST_TAKEN_UP = 12
LEAST_SHARE = 0.5
RECORD = Path(__file__).with_name('record.txt')


@dataclass
class Stream:
    """What the caller of a stream has received.

    :param begun: the attempt that brought its first event.
    :param tries: tries to take it up.
    :param took_up: whether a try to take it up brought an event.
    """

    call: str
    begun: str = ''
    events: list = field(default_factory=list)
    tries: int = 0
    took_up: bool = False


async def attempt(port, call, stream):
    """Send one attempt of a stream, read it until it is silent or ends."""
    more = ''
    if stream.events:
        last = stream.events[-1][0]
        more = f'Resumes: {stream.begun}\r\nLast-Event-Id: {last}\r\n'
    wire = (
        f'POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {call}\r\n'
        f'Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 15000\r\n{more}'
        f'Connection: close\r\nContent-Length: {len(call)}\r\n\r\n{call}'
    )
    arrived = b''
    with suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(wire.encode())
        try:
            while piece := await asyncio.wait_for(
                reader.read(65536), SILENT_S
            ):
                arrived += piece
        finally:
            writer.close()
    return parse(arrived)


async def read(fleet, name, stream, record):
    """Read a stream as a caller does, for as long as it waits."""
    end_s = time.monotonic() + PATIENCE_S
    failed = {name} if TROUBLE and name == DARK else set()
    for number in range(TRIES):
        call = f'{stream.call}-{number}'
        last = stream.events[-1][0] if stream.events else 0
        stream.tries += last > 0
        answer = await attempt(fleet.ports[name][0], call, stream)
        found = re.findall(rb'id: (\d+)\ndata: (\w+)x\d+\n\n', answer.body)
        arrived = [(int(one), version.decode()) for one, version in found]
        record(
            f'{call} at {name} after {last}: status {answer.status} '
            f'whole {answer.is_whole} events {arrived} '
            f'retry-after {answer.header("Retry-After") or "none"}'
        )
        if arrived and not stream.begun:
            stream.begun = call
        stream.took_up |= last > 0 and bool(arrived)
        stream.events += arrived
        if answer.status == OK and answer.is_whole:
            return
        wait_s = float(answer.header('Retry-After') or TRY_AGAIN_S)
        if time.monotonic() + wait_s > end_s:
            return
        await asyncio.sleep(wait_s)
        name = random.choice(sorted(fleet.processes.keys() - failed))


def configuration():
    """Return a configuration with one route."""
    return config(
        5,
        [
            route(
                '/stream/',
                'stream',
                {
                    'stream-resume': True,
                    'max-attempts': 2,
                    'target-gap-ms': 300,
                    'timeout-ms': 15000,
                },
            )
        ],
    )


async def start_worker(fleet, name, version):
    """Start a worker and return it."""
    port = free_ports(1)[0]
    worker = BackendServer(name, GAP_S, EVENTS, version=version)
    await serve(worker, '127.0.0.1', port)
    entry = server_entry(port, version=version, slots=64)
    await fleet.store.put('servers', name, entry)
    return worker


async def go_dark(fleet, record):
    """Have an instance do nothing, then end, and start again empty."""
    process = fleet.processes[DARK]
    process.send_signal(signal.SIGSTOP)
    record(f'{DARK} is dark')
    await asyncio.sleep(DARK_S)
    process.kill()
    await process.wait()
    await fleet.start(DARK)
    record(f'{DARK} starts again')


async def release(fleet, workers, record):
    """Start a worker of newer software."""
    await asyncio.sleep(RELEASE_S)
    workers.append(await start_worker(fleet, 'i-new', 'v2'))
    record('i-new serves with software v2')


async def play(record):
    """Play the case; return the streams of the dark instance, and new ones."""
    async with running_fleet(instances=INSTANCES, servers=0) as fleet:
        await fleet.store.put('config', 'main', configuration())
        workers = [
            await start_worker(fleet, f'i-{number}', 'v1')
            for number in range(WORKERS)
        ]

        async def serves(name):
            stream = Stream(f'probe-{name}')
            answer = await attempt(fleet.ports[name][0], stream.call, stream)
            return answer.status == OK

        await asyncio.gather(
            *(
                wait_until(partial(serves, name), f'{name} to serve')
                for name in fleet.processes
            )
        )
        await asyncio.sleep(LEAD_S)
        others = sorted(fleet.processes.keys() - {DARK})
        begun_s = time.monotonic()
        held = [Stream(f'held-{n}') for n in range(STREAMS)]
        tasks = [
            asyncio.create_task(read(fleet, DARK, one, record)) for one in held
        ]
        await asyncio.sleep(DARK_AT_S)
        if TROUBLE:
            tasks.append(asyncio.create_task(go_dark(fleet, record)))
        tasks.append(asyncio.create_task(release(fleet, workers, record)))
        new = []
        while time.monotonic() - begun_s < LENGTH_S:
            new.append(Stream(f'new-{len(new)}'))
            name = others[len(new) % len(others)]
            tasks.append(
                asyncio.create_task(read(fleet, name, new[-1], record))
            )
            await asyncio.sleep(NEW_EVERY_S)
        await asyncio.gather(*tasks)
        for worker in workers:
            for run in worker.runs:
                record(
                    f'{worker.name} {worker.version} ran '
                    f'{run.headers["x-attempt-id"]} after event '
                    f'{run.headers.get("last-event-id", "0")}'
                )
        return held, new


def main():
    """Run the case and write what was seen beside this file."""
    lines = []
    start_s = time.monotonic()

    def record(text):
        lines.append(f'{time.monotonic() - start_s:7.3f} {text}')

    try:
        held, new = asyncio.run(asyncio.wait_for(play(record), 100))
        taken_up = [one for one in held if one.tries]
        went_on = sum(one.took_up for one in taken_up)
        began = sum(bool(one.events) for one in new)
        record(f'{went_on} of {len(taken_up)} streams taken up go on')
        record(f'{began} of {len(new)} new streams begin')
        is_broken = len(taken_up) >= LEAST_TAKEN_UP and (
            went_on / len(taken_up) < LEAST_SHARE * began / len(new)
        )
        status = 1 if is_broken else 0
    except Exception:
        record(traceback.format_exc())
        status = 2
    record(f'exit {status}')
    RECORD.write_text('\n'.join(lines) + '\n')
    print(*lines[-3:], sep='\n')
    return status


if __name__ == '__main__':
    # Ends the instances too, by the clean-up of the event loop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(main())
