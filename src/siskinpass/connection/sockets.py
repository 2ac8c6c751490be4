"""Set the options of the process's TCP sockets."""

import asyncio
import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SocketTimeouts:
    """Time limits after which the kernel closes an unresponsive connection.

    :param idle_s: idle time before the first keep-alive probe.
    :param interval_s: time between probes.
    :param probes: number of unanswered probes that close the connection, where
        no user timeout is set.
    :param user_timeout_ms: longest time that sent data or probes may stay
        unacknowledged.
    """

    idle_s: int = 10
    interval_s: int = 5
    probes: int = 3
    user_timeout_ms: int = 20_000


DEFAULT_TIMEOUTS = SocketTimeouts()


def tune_socket(
    transport: asyncio.BaseTransport,
    timeouts: SocketTimeouts = DEFAULT_TIMEOUTS,
) -> None:
    """Set keep-alive, the user timeout and ``TCP_NODELAY`` on a TCP socket.

    The kernel then closes the connection if the peer stops responding.
    Sockets that are not TCP are left unchanged.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, timeouts.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, timeouts.interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, timeouts.probes)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeouts.user_timeout_ms)
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
