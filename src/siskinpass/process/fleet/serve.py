"""Process of one entry instance of a fleet."""

import os

# libuv, the event loop's library, could use io_uring for files, which is not
# allowed. The variable has to be set before uvloop is imported.
os.environ['UV_USE_IO_URING'] = '0'

import sys

import uvloop

from siskinpass.process.fleet.node import FleetNode
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.logs import start_pipe_logs


def serve(settings: FleetSettings) -> None:
    """Serve until SIGTERM or SIGINT, then finish the open requests."""
    start_pipe_logs(sys.stdout.buffer, settings.name)
    uvloop.run(_serve(settings))


async def _serve(settings: FleetSettings) -> None:
    await FleetNode(settings).run()
