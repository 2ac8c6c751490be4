"""Workers answer before they have read a long body; few answers are reset."""

import asyncio
import contextlib
import pathlib
import random
import socket
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab as review  # noqa: E402

BODY_BYTES = 4_000_000  # max-body-bytes is 4,194,304
PART_BYTES = 2_000
PER_S = 20.0
PLAY_S = 60.0
WORKERS = 5
SPOILING = 2  # of the workers
SPOILED = 0.05  # of their answers
NO_LINGER = struct.pack('ii', 1, 0)


class EarlyWorker(review.Worker):
    """Worker whose answers have no length and begin before the body is read."""

    spoils = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            first, headers = await review.read_head(reader)
            await self._answer(review.Message(first, headers, b''), reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request, reader, writer):
        call, left = request.get('x-attempt-id'), int(request.get('content-length', '0'))
        echo = [('X-Attempt-Id', call), ('X-Instance-Id', self.name)]
        if request.get('x-expect-instance') != self.name:
            writer.write(review.encode(421, echo, b''))
            return
        self.lab.arrived(call, self, request, time.monotonic())
        self.lab.ran(call, self, request)
        whole = whole_answer(call)
        writer.write(review.encode_head(200, [*echo, ('X-Server-Seal', f'seal.{call}')]))
        writer.write(whole[:PART_BYTES])
        if self.spoils and random.random() < SPOILED:
            self._reset(call, writer)
            return
        while left > 0:
            piece = await reader.read(65_536)
            if not piece:
                return
            left -= len(piece)
        writer.write(whole[PART_BYTES:])
        await writer.drain()

    def _reset(self, call, writer):
        """Reset the channel, as the end of a process with unread bytes does."""
        self.lab.record(f'{self.name} resets the channel of {call} amid its answer')
        self.lab.reset.add(call)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.transport.abort()


def whole_answer(call):
    """Return the body that a worker answers with."""
    return (f'{call} ' * 400).encode()[:2 * PART_BYTES]


async def scenario(lab):
    """Return the successes whose body isn't the worker's whole body."""
    lab.reset = set()
    await lab.open_store()
    lab.prepare_instances(3)
    await lab.put_config(
        3, [review.route('drafts', 'unsafe', 'app', **{'timeout-ms': 8000})], ['app'])
    for number in range(WORKERS):
        worker = EarlyWorker(lab, 'app', lab.address(200 + number), lambda request: 0)
        worker.spoils = review.trouble() and number < SPOILING
        await worker.start()
    for name in lab.instances:
        await lab.start_instance(name)
    if not await lab.wait_ready():
        raise review.CannotRunError('the instances are not ready')
    end_s = time.monotonic() + PLAY_S
    tasks = []
    while time.monotonic() < end_s:
        tasks.append(lab.spawn(lab.ask('/drafts/new', deadline_ms=8000, body=bytes(BODY_BYTES))))
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.gather(*tasks)
    served = [one for one in lab.sent if one.status == 200]
    wrong = [one for one in served if one.body != whole_answer(one.call)]
    lab.record(f'{len(lab.sent)} sent, {len(served)} served, {len(lab.reset)} answers reset; '
               f'{len(wrong)} successes without the whole body')
    for one in wrong:
        lab.record(f'MIXED {one.call}: 200 with {len(one.body)} bytes of '
                   f'{len(whole_answer(one.call))}, reset: {one.call in lab.reset}')
    if len(served) < len(lab.sent) / 2:
        raise review.CannotRunError('too few requests were served')
    return [f'{one.call}: {len(one.body)} bytes' for one in wrong]


review.main(FOLDER, scenario)
