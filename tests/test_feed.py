"""Test the relay of the state from a reader to its followers."""

import asyncio
from contextlib import aclosing
from dataclasses import replace

import pytest

from siskinpass.process.blocked_parts import BlockedParts
from siskinpass.process.fleet.feed import (
    MAX_WAITING,
    StateFeed,
    decode_update,
)
from siskinpass.request.ticket import ServerView

CONFIG = {'version': 3, 'routes': []}
SERVER = ServerView('i-1', '1.1.1.1:1', 'app', 'a', slots=6, incarnation=7)
OTHER = replace(SERVER, name='i-2')


async def take(updates, count):
    """Return the next updates of a follower, decoded."""
    return [decode_update(await anext(updates)) for _ in range(count)]


def follow(scenario, version=0):
    """Run a scenario with a feed that has a state, and one follower."""

    async def run():
        feed = StateFeed()
        feed.publish_config(CONFIG['version'], CONFIG)
        feed.publish_servers([SERVER])
        feed.set_fresh(on=True)
        async with aclosing(feed.follow(version)) as updates:
            await scenario(feed, updates)

    asyncio.run(run())


class TestStateFeed:
    """Test what followers get."""

    @pytest.mark.parametrize(('version', 'config'), [(0, CONFIG), (3, None)])
    def test_first_update_is_full(self, version, config):
        """It has all servers, and the configuration if it is newer."""

        async def scenario(feed, updates):
            first = decode_update(await anext(updates))
            assert first.is_full
            assert first.config == config
            assert first.servers == (SERVER,)

        follow(scenario, version)

    def test_later_updates_have_only_changes(self):
        """An unchanged list is not published."""

        async def scenario(feed, updates):
            await take(updates, 1)
            leaving = replace(SERVER, leaving=True)
            feed.publish_servers([SERVER])
            feed.publish_servers([leaving, OTHER])
            feed.publish_servers([OTHER])
            changed, removed = await take(updates, 2)
            assert set(changed.servers) == {leaving, OTHER}
            assert (removed.servers, removed.removed) == ((), ('i-1',))

        follow(scenario)

    def test_blocked_parts_are_sent_all(self):
        """A follower gets them at first, and all of them with each change."""
        first, second = (
            BlockedParts(frozenset((part,)), 7.5) for part in ('a', 'b')
        )

        async def scenario(feed, updates):
            await take(updates, 1)
            feed.publish_blocked((first,))
            feed.publish_blocked((first, second))
            changes = await take(updates, 2)
            assert [one.blocked for one in changes] == [
                (first,),
                (first, second),
            ]
            async with aclosing(feed.follow(0)) as later:
                assert (await take(later, 1))[0].blocked == (first, second)

        follow(scenario)

    def test_loss_of_the_store_is_told_at_once(self):
        """Followers need not wait for a heartbeat to leave the reader."""

        async def scenario(feed, updates):
            assert (await anext(updates)).is_fresh
            feed.set_fresh(on=False)
            assert not (await anext(updates)).is_fresh

        follow(scenario)

    def test_heartbeat_has_no_changes(self):
        """Without changes a follower still hears that the store is heard."""

        async def scenario(feed, updates):
            await take(updates, 1)
            heartbeat = await anext(updates)
            assert heartbeat.is_fresh
            assert not (heartbeat.servers or heartbeat.removed)

        follow(scenario)

    def test_slow_follower_is_dropped(self):
        """It follows anew instead of filling the memory of the reader."""

        async def scenario(feed, updates):
            await take(updates, 1)
            for number in range(MAX_WAITING + 2):
                feed.publish_servers([replace(SERVER, incarnation=number)])
            assert not feed.followers
            with pytest.raises(StopAsyncIteration):
                await take(updates, MAX_WAITING + 2)

        follow(scenario)
