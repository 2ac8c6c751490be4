"""Test requests that crash each backend server that runs them."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bench.fleet import (
    running_fleet,
    start_crashing_server,
    wait_until,
)
from bench.soak_checks import (
    BUDGET_REQUESTS,
    CONTACT_S,
    REQUEST_CRASHES,
)
from standins.fleet import CrashCauses

BAD = 'crash'
CAUSES = CrashCauses(bodies=frozenset((BAD.encode(),)))
INSTANCES = 3
SERVERS = 3
MAX_REQUESTS = 30
PATHS = ('/safe/x', '/once/x', '/stream/x', '/plain-stream/x')


@asynccontextmanager
async def crashing_fleet(instances=INSTANCES, **more):
    """Run a fleet before servers that crash on one body."""
    async with running_fleet(instances=instances, servers=0, **more) as fleet:
        servers = [
            await start_crashing_server(fleet, number, CAUSES)
            for number in range(SERVERS)
        ]
        for name in fleet.processes:
            await wait_until(
                lambda name=name: _is_served(fleet, name), f'{name} to serve'
            )
        yield fleet, servers
        for server in servers:
            server.close()


def bad_arrivals(servers):
    """Return how often the request was run by any server."""
    return sum(
        request.body == BAD.encode()
        for server in servers
        for request in server.arrivals
    )


def crashes(servers):
    """Return how many processes have ended."""
    return sum(server.crashes for server in servers)


async def crash_servers(fleet, servers, path):
    """Send the request to one instance after the other until it is blocked."""
    names = sorted(fleet.processes)
    for number in range(MAX_REQUESTS):
        name = names[number % len(names)]
        await fleet.ask(path, name=name, call=f'bad-{number}', body=BAD)
        if crashes(servers) >= REQUEST_CRASHES:
            return
        await asyncio.sleep(0.2)


async def _is_served(fleet, name):
    answer = await fleet.ask('/safe/x', name=name, call=f'first-{name}')
    return answer.status == 200


def run_crashing(scenario, **more):
    """Run a scenario with a fleet before crashing servers."""

    async def run():
        async with crashing_fleet(**more) as (fleet, servers):
            await scenario(fleet, servers)

    asyncio.run(asyncio.wait_for(run(), 90))


class TestBudget:
    """Test how many servers one request can crash."""

    @pytest.mark.parametrize('path', PATHS)
    def test_request_that_crashes_servers_is_kept_from_them(self, path):
        """No instance sends it on after crashes seen by all of them."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers, path)
            assert crashes(servers) >= REQUEST_CRASHES
            await asyncio.sleep(CONTACT_S)
            before = bad_arrivals(servers)
            for number in range(MAX_REQUESTS):
                name = f'front-{number % INSTANCES + 1}'
                call = f'late-{number}'
                await fleet.ask(path, name=name, call=call, body=BAD)
                await asyncio.sleep(0.1)
            assert bad_arrivals(servers) - before <= BUDGET_REQUESTS

        run_crashing(scenario)
