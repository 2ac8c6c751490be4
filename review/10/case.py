"""A tenant is added whose name has a letter beyond Latin-1."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import (
    BOUNDS,
    KEY,
    TROUBLE,
    Worker,
    config,
    exchange,
    route,
    run_case,
    service,
)

ADDED = 'Győri Napközösség' if TROUBLE else 'Gyori Napkozosseg'
KEYS = {'hule930': KEY, 'puxa403': 'anfqasnmgkcuyj8pjbvk', ADDED: 'qk4ywl2vhm9'}
BEFORE_S = 4.0
PLAY_S = 20.0
PER_S = 6.0  # requests of each tenant


def version(number, names):
    routes = [
        route('/orders/', 'unsafe', 'oficina'),
        route('/stock/', 'safe', 'oficina'),
    ]
    tenants = [
        {'name': name, 'api-keys': [KEYS[name]], 'priority': 1}
        for name in names
    ]
    given = config(routes, [service('oficina')])
    return given | {'version': number, 'tenants': tenants}


async def play(lab):
    names = list(KEYS)
    await lab.start(3, version(7, names[:2]))
    for number, zone in enumerate(lab.zones):
        worker = Worker(lab, f'i-{number}', 'oficina', zone, work_s=0.03)
        lab.workers.append(worker)
        await worker.start()
    await lab.start_machines()
    results, tasks = [], set()

    async def consume(tenant):
        """Send a request; a safe one once more after any failure."""
        is_order = random.random() < 0.6
        answer = None
        for _ in range(1 if is_order else 2):
            call = lab.new_call()
            machine = random.choice(lab.machines)
            lab.record.write('sent', call, 'of', tenant, 'to', machine.name)
            answer = await exchange(
                machine.ip,
                lab.ports.front,
                'POST' if is_order else 'GET',
                '/orders/1' if is_order else '/stock/1',
                [
                    ('X-Attempt-Id', call),
                    ('X-Deadline-Ms', '1500'),
                    ('Authorization', f'Bearer {KEYS[tenant]}'),
                ],
                b'{"part":"seal"}' if is_order else b'',
                timeout_s=1.5,
            )
            lab.record.write('answered', call, answer.status)
            if answer.status == 200:
                break
        results.append((tenant, answer.status == 200))

    async def traffic(tenant):
        while True:
            task = asyncio.create_task(consume(tenant))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(PER_S))

    flows = [asyncio.create_task(traffic(name)) for name in names[:2]]
    await asyncio.sleep(BEFORE_S)
    served_before = sum(ok for _, ok in results) / max(1, len(results))
    await lab.store.put('config', 'main', version(9, names))
    lab.record.write('version 9 is acknowledged, with the tenant', ADDED)
    await asyncio.sleep(BOUNDS['config-apply-ms'] / 1000)
    began_s = time.monotonic()
    flows.append(asyncio.create_task(traffic(ADDED)))
    await asyncio.sleep(PLAY_S - (time.monotonic() - began_s))
    for flow in flows:
        flow.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for call, name, method, target, _ in lab.runs:
        lab.record.write('ran', call, 'at', name, method, target)
    shares = {}
    for name in names:
        own = [ok for tenant, ok in results if tenant == name]
        shares[name] = sum(own) / max(1, len(own))
        lab.record.say(f'{name}: {len(own)} requests, served {shares[name]:.2f}')
    everyone = sum(ok for _, ok in results) / max(1, len(results))
    lab.record.say(f'all: {len(results)} requests, served {everyone:.2f}')
    if served_before < 0.9:
        return 2
    return int(shares[ADDED] < everyone / 4)


run_case(play, Path(__file__).parent)
