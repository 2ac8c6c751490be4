"""An entry of another writer among the workers, then all instances are killed."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab as review  # noqa: E402

WORKERS = 4
PER_S = 20.0
BEFORE_S = 8.0
DOWN_S = 1.5
AFTER_S = 30.0
# A number in valid JSON that no usual type holds.
ODD_NUMBER = '1e99999999999999999999'


async def scenario(lab):
    """Return why the rule is broken, if it is."""
    await lab.open_store()
    lab.prepare_instances(3)
    await lab.put_config(3, [review.route('stock', 'safe', 'app', **{'max-attempts': 2})], ['app'])
    for number in range(WORKERS):
        worker = review.Worker(
            lab, 'app', lab.address(200 + number), lambda request: random.uniform(0.02, 0.08)
        )
        await worker.start()
    for name in lab.instances:
        await lab.start_instance(name)
    if not await lab.wait_ready():
        raise review.CannotRunError('the instances are not ready')
    loop = asyncio.get_running_loop()
    load = lab.spawn(send(lab))
    await asyncio.sleep(BEFORE_S / 2)
    if review.trouble():
        await write_odd_entry(lab)
    await asyncio.sleep(BEFORE_S / 2)
    before = list(lab.sent)
    await asyncio.gather(*map(lab.kill_instance, lab.instances))
    await asyncio.sleep(DOWN_S)
    for name in lab.instances:
        await lab.start_instance(name, first=False)
    back_s = loop.time()
    await asyncio.sleep(review.RECOVERY_S + AFTER_S)
    load.cancel()
    await asyncio.sleep(3)
    late = [one for one in lab.sent if one.sent_s > back_s + review.RECOVERY_S]
    share_before, share_after = served_share(before), served_share(late)
    lab.record(f'served before the kill: {share_before:.3f} of {len(before)}; '
               f'later than recovery-s after the start: {share_after:.3f} of {len(late)}')
    for name in lab.instances:
        lab.record(f'{name} ready: {await lab.is_ready(name)}')
    if share_before < 0.25 or not late:
        raise review.CannotRunError('too few requests were served before')
    if share_after < 0.25:
        return [f'{share_after:.3f} of {len(late)} requests served after the restart']
    return []


async def write_odd_entry(lab):
    """Write one more entry of the kind ``servers``, as another writer may."""
    await lab.store.put(
        'servers', 'i-other-writer',
        '{"service":"app","address":"127.0.0.1:9","zone":"zone-a","version":"v1",'
        f'"slots":{ODD_NUMBER},"state":"ready","cold-remaining-ms":0,"born":1}}',
    )
    lab.record(f'another writer has written servers/i-other-writer, slots {ODD_NUMBER}')


def served_share(sent):
    """Return the share of requests with a success."""
    return sum(one.status == 200 for one in sent) / max(1, len(sent))


async def send(lab):
    """Send requests at a steady rate."""
    while True:
        lab.spawn(lab.ask('/stock/item', method='GET'))
        await asyncio.sleep(random.expovariate(PER_S))


review.main(FOLDER, scenario)
