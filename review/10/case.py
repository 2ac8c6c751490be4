"""A few requests larger than any worker's memory, among ordinary ones."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import (
    KEY,
    TROUBLE,
    Worker,
    config,
    exchange,
    route,
    run_case,
    service,
)

# Tokens of the few requests, and bytes: the sheet has 17,020 tokens in 17,000
# bytes. The config allows 4,194,304 bytes.
LARGE = 4_000_000 if TROUBLE else 17_020
FEW = 8
BEFORE_S = 4.0
PLAY_S = 40.0
ENGINE = {
    'slots': 128,
    'kv-capacity-tokens': 668607,
    'kv-token-bytes': 35136,
    'link-mbps': 550000.0,
    'models': [{'name': 'm'}],
}
# Of the sheet, at half its rates: requests a second, time limit in ms, tokens
# of the shared part and of the rest, tokens out.
KINDS = {
    'manual': (3.24, 15000, 13300, 3720, 120),
    'history': (2.41, 8000, 6300, 2890, 52),
    'report': (4.12, 15000, 350, 1110, 172),
    'order': (2.44, 1500, 0, 0, 0),
    'stock': (1.41, 1500, 0, 0, 0),
}


def routes():
    def stream(kind, priority, target_ms, pause_ms, **more):
        return route(
            f'/stream/{kind}/',
            'stream',
            'assistente',
            KINDS[kind][1],
            sticky=True,
            priority=priority,
            **{'target-latency-ms': target_ms, 'target-gap-ms': pause_ms},
            **more,
        )

    resumed = {'stream-resume': True, 'max-attempts': 2}
    return [
        stream('manual', 2, 2500, 800),
        stream('history', 1, 800, 300, **resumed),
        stream('report', 0, 500, 200),
        route('/order/', 'unsafe', 'oficina'),
        route('/stock/', 'safe', 'oficina'),
    ]


async def play(lab):
    services = [service('assistente', 630, engine=ENGINE), service('oficina')]
    await lab.start(3, config(routes(), services))
    for number in range(6):
        zone = lab.zones[number % 3]
        worker = Worker(
            lab, f'i-a{number}', 'assistente', zone, work_s=0.3, slots=128
        )
        lab.workers.append(worker)
        await worker.start()
    for number, zone in enumerate(lab.zones):
        worker = Worker(lab, f'i-o{number}', 'oficina', zone, work_s=0.03)
        lab.workers.append(worker)
        await worker.start()
    await lab.start_machines()
    results, tasks = [], set()

    async def attempt(kind, tokens, left_s):
        _, _, shared, own, out = KINDS[kind]
        call, body = lab.new_call(), b'x' * (tokens or shared + own)
        headers = [
            ('X-Attempt-Id', call),
            ('X-Deadline-Ms', str(int(left_s * 1000))),
            ('Authorization', f'Bearer {KEY}'),
        ]
        target, method = f'/{kind}/1', 'POST'
        if shared:
            target = f'/stream/{kind}/1'
            topic = random.randrange(100)
            rest = (tokens or shared + own) - shared
            headers += [
                ('X-Model', 'm'),
                ('X-Token-Count', f'{shared + rest},{out}'),
                (
                    'X-Prompt-Prefix',
                    f'{kind.encode().hex()}{topic:02x}:{shared},{call}:{rest}',
                ),
            ]
        elif kind == 'stock':
            method = 'GET'
        machine = random.choice(lab.machines)
        lab.record.write('sent', call, kind, tokens or '', machine.name)
        answer = await exchange(
            machine.ip,
            lab.ports.front,
            method,
            target,
            headers,
            body,
            timeout_s=left_s,
        )
        lab.record.write(
            'answered', call, answer.status, answer.headers.get('retry-after')
        )
        return answer

    async def consume(kind, tokens=0):
        """Send a request and, after a promise, send it once more."""
        sent_s = time.monotonic()
        limit_s = KINDS[kind][1] / 1000
        answer = await attempt(kind, tokens, limit_s)
        left_s = limit_s - (time.monotonic() - sent_s)
        wait_s = float(answer.headers.get('retry-after', 0))
        if answer.status in {429, 503} and wait_s <= left_s / 3:
            await asyncio.sleep(wait_s)
            answer = await attempt(kind, tokens, left_s - wait_s)
        is_served = answer.status == 200 and answer.is_whole
        if not tokens:
            results.append((sent_s, kind, is_served))

    async def traffic(kind):
        while True:
            task = asyncio.create_task(consume(kind))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(KINDS[kind][0]))

    def share(first_s, last_s, kind=None):
        judged = [
            ok
            for sent_s, one, ok in results
            if first_s <= sent_s < last_s and kind in {None, one}
        ]
        return sum(judged) / len(judged) if judged else 0.0

    flows = [asyncio.create_task(traffic(kind)) for kind in KINDS]
    began_s = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    large_s = time.monotonic()
    lab.record.write(FEW, 'large requests follow:', LARGE, 'tokens each')
    few = [asyncio.create_task(consume('history', LARGE)) for _ in range(FEW)]
    await asyncio.sleep(PLAY_S)
    end_s = time.monotonic()
    for flow in flows:
        flow.cancel()
    await asyncio.gather(*few, *tasks, return_exceptions=True)
    for call, name, method, target, _ in lab.runs:
        lab.record.write('ran', call, 'at', name, method, target)
    spans = {'before': (began_s, large_s), 'after': (large_s, end_s)}
    for name, span in spans.items():
        shares = {kind: round(share(*span, kind), 2) for kind in KINDS}
        lab.record.say(f'served {name}: all {share(*span):.2f}, {shares}')
    all_day = share(began_s, end_s)
    starved = [
        kind
        for kind in KINDS
        if share(began_s, end_s, kind) < all_day / 4
    ]
    lab.record.say(f'whole play: all {all_day:.2f}, starved kinds {starved}')
    if share(began_s, large_s) < 0.9:
        return 2
    return int(bool(starved))


run_case(play, Path(__file__).parent)
