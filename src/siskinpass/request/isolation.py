"""Decide how to place a request under which backend servers have ended.

Pure logic. A crash cuts off sound requests too, so that one crash proves
little; but each further server that ends costs all other requests of its
service a part of their capacity. The more crashes a request was in, the less is
put at risk for it.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

# Crashes after which a request may only be tried where nothing else is at risk.
SUSPICIOUS_CRASHES = 2


@dataclass(frozen=True, slots=True)
class ServerEnded:
    """The process of a server has ended, but the server is still listed.

    :param server: name of the server.
    :param incarnation: start of the process that ended.
    """

    server: str
    incarnation: int


class Isolation(enum.Enum):
    """Which backend servers a request may be sent to.

    ``none``: any of them.
    ``preferred``: one that runs nothing else, if there is any.
    ``required``: only one that runs nothing else, and not the last that is
    open.
    """

    none = 'none'
    preferred = 'preferred'
    required = 'required'


class Loaded(Protocol):
    """Backend server with its load."""

    @property
    def is_idle(self) -> bool:
        """Return whether it runs no request that is known of."""


LoadedServer = TypeVar('LoadedServer', bound=Loaded)


def isolation_after(crashes: int) -> Isolation:
    """Return how to place a request.

    :param crashes: servers that have ended under it, one after the other.
    """
    if crashes >= SUSPICIOUS_CRASHES:
        return Isolation.required
    return Isolation.preferred if crashes else Isolation.none


def isolated(
    servers: Sequence[LoadedServer], crashes: int, *, listed: int
) -> Sequence[LoadedServer]:
    """Return the servers that a request may be sent to.

    :param servers: those that are open to it.
    :param crashes: servers that have ended under the request.
    :param listed: number of servers that the service has, open or not.
    """
    isolation = isolation_after(crashes)
    if isolation is Isolation.none:
        return servers
    idle = [server for server in servers if server.is_idle]
    if isolation is Isolation.preferred:
        return idle or servers
    return idle if len(servers) > 1 or listed == 1 else ()
