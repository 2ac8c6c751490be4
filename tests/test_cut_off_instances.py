"""Test instances that lose their paths to all backend servers."""

import asyncio
import signal

import pytest

from bench.fleet import WHOLE, running_fleet, wait_until
from bench.soak_checks import CONTACT_S
from siskinpass.process.fleet.settings import SMALL_FLEET
from standins.paths import CUTS, PathState

STATUS_OK = 200
# Of the share at the other instances, that callers' first tries must be served.
SERVED_FRACTION = 2 / 3
PATHS = ('/safe/x', '/once/x', '/stream/x', '/plain-stream/x')
ROUNDS = 6
ROUND_S = 0.15
RELAYED = 3
KEEP_ALIVE_S = 1.0
ZONES = 'ab'
ONE = ('front-1',)
ZONE = ('front-1', 'front-3')
MOST = ('front-1', 'front-2', 'front-3')
# Instances that are cut off, and the number up to which each reads the store.
CUT_FLEETS = {
    'one': (ONE, SMALL_FLEET),
    'one-fleet': (ONE, 1),
    'zone-fleet': (ZONE, 1),
    'most': (MOST, SMALL_FLEET),
    'most-fleet': (MOST, 1),
}


async def ask(fleet, name, path, call):
    """Return whether a request is served at the first try, and whole."""
    try:
        answer = await fleet.ask(path, name=name, call=call)
    except (OSError, TimeoutError):
        return False
    if 'stream' in path:
        return answer.is_whole and answer.body == WHOLE
    return answer.status == STATUS_OK


async def served_at(fleet, names, label):
    """Return the share of first tries that some instances serve."""
    tries = []
    for number in range(ROUNDS):
        for name in names:
            for path in PATHS:
                call = f'{label}-{name}-{path}-{number}'
                tries.append(
                    asyncio.ensure_future(ask(fleet, name, path, call))
                )
        await asyncio.sleep(ROUND_S)
    found = await asyncio.gather(*tries)
    return sum(found) / len(found)


def run_fleet(scenario, instances=4, servers=3, small_fleet=SMALL_FLEET):
    """Run a scenario with a fleet whose paths to servers can be cut."""

    async def run():
        async with running_fleet(
            instances, servers, small_fleet, has_paths=True, zones=ZONES
        ) as fleet:
            await served_at(fleet, fleet.processes, 'first')
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(run(), 120))


def cut(fleet, names, state):
    """Cut some instances off from all servers."""
    return fleet.paths.cut([fleet.ips[name] for name in names], state)


class TestService:
    """Test what callers get at instances that are cut off."""

    @pytest.mark.parametrize(
        ('names', 'small_fleet'), CUT_FLEETS.values(), ids=CUT_FLEETS
    )
    @pytest.mark.parametrize('state', CUTS, ids=[one.value for one in CUTS])
    def test_first_tries_are_served_about_as_often_as_elsewhere(
        self, state, names, small_fleet
    ):
        """From the contact time after the cut began, through other ways."""

        async def scenario(fleet):
            others = fleet.processes.keys() - set(names)
            await cut(fleet, names, state)
            await served_at(fleet, fleet.processes, 'early')
            await asyncio.sleep(CONTACT_S - ROUNDS * ROUND_S)
            here, elsewhere = await asyncio.gather(
                served_at(fleet, names, 'cut'),
                served_at(fleet, others, 'other'),
            )
            assert here >= SERVED_FRACTION * elsewhere
            assert elsewhere > SERVED_FRACTION
            runs = [run.headers['x-attempt-id'] for run in fleet.runs]
            once = [call for call in runs if '/once/' in call]
            assert len(once) == len(set(once))

        run_fleet(scenario, small_fleet=small_fleet)

    @pytest.mark.parametrize('state', CUTS, ids=[one.value for one in CUTS])
    def test_instances_use_their_own_paths_again_after_the_cut(self, state):
        """All tries are served, and servers are reached directly."""

        async def scenario(fleet):
            await cut(fleet, ['front-1'], state)
            await served_at(fleet, ['front-1'], 'cut')
            await cut(fleet, ['front-1'], PathState.sound)
            await asyncio.sleep(CONTACT_S)
            assert await served_at(fleet, ['front-1'], 'late') == 1

        run_fleet(scenario)


class TestEndsOfServers:
    """Test that a broken path does not count as the end of a server."""

    @pytest.mark.parametrize('state', CUTS, ids=[one.value for one in CUTS])
    def test_no_server_counts_as_ended(self, state):
        """Neither to the instance that is cut off nor to the others."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.gap_s = ROUND_S
            open_streams = asyncio.ensure_future(
                served_at(fleet, fleet.processes, 'open')
            )
            await asyncio.sleep(ROUNDS * ROUND_S)
            await cut(fleet, ['front-1'], state)
            await served_at(fleet, fleet.processes, 'cut')
            await open_streams
            assert b'A server counts as ended.' not in fleet.log

        run_fleet(scenario)


class TestRelays:
    """Test requests through instances that end meanwhile."""

    @pytest.mark.parametrize(
        'number', [signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP]
    )
    def test_end_of_the_relay_ends_no_answer_as_complete(self, number):
        """A stopping one finishes what it relays; others take over.

        One that stands still counts as ended.
        """

        async def scenario(fleet):
            await cut(fleet, ['front-1'], PathState.reset)
            await served_at(fleet, ['front-1'], 'cut')
            tries = asyncio.ensure_future(served_at(fleet, ['front-1'], 'end'))
            await asyncio.sleep(ROUND_S)
            fleet.processes['front-2'].send_signal(number)
            served = await tries
            runs = [run.headers['x-attempt-id'] for run in fleet.runs]
            once = [call for call in runs if '/once/' in call]
            assert len(once) == len(set(once))
            assert served == 1 or number is not signal.SIGTERM
            assert served > SERVED_FRACTION

        run_fleet(scenario)

    def test_callers_that_leave_stop_the_server(self):
        """The server of a relayed stream sees its connection close."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.gap_s = 0.2
            await cut(fleet, ['front-1'], PathState.reset)
            await served_at(fleet, ['front-1'], 'cut')
            status, _ = await fleet.read_events('/plain-stream/x', 2)
            assert status == STATUS_OK
            await wait_until(
                lambda: all(server.streams == 0 for server in fleet.servers),
                'the servers to stop',
            )

        run_fleet(scenario)

    def test_connections_are_not_reused_beyond_the_stated_time(self):
        """The relay's connection to a server keeps to what the server says."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.notices['Keep-Alive'] = 'timeout=1'
                fleet.connections[server.name].abort()
            await cut(fleet, ['front-1'], PathState.reset)
            for number in range(RELAYED):
                assert await ask(fleet, 'front-1', '/safe/x', f'a-{number}')
            await asyncio.sleep(KEEP_ALIVE_S)
            before = accepted(fleet)
            assert await ask(fleet, 'front-1', '/safe/x', 'late')
            assert accepted(fleet) > before

        run_fleet(scenario, instances=2, servers=1)


def accepted(fleet):
    """Return how many connections the servers have accepted."""
    return sum(one.accepted for one in fleet.connections.values())
