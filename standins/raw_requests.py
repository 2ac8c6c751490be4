"""Read requests from connections whose answers a test writes byte by byte."""

import asyncio
import re
from collections.abc import AsyncGenerator

BODY_BYTES = 4
CALL = re.compile(rb'(?i)x-attempt-id: (\S+)')


async def read_calls(
    reader: asyncio.StreamReader,
) -> AsyncGenerator[bytes, None]:
    """Yield the id of each request of a connection, until it is closed.

    All requests must have ids and bodies of ``BODY_BYTES``.
    """
    while True:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(BODY_BYTES)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        yield CALL.search(head).group(1)
