"""Set the options that every TCP socket of the process gets."""

import asyncio
import socket

KEEPALIVE_IDLE_S = 10
KEEPALIVE_EVERY_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 20_000


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Let the kernel notice a peer that went silent for good."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
