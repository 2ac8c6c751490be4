"""Run one entry instance of a fleet as a process."""

import os

# The event loop's library may use io_uring for files; it must not.
os.environ['UV_USE_IO_URING'] = '0'

import sys

import uvloop

from siskinpass.process.fleet.node import FleetNode
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.logs import start_pipe_logs


def serve(settings: FleetSettings) -> None:
    """Serve until a termination signal, then finish what is open."""
    start_pipe_logs(sys.stdout.buffer, settings.name)
    uvloop.run(_serve(settings))


async def _serve(settings: FleetSettings) -> None:
    await FleetNode(settings).run()
