"""Track which backend servers may be used.

Pure logic. During an outage of the registry (the platform's object store) its
entries may expire although the servers are alive; the entries reappear soon
after the registry answers again. A server whose entry is missing is therefore
still used for a grace period after an outage, and removed after that.
"""

from collections.abc import Iterable

from siskinpass.request.ticket import ServerView

# The platform states that expired entries reappear about two seconds after the
# registry is available again.
RECOVERY_GRACE_S = 2.2
# Entries expire after three heartbeat intervals; a shorter outage removes none.
MIN_OUTAGE_S = 1.5


class KnownServers:
    """Backend servers as last listed by the registry.

    Each method that applies an answer of the registry also ends an outage.
    """

    def __init__(self) -> None:
        self._views: dict[str, ServerView] = {}
        self._missing: set[str] = set()
        self._heard_s = float('-inf')
        self._outage_start_s: float | None = None
        self._grace_until_s = float('-inf')

    @property
    def views(self) -> tuple[ServerView, ...]:
        """Return all known servers, ordered by name.

        They include leaving servers and those that are missing from the
        registry during a grace period.
        """
        return tuple(self._views[name] for name in sorted(self._views))

    def mark_unreachable(self, now_s: float) -> None:
        """Record that the registry does not answer.

        The outage begins with the first call; further calls change nothing.
        """
        if self._outage_start_s is None:
            self._outage_start_s = now_s

    def apply_listing(self, views: Iterable[ServerView], now_s: float) -> None:
        """Update the servers from a full listing of the registry."""
        self._mark_reachable(now_s)
        listed = {view.name: view for view in views}
        missing = self._views.keys() - listed.keys()
        self._views.update(listed)
        self._missing -= listed.keys()
        self._mark_missing(missing, now_s)

    def put(self, view: ServerView, now_s: float) -> None:
        """Add or replace the server of one entry."""
        self._mark_reachable(now_s)
        self._views[view.name] = view
        self._missing.discard(view.name)

    def remove(self, name: str, now_s: float) -> None:
        """Remove a server, or mark it as missing during a grace period."""
        self._mark_reachable(now_s)
        if name in self._views:
            self._mark_missing({name}, now_s)

    def expire_missing(self, now_s: float) -> bool:
        """Remove the missing servers once the grace period is over.

        Nothing is removed during an outage of the registry.

        :returns: whether any server was removed.
        """
        if not self._missing or self._outage_start_s is not None:
            return False
        if now_s < self._grace_until_s:
            return False
        self._remove_all(self._missing)
        return True

    def _mark_reachable(self, now_s: float) -> None:
        start_s, self._outage_start_s = self._outage_start_s, None
        if start_s is not None and now_s - start_s >= MIN_OUTAGE_S:
            self._grace_until_s = now_s + RECOVERY_GRACE_S

    def _mark_missing(self, names: set[str], now_s: float) -> None:
        if now_s < self._grace_until_s:
            self._missing |= names
        else:
            self._remove_all(names | self._missing)

    def _remove_all(self, names: Iterable[str]) -> None:
        for name in tuple(names):
            self._views.pop(name, None)
        self._missing.clear()
