"""Test that a caller's connection can be lost at any moment."""

import asyncio

import pytest
import uvloop

from siskinpass.connection.caller import CallerConnection
from siskinpass.connection.http_caller import HttpCaller
from siskinpass.version.routes import CallerLimits


def http_caller(loop):
    """Return a connection of a fleet's instance."""
    return HttpCaller(CallerLimits, lambda caller, request: None)


def caller_connection(loop):
    """Return a connection of the daemon."""
    return CallerConnection(
        loop, lambda *parsed: None, lambda caller, head: None
    )


def write_all(caller):
    """Write a whole answer in pieces, and finish it."""
    if isinstance(caller, HttpCaller):
        caller.start_stream(200, ())
        caller.write_piece(b'x')
        caller.end_stream()
    else:
        caller.write(b'x')
        caller.write_chunk(b'x')
        caller.finish(keep_alive=True)


class TestLostCaller:
    """Test answers to a caller that has just disconnected."""

    @pytest.mark.parametrize('run', [asyncio.run, uvloop.run])
    @pytest.mark.parametrize('make', [http_caller, caller_connection])
    def test_writes_after_the_close_do_nothing(self, run, make):
        """Writing to a lost connection does not raise.

        uvloop raises an error for a write to a transport that is closed, which
        failed the request's task.
        """

        async def write_after_close():
            loop = asyncio.get_running_loop()
            accepted = loop.create_future()

            def accept():
                caller = make(loop)
                loop.call_soon(accepted.set_result, caller)
                return caller

            server = await loop.create_server(accept, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            caller = await accepted
            await asyncio.sleep(0.05)
            caller.abort()
            await asyncio.sleep(0.05)
            write_all(caller)
            is_open = caller.is_open
            writer.close()
            server.close()
            return is_open

        assert not run(write_after_close())
