"""Test take-ups of streams whose route is split between services."""

import asyncio
import signal

import pytest

from bench.fleet import config, route, wait_until
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.stream_versions import RECORD_S
from tests.test_baseline_versions import (
    LOST,
    count_versions,
    freeze_taken,
    lose_instance,
    nothing,
    restart_all,
    restart_taken,
    take_store_down,
    take_up_lost,
)
from tests.test_fleet import run_scenario
from tests.test_stream_versions import (
    STREAMS,
    UNKNOWN,
    add_server,
    add_versions,
    begin_streams,
    take_up,
)

SHARES = {'app': 'a', 'other': 'b'}


async def split(fleet, versions):
    """Split the route of the streams between services.

    :param versions: software version of each service.
    """
    for service, version in versions.items():
        for number in range(2):
            await add_server(
                fleet, f'{service}-{number}', version, service=service
            )
    shares = [{'service': name, 'weight': 50} for name in versions]
    more = {'traffic-split': shares, 'stream-resume': True}
    services = [{'name': name, 'max-connections': 99} for name in versions]
    split_config = config(9, [route('/stream/', 'stream', more)])
    await fleet.store.put(
        'config', 'main', split_config | {'services': services}
    )
    for name in fleet.processes:
        await wait_until(
            lambda name=name: b'"version":9' in fleet.logs[name].read_bytes(),
            f'{name} to adopt the configuration',
        )
    await asyncio.sleep(0.5)


class TestSplit:
    """Guard against the loss of streams of an instance that ends.

    The service that began a stream is not known from its route.
    """

    @pytest.mark.parametrize(
        'disturb',
        [nothing, restart_taken, restart_all, freeze_taken, take_store_down],
    )
    @pytest.mark.parametrize('small_fleet', [12, 1], ids=['read', 'follow'])
    def test_streams_of_a_lost_instance(self, disturb, small_fleet):
        """They go on at the service that began them."""

        async def scenario(fleet):
            await split(fleet, SHARES)
            begun = await lose_instance(fleet)
            await disturb(fleet)
            assert 0 < count_versions(begun, b'a') < STREAMS
            assert await take_up_lost(fleet, begun) == (STREAMS, 0)

        run_scenario(scenario, servers=0, instances=3, small_fleet=small_fleet)

    def test_store_that_lost_the_records(self):
        """Instances that heard of the streams still know them."""

        async def scenario(fleet):
            await split(fleet, SHARES)
            copy = fleet.store.copy()
            begun = await lose_instance(fleet)
            await asyncio.sleep(2 * RECORD_S)
            await fleet.store.restore(copy)
            assert await take_up_lost(fleet, begun) == (STREAMS, 0)

        run_scenario(scenario, servers=0, instances=3)

    def test_split_while_streams_are_open(self):
        """The instance that began them tells the others in time."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1})
            begun = await begin_streams(fleet, names=[LOST])
            await split(fleet, SHARES)
            fleet.processes[LOST].send_signal(signal.SIGSTOP)
            assert await take_up_lost(fleet, begun) == (STREAMS, 0)

        run_scenario(scenario, servers=0, instances=3)

    def test_unknown_stream(self):
        """Neither service is taken for the one that began it."""

        async def scenario(fleet):
            await split(fleet, SHARES)
            answer = await take_up(fleet, LOST, 'other', UNKNOWN)
            assert answer.status == MEANINGS[Code.version_unknown].status

        run_scenario(scenario, servers=0)

    def test_services_of_one_version(self):
        """Their streams need no record."""

        async def scenario(fleet):
            await split(fleet, dict.fromkeys(SHARES, 'a'))
            begun = await lose_instance(fleet)
            names = fleet.store.names('siskinpass-streams')
            assert not any(name.startswith('streams-') for name in names)
            assert await take_up_lost(fleet, begun) == (STREAMS, 0)

        run_scenario(scenario, servers=0, instances=3)
