"""One entry of another writer, then all machines are killed and start again."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import (
    BOUNDS,
    TROUBLE,
    Worker,
    config,
    exchange,
    order_headers,
    route,
    run_case,
    service,
)

BEFORE_S = 6.0  # of traffic before the entry is written
BETWEEN_S = 3.0  # from the entry to the final fault
DOWN_S = 1.0
JUDGED_S = 8.0  # of traffic that is judged
# Text with a byte that isn't UTF-8, as Python's json.dumps writes it
# (surrogateescape): valid JSON.
STRAY = (
    b'{"service":"legacy","address":"127.2.3.4:9","zone":"recife \\udcff",'
    b'"version":"v1","slots":1,"state":"ready","cold-remaining-ms":0,'
    b'"sequence":1}'
)


async def play(lab):
    routes = [
        route('/orders/', 'unsafe', 'oficina'),
        route('/stock/', 'safe', 'oficina'),
    ]
    await lab.start(3, config(routes, [service('oficina')]))
    for number, zone in enumerate(lab.zones):
        worker = Worker(lab, f'i-{number}', 'oficina', zone, work_s=0.03)
        lab.workers.append(worker)
        await worker.start()
    await lab.start_machines()
    addresses = {zone: await lab.resolve(zone) for zone in lab.zones}
    results, tasks = [], set()

    async def consume(zone):
        """Send one request as a consumer does that asks for addresses."""
        sent_s = time.monotonic()
        addresses[zone] = await lab.resolve(zone) or addresses[zone]
        call, status = lab.new_call(), 0
        if addresses[zone]:
            host, port = random.choice(addresses[zone]).split(':')
            is_order = random.random() < 0.6
            lab.record.write('sent', call, 'to', host, 'from', zone)
            answer = await exchange(
                host,
                int(port),
                'POST' if is_order else 'GET',
                '/orders/1' if is_order else '/stock/1',
                order_headers(call),
                b'{"part":"seal"}' if is_order else b'',
                timeout_s=1.5,
            )
            status = answer.status
        lab.record.write('answered', call, status)
        results.append((sent_s, status == 200))

    async def traffic():
        while True:
            for zone in lab.zones:
                task = asyncio.create_task(consume(zone))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.2)

    def share(first_s, last_s):
        judged = [ok for sent_s, ok in results if first_s <= sent_s < last_s]
        return sum(judged) / len(judged) if judged else 0.0

    flow = asyncio.create_task(traffic())
    began_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        lab.record.write('entry of another writer:', STRAY.decode())
        await lab.store.put('servers', 'stray-1', STRAY)
    await asyncio.sleep(BETWEEN_S)
    before = share(began_s, time.monotonic() - 1.5)
    lab.record.write('all machines are killed')
    for machine in lab.machines:
        await machine.kill()
    await asyncio.sleep(DOWN_S)
    for machine in lab.machines:
        await machine.start()
    back_s = time.monotonic()
    lab.record.write('all machines are back')
    first_s = back_s + BOUNDS['recovery-s']
    await asyncio.sleep(BOUNDS['recovery-s'] + JUDGED_S)
    ready = [await machine.is_ready() for machine in lab.machines]
    running = [machine.is_running for machine in lab.machines]
    await asyncio.sleep(1.5)
    after = share(first_s, first_s + JUDGED_S)
    flow.cancel()
    for call, name, method, target, _ in lab.runs:
        lab.record.write('ran', call, 'at', name, method, target)
    lab.record.say(
        f'served before the final fault {before:.2f}, later than recovery-s '
        f'after it {after:.2f}; processes running {running}, ready {ready}'
    )
    if before < 0.25:
        return 2
    return int(after < 0.25)


run_case(play, Path(__file__).parent)
