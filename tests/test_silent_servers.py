"""Test a server that sends nothing for a second and goes on."""

import asyncio

import pytest

from bench.fleet import WHOLE, running_fleet
from bench.soak_checks import CONTACT_S

SILENT_S = 1.2
PAUSE_S = 0.05
STATUS_OK = 200


class TestSilentSecond:
    """Test that nobody is taken out of use for it."""

    @pytest.mark.parametrize('silent', [1, 3], ids=['one', 'all'])
    def test_servers_are_used_as_before(self, silent):
        """Streams end whole, and each server gets requests again soon."""

        async def scenario():
            async with running_fleet(3, 3) as fleet:
                await load(fleet, 'before')
                now_s = asyncio.get_running_loop().time()
                for server in fleet.servers[:silent]:
                    server.silent_s = now_s + SILENT_S
                during = await load(fleet, 'during')
                assert all(
                    answer.body == WHOLE
                    for answer in during
                    if answer.status == STATUS_OK
                )
                await asyncio.sleep(CONTACT_S - SILENT_S)
                runs = [len(server.runs) for server in fleet.servers]
                after = await load(fleet, 'after')
                assert all(answer.body == WHOLE for answer in after)
                for server, before in zip(fleet.servers, runs, strict=True):
                    assert len(server.runs) > before
                assert b'A server counts as ended.' not in fleet.log

        asyncio.run(asyncio.wait_for(scenario(), 60))


async def load(fleet, label):
    """Send streams to all instances for a while; return the answers."""
    asked = []
    for number in range(20):
        for name in fleet.processes:
            call = f'{label}-{name}-{number}'
            asked.append(
                asyncio.ensure_future(
                    fleet.ask('/stream/x', name=name, call=call)
                )
            )
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*asked)
