"""Test the connections of an instance that holds its paths for broken."""

import asyncio

from siskinpass.codes import Code
from siskinpass.exceptions import ConnectError
from siskinpass.process.fleet.own_paths import OwnPaths
from siskinpass.request.ticket import ServerView

ENDED = ServerView('ended', '10.0.0.1:1', 'app')
SOUND = ServerView('sound', '10.0.0.1:2', 'app')


class Connection:
    """Connection to the sound server."""

    def give_back(self):
        """Take the connection back."""


class Pool:
    """Pool before one server that runs and one that has ended."""

    def reuse(self, address):
        """Return no idle connection."""

    async def connect(self, address, *, fresh):
        """Connect to the sound server only."""
        if address == ENDED.address:
            raise ConnectError(
                Code.backend_unreachable
            ) from ConnectionRefusedError
        return Connection()


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
