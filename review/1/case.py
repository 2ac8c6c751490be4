"""Workers crash while requests last longer than their route's timeout-ms."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab as review  # noqa: E402

TIMEOUT_MS = 1200
DEADLINE_MS = 2500
WORKERS = 6
PLAY_S = 75.0
CRASH_EVERY_S = 3.0
DOWN_S = 2.0
LONG_PER_S = 45.0
SHORT_PER_S = 15.0


def work_of(request):
    """Some requests last longer than the route's timeout-ms."""
    return 1.8 if '/long' in request.first else random.uniform(0.02, 0.08)


async def scenario(lab):
    """Return the requests that were promised not to run, and had run."""
    await lab.open_store()
    lab.prepare_instances(3)
    await lab.put_config(
        3,
        [review.route('orders', 'unsafe', 'app', **{'timeout-ms': TIMEOUT_MS})],
        ['app'],
    )
    workers = [
        review.Worker(lab, 'app', lab.address(200 + number), work_of)
        for number in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    for name in lab.instances:
        await lab.start_instance(name)
    if not await lab.wait_ready():
        raise review.CannotRunError('the instances are not ready')
    end_s = asyncio.get_running_loop().time() + PLAY_S
    loads = [
        lab.spawn(load(lab, '/orders/long', LONG_PER_S, end_s)),
        lab.spawn(load(lab, '/orders/short', SHORT_PER_S, end_s)),
    ]
    if review.trouble():
        loads.append(lab.spawn(crash_in_turn(workers, end_s - 5)))
    await asyncio.gather(*loads)
    await asyncio.sleep(3)
    broken = [
        f'{sent.call}: answered {sent.status}, ran at {lab.runs[sent.call][0][1]}'
        for sent in lab.sent
        if sent.status in {408, 421, 429, 503} and sent.call in lab.runs
    ]
    served = sum(sent.status == 200 for sent in lab.sent)
    lab.record(f'{len(lab.sent)} sent, {served} served, {len(broken)} broken')
    for line in broken:
        lab.record(f'REFUSED {line}')
    if not served:
        raise review.CannotRunError('no request was served')
    return broken


async def load(lab, path, per_s, end_s):
    """Send requests at a steady rate, each on a channel of its own."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < end_s:
        tasks.append(lab.spawn(lab.ask(path, deadline_ms=DEADLINE_MS)))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


async def crash_in_turn(workers, end_s):
    """Crash one worker after the other; each is back after a while."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        await asyncio.sleep(CRASH_EVERY_S - DOWN_S)
        worker = random.choice(workers)
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()


review.main(FOLDER, scenario)
