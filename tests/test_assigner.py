"""Test how an instance's brokers follow the updates of the store."""

import asyncio

from siskinpass.platform.config import CONFIG_NAME
from siskinpass.platform.objects import StoredObject
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.watch import Listed
from siskinpass.process.server_pauses import ServerPauses
from siskinpass.request.ticket import PromptPiece, PromptPlaced

PART = PromptPiece(7, 1000)
SERVER = {'service': 'lm', 'address': '1.1.1.1:1', 'state': 'ready'}
CONFIG = {
    'version': 1,
    'routes': [],
    'services': [
        {
            'name': 'lm',
            'max-connections': 9,
            'engine': {'slots': 8, 'kv-capacity-tokens': 100_000},
        },
    ],
}


def listed(name, body):
    """Return a store update that lists one object."""
    return Listed((StoredObject(name, 1, body),))


class Instance:
    """Assigner with the stored state that it follows."""

    def __init__(self):
        self.assigner = Assigner(
            self._policy_for, ServerPauses(), lambda update: None
        )
        self.state = StoredState(self.assigner.set_servers)

    def _policy_for(self, pool):
        table = self.state.table()
        service = table.services.get(pool) if table else None
        kv_capacity_tokens = service.engine.kv_capacity_tokens if service else 0
        return fleet_policy(kv_capacity_tokens)


class TestCacheSize:
    """Test that cached parts are tracked if servers are listed first."""

    def test_servers_before_the_configuration(self):
        """Parts are tracked on an engine listed before its configuration.

        Guards against an engine whose cache size stays 0 because the
        configuration arrives only after the engine was listed.
        """

        async def scenario():
            instance = Instance()
            instance.state.apply_servers(listed('e-1', SERVER))
            instance.state.apply_config(listed(CONFIG_NAME, CONFIG))
            instance.assigner.record_placement(PromptPlaced('e-1', (PART,)))
            return instance.assigner.broker('lm').table.cache

        assert (
            asyncio.run(scenario()).cached_tokens('e-1', (PART,)) == PART.tokens
        )
