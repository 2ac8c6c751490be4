"""Process of one entry instance of a fleet."""

import os

# libuv, the event loop's library, could use io_uring for files, which is not
# allowed. The variable has to be set before uvloop is imported.
os.environ['UV_USE_IO_URING'] = '0'

import sys

import uvloop

from siskinpass.process.allocator import return_large_blocks
from siskinpass.process.build import build_name
from siskinpass.process.fleet.listeners import EarlySockets
from siskinpass.process.fleet.node import FleetNode
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.logs import ComponentLog, start_pipe_logs


def serve(settings: FleetSettings, early: EarlySockets) -> None:
    """Serve until SIGTERM or SIGINT, then finish the open requests.

    :param early: sockets that listen already, by address.
    """
    return_large_blocks()
    start_pipe_logs(sys.stdout.buffer, settings.name)
    ComponentLog('node').note(
        'The process starts.', instance=settings.name, build=build_name()
    )
    uvloop.run(_serve(settings, early))


async def _serve(settings: FleetSettings, early: EarlySockets) -> None:
    await FleetNode(settings, early).run()
