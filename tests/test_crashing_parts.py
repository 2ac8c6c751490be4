"""Test prompt parts that crash the backend servers."""

import asyncio
from contextlib import asynccontextmanager

from standins.fleet import RestartingServer, shared_parts
from tests.fleet import free_ports, running_fleet, server_entry, wait_until
from tests.test_fleet import WHOLE

BAD = 'bad0'
SHARED = 'sys0'
INSTANCES = 3
SERVERS = 4
CONTACT_S = 3.0  # the contact time of the operator's bounds
BUDGET_CRASHES = 5
BUDGET_REQUESTS = 3  # that may reach servers later than that
MAX_REQUESTS = 20


@asynccontextmanager
async def crashing_fleet(instances=INSTANCES, **more):
    """Run a fleet before servers that crash on one part."""
    async with running_fleet(instances=instances, servers=0, **more) as fleet:
        servers = []
        for number in range(SERVERS):
            server = RestartingServer(
                f'i-{number}',
                fleet.store,
                server_entry(free_ports(1)[0]),
                frozenset((BAD,)),
            )
            await server.start()
            servers.append(server)
        for name in fleet.processes:
            await wait_until(
                lambda name=name: _is_served(fleet, name), f'{name} to serve'
            )
        yield fleet, servers
        for server in servers:
            server.close()


async def ask_with(fleet, name, *parts, call='id-1', path='/plain-stream/x'):
    """Send a request whose prompt has some shared parts."""
    entries = ''.join(f'{part}:50,' for part in parts)
    header = f'X-Prompt-Prefix: {entries}own-{call}:60\r\n'
    return await fleet.ask(path, name=name, call=call, more=header)


def bad_arrivals(servers):
    """Return how many requests with the part reached any server."""
    return sum(
        BAD in shared_parts(request)
        for server in servers
        for request in server.arrivals
    )


async def crash_servers(fleet, servers):
    """Send requests with the part until the budget's number of crashes."""
    names = sorted(fleet.processes)
    for number in range(MAX_REQUESTS):
        name = names[number % len(names)]
        await ask_with(fleet, name, SHARED, BAD, call=f'bad-{number}')
        answer = await ask_with(fleet, name, SHARED, 'ok0', call=f'ok-{number}')
        if sum(server.crashes for server in servers) >= BUDGET_CRASHES:
            return
        assert answer.status in {200, 502, 503}


async def _is_served(fleet, name):
    answer = await ask_with(fleet, name, SHARED, 'ok0', call=f'first-{name}')
    return answer.body == WHOLE


def run_crashing(scenario, **more):
    """Run a scenario with a fleet before crashing servers."""

    async def run():
        async with crashing_fleet(**more) as (fleet, servers):
            await scenario(fleet, servers)

    asyncio.run(asyncio.wait_for(run(), 90))


class TestBudget:
    """Test how many servers one part can crash."""

    def test_part_that_crashes_servers_is_kept_from_them(self):
        """No instance sends it on after crashes seen by all of them."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers)
            await asyncio.sleep(CONTACT_S)
            before = bad_arrivals(servers)
            for number in range(MAX_REQUESTS):
                name = f'front-{number % INSTANCES + 1}'
                call = f'late-{number}'
                await ask_with(fleet, name, SHARED, BAD, call=call)
            assert bad_arrivals(servers) - before <= BUDGET_REQUESTS

        run_crashing(scenario)
