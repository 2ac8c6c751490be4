"""A fleet whose first instance may reach servers only through the other."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from bench.fleet import Fleet, running_fleet, wait_until
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.paths import PathState
from tests.test_stray_refusals import served


@asynccontextmanager
async def own_or_relayed_fleet(
    *, is_relayed: bool
) -> AsyncGenerator[Fleet, None]:
    """Run two instances before one server until the first one serves.

    :param is_relayed: whether the first instance's paths to servers are cut.
    """
    async with running_fleet(2, 1, SMALL_FLEET, has_paths=True) as fleet:
        if is_relayed:
            await fleet.paths.cut([fleet.ips['front-1']], PathState.reset)
        await wait_until(lambda: served(fleet, '/safe/x'), 'the server')
        yield fleet
