"""Test a store whose open connections have gone silent."""

import asyncio
from collections import Counter

import pytest

from siskinpass.codes import Code
from siskinpass.platform.objects import Page, StoredObject
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.fleet.watch import (
    COALESCE_S,
    KindWatch,
    Listed,
)
from standins.http_server import json_response

WAIT_S = 0.3  # of a watch
IDLE = 3  # connections that were used before
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'


class SilentStore:
    """Store that goes silent on all connections that are open.

    :ivar connections: number of connections so far.
    """

    def __init__(self):
        self._silent = 0
        self._revision = 1
        self.connections = 0

    async def __call__(self, reader, writer):
        """Answer listings at once; watches wait for a change in vain."""
        self.connections += 1
        number = self.connections
        while await self._read_path(reader):
            if number > self._silent:
                writer.write(self._page())

    def silence(self):
        """Answer nothing any more on the connections that are open."""
        self._silent = self.connections
        self._revision += 1

    async def _read_path(self, reader):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return ''
        return head.split()[1].decode()

    def _page(self):
        page = {'items': [], 'events': [], 'current-rev': self._revision}
        body = json_response(page).body
        return HEAD % (len(body), body)


class TestSilentConnections:
    """Test that one silent connection tells of the others."""

    @pytest.mark.parametrize('idle', [0, 1, IDLE])
    def test_watch_lists_anew_on_a_new_connection(self, idle):
        """Guards against a configuration that is late by a timeout each."""

        async def scenario():
            store = SilentStore()
            server = await asyncio.start_server(store, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            calls = Counter()
            client = StoreClient(
                f'{host}:{port}',
                lambda call, outcome: calls.update((f'{call} {outcome}',)),
            )
            listed = asyncio.Queue()
            watch = KindWatch(client, 'kind', lambda: WAIT_S, listed.put_nowait)
            running = asyncio.create_task(watch.run())
            assert isinstance(await listed.get(), Listed)
            others = (client.list_kind('other') for _ in range(idle))
            await asyncio.gather(*others)
            store.silence()
            calls.clear()
            while not isinstance(await listed.get(), Listed):
                assert not calls[f'list {Code.store_down.name}']
            assert calls[f'watch {Code.store_down.name}'] == 1
            assert not calls[f'list {Code.store_down.name}']
            running.cancel()
            server.close()

        asyncio.run(asyncio.wait_for(scenario(), 20))


class WaitingStore:
    """Store that reports one change, then records how long watches wait."""

    def __init__(self):
        self.waits_s = []
        self.has_two = asyncio.Event()

    async def list_kind(self, kind):
        """Return an empty page."""
        return Page((), 1)

    async def watch_kind(self, kind, revision, wait_s):
        """Return a change to the first watch, nothing to later ones."""
        self.waits_s.append(wait_s)
        if len(self.waits_s) == 1:
            return Page((StoredObject('a', 2, {}),), 2)
        self.has_two.set()
        return await asyncio.Event().wait()


class TestPause:
    """Test the pause between a change and the next watch."""

    @pytest.mark.parametrize(
        ('wait_s', 'expected'),
        [(2.0, [2.0, 2.0 - COALESCE_S]), (0.0, [0.0, 0.0])],
    )
    def test_pause_is_a_part_of_the_wait(self, wait_s, expected):
        """Guards against silence that is noticed later than it must be."""

        async def scenario():
            store = WaitingStore()
            watch = KindWatch(
                store, 'kind', lambda: wait_s, lambda update: None
            )
            running = asyncio.create_task(watch.run())
            await store.has_two.wait()
            assert store.waits_s == expected
            running.cancel()

        asyncio.run(asyncio.wait_for(scenario(), 20))
