"""Test streams while servers of several software versions serve."""

import asyncio
import re

import pytest

from bench.fleet import free_ports, server_entry, wait_until
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.stream_versions import (
    RECORD_S,
    VERSION_DELAY_S,
)
from standins.fleet import BackendServer, Faults
from standins.http_server import serve
from tests.test_fleet import run_scenario

STREAMS = 12
GAP_S = 0.05
EVENTS = 12
UNKNOWN = b'id: 3\ndata: ax3\n\n'
BEGUN = 3  # events after which a caller loses its connection


async def add_server(fleet, name, version, **more):
    """Start a backend server of some software version and register it.

    :param more: fields of its registration that override the defaults.
    """
    server = BackendServer(name, GAP_S, EVENTS, version=version)
    port = free_ports(1)[0]
    fleet.server_ports[name] = port
    await serve(server, '127.0.0.1', port)
    fleet.servers.append(server)
    entry = server_entry(port, version=version, **more)
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


async def begin_streams(fleet, events=BEGUN, names=None):
    """Begin streams, which break off, and return their events.

    :param names: instances to begin them at, all by default.
    """
    names = names or sorted(fleet.processes)
    calls = [f'call-{number}' for number in range(STREAMS)]
    begun = await asyncio.gather(
        *(
            fleet.read_events(
                '/stream/x', events, name=names[number % len(names)], call=call
            )
            for number, call in enumerate(calls)
        )
    )
    return {call: body for call, (_, body) in zip(calls, begun, strict=True)}


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

    @pytest.mark.parametrize('others', [1, 0])
    def test_stream_that_breaks_off_goes_on_at_its_version(self, others):
        """It goes on at another server of the version, or at its own."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1 + others, 'b': 1 + others})
            for number in range(STREAMS):
                faults = Faults(cuts=1)
                for server in fleet.servers:
                    server.faults = faults
                answer = await fleet.ask('/stream/x', call=f'c-{number}')
                assert len(versions_in(answer.body)) == 1
                assert answer.is_whole

        run_scenario(scenario, servers=0)

    @pytest.mark.parametrize(
        ('instances', 'versions'), [(1, 'ab'), (3, 'ab'), (2, 'abc')]
    )
    def test_take_up_goes_on_at_its_version(self, instances, versions):
        """Whichever instance the caller comes back to knows the version."""

        async def scenario(fleet):
            await add_versions(fleet, dict.fromkeys(versions, 2))
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

    def test_streams_that_have_just_begun_outlive_a_loss_of_power(self):
        """Whoever has an event can take the stream up."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2, 'b': 2})
            begun = await begin_streams(fleet, 1)
            await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=2)

    def test_take_up_of_a_version_that_has_left(self):
        """It is refused as not run, with a time to come back."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1, 'b': 1})
            begun = await begin_streams(fleet)
            await fleet.store.remove('servers', 'a-0')
            await asyncio.sleep(0.3)
            before = len(fleet.runs)
            for call, received in begun.items():
                answer = await take_up(fleet, 'front-1', call, received)
                if versions_in(received) == {b'b'}:
                    assert versions_in(received + answer.body) == {b'b'}
                else:
                    assert answer.status == MEANINGS[Code.version_gone].status
                    assert float(answer.header('Retry-After')) >= 1
            gone = [versions_in(one) == {b'a'} for one in begun.values()]
            assert 0 < sum(gone) < STREAMS
            assert len(fleet.runs) - before == STREAMS - sum(gone)

        run_scenario(scenario, servers=0)

    def test_take_up_of_an_unknown_stream(self):
        """Unknown is not any version: it is refused as not run."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1, 'b': 1})
            before = len(fleet.runs)
            answer = await take_up(fleet, 'front-1', 'other', UNKNOWN)
            assert answer.status == MEANINGS[Code.version_unknown].status
            assert answer.header('Retry-After')
            assert len(fleet.runs) == before

        run_scenario(scenario, servers=0)

    @pytest.mark.parametrize(
        ('versions', 'status'),
        [('a', 200), ('ab', MEANINGS[Code.version_unknown].status)],
    )
    def test_take_up_that_names_no_attempt(self, versions, status):
        """It goes on only if one version can have begun the stream."""

        async def scenario(fleet):
            await add_versions(fleet, dict.fromkeys(versions, 1))
            answer = await fleet.ask(
                '/stream/x', call='again', more='Last-Event-Id: 3\r\n'
            )
            assert answer.status == status

        run_scenario(scenario, servers=0)

    @pytest.mark.parametrize('is_restarted', [False, True])
    def test_one_version_needs_no_records(self, is_restarted):
        """Streams of the only version are taken up without being known."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2})
            begun = await begin_streams(fleet)
            if is_restarted:
                await asyncio.sleep(VERSION_DELAY_S + 0.5)
                await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, STREAMS)
            names = fleet.store.names('siskinpass-streams')
            assert not any(name.startswith('streams-') for name in names)

        run_scenario(scenario, servers=0, instances=2)

    def test_old_version_leaves_while_all_instances_are_down(self):
        """Its streams are not taken up at the version that is left."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 1})
            begun = await begin_streams(fleet)
            await asyncio.sleep(VERSION_DELAY_S + 0.5)
            for process in fleet.processes.values():
                process.kill()
            await add_server(fleet, 'b-0', 'b')
            await fleet.store.remove('servers', 'a-0')
            await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, 0)

        run_scenario(scenario, servers=0, instances=2)

    def test_streams_of_the_only_version_are_known_once_another_serves(self):
        """Those that are open then, or have just broken off, are recorded."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2})
            begun = await begin_streams(fleet)
            await add_server(fleet, 'b-0', 'b')
            await wait_until(lambda: _recorded(fleet), 'the records')
            await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=2)

    def test_take_up_while_the_store_is_away(self):
        """Instances know each other's streams without the store."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2, 'b': 2})
            await fleet.store.take_down()
            begun = await begin_streams(fleet)
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=3)

    def test_store_back_from_a_copy_has_the_streams_again(self):
        """What the copy lacks is recorded anew."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2, 'b': 2})
            copy = fleet.store.copy()
            begun = await begin_streams(fleet)
            await wait_until(lambda: _recorded(fleet), 'the records')
            await asyncio.sleep(2 * RECORD_S)
            await fleet.store.restore(copy)
            assert not _recorded(fleet)
            await wait_until(lambda: _recorded(fleet), 'the records again')
            await fleet.restart_all()
            assert await take_up_all(fleet, begun) == (0, STREAMS)

        run_scenario(scenario, servers=0, instances=2)


def _recorded(fleet):
    """Return whether each instance has recorded streams."""
    names = fleet.store.names('siskinpass-streams')
    found = [name for name in names if name.startswith('streams-')]
    return len(found) >= len(fleet.processes)
