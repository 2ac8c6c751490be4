"""Test requests that crash each backend server that runs them."""

import asyncio

import pytest

from bench.fleet import (
    WHOLE,
    running_crashing_fleet,
    wait_until,
)
from bench.soak_checks import (
    BUDGET_REQUESTS,
    CONTACT_S,
    REQUEST_CRASHES,
)
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.fleet import CrashCauses

BAD = 'crash'
CAUSES = CrashCauses(bodies=frozenset((BAD.encode(),)))
INSTANCES = 3
SERVERS = 3
MAX_REQUESTS = 30
PATHS = ('/safe/x', '/once/x', '/stream/x', '/plain-stream/x')


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
        plan = {'instances': INSTANCES} | more
        async with running_crashing_fleet(
            CAUSES, SERVERS, _is_served, **plan
        ) as (fleet, servers):
            await scenario(fleet, servers)

    asyncio.run(asyncio.wait_for(run(), 90))


async def _is_refused(fleet, name, path):
    """Return whether an instance knows that the request must not be sent."""
    try:
        answer = await fleet.ask(path, name=name, call='probe', body=BAD)
    except OSError:
        return False
    return MEANINGS[Code.request_blocked].text.encode() in answer.body


async def _is_refused_everywhere(fleet, path):
    for name in fleet.processes:
        await wait_until(
            lambda name=name: _is_refused(fleet, name, path),
            f'a refusal by {name}',
        )


def records(fleet, kind):
    """Return the names of the records of one kind in the store."""
    names = fleet.store.names('siskinpass-prompt-parts')
    return [name for name in names if name.startswith(f'{kind}-')]


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

    @pytest.mark.parametrize('path', ['/safe/x', '/stream/x'])
    def test_other_requests_of_its_caller_go_on(self, path):
        """Only the request itself is refused, with a time to come back."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers, path)
            await _is_refused_everywhere(fleet, path)
            for name in fleet.processes:
                answer = await fleet.ask(path, name=name, call=f'ok-{name}')
                assert answer.status == 200
                assert answer.is_whole
                refused = await fleet.ask(path, name=name, body=BAD)
                assert refused.status == MEANINGS[Code.request_blocked].status
                assert float(refused.header('Retry-After')) > CONTACT_S

        run_crashing(scenario)

    @pytest.mark.parametrize('small_fleet', [SMALL_FLEET, 1])
    def test_restarted_fleet_knows_the_request(self, small_fleet):
        """The block outlives all instances, whoever reads the store."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers, '/safe/x')
            await _is_refused_everywhere(fleet, '/safe/x')
            await wait_until(lambda: records(fleet, 'blocked'), 'the record')
            before = bad_arrivals(servers)
            await fleet.restart_all()
            await _is_refused_everywhere(fleet, '/safe/x')
            assert bad_arrivals(servers) == before

        run_crashing(scenario, instances=4, small_fleet=small_fleet)

    def test_crashes_before_a_restart_count(self):
        """A fleet that was killed needs only one more crash."""

        async def scenario(fleet, servers):
            for number in range(2):
                await fleet.ask('/once/x', call=f'bad-{number}', body=BAD)
            await wait_until(
                lambda: len(records(fleet, 'broken')) == 2, 'the records'
            )
            await fleet.restart_all()
            await _is_refused_everywhere(fleet, '/once/x')
            assert crashes(servers) == REQUEST_CRASHES

        run_crashing(scenario)

    def test_sound_request_that_fell_with_it_is_served(self):
        """A request that was in one crash too is sent on and answered."""

        async def scenario(fleet, servers):
            for server in servers:
                server.process.gap_s = 0.3
            beside = asyncio.gather(
                *(
                    fleet.ask(
                        '/stream/x', call=f'beside-{number}', body=f'{number}'
                    )
                    for number in range(6)
                )
            )
            await fleet.ask('/once/x', call='bad', body=BAD)
            assert crashes(servers) == 1
            for answer in await beside:
                assert answer.body == WHOLE

        run_crashing(scenario)

    def test_last_server_is_spared(self):
        """While the others have ended under it, it is not tried again."""

        async def scenario(fleet, servers):
            for server in servers:
                server.restart_s = CONTACT_S
            for number in range(2):
                await fleet.ask('/once/x', call=f'bad-{number}', body=BAD)
            assert crashes(servers) == 2
            for number in range(MAX_REQUESTS):
                name = f'front-{number % INSTANCES + 1}'
                call = f'late-{number}'
                await fleet.ask('/once/x', name=name, call=call, body=BAD)
                sound = await fleet.ask('/safe/x', name=name, call=f'ok{call}')
                assert sound.status == 200
            assert crashes(servers) == 2

        run_crashing(scenario)
