"""Test watching the store when answers are lost or the store is down."""

import asyncio

import pytest

from bench.fleet import free_ports, wait_until
from siskinpass.process.fleet.settings import OperatorBounds
from siskinpass.process.fleet.store_client import WATCH_MARGIN_S, StoreClient
from siskinpass.process.fleet.watch import (
    Changed,
    KindWatch,
    Listed,
    StoreUnavailable,
    watch_wait_s,
)
from standins.fleet import ObjectStore
from standins.http_server import serve

KIND = 'things'


class Follower:
    """Receiver of a watch's updates that tracks the names of the objects."""

    def __init__(self):
        self.names = set()
        self.unavailable_count = 0

    def apply(self, update):
        """Apply one update."""
        if isinstance(update, StoreUnavailable):
            self.unavailable_count += 1
            return
        if isinstance(update, Listed):
            self.names = set()
        assert isinstance(update, Listed | Changed)
        for stored in update.stored:
            if stored.is_deleted:
                self.names.discard(stored.name)
            else:
                self.names.add(stored.name)


async def follow(scenario, wait_s=0.2):
    """Run a scenario while a watch follows a store."""
    store, follower = ObjectStore(), Follower()
    port = free_ports(1)[0]
    server = await serve(store, '127.0.0.1', port)
    client = StoreClient(f'127.0.0.1:{port}', lambda call, outcome: None)
    watch = KindWatch(client, KIND, lambda: wait_s, follower.apply)
    task = asyncio.create_task(watch.run())
    await store.put(KIND, 'first', 1)
    await wait_until(lambda: 'first' in follower.names, 'the first object')
    await scenario(store, follower)
    task.cancel()
    server.close()


class TestKindWatch:
    """Test that a watch reports changes despite lost answers and outages."""

    def test_follows_changes_and_deletions(self):
        """Each change and each deletion is reported."""

        async def scenario(store, follower):
            await store.put(KIND, 'second', 1)
            await store.remove(KIND, 'first')
            await wait_until(
                lambda: follower.names == {'second'}, 'the changes'
            )

        asyncio.run(follow(scenario))

    def test_lost_answer_is_noticed(self):
        """A watch whose answer is lost on an open connection is repeated."""

        async def scenario(store, follower):
            store.stalls_watches = True
            await store.put(KIND, 'second', 1)
            await wait_until(
                lambda: follower.unavailable_count,
                'the lost answer to be noticed',
            )
            store.stalls_watches = False
            await wait_until(lambda: 'second' in follower.names, 'the change')

        asyncio.run(follow(scenario))

    def test_outage_is_noticed_and_its_changes_are_listed(self):
        """Changes made while the store closes connections are found later."""

        async def scenario(store, follower):
            await store.take_down()
            await wait_until(lambda: follower.unavailable_count, 'the outage')
            await store.put(KIND, 'second', 1)
            store.is_down = False
            await wait_until(lambda: 'second' in follower.names, 'the change')

        asyncio.run(follow(scenario, wait_s=5.0))

    @pytest.mark.parametrize(
        ('contact_s', 'config_s', 'has_followers', 'limit_s'),
        [(3.0, 2.0, False, 3.0), (4.0, 3.0, False, 4.0), (4.0, 3.0, True, 1.6)],
    )
    def test_lost_answer_is_noticed_within_contact_time(
        self, contact_s, config_s, has_followers, limit_s
    ):
        """A watch times out within the contact time.

        Otherwise an instance would count as connected before it notices that
        the answer of a watch was lost, and its followers would get a new
        configuration too late.
        """
        operator_bounds = OperatorBounds(config_s=config_s, contact_s=contact_s)
        wait_s = watch_wait_s(operator_bounds, has_followers=has_followers)
        assert 0 < wait_s + WATCH_MARGIN_S < limit_s
