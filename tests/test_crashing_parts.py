"""Test prompt parts that crash the backend servers."""

import asyncio
import re

import pytest

from bench.fleet import (
    running_crashing_fleet,
    wait_until,
)
from bench.soak_checks import BUDGET_CRASHES, BUDGET_REQUESTS, CONTACT_S
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.fleet import CrashCauses, shared_parts
from tests.test_fleet import WHOLE, run_scenario

BAD = 'bad0'
CAUSES = CrashCauses(parts=frozenset((BAD,)))
SHARED = 'sys0'
INSTANCES = 3
SERVERS = 4
MAX_REQUESTS = 20


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
        plan = {'instances': INSTANCES} | more
        async with running_crashing_fleet(
            CAUSES, SERVERS, _is_served, **plan
        ) as (fleet, servers):
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

    def test_sound_requests_with_the_other_parts_go_on(self):
        """Only the part is refused, not its caller or the parts beside it."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers)
            await _is_blocked_everywhere(fleet)
            for name in fleet.processes:
                call = f'sound-{name}'
                answer = await ask_with(fleet, name, SHARED, 'ok1', call=call)
                assert (answer.status, answer.body) == (200, WHOLE)
                refused = await ask_with(fleet, name, SHARED, BAD, call=call)
                assert refused.status == MEANINGS[Code.part_blocked].status
                assert float(refused.header('Retry-After')) > CONTACT_S

        run_crashing(scenario)

    @pytest.mark.parametrize('small_fleet', [SMALL_FLEET, 1])
    def test_restarted_fleet_knows_the_part(self, small_fleet):
        """The block outlives all instances, whoever reads the store."""

        async def scenario(fleet, servers):
            await crash_servers(fleet, servers)
            await _is_blocked_everywhere(fleet)
            await wait_until(lambda: _records(fleet, 'blocked'), 'the record')
            before = bad_arrivals(servers)
            await fleet.restart_all()
            await _is_blocked_everywhere(fleet)
            assert bad_arrivals(servers) == before

        run_crashing(scenario, instances=4, small_fleet=small_fleet)

    @pytest.mark.parametrize('small_fleet', [SMALL_FLEET, 1])
    def test_crashes_before_a_restart_count(self, small_fleet):
        """A fleet that was killed needs only one more crash."""

        async def scenario(fleet, servers):
            for number in range(2):
                await ask_with(fleet, 'front-1', BAD, call=f'bad-{number}')
            await wait_until(
                lambda: len(_records(fleet, 'broken')) == 2, 'the records'
            )
            await fleet.restart_all()
            await wait_until(lambda: _is_served(fleet, 'front-3'), 'front-3')
            await ask_with(fleet, 'front-3', BAD, call='bad-3')
            await _is_blocked_everywhere(fleet)
            assert sum(server.crashes for server in servers) == 3

        run_crashing(scenario, instances=4, small_fleet=small_fleet)

    def test_instances_agree_without_the_store(self):
        """A part is blocked everywhere while the store does not answer."""

        async def scenario(fleet, servers):
            await fleet.store.take_down()
            await crash_servers(fleet, servers)
            await _is_blocked_everywhere(fleet)
            fleet.store.is_down = False
            await wait_until(lambda: _records(fleet, 'blocked'), 'the record')

        run_crashing(scenario)

    def test_restored_store_gets_the_record_again(self):
        """A copy without the record does not end the block."""

        async def scenario(fleet, servers):
            copy = fleet.store.copy()
            await crash_servers(fleet, servers)
            await _is_blocked_everywhere(fleet)
            await fleet.store.restore(copy)
            await wait_until(lambda: b'restored' in fleet.log, 'the new era')

            async def is_recorded_again():
                await _is_blocked_everywhere(fleet)
                return _records(fleet, 'blocked')

            await wait_until(is_recorded_again, 'the record')

        run_crashing(scenario)


class TestOtherFailures:
    """Test failures that are no crash under a part."""

    @pytest.mark.parametrize('fault', ['cuts', 'hang_ups'])
    def test_reset_connections_block_nothing(self, fault):
        """A server that still accepts connections has not crashed."""

        async def scenario(fleet):
            for number in range(MAX_REQUESTS):
                for server in fleet.servers:
                    setattr(server.faults, fault, 1)
                call = f'call-{number}'
                await ask_with(fleet, 'front-1', SHARED, BAD, call=call)
            for server in fleet.servers:
                setattr(server.faults, fault, 0)
            answer = await ask_with(fleet, 'front-1', SHARED, BAD)
            assert answer.body == WHOLE

        run_scenario(scenario)

    def test_probe_of_a_server_costs_no_connection(self):
        """The connection that shows that it lives takes the next request."""

        async def scenario(fleet):
            server = fleet.servers[0]
            server.faults.cuts = 1
            await ask_with(fleet, 'front-1', SHARED, BAD, call='cut')
            await wait_until(
                lambda: len(fleet.connections[server.name]) == 1, 'the probe'
            )
            answer = await ask_with(fleet, 'front-1', SHARED, BAD)
            assert answer.body == WHOLE
            assert fleet.connections[server.name].accepted == 2

        run_scenario(scenario, servers=1)


async def _is_blocked_everywhere(fleet):
    for name in fleet.processes:
        await wait_until(
            lambda name=name: _is_refused(fleet, name), f'a refusal by {name}'
        )


async def _is_refused(fleet, name):
    """Return whether an instance refuses the part, sending it to no server."""
    try:
        metrics = await fleet.get('/metrics', 4, name)
        if not re.search(rb'name="blocked_parts"} [1-9]', metrics.body):
            return False
        answer = await ask_with(fleet, name, SHARED, BAD, call=f'probe-{name}')
    except OSError:
        return False
    return answer.status == MEANINGS[Code.part_blocked].status


def _records(fleet, kind):
    """Return the names of the records of one kind in the store."""
    names = fleet.store.names('siskinpass-prompt-parts')
    return [name for name in names if name.startswith(f'{kind}-')]
