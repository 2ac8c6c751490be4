"""Listen for callers while the rest of the program is still loaded.

After a loss of all instances callers have no other instance to go to. Their
connections then wait in the kernel's queue for the short time until this
instance serves, instead of being refused. If another instance answers, callers
are better off there, and connections are refused until this one serves.
"""

import selectors
import socket
import time
from collections.abc import Generator, Iterable
from contextlib import contextmanager

BACKLOG = 1024  # connections waiting for accept, sized for bursts
# Far above the time of a connection within a region, and short against the
# time that the program takes to load.
PROBE_S = 0.1


def listen_early(
    addresses: Iterable[str], others: Iterable[str]
) -> dict[str, socket.socket]:
    """Listen on some addresses, unless another instance is running.

    :param addresses: ``host:port`` of each listener.
    :param others: ``host:port`` of some other instances, on which one that runs
        accepts connections; without any it is not known whether one does.
    :returns: sockets by address; empty if another instance accepts
        connections or an address cannot be bound.
    """
    asked = tuple(others)
    if not asked or _is_any_reached(asked):
        return {}
    opened: dict[str, socket.socket] = {}
    try:
        for address in addresses:
            opened[address] = socket.create_server(
                _split(address), backlog=BACKLOG
            )
    except OSError:
        # The regular start reports an address that cannot be bound.
        close_all(opened.values())
        return {}
    return opened


def close_all(sockets: Iterable[socket.socket]) -> None:
    """Close sockets; connections that wait at them are reset."""
    for opened in sockets:
        opened.close()


def _is_any_reached(addresses: Iterable[str]) -> bool:
    with _connecting(addresses) as selector:
        deadline_s = time.monotonic() + PROBE_S
        while selector.get_map():
            left_s = deadline_s - time.monotonic()
            ended = selector.select(max(0, left_s))
            if not ended:
                return False
            for key, _ in ended:
                if not key.fileobj.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ERROR
                ):
                    return True
                selector.unregister(key.fileobj)
                key.fileobj.close()
    return False


@contextmanager
def _connecting(
    addresses: Iterable[str],
) -> Generator[selectors.BaseSelector, None, None]:
    """Begin to connect to addresses; close what is open at the end."""
    with selectors.DefaultSelector() as selector:
        for address in addresses:
            probe = socket.socket()
            probe.setblocking(False)  # noqa: FBT003
            probe.connect_ex(_split(address))
            selector.register(probe, selectors.EVENT_WRITE)
        try:
            yield selector
        finally:
            close_all([key.fileobj for key in selector.get_map().values()])


def _split(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host, int(port)
