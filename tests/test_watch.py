"""Test watching the store when answers are lost or the store is down."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest

from bench.fleet import free_ports, wait_until
from siskinpass.connection.fetch import FetchedAnswer
from siskinpass.exceptions import StoreError
from siskinpass.platform.objects import Page
from siskinpass.process.fleet.settings import OperatorBounds
from siskinpass.process.fleet.store_client import WATCH_MARGIN_S, StoreClient
from siskinpass.process.fleet.watch import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    Changed,
    KindWatch,
    Listed,
    StoreUnavailable,
    watch_wait_s,
)
from standins.fleet import ObjectStore
from standins.http_server import serve

KIND = 'things'
FORGOTTEN = 8  # watches


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
    kind_watch = KindWatch(client, KIND, lambda: wait_s, follower.apply)
    task = asyncio.create_task(kind_watch.run())
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


class ForgetfulStore:
    """Client of a store whose history is always gone.

    :ivar calls: names of the calls and delays, in order.
    """

    def __init__(self):
        self.calls = []

    async def list_kind(self, kind):
        """Return an empty listing."""
        self.calls.append('list')
        return Page((), len(self.calls), era=1)

    async def watch_kind(self, kind, revision, wait_s):
        """Return that the history is gone, and cancel after some calls."""
        self.calls.append('watch')
        if self.calls.count('watch') == FORGOTTEN:
            raise asyncio.CancelledError

    async def sleep(self, delay_s):
        """Record a delay in place of waiting for it."""
        self.calls.append(delay_s)


class PagedStore(StoreClient):
    """Client of a store that answers a listing page by page.

    :param eras: era of each page.
    """

    def __init__(self, eras):
        super().__init__('127.0.0.1:1', lambda call, outcome: None)
        self._eras = iter(enumerate(eras))
        self._last = len(eras) - 1

    async def _read(self, call, path, timeout_s):
        """Return the next page, at a later revision than the one before."""
        number, self._era = next(self._eras)
        page = {
            'items': [{'metadata': {'name': f'{number}'}}],
            'has-more': number < self._last,
            'current-rev': 10 + number,
        }
        return FetchedAnswer(200, orjson.dumps(page))


class TestPages:
    """Test listings of several pages."""

    def test_changes_between_pages_are_watched(self):
        """Guards against an object of the first page that stays as it was."""

        async def scenario():
            return await PagedStore([1, 1, 1]).list_kind(KIND)

        page = asyncio.run(scenario())
        assert [one.name for one in page.stored] == ['0', '1', '2']
        assert page.revision == 10

    def test_pages_of_two_eras_are_no_listing(self):
        """The revision of the first one says nothing in the other era."""

        async def scenario():
            await PagedStore([1, 2]).list_kind(KIND)

        with pytest.raises(StoreError):
            asyncio.run(scenario())


class TestEras:
    """Test pages that are decoded while another call finds a later era."""

    @pytest.mark.parametrize('call', ['list', 'watch'])
    def test_page_keeps_the_era_of_its_answer(self, call, monkeypatch):
        """Guards against a page of before a restore that passes for new."""

        async def scenario():
            client = PagedStore([1])

            async def decode(decoder, body):
                client._era = 2
                return decoder(body)

            monkeypatch.setattr(
                'siskinpass.process.fleet.store_client._decode', decode
            )
            if call == 'list':
                return await client.list_kind(KIND)
            return await client.watch_kind(KIND, 1, 1.0)

        assert asyncio.run(scenario()).era == 1


class TestForgottenHistory:
    """Test a store that forgets its history."""

    def test_listings_follow_each_other_with_delays(self, monkeypatch):
        """Guards against a configuration that is late behind listings.

        Each instance listed all kinds without a pause, which used up the
        store's rate and the time of small machines.
        """
        store = ForgetfulStore()
        monkeypatch.setattr(
            'siskinpass.process.fleet.watch.asyncio',
            SimpleNamespace(sleep=store.sleep),
        )
        task = KindWatch(store, KIND, lambda: 1.0, lambda update: None).run()
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(task)
        delays = [one for one in store.calls if isinstance(one, float)]
        assert store.calls[:4] == ['list', 'watch', 'list', 'watch']
        assert len(delays) == FORGOTTEN - 2
        assert all(MIN_RETRY_S <= one <= MAX_RETRY_S for one in delays)

    @pytest.mark.parametrize('is_first', [True, False])
    def test_changes_are_listed_meanwhile(self, is_first):
        """Before the first watch is answered, and between two of them."""

        async def scenario(store, follower):
            if not is_first:
                await store.put(KIND, 'second', 1)
                await wait_until(
                    lambda: 'second' in follower.names, 'the second object'
                )
            store.history_from = 10**9
            for number in range(9):
                await store.put(KIND, f'{number}', 1)
            await store.remove(KIND, 'first')
            await wait_until(
                lambda: (
                    'first' not in follower.names
                    and f'{number}' in follower.names
                ),
                'the listing',
            )
            store.history_from = 0
            await store.put(KIND, 'last', 1)
            await wait_until(lambda: 'last' in follower.names, 'the last one')

        asyncio.run(follow(scenario))
