"""Keep the rate limits of servers together with the other instances."""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.server_pace import Sharing, share_of
from siskinpass.request.ticket import ServerView, Share

MS_PER_S = 1000
LIMIT_TOPIC = 'limit'  # of announcements to the other instances
# Instances that start later hear of a limit within this time, as long as any
# of the others gets answers that state it.
ANNOUNCE_S = 1.0


@dataclass(frozen=True, slots=True)
class _Limit:
    """Limit of one server.

    :param incarnation: process of the server that stated it.
    :param per_s: requests a second, ``None`` if it states none any more.
    :param answered_ms: when the answer came that stated or ended it, in Unix
        ms.
    :param named_s: when this instance last heard of it.
    :param announced_s: when this instance last told the others.
    """

    incarnation: int
    per_s: float | None
    answered_ms: int
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

    @property
    def known_limits(self) -> dict[str, float]:
        """Return the requests a second of each limited server."""
        return {
            name: limit.per_s
            for name, limit in self._limits.items()
            if limit.per_s is not None
        }

    def note(
        self, server: ServerView, per_s: float | None, sent_s: float
    ) -> None:
        """Record what an answer says of its server's limit.

        An answer without one ends the limit, unless its request was sent before
        the last answer that stated it: answers may overtake each other.

        :param per_s: requests a second, ``None`` if the answer states no limit.
        :param sent_s: when the request was sent, on the event loop's clock.
        """
        known = self._known(server.name, server.incarnation)
        is_limited = known is not None and known.per_s is not None
        if per_s is None and not (is_limited and sent_s > known.named_s):
            return
        now_ms = int(time.time() * MS_PER_S)
        self._set(server.name, server.incarnation, per_s, now_ms)
        self._announce_rarely(server.name)

    def receive(self, payload: tuple[str, int, float | None, int]) -> None:
        """Take in what another instance says of a server's limit.

        What an earlier answer said is ignored: announcements are repeated, and
        may overtake each other.
        """
        name, incarnation, per_s, answered_ms = payload
        known = self._known(name, incarnation)
        if known is None or answered_ms > known.answered_ms:
            self._set(name, incarnation, per_s, answered_ms)

    def refresh(self, servers: Iterable[ServerView]) -> None:
        """Adapt to the instances and servers that there are now.

        :param servers: all listed servers.
        """
        if not self._limits:
            return
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

    def _set(
        self, name: str, incarnation: int, per_s: float | None, answered_ms: int
    ) -> None:
        now_s = self._loop.time()
        known = self._known(name, incarnation)
        if known is not None and known.per_s == per_s:
            self._limits[name] = replace(
                known, answered_ms=answered_ms, named_s=now_s
            )
            return
        self._limits[name] = _Limit(incarnation, per_s, answered_ms, now_s)
        self._metrics.noticed('limit')
        self._share()
        share = self._shares.get(name)
        self._log.note(
            'The limit of a server has changed.',
            server=name,
            limit_per_s=per_s,
            interval_s=round(share.interval_s, 3) if share else 0,
        )

    def _announce_rarely(self, name: str) -> None:
        now_s = self._loop.time()
        limit = self._limits[name]
        if now_s - limit.announced_s < ANNOUNCE_S:
            return
        self._limits[name] = replace(limit, announced_s=now_s)
        self._announce(
            LIMIT_TOPIC,
            (name, limit.incarnation, limit.per_s, limit.answered_ms),
        )

    def _share(self) -> None:
        sharing = self._sharing()
        shares = {
            name: share_of(sharing, name, per_s)
            for name, per_s in self.known_limits.items()
        }
        if shares != self._shares:
            self._shares = shares
            self._on_shares(shares)
