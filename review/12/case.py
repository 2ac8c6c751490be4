"""A machine is killed while streams of a split route are open.

Seven instances serve. A route, whose streams may be resumed, is split between
two services; each has two workers, all of one software version. One instance is
killed, and the callers of its streams take them up at the others. Exits with 1
if these go on less than half as often as new streams begin, 0 if not, 2 if the
case could not run.
"""

import asyncio
import os
import random
import re
import signal
import sys
import time
import traceback
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from bench.fleet import (
    HOST,
    KEY,
    config,
    exchange,
    free_ports,
    route,
    running_fleet,
    server_entry,
    wait_until,
)
from standins.fleet import BackendServer
from standins.http_server import serve

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
INSTANCES = 7
KILLED = 'front-1'
SERVICES = {'app': 'v1', 'app2': 'v7'}
WORKERS = 2  # of each service
STREAMS_OF_KILLED = 24
EVENTS = 16
GAP_S = 0.3
LEAD_S = 4.0  # from the start to the traffic, longer than ``contact-ms``
KILL_AT_S = 2.0
RESTART_S = 1.0
NEW_EVERY_S = 0.1
LENGTH_S = 18.0  # of the traffic
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
    """Send one attempt of a stream and return its answer and events."""
    more = ''
    if stream.events:
        last = stream.events[-1]
        more = f'Resumes: {stream.begun}\r\nLast-Event-Id: {last}\r\n'
    wire = (
        f'POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {call}\r\n'
        f'Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 15000\r\n{more}'
        f'Connection: close\r\nContent-Length: {len(call)}\r\n\r\n{call}'
    )
    return await exchange(port, wire.encode())


async def read(fleet, name, stream, record):
    """Read a stream as a caller does, for as long as it waits."""
    end_s = time.monotonic() + PATIENCE_S
    failed = {name} if TROUBLE and name == KILLED else set()
    for number in range(TRIES):
        call = f'{stream.call}-{number}'
        is_taken_up = bool(stream.events)
        stream.tries += is_taken_up
        answer = await attempt(fleet.ports[name][0], call, stream)
        ids = re.findall(rb'id: (\d+)\ndata: \w+\n\n', answer.body)
        arrived = [int(one) for one in ids]
        record(
            f'{call} at {name} after {stream.events[-1] if is_taken_up else 0}:'
            f' status {answer.status} whole {answer.is_whole} events {arrived}'
            f' code {answer.header("X-Siskinpass-Code") or "none"}'
            f' retry-after {answer.header("Retry-After") or "none"}'
        )
        if arrived and not stream.begun:
            stream.begun = call
        stream.took_up |= is_taken_up and bool(arrived)
        stream.events += arrived
        if answer.status == OK and answer.is_whole:
            return
        wait_s = float(answer.header('Retry-After') or TRY_AGAIN_S)
        if time.monotonic() + wait_s > end_s:
            return
        await asyncio.sleep(wait_s)
        name = random.choice(sorted(fleet.processes.keys() - failed))


def configuration():
    """Return a configuration with one split route."""
    shares = [{'service': name, 'weight': 50} for name in SERVICES]
    routes = [
        route(
            '/stream/',
            'stream',
            {
                'traffic-split': shares,
                'stream-resume': True,
                'max-attempts': 2,
                'target-gap-ms': 800,
                'timeout-ms': 15000,
            },
        ),
    ]
    services = [
        {'name': name, 'max-connections': 360} for name in SERVICES
    ]
    return config(5, routes) | {'services': services}


async def start_workers(fleet):
    """Start the workers of both services; return them by their names."""
    workers = {}
    for service, version in SERVICES.items():
        for number in range(WORKERS):
            name = f'{service}-{number}'
            port = free_ports(1)[0]
            workers[name] = BackendServer(name, GAP_S, EVENTS, version=version)
            await serve(workers[name], '127.0.0.1', port)
            entry = server_entry(
                port, service=service, version=version, slots=64
            )
            await fleet.store.put('servers', name, entry)
    return workers


async def kill(fleet, record):
    """Kill an instance, which starts again empty after a short delay."""
    process = fleet.processes[KILLED]
    process.kill()
    record(f'{KILLED} killed')
    await process.wait()
    await asyncio.sleep(RESTART_S)
    await fleet.start(KILLED)
    record(f'{KILLED} starts again')


async def play(record):
    """Play the case; return the streams of the killed one, and new ones."""
    async with running_fleet(instances=INSTANCES, servers=0) as fleet:
        await fleet.store.put('config', 'main', configuration())
        workers = await start_workers(fleet)

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
        others = sorted(fleet.processes.keys() - {KILLED})
        begun_s = time.monotonic()
        held = [Stream(f'held-{n}') for n in range(STREAMS_OF_KILLED)]
        tasks = [
            asyncio.create_task(read(fleet, KILLED, one, record))
            for one in held
        ]
        await asyncio.sleep(KILL_AT_S)
        if TROUBLE:
            tasks.append(asyncio.create_task(kill(fleet, record)))
        new = []
        while time.monotonic() - begun_s < LENGTH_S:
            new.append(Stream(f'new-{len(new)}'))
            name = others[len(new) % len(others)]
            tasks.append(
                asyncio.create_task(read(fleet, name, new[-1], record))
            )
            await asyncio.sleep(NEW_EVERY_S)
        await asyncio.gather(*tasks)
        for name, worker in workers.items():
            for run in worker.runs:
                record(
                    f'{name} ran {run.headers["x-attempt-id"]} after event '
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
