"""Keep the limits that servers name, together with the other instances."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pace import Sharing, share_of
from siskinpass.request.ticket import ServerView, Share

LIMIT_TOPIC = 'limit'  # of announcements to the other instances
# Instances that start later hear of a limit within this time, as long as any
# of the others gets answers that name it.
ANNOUNCE_S = 1.0


@dataclass(frozen=True, slots=True)
class _Limit:
    """Limit of one server.

    :param incarnation: process of the server that named it.
    :param named_s: when an answer last named it.
    :param announced_s: when this instance last told the others.
    """

    incarnation: int
    per_s: float
    named_s: float
    announced_s: float = 0.0


class ServerLimits:
    """Owner of the known limits.

    :param sharing: returns the instances that share them.
    :param on_shares: called with this instance's share of each limited server.
    :param announce: sends a payload on a topic to the other instances.
    """

    def __init__(
        self,
        sharing: Callable[[], Sharing],
        on_shares: Callable[[Mapping[str, Share]], None],
        announce: Callable[[str, Any], None],
        metrics: Metrics,
    ) -> None:
        self._sharing = sharing
        self._on_shares = on_shares
        self._announce = announce
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._log = ComponentLog('limits')
        self._limits: dict[str, _Limit] = {}
        self._shares: dict[str, Share] = {}

    def note(
        self, server: ServerView, per_s: float | None, sent_s: float
    ) -> None:
        """Record what an answer says of its server's limit.

        An answer without one ends the limit, unless its request was sent before
        the last answer that named it: answers may overtake each other.

        :param per_s: requests a second, ``None`` if the answer names no limit.
        :param sent_s: when the request was sent, on the event loop's clock.
        """
        known = self._known(server.name, server.incarnation)
        if per_s is not None:
            self._set(server.name, server.incarnation, per_s)
            self._announce_rarely(server.name)
        elif known is not None and sent_s > known.named_s:
            self._lift(server.name)
            self._announce(LIMIT_TOPIC, (server.name, server.incarnation, None))

    def receive(self, payload: tuple[str, int, float | None]) -> None:
        """Take in what another instance says of a server's limit."""
        name, incarnation, per_s = payload
        if per_s is not None:
            self._set(name, incarnation, float(per_s))
        elif self._known(name, incarnation) is not None:
            self._lift(name)

    def refresh(self, servers: Iterable[ServerView]) -> None:
        """Adapt to the instances and servers that there are now.

        :param servers: all listed servers.
        """
        listed = {server.name: server.incarnation for server in servers}
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if listed.get(name) == limit.incarnation
        }
        self._share()

    def _known(self, name: str, incarnation: int) -> _Limit | None:
        known = self._limits.get(name)
        if known is None or known.incarnation != incarnation:
            return None
        return known

    def _set(self, name: str, incarnation: int, per_s: float) -> None:
        now_s = self._loop.time()
        known = self._known(name, incarnation)
        if known is not None and known.per_s == per_s:
            self._limits[name] = replace(known, named_s=now_s)
            return
        self._limits[name] = _Limit(incarnation, per_s, now_s)
        self._metrics.noticed('limit')
        self._share()
        self._log.note(
            'A server named a limit.',
            server=name,
            limit_per_s=per_s,
            interval_s=round(self._shares[name].interval_s, 3),
        )

    def _lift(self, name: str) -> None:
        self._limits.pop(name)
        self._log.note('A server names no limit any more.', server=name)
        self._share()

    def _announce_rarely(self, name: str) -> None:
        now_s = self._loop.time()
        limit = self._limits[name]
        if now_s - limit.announced_s < ANNOUNCE_S:
            return
        self._limits[name] = replace(limit, announced_s=now_s)
        self._announce(LIMIT_TOPIC, (name, limit.incarnation, limit.per_s))

    def _share(self) -> None:
        sharing = self._sharing()
        shares = {
            name: share_of(sharing, name, limit.per_s)
            for name, limit in self._limits.items()
        }
        if shares != self._shares:
            self._shares = shares
            self._on_shares(shares)
