"""Test that servers get no more requests than they state to take."""

import asyncio
import itertools
import signal

import pytest

from bench.fleet import server_entry, wait_until
from bench.soak_checks import (
    CONTACT_S,
    WINDOW_S,
    allowed_requests,
    busiest_window,
)
from siskinpass.codes import MEANINGS, Code
from siskinpass.process.fleet.server_limits import ServerLimit, ServerLimits
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pace import Sharing
from siskinpass.request.ticket import ServerView
from tests.test_fleet import run_scenario
from tests.test_server_notices import reach

INSTANCES = 4
REQUESTS_PER_S = 20
LOAD_S = CONTACT_S + WINDOW_S + 1.0


async def send_load(fleet, seconds, path='/once/x'):
    """Send requests at an even pace, to all instances in turn.

    :returns: the answers, without those of instances that were not there.
    """
    names = itertools.cycle(sorted(fleet.processes))
    tasks = []
    for number in range(int(seconds * REQUESTS_PER_S)):
        name = next(names)
        ask = fleet.ask(path, name=name, call=f'load-{number}')
        tasks.append(asyncio.ensure_future(ask))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    answers = await asyncio.gather(*tasks, return_exceptions=True)
    return [one for one in answers if not isinstance(one, OSError)]


async def all_know(fleet, limited):
    """Wait until each instance has passed on an answer of a server."""
    for name in fleet.processes:

        async def has_reached(name=name):
            await fleet.ask('/once/x', name=name, call=f'first-{name}')
            return any(name in call for call in limited.arrivals)

        await wait_until(has_reached, f'{name} to reach the server')


class TestLimit:
    """Test the requests that a limited server gets from all instances."""

    def test_instances_keep_a_limit_together(self):
        """Each of them was told, and none of them knows what others send."""

        async def scenario(fleet):
            limited = fleet.servers[0]
            await all_know(fleet, limited)
            limited.notices['Server-Limit'] = '1'
            await send_load(fleet, CONTACT_S)
            limited.arrival_times_s.clear()
            answers = await send_load(fleet, LOAD_S)
            assert {answer.status for answer in answers} == {200}
            assert busiest_window(limited.arrival_times_s) <= allowed_requests(
                1
            )

        run_scenario(scenario, instances=INSTANCES)

    @pytest.mark.parametrize('stop', [signal.SIGKILL, signal.SIGTERM])
    def test_limit_holds_while_instances_restart(self, stop):
        """One that starts hears of it, and no share is used twice."""

        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.notices['Server-Limit'] = '1'
            await all_know(fleet, limited)
            await send_load(fleet, CONTACT_S)
            limited.arrival_times_s.clear()
            load = asyncio.ensure_future(send_load(fleet, LOAD_S))
            for name in ('front-1', 'front-2'):
                process = fleet.processes[name]
                process.send_signal(stop)
                await process.wait()
                await fleet.start(name)
            await load
            assert busiest_window(limited.arrival_times_s) <= allowed_requests(
                1
            )

        run_scenario(scenario, instances=INSTANCES)

    def test_lifted_limit_is_forgotten_everywhere(self):
        """The server is used as before once its answers state none."""

        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.notices['Server-Limit'] = '2'
            await all_know(fleet, limited)
            await wait_until(lambda: _know_a_limit(fleet), 'the limit')
            limited.notices.clear()

            async def is_used_again():
                limited.arrivals.clear()
                await send_load(fleet, 1.0)
                return len(limited.arrivals) >= REQUESTS_PER_S / 4

            await wait_until(is_used_again, 'requests as before')

        run_scenario(scenario, instances=INSTANCES)

    def test_new_process_of_a_server_has_no_limit(self):
        """The limit ends with the process that stated it."""

        async def scenario(fleet):
            limited = fleet.servers[0]
            limited.notices['Server-Limit'] = '0'
            await reach(fleet, limited)
            limited.notices.clear()
            limited.arrivals.clear()
            port = fleet.server_ports[limited.name]
            entry = server_entry(port, born=2)
            await fleet.store.put('servers', limited.name, entry)
            await reach(fleet, limited)

        run_scenario(scenario)

    @pytest.mark.parametrize('text', ['many', 'nan', '-1', 'inf'])
    def test_unreadable_limit_changes_nothing(self, text):
        """The server is used as before."""

        async def scenario(fleet):
            server = fleet.servers[0]
            server.notices['Server-Limit'] = text
            answers = await send_load(fleet, 1.0)
            assert {answer.status for answer in answers} == {200}
            assert len(server.arrivals) == len(answers)

        run_scenario(scenario, servers=1)

    def test_refuses_at_once_what_no_limit_allows(self):
        """The caller is told when to come back; nothing is sent."""

        async def scenario(fleet):
            for server in fleet.servers:
                server.notices['Server-Limit'] = '0'
                await reach(fleet, server)
            arrivals = sum(len(server.arrivals) for server in fleet.servers)
            answer = await fleet.ask('/once/x')
            assert answer.status == MEANINGS[Code.servers_limited].status
            assert float(answer.header('Retry-After')) > 1
            assert b'limits' in answer.body
            assert arrivals == sum(
                len(server.arrivals) for server in fleet.servers
            )

        run_scenario(scenario)


class TestOtherInstances:
    """Test instances that have had no answer of a limited server."""

    def test_they_keep_the_limit_too(self):
        """They have it from the one that got such an answer."""

        async def scenario(fleet):
            server = fleet.servers[0]
            server.notices['Server-Limit'] = '1'
            await fleet.ask('/once/x', name='front-1', call='first')
            await wait_until(
                lambda: _knows_a_limit(fleet, 'front-2'), 'front-2 to know'
            )
            assert not any('front-2' in call for call in server.arrivals)

        run_scenario(scenario, servers=1, instances=2)


class TestAnnouncements:
    """Test what an instance makes of announcements that overtake each other."""

    @pytest.mark.parametrize(
        ('payloads', 'expected'),
        [
            ([(5.0, 100), (1.0, 200)], 1.0),
            ([(1.0, 200), (5.0, 100)], 1.0),
            ([(1.0, 200), (None, 100)], 1.0),
            ([(1.0, 200), (None, 300)], None),
            ([(1.0, 200), (None, 300), (1.0, 200)], None),
            ([(1.0, 200), (None, 300), (2.0, 400)], 2.0),
        ],
    )
    def test_latest_answer_counts(self, payloads, expected):
        """A repeated or late announcement does not undo a later one."""

        async def scenario():
            shares = {}
            limits = ServerLimits(
                lambda: Sharing('a', ('a',)),
                shares.update,
                lambda facts: None,
                lambda facts: None,
                Metrics(),
            )
            for per_s, at_s in payloads:
                limits.receive([ServerLimit('i-1', 1, per_s, at_s)])
            return limits.known_limits

        expected = {} if expected is None else {'i-1': expected}
        assert asyncio.run(scenario()) == expected


class TestRestartedServer:
    """Test a server that starts again under the name that it had."""

    def test_limit_of_its_next_process_is_announced(self):
        """The announcement of the one before does not delay it."""

        async def scenario():
            announced = []
            limits = ServerLimits(
                lambda: Sharing('a', ('a',)),
                lambda shares: None,
                announced.extend,
                lambda facts: None,
                Metrics(),
            )
            for incarnation in (1, 1, 2):
                server = ServerView(
                    'i-1', '1.1.1.1:1', 'app', incarnation=incarnation
                )
                limits.note(server, 2.0, 0.0)
            return [one.incarnation for one in announced]

        assert asyncio.run(scenario()) == [1, 2]


async def _know_a_limit(fleet):
    known = [await _knows_a_limit(fleet, name) for name in fleet.processes]
    return all(known)


async def _knows_a_limit(fleet, name):
    metrics = await fleet.get('/metrics', 4, name)
    return b'kind="limit"} ' in metrics.body
