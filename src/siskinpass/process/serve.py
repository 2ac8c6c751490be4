"""Run one entry instance as a process."""

import asyncio
import os
import signal

# The event loop's library may use io_uring for files; it must not.
os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402

from siskinpass.process.logs import start_logs  # noqa: E402
from siskinpass.process.node import EntryNode  # noqa: E402
from siskinpass.process.settings import Settings  # noqa: E402


def serve(settings: Settings) -> None:
    """Serve until a termination signal, then finish what is open."""
    start_logs()
    uvloop.run(_serve(settings))


async def _serve(settings: Settings) -> None:
    node = EntryNode(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            number,
            lambda: loop.create_task(node.drain()),
        )
    await node.run()
