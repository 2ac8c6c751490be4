"""Test the connections of an instance that holds its paths for broken."""

import asyncio
from contextlib import suppress

import pytest

from siskinpass.codes import Code
from siskinpass.exceptions import ConnectError
from siskinpass.process.fleet.own_paths import OwnPaths
from siskinpass.request.ticket import ServerView

ENDED = ServerView('ended', '10.0.0.1:1', 'app')
SOUND = ServerView('sound', '10.0.0.1:2', 'app')
RESET = ServerView('reset', '10.0.0.1:3', 'app')


class Connection:
    """Connection to a server that runs."""

    def __init__(self, *, is_open):
        self.is_open = is_open

    def give_back(self):
        """Take the connection back."""


class Pool:
    """Pool before a sound server, one that has ended and one behind a reset."""

    def reuse(self, address):
        """Return no idle connection."""

    async def connect(self, address, *, fresh):
        """Connect unless the server has ended."""
        if address == ENDED.address:
            raise ConnectError(
                Code.backend_unreachable
            ) from ConnectionRefusedError
        return Connection(is_open=address == SOUND.address)


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
