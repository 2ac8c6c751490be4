"""Test take-ups of streams that nobody recorded once several versions serve."""

import asyncio
import signal

import pytest

from bench.fleet import config, route, wait_until
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.stream_versions import VERSION_DELAY_S
from siskinpass.process.version_history import BASELINE_AFTER_S, STREAM_LIFE_S
from tests.test_fleet import run_scenario
from tests.test_stream_versions import (
    STREAMS,
    add_server,
    add_versions,
    begin_streams,
    take_up,
    versions_in,
)

MS_PER_S = 1000
OK = 200
LOST, TAKEN = 'front-1', 'front-2'
# From the first server to the record of its version as the baseline.
SETTLED_S = BASELINE_AFTER_S + VERSION_DELAY_S + 0.5


async def lose_instance(fleet, *, events=3):
    """Begin streams at an instance that then does nothing any more."""
    begun = await begin_streams(fleet, events, names=[LOST])
    fleet.processes[LOST].send_signal(signal.SIGSTOP)
    return begun


async def release(fleet, stopped=()):
    """Start a server of newer software and wait until it is known."""
    await add_server(fleet, 'b-0', 'b')
    for name in fleet.processes.keys() - stopped:
        await wait_until(
            lambda name=name: (
                b'"several":["app"]' in fleet.logs[name].read_bytes()
            ),
            f'{name} to know both versions',
        )


async def take_up_lost(fleet, begun, name=TAKEN):
    """Take streams up; return how many went on, and how many of them joined."""
    answers = await asyncio.gather(
        *(take_up(fleet, name, call, seen) for call, seen in begun.items())
    )
    pairs = list(zip(begun.values(), answers, strict=True))
    went_on = [(seen, one.body) for seen, one in pairs if one.status == OK]
    assert all(one.is_whole for one in answers if one.status == OK)
    joined = [pair for pair in went_on if len(versions_in(b''.join(pair))) > 1]
    return len(went_on), len(joined)


async def restart(fleet, name):
    """Kill an instance, start it and wait until it serves."""
    fleet.processes[name].kill()
    await fleet.processes[name].wait()
    await fleet.start(name)
    await wait_until(lambda: fleet.is_ready(name), f'{name} to be ready')


async def nothing(fleet):
    """Leave the instances as they are."""


async def restart_taken(fleet):
    """Have the take-ups meet an instance that started after the release."""
    await restart(fleet, TAKEN)


async def restart_all(fleet):
    """End all instances at once."""
    await fleet.restart_all()


async def freeze_taken(fleet):
    """Have the take-ups meet an instance that stood still for a while."""
    fleet.processes[TAKEN].send_signal(signal.SIGSTOP)
    await asyncio.sleep(2)
    fleet.processes[TAKEN].send_signal(signal.SIGCONT)


async def take_store_down(fleet):
    """Leave the instances without the store."""
    await fleet.store.take_down()


async def restore_store(fleet):
    """Restore the store from a copy, which may lack records of streams."""
    await fleet.store.restore(fleet.store.copy())


def count_versions(begun, version):
    """Return how many streams a version began."""
    return sum(versions_in(seen) == {version} for seen in begun.values())


class TestUnrecorded:
    """Guard against the loss of streams whose instance ends before a release.

    The instance cannot record them when the second version appears.
    """

    @pytest.mark.parametrize(
        ('disturb', 'expected'),
        [
            (nothing, STREAMS),
            (restart_taken, STREAMS),
            (restart_all, STREAMS),
            (freeze_taken, STREAMS),
            (take_store_down, 0),
            (restore_store, 0),
        ],
    )
    @pytest.mark.parametrize('small_fleet', [12, 1], ids=['read', 'follow'])
    def test_streams_of_a_lost_instance(self, disturb, expected, small_fleet):
        """They go on at the version that served alone, or are refused."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2})
            await asyncio.sleep(SETTLED_S)
            begun = await lose_instance(fleet)
            await release(fleet, {LOST})
            await disturb(fleet)
            assert await take_up_lost(fleet, begun) == (expected, 0)

        run_scenario(scenario, servers=0, instances=3, small_fleet=small_fleet)

    def test_stream_that_may_outlast_its_record(self):
        """Where routes allow such streams, those without one are refused."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2})
            await asyncio.sleep(SETTLED_S)
            begun = await lose_instance(fleet)
            await release(fleet, {LOST})
            timeout_ms = (STREAM_LIFE_S + 1) * MS_PER_S
            more = {'stream-resume': True, 'timeout-ms': timeout_ms}
            long_config = config(9, [route('/stream/', 'stream', more)])
            await fleet.store.put('config', 'main', long_config)
            await wait_until(
                lambda: b'"version":9' in fleet.logs[TAKEN].read_bytes(),
                'the configuration',
            )
            assert await take_up_lost(fleet, begun) == (0, 0)

        run_scenario(scenario, servers=0, instances=2)

    @pytest.mark.parametrize('taken_over_by', [TAKEN, LOST])
    def test_streams_that_the_store_could_not_record(self, taken_over_by):
        """Other instances record them, for those that start afterwards."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1})
            await asyncio.sleep(SETTLED_S)
            await release(fleet)
            ip = fleet.ips[LOST]
            fleet.store.refused_machines.add(ip)
            begun = await lose_instance(fleet)
            await asyncio.sleep(1)
            fleet.store.refused_machines.discard(ip)
            await restart(fleet, taken_over_by)
            assert count_versions(begun, b'b')
            taken_up = await take_up_lost(fleet, begun, taken_over_by)
            assert taken_up == (STREAMS, 0)

        run_scenario(scenario, servers=0, instances=4)

    def test_take_up_that_names_no_attempt(self):
        """It may be of a stream that was recorded: it is refused."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1})
            await asyncio.sleep(SETTLED_S)
            await release(fleet)
            before = len(fleet.runs)
            answer = await fleet.ask(
                '/stream/x', call='again', more='Last-Event-Id: 3\r\n'
            )
            assert answer.status == MEANINGS[Code.version_unknown].status
            assert len(fleet.runs) == before

        run_scenario(scenario, servers=0)

    def test_instance_that_can_tell_nobody(self):
        """It begins streams at the version that served alone."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1})
            await asyncio.sleep(SETTLED_S)
            await release(fleet)
            begun = await begin_streams(fleet)
            assert count_versions(begun, b'b')
            await fleet.store.take_down()

            async def is_noticed():
                return not count_versions(await begin_streams(fleet), b'b')

            await wait_until(is_noticed, 'streams at one version')
            assert await is_noticed()

        run_scenario(scenario, servers=0)
