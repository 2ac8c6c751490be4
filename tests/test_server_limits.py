"""Test that servers get no more requests than the limits that they name."""

import asyncio
import itertools

from tests.fleet import wait_until
from tests.test_fleet import run_scenario

INSTANCES = 4
CONTACT_S = 3.0  # the contact time of the operator's bounds
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
REQUESTS_PER_S = 20
LOAD_S = CONTACT_S + WINDOW_S + 1.0


def allowed(limit_per_s):
    """Return how many requests may arrive in a window."""
    return FACTOR * limit_per_s * WINDOW_S + SLACK


def busiest_window(times_s):
    """Return the largest number of arrivals in any window."""
    ordered = sorted(times_s)
    return max(
        (
            sum(start_s <= one < start_s + WINDOW_S for one in ordered)
            for start_s in ordered
        ),
        default=0,
    )


async def send_load(fleet, seconds, path='/once/x'):
    """Send requests at an even pace, to all instances in turn."""
    names = itertools.cycle(sorted(fleet.processes))
    tasks = []
    for number in range(int(seconds * REQUESTS_PER_S)):
        name = next(names)
        ask = fleet.ask(path, name=name, call=f'load-{number}')
        tasks.append(asyncio.ensure_future(ask))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


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
            assert busiest_window(limited.arrival_times_s) <= allowed(1)

        run_scenario(scenario, instances=INSTANCES)
