"""Run one entry instance as a process, until SIGTERM or SIGINT."""

import asyncio
import os
import signal

# libuv may use io_uring for file operations, which must not happen here. It
# reads this variable, so it is set before uvloop is imported.
os.environ['UV_USE_IO_URING'] = '0'

import uvloop

from siskinpass.codes import Code  # noqa: E402
from siskinpass.exceptions import SettingsError  # noqa: E402
from siskinpass.process.allocator import return_large_blocks
from siskinpass.process.logs import start_logs
from siskinpass.process.node import EntryNode
from siskinpass.process.settings import Settings


def serve(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain and return.

    :raises SettingsError: if an operating system call fails, such as binding
        an address.
    """
    return_large_blocks()
    start_logs()
    uvloop.run(_serve(settings))


async def _serve(settings: Settings) -> None:
    try:
        await _run(settings)
    except OSError as error:
        raise SettingsError(Code.setting_wrong, str(error)) from error


async def _run(settings: Settings) -> None:
    node = EntryNode(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.start_drain)
    await node.run()
