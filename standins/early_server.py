"""Backend servers that answer long requests before they have read them.

Run as ``python -m standins.early_server BEHAVIOUR``, which writes the port to
standard output. Answers have neither a length nor chunks.
"""

import asyncio
import socket
import struct
import sys
from functools import partial
from types import MappingProxyType

HEAD = b'HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\n'
FIRST_HALF = b'half of the '
SECOND_HALF = b'answer'
REQUEST_BYTES = 4_000_000
NO_LINGER = struct.pack('ii', 1, 0)  # makes close() send a reset


async def reset(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection amid the answer."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


async def read_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the request, then complete the answer."""
    await reader.readexactly(REQUEST_BYTES)
    writer.write(SECOND_HALF)
    writer.close()


async def half_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Complete the answer, then read the request."""
    writer.write(SECOND_HALF)
    writer.write_eof()
    await reader.readexactly(REQUEST_BYTES)
    writer.close()


BEHAVIOURS = MappingProxyType({
    one.__name__: one for one in (reset, read_on, half_close)
})


async def answer(
    behaviour: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Begin to answer one request, and go on as the behaviour does."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(HEAD + FIRST_HALF)
    await writer.drain()
    await BEHAVIOURS[behaviour](reader, writer)


async def main(behaviour: str) -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(
        partial(answer, behaviour), '127.0.0.1', 0
    )
    sys.stdout.write(f'{server.sockets[0].getsockname()[1]}\n')
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
