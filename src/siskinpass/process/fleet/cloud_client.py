"""Client of the platform's cloud API.

A call must not reach the API after the lease has ended. The pooled connections
of ``connection/backend.py`` do not allow that: the event loop writes later than
it is told to, and a closed connection goes on sending what the kernel holds. So
each call has a socket of its own, is written by a system call right after the
check of the lease, and is withdrawn by a reset.
"""

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import httptools

from siskinpass.codes import Code
from siskinpass.exceptions import BackendError, ConnectError

CONNECT_TIMEOUT_S = 0.5
# The event loop's clock stands still while the machine is suspended; the clock
# that does not is read this often.
CHECK_S = 0.05
MS_PER_S = 1000
READ_BYTES = 65_536
FINAL_STATUS = 200  # lower ones come before the answer
UNREADABLE = (httptools.HttpParserError, httptools.HttpParserUpgrade)
BROKEN = (OSError, *UNREADABLE)
# Makes a close reset the connection and drop what was not delivered yet.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def boot_s() -> float:
    """Return the time since the machine's start, with its suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Answer:
    """Parser of one answer, up to the end of its head.

    The body is not used, and without a length it only ends with the connection.

    :ivar status: ``None`` until the head is complete.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        self._parser = httptools.HttpResponseParser(self)
        self.status: int | None = None

    def feed(self, piece: bytes) -> None:
        """Parse what was received.

        :raises UNREADABLE: if it is not the head of an answer.
        """
        try:
            self._parser.feed_data(piece)
        except UNREADABLE:
            if self.status is None:
                raise

    def on_headers_complete(self) -> None:
        """Keep the status unless another head follows."""
        status = self._parser.get_status_code()
        if self.status is None and status >= FINAL_STATUS:
            self.status = status


def _open_socket(family: int) -> socket.socket:
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectError(Code.backend_unreachable, str(error)) from error
    sock.setblocking(False)  # noqa: FBT003
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return sock


class CloudClient:
    """Sender of calls.

    :param address: ``ip:port`` of the cloud API.
    :param local_host: address that connections leave from.
    """

    def __init__(self, address: str, local_host: str) -> None:
        host, _, port = address.rpartition(':')
        self._target = (host, int(port))
        self._local_host = local_host
        self._loop = asyncio.get_running_loop()

    async def call(self, prepare: Callable[[], tuple[bytes, float]]) -> int:
        """Send one call and return the status of its answer.

        :param prepare: called when the connection is open; returns the request
            and the time within which it must be answered, or raises to send
            nothing.
        :raises ConnectError: if no connection can be opened; nothing was sent.
        :raises BackendError: if no answer arrives in time.
        """
        family = socket.AF_INET6 if ':' in self._target[0] else socket.AF_INET
        with _open_socket(family) as sock:
            await self._connect(sock)
            request, timeout_s = prepare()
            end_s = boot_s() + timeout_s
            unsent = self._start(sock, request, timeout_s)
            return await self._finish(sock, unsent, end_s)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            if self._local_host:
                sock.bind((self._local_host, 0))
            await asyncio.wait_for(
                self._loop.sock_connect(sock, self._target), CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError) as error:
            raise ConnectError(Code.backend_unreachable, str(error)) from error

    def _start(
        self, sock: socket.socket, request: bytes, timeout_s: float
    ) -> bytes:
        """Write a request at once and return what the kernel did not take."""
        # The kernel gives up by itself if this process is stopped meanwhile.
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(1, int(timeout_s * MS_PER_S)),
        )
        try:
            return request[sock.send(request) :]
        except OSError as error:
            raise BackendError(Code.stream_cut, str(error)) from error

    async def _finish(
        self, sock: socket.socket, unsent: bytes, end_s: float
    ) -> int:
        exchange = self._loop.create_task(self._exchange(sock, unsent))
        try:
            while not exchange.done() and boot_s() < end_s:
                await asyncio.wait((exchange,), timeout=CHECK_S)
        finally:
            exchange.cancel()
        if not exchange.done():
            await asyncio.wait((exchange,))
            raise BackendError(Code.stream_silent, 'no answer in time')
        try:
            return exchange.result()
        except BROKEN as error:
            raise BackendError(Code.stream_cut, str(error)) from error

    async def _exchange(self, sock: socket.socket, unsent: bytes) -> int:
        if unsent:
            await self._loop.sock_sendall(sock, unsent)
        answer = _Answer()
        while answer.status is None:
            piece = await self._loop.sock_recv(sock, READ_BYTES)
            if not piece:
                raise ConnectionResetError('closed before the answer')
            answer.feed(piece)
        return answer.status
