"""A worker's stream consists of chunks of one byte and never ends."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab as review  # noqa: E402

TIMEOUT_MS = 1200
DEADLINE_MS = 2500
LATE_S = 0.5
STREAM_DEADLINE_MS = 15000
# Consumers abandon a stream after a gap of four times the objective.
STREAM_GAP_S = 10.0
ORDERS_PER_S = 45.0
STREAMS_PER_S = 3.0
BEFORE_S = 6.0
PLAY_S = 30.0
NOISE = b'1\r\nx\r\n' * 4000


class Trouble:
    """Spoils an answer of one worker: it starts, and never ends."""

    def __init__(self, lab):
        self.lab = lab
        self.at_s = []

    async def respond(self, worker, request, echo, reader, writer):
        """Answer with a stream of events, or with bytes without end."""
        writer.write(
            review.encode_head(200, [
                *echo, ('X-Server-Seal', f'seal.{request.get("x-attempt-id")}'),
                ('Content-Type', 'text/event-stream'), ('Transfer-Encoding', 'chunked'),
            ])
        )
        if self.at_s and time.monotonic() >= self.at_s[0]:
            self.at_s.pop(0)
            return await self._endless(worker, request, reader, writer)
        for number in range(1, 9):
            await asyncio.sleep(0.05)
            event = b'id: %d\ndata: x%d\n\n' % (number, number)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        return b'0\r\n\r\n'

    async def _endless(self, worker, request, reader, writer):
        call = request.get('x-attempt-id')
        self.lab.record(f'{worker.name} answers {call} with bytes without end')
        sent = 0
        try:
            while not reader.at_eof():
                writer.write(NOISE)
                await writer.drain()
                sent += len(NOISE)
                await asyncio.sleep(0)
        finally:
            self.lab.record(f'{worker.name}: the caller of {call} closed; {sent} bytes sent')
        return None


async def scenario(lab):
    """Return the orders that got no answer half a second after their timeout."""
    await lab.open_store()
    lab.prepare_instances(3)
    await lab.put_config(3, [
        review.route('orders', 'unsafe', 'app', **{'timeout-ms': TIMEOUT_MS}),
        review.route('sheets', 'stream', 'model', **{
            'timeout-ms': STREAM_DEADLINE_MS, 'target-latency-ms': 2500, 'target-gap-ms': 800}),
    ], ['app', 'model'])
    for number in range(3):
        await review.Worker(
            lab, 'app', lab.address(200 + number), lambda request: random.uniform(0.02, 0.08)
        ).start()
    trouble = Trouble(lab)
    sound = Trouble(lab)
    for number in range(3):
        model = review.Worker(lab, 'model', lab.address(210 + number), lambda request: 0.02)
        model.respond = (sound if number else trouble).respond
        await model.start()
    for name in lab.instances:
        await lab.start_instance(name)
    if not await lab.wait_ready():
        raise review.CannotRunError('the instances are not ready')
    end_s = time.monotonic() + BEFORE_S + PLAY_S
    if review.trouble():
        # One answer of one worker out of three.
        trouble.at_s = [time.monotonic() + BEFORE_S]
    lab.looks = [lab.spawn(look(lab, name, end_s)) for name in lab.instances]
    orders = lab.spawn(send(lab, ORDERS_PER_S, end_s, ask_order))
    streams = lab.spawn(send(lab, STREAMS_PER_S, end_s, ask_stream))
    await asyncio.gather(orders, streams, *lab.looks)
    return judge(lab)


def judge(lab):
    """Apply the rule as written to the orders."""
    orders = [one for one in lab.sent if one.path.startswith('/orders/')]
    timeout_s = TIMEOUT_MS / 1000
    open_then = [one for one in orders if one.took_s > timeout_s]
    still_open = [one for one in open_then if one.took_s > timeout_s + LATE_S]
    silent = max(look.result() for look in lab.looks)
    lab.record(f'{len(orders)} orders, {sum(one.status == 200 for one in orders)} served, '
               f'{len(open_then)} unanswered at timeout-ms, '
               f'{len(still_open)} of them half a second later too; '
               f'longest time without an answer to a readiness check {silent:.1f} s')
    if not any(one.status == 200 for one in orders):
        raise review.CannotRunError('no order was served')
    if len(still_open) >= 8 and len(still_open) > len(open_then) / 2:
        return [f'{len(still_open)} of {len(open_then)} orders without an answer 0.5 s after '
                f'their timeout; longest silence {silent:.1f} s']
    return []


async def look(lab, name, end_s):
    """Ask for readiness once a second; return the longest time without 200."""
    last_s, longest_s = time.monotonic(), 0.0
    while time.monotonic() < end_s:
        if await lab.is_ready(name):
            last_s = time.monotonic()
        longest_s = max(longest_s, time.monotonic() - last_s)
        await asyncio.sleep(1)
    return longest_s


async def ask_order(lab):
    """Send one order."""
    await lab.ask('/orders/kit', deadline_ms=DEADLINE_MS)


async def ask_stream(lab):
    """Ask for one stream; the consumer leaves after too long a gap."""
    await lab.ask('/sheets/draft', deadline_ms=STREAM_DEADLINE_MS, gap_s=STREAM_GAP_S)


async def send(lab, per_s, end_s, ask):
    """Send requests at a steady rate."""
    tasks = []
    while time.monotonic() < end_s:
        tasks.append(lab.spawn(ask(lab)))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


review.main(FOLDER, scenario)
