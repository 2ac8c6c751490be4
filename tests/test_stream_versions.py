"""Test streams while servers of several software versions serve."""

import asyncio
import re

import pytest

from bench.fleet import free_ports, server_entry, wait_until
from standins.fleet import BackendServer, Faults
from standins.http_server import serve
from tests.test_fleet import run_scenario

STREAMS = 12
GAP_S = 0.05
EVENTS = 12
BEGUN = 3  # events after which a caller loses its connection


async def add_server(fleet, name, version):
    """Start a backend server of some software version and register it."""
    server = BackendServer(name, GAP_S, EVENTS, version=version)
    port = free_ports(1)[0]
    fleet.server_ports[name] = port
    await serve(server, '127.0.0.1', port)
    fleet.servers.append(server)
    entry = server_entry(port, version=version)
    await fleet.store.put('servers', name, entry)
    return server


async def add_versions(fleet, counts):
    """Start servers of each version and wait until all instances use them."""
    for version, count in counts.items():
        for number in range(count):
            await add_server(fleet, f'{version}-{number}', version)
    for name in fleet.processes:
        await wait_until(
            lambda name=name: _answers(fleet, name), f'{name} to serve'
        )
    await asyncio.sleep(0.3)


async def _answers(fleet, name):
    try:
        return (await fleet.ask('/safe/x', name=name)).status == 200
    except OSError:
        return False


def versions_in(events):
    """Return the versions that wrote some events."""
    return set(re.findall(rb'data: (\w*?)x\d', events))


async def take_up(fleet, name, call, received):
    """Take up a stream as its caller may, and return the answer."""
    last = max(map(int, re.findall(rb'id: (\d+)\ndata: \w+\n\n', received)))
    more = f'Last-Event-Id: {last}\r\nResumes: {call}\r\n'
    return await fleet.ask(
        '/stream/x', name=name, call=f'{call}-again', more=more
    )


async def begin_streams(fleet):
    """Begin streams at all instances, which break off; return their events."""
    names = sorted(fleet.processes)
    calls = [f'call-{number}' for number in range(STREAMS)]
    begun = await asyncio.gather(
        *(
            fleet.read_events(
                '/stream/x', BEGUN, name=names[number % len(names)], call=call
            )
            for number, call in enumerate(calls)
        )
    )
    return dict(zip(calls, begun, strict=True))


async def take_up_all(fleet, begun):
    """Take up streams at other instances; return versions and successes."""
    names = sorted(fleet.processes)
    joined, whole = 0, 0
    for number, (call, received) in enumerate(begun.items()):
        name = names[(number + 1) % len(names)]
        answer = await take_up(fleet, name, call, received)
        is_whole = answer.status == 200 and answer.is_whole
        whole += is_whole
        if is_whole:
            joined += len(versions_in(received + answer.body)) > 1
    return joined, whole


class TestOrder:
    """Test that streams go on only at the version that began them."""

    @pytest.mark.parametrize(('others', 'is_whole'), [(1, True), (0, False)])
    def test_stream_that_breaks_off_goes_on_at_its_version(
        self, others, is_whole
    ):
        """Without another server of its version it ends as broken off."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1 + others, 'b': 1 + others})
            for number in range(STREAMS):
                faults = Faults(cuts=1)
                for server in fleet.servers:
                    server.faults = faults
                answer = await fleet.ask('/stream/x', call=f'c-{number}')
                assert len(versions_in(answer.body)) == 1
                assert answer.is_whole is is_whole

        run_scenario(scenario, servers=0)

    @pytest.mark.parametrize('instances', [1, 3])
    def test_take_up_goes_on_at_its_version(self, instances):
        """Whichever instance the caller comes back to knows the version."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2, 'b': 2})
            begun = await begin_streams(fleet)
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=instances)

    @pytest.mark.parametrize('small_fleet', [12, 1])
    def test_take_up_after_all_instances_lost_power(self, small_fleet):
        """The version is found again, by readers and followers."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2, 'b': 2})
            begun = await begin_streams(fleet)
            await asyncio.sleep(0.5)
            await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=4, small_fleet=small_fleet)
