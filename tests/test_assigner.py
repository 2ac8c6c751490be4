"""Test how an instance's brokers follow what the store tells."""

import asyncio

from siskinpass.platform.config import CONFIG_NAME
from siskinpass.platform.objects import StoredObject
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.process.fleet.state import StoredState
from siskinpass.process.fleet.watch import Listed
from siskinpass.request.ticket import PromptPiece, PromptPlaced

PART = PromptPiece(7, 1000)
WORKER = {'service': 'lm', 'address': '1.1.1.1:1', 'state': 'ready'}
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
    """Return the news of one stored object."""
    return Listed((StoredObject(name, 1, body),))


class Instance:
    """Hold an assigner and the state that it follows."""

    def __init__(self):
        """Start before the store told anything."""
        self.assigner = Assigner(self._policy_of, lambda news: None)
        self.state = StoredState(self.assigner.list_servers)

    def _policy_of(self, pool):
        table = self.state.table()
        service = table.services.get(pool) if table else None
        kv_capacity_tokens = service.engine.kv_capacity_tokens if service else 0
        return fleet_policy(kv_capacity_tokens)


class TestEngineMemory:
    """Test that cached parts are known in whatever order the store tells."""

    def test_servers_before_the_configuration(self):
        """An engine listed before its service was described caches as well."""

        async def play():
            instance = Instance()
            instance.state.take_workers(listed('e-1', WORKER))
            instance.state.take_config(listed(CONFIG_NAME, CONFIG))
            instance.assigner.note_placed(PromptPlaced('e-1', (PART,)))
            return instance.assigner.broker('lm').table.cache

        assert asyncio.run(play()).cached('e-1', (PART,)) == PART.tokens
