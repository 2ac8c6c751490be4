"""Track which backend servers this instance reaches by connections of its own.

Pure logic. An instance can lose its network path to some or all servers while
other instances reach them. A failed connection shows that something is wrong
with the server or with the path; an answer of any other server since then shows
that it is not the path to all of them.

Open connections may live on while new ones are refused, so that both are judged
apart: data on an open connection says nothing about new ones.
"""

import math
from collections.abc import Iterable

# A server that sends nothing for this long, while a request waits for it, is
# probed.
SILENT_S = 0.4


class PathHealth:
    """Successes and failures of this instance's connections, by server."""

    def __init__(self) -> None:
        # Start of the connection attempt that failed.
        self._failed_s: dict[str, float] = {}
        # The same of the first of several that failed in a row. Only that one
        # says something about the paths to other servers.
        self._broken_s: dict[str, float] = {}
        self._data_s: dict[str, float] = {}
        self._pending_s: dict[str, float] = {}
        self._pending: dict[str, int] = {}
        self._success_s = -math.inf
        self._trusts_accepted = True

    @property
    def failed(self) -> tuple[str, ...]:
        """Return the servers to which no new connection can be opened."""
        return tuple(self._failed_s)

    @property
    def is_cut_off(self) -> bool:
        """Return whether nothing shows that any server can be reached."""
        latest_s = max(self._broken_s.values(), default=-math.inf)
        return latest_s > self._success_s

    def may_connect(self, server: str) -> bool:
        """Return whether a new connection to a server is likely to open."""
        return server not in self._failed_s and not self.is_cut_off

    def may_reuse(self, server: str) -> bool:
        """Return whether open connections to a server are likely to work."""
        if self.is_cut_off:
            return False
        failed_s = self._failed_s.get(server, -math.inf)
        return self._data_s.get(server, 0.0) > failed_s

    def has_data(self, server: str, since_s: float) -> bool:
        """Return whether data of a server arrived since some time."""
        return self._data_s.get(server, -math.inf) >= since_s

    def note_accepted(self, now_s: float) -> None:
        """Record that a new connection was opened, which may be closed yet."""
        if self._trusts_accepted:
            self._success_s = max(self._success_s, now_s)

    def note_closed(self) -> None:
        """Record that a new connection was closed before it was used.

        Until one stays open or carries data, opening one shows nothing.
        """
        self._trusts_accepted = False

    def note_connected(self, server: str, now_s: float) -> None:
        """Record that a new connection to a server stayed open."""
        self._failed_s.pop(server, None)
        self._broken_s.pop(server, None)
        self.note_data(server, now_s)

    def note_failed(self, server: str, started_s: float) -> None:
        """Record that no connection to a server could be opened.

        :param started_s: when the attempt to open it began.
        """
        known_s = self._failed_s.get(server, -math.inf)
        self._failed_s[server] = max(known_s, started_s)
        self._broken_s.setdefault(server, started_s)

    def note_data(self, server: str, now_s: float) -> None:
        """Record that data of a server arrived."""
        self._data_s[server] = now_s
        self._trusts_accepted = True
        self._success_s = max(self._success_s, now_s)

    def note_sent(self, server: str, now_s: float) -> None:
        """Record that a request was sent to a server."""
        if not self._pending.get(server):
            self._pending_s[server] = now_s
        self._pending[server] = self._pending.get(server, 0) + 1

    def note_ended(self, server: str) -> None:
        """Record that a request to a server ended, in any way."""
        left = self._pending.pop(server, 0) - 1
        if left > 0:
            self._pending[server] = left
        else:
            self._pending_s.pop(server, None)

    def is_waiting(self, server: str) -> bool:
        """Return whether a request waits for the answer of a server."""
        return server in self._pending

    def silent(self, now_s: float) -> tuple[str, ...]:
        """Return the servers that send nothing while a request waits."""
        return tuple(
            server
            for server, since_s in self._pending_s.items()
            if now_s - max(since_s, self._data_s.get(server, 0.0)) > SILENT_S
        )

    def keep_only(self, listed: Iterable[str]) -> None:
        """Forget the servers that are not listed any more."""
        names = set(listed)
        for server in (self._failed_s.keys() | self._data_s.keys()) - names:
            self._failed_s.pop(server, None)
            self._broken_s.pop(server, None)
            self._data_s.pop(server, None)
