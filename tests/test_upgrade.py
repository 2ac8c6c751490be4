"""Test instances of the production build beside those of this one."""

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from bench.fleet import Variant, running_fleet, wait_until
from siskinpass.request.inbound import NOT_RUN_STATUSES
from standins.paths import PathState
from tests.test_baseline_versions import (
    LOST,
    SETTLED_S,
    TAKEN,
    lose_instance,
    release,
    take_up_lost,
)
from tests.test_planned_stops import Upload, ran, upload
from tests.test_stream_versions import STREAMS, add_versions

ROOT = Path(__file__).parent.parent
OLD, NEW = 'front-1', 'front-2'
CALLS = itertools.count()
PATHS = ('/safe/x', '/once/x', '/stream/stream', '/plain-stream/stream')
SPREAD_S = 0.1  # between two uploads


@pytest.fixture(scope='module')
def production(tmp_path_factory):
    """Return the sources of the build that runs as an upgrade begins."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    folder = tmp_path_factory.mktemp('production')
    packed = subprocess.run(
        ['git', 'archive', tomllib.loads(text)['production'], 'src'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(['tar', '-x', '-C', folder], input=packed.stdout, check=True)
    return folder / 'src'


def run_mixed(scenario, production, names=(OLD,), **more):
    """Run a scenario with a fleet of which some run the production build."""

    async def run():
        builds = dict.fromkeys(names, production)
        plan = {'instances': 2} | more
        variant = Variant(builds)
        async with running_fleet(variant=variant, **plan) as fleet:
            await wait_until(lambda: _know_all(fleet), 'all to know each other')
            await scenario(fleet)

    asyncio.run(asyncio.wait_for(run(), 120))


async def _know_all(fleet):
    listings = [
        await fleet.get('/-/resolution?zone=a', 2, name)
        for name in fleet.processes
    ]
    return all(
        one.body.count(b'127.0.0.1') == len(fleet.processes) for one in listings
    )


async def ask(fleet, name, path='/once/x', **more):
    """Send a request under an id of its own."""
    return await fleet.ask(path, name=name, call=f'call-{next(CALLS)}', **more)


class TestSideBySide:
    """Test what one build learns from the other."""

    def test_sources_are_those_of_the_production_build(self, production):
        """Guards against a test of this build with itself."""
        found = subprocess.run(
            [sys.executable, '-c', 'import siskinpass as s; print(s.__file__)'],
            env=os.environ | {'PYTHONPATH': str(production)},
            check=True,
            capture_output=True,
        )
        assert found.stdout.decode().startswith(str(production))

    @pytest.mark.parametrize('small_fleet', [12, 1], ids=['read', 'follow'])
    @pytest.mark.parametrize('path', PATHS)
    def test_both_serve(self, production, path, small_fleet):
        """Whichever of them reads the store for the other."""

        async def scenario(fleet):
            for name in (OLD, NEW):
                answer = await ask(fleet, name, path)
                assert (answer.status, answer.is_whole) == (200, True)

        run_mixed(scenario, production, small_fleet=small_fleet)

    @pytest.mark.parametrize('cut', [OLD, NEW])
    @pytest.mark.parametrize('path', PATHS)
    def test_each_relays_for_the_other(self, production, cut, path):
        """An instance without a path to servers is served by the other."""

        async def scenario(fleet):
            await fleet.paths.cut([fleet.ips[cut]], PathState.reset)

            async def is_served():
                answer = await ask(fleet, cut, path)
                return answer.status == 200 and answer.is_whole

            await wait_until(is_served, 'a relay')

        run_mixed(scenario, production, has_paths=True)

    @pytest.mark.parametrize(('first', 'second'), [(OLD, NEW), (NEW, OLD)])
    def test_each_obeys_what_the_other_heard(self, production, first, second):
        """A server that announced its end to one gets nothing of the other."""

        async def scenario(fleet):
            leaving = fleet.servers[0]
            leaving.notices = {'Server-Leaving': '1'}

            async def has_heard():
                await ask(fleet, first)
                return leaving.runs

            await wait_until(has_heard, 'the announcement')

            async def is_spared():
                before = len(leaving.runs)
                for _ in range(6):
                    await ask(fleet, second)
                return len(leaving.runs) == before

            await wait_until(is_spared, 'no more requests')

        run_mixed(scenario, production)

    @pytest.mark.parametrize(
        ('older', 'expected'), [(LOST, {STREAMS}), (TAKEN, {0, STREAMS})]
    )
    def test_streams_of_a_lost_instance(self, production, older, expected):
        """Whichever build takes them up, no two versions are joined."""

        async def scenario(fleet):
            await add_versions(fleet, {'a': 2})
            await asyncio.sleep(SETTLED_S)
            begun = await lose_instance(fleet)
            await release(fleet, {LOST})
            went_on, joined = await take_up_lost(fleet, begun)
            assert joined == 0
            assert went_on in expected

        run_mixed(scenario, production, names=(older,), servers=0)


class TestReplacement:
    """Test instances that are replaced one after the other."""

    @pytest.mark.parametrize('is_back', [False, True], ids=['up', 'back'])
    def test_nothing_is_lost_or_run_twice(self, production, is_back):
        """Callers send slowly to all instances, also to those that stop.

        What is sent to the production build as it stops is not judged: it has
        the fault that this build mends.
        """

        async def scenario(fleet):
            names = sorted(fleet.processes)
            uploads = []
            for name in names:
                uploads += await replace(fleet, name, production, is_back)
            answers = dict(await asyncio.gather(*uploads))
            for call, answer in answers.items():
                assert answer.is_whole
                if answer.status in NOT_RUN_STATUSES:
                    assert call not in ran(fleet)
                else:
                    assert answer.status == 200
            runs = [run.headers['x-attempt-id'] for run in fleet.runs]
            once = [call for call in runs if call.startswith('upload')]
            assert len(once) == len(set(once))
            assert await _know_all(fleet)

        names = () if is_back else ('front-1', 'front-2', 'front-3')
        run_mixed(scenario, production, names, instances=3)


async def replace(fleet, name, production, is_back):
    """Stop an instance, start the other build; return uploads sent meanwhile.

    They go to the instances that are not being replaced, and to this one too
    if it runs this build.
    """
    targets = [
        one
        for one in fleet.processes
        if one != name or fleet.builds.get(one) is None
    ]
    process = fleet.processes[name]
    uploads = [
        asyncio.create_task(
            upload(
                fleet,
                Upload(path, SPREAD_S * number, 0.6, 'Connection: close\r\n'),
                target,
            )
        )
        for target in targets
        for number, path in enumerate(('/once/x', '/stream/stream'))
    ]
    await asyncio.sleep(0)
    process.send_signal(signal.SIGTERM)
    await process.wait()
    if is_back:
        fleet.builds[name] = production
    else:
        fleet.builds.pop(name)
    await fleet.start(name)
    await wait_until(lambda: fleet.is_ready(name), f'{name} to be ready')
    await wait_until(lambda: _know_all(fleet), f'{name} to be known')
    return uploads
