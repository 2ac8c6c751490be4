"""Test the connections of an instance that holds its paths for broken."""

import asyncio
from contextlib import suppress

import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import ConnectError
from siskinpass.process.fleet.own_paths import OwnPaths
from siskinpass.request.ticket import ServerView

REQUESTS = 3
TURNS = 20  # of the event loop, more than a probe takes
ENDED = ServerView('ended', '10.0.0.1:1', 'app')
SOUND = ServerView('sound', '10.0.0.1:2', 'app')
RESET = ServerView('reset', '10.0.0.1:3', 'app')


class Connection:
    """Connection to a server that runs."""

    def __init__(self, *, is_open, is_lost=False):
        self.is_open = is_open
        self.is_lost = is_lost

    def give_back(self):
        """Take the connection back."""


class Pool:
    """Pool before a sound server, one that has ended and one behind a reset.

    :ivar connects: number of connections asked for.
    """

    def __init__(self):
        self.connects = 0

    def reuse(self, address):
        """Return no idle connection."""

    async def connect(self, address, *, fresh):
        """Connect unless the server has ended."""
        self.connects += 1
        if address == ENDED.address:
            raise ConnectError(
                Code.backend_unreachable
            ) from ConnectionRefusedError
        return Connection(is_open=address == SOUND.address)


def end_request(paths, connection, *, has_data):
    """Watch a request until its connection has ended."""
    with paths.watch(RESET, connection) as note_data:
        if has_data:
            note_data()


class TestPresumption:
    """Test an instance that has only seen a connection fail."""

    def test_relay_tries_a_server_before_it_states_that_it_is_unreachable(
        self,
    ):
        """The server that failed says nothing about another one."""

        async def scenario():
            paths = OwnPaths(Pool(), lambda view: None)
            paths.update_servers([ENDED, SOUND])
            try:
                await paths.connect(ENDED)
            except ConnectError:
                assert paths.is_cut_off
            return await paths.open(SOUND, fresh=True)

        assert isinstance(asyncio.run(scenario()), Connection)


class TestCheck:
    """Test what shows that a server is reached."""

    @pytest.mark.parametrize(
        ('view', 'failed'), [(SOUND, ()), (RESET, ('reset',))]
    )
    def test_connection_that_is_closed_at_once_has_failed(self, view, failed):
        """Only one that stays open counts."""

        async def scenario():
            paths = OwnPaths(Pool(), lambda view: None)
            paths.update_servers([view])
            with suppress(ConnectError):
                await paths.check(view)
            return paths.failed

        assert asyncio.run(scenario()) == failed

    @pytest.mark.parametrize(
        ('is_lost', 'has_data', 'failed'),
        [
            (True, False, ('reset',)),
            (True, True, ()),
            (False, False, ()),
        ],
    )
    def test_request_whose_connection_is_closed_starts_a_probe(
        self, monkeypatch, is_lost, has_data, failed
    ):
        """One for all of them, unless the server had begun to answer."""
        monkeypatch.setattr(f'{OwnPaths.__module__}.PROBE_OPEN_S', 0)

        async def scenario():
            pool = Pool()
            paths = OwnPaths(pool, lambda view: None)
            paths.update_servers([RESET])
            lost = Connection(is_open=False, is_lost=is_lost)
            for _ in range(REQUESTS):
                end_request(paths, lost, has_data=has_data)
            for _ in range(TURNS):
                await asyncio.sleep(0)
            return paths.failed, pool.connects

        assert asyncio.run(scenario()) == (failed, len(failed))
