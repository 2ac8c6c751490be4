"""Know which backend servers may be used.

Pure logic. While the registry was away its entries may have lapsed although
their servers live; such entries come back soon after it answers again. Until
then a server whose entry is missing is still used; after that it is gone.
"""

from collections.abc import Iterable

from siskinpass.request.ticket import ServerView

# The platform states that lapsed entries are back about two seconds after the
# store's return.
RECOVERY_GRACE_S = 2.2
# Entries lapse after three heartbeats; a shorter outage removes none.
MIN_OUTAGE_S = 1.5


class KnownServers:
    """Hold the entries of the registry."""

    def __init__(self) -> None:
        """Start empty, with the registry not heard of yet."""
        self._views: dict[str, ServerView] = {}
        self._missing: set[str] = set()
        self._heard_s = float('-inf')
        self._outage_start_s: float | None = None
        self._grace_until_s = float('-inf')

    @property
    def views(self) -> tuple[ServerView, ...]:
        """Return the servers to use or to leave, by name."""
        return tuple(self._views[name] for name in sorted(self._views))

    def mark_unreachable(self, now_s: float) -> None:
        """Note that the registry does not answer."""
        if self._outage_start_s is None:
            self._outage_start_s = now_s

    def apply_listing(self, views: Iterable[ServerView], now_s: float) -> None:
        """Take in all entries."""
        self._mark_reachable(now_s)
        listed = {view.name: view for view in views}
        missing = self._views.keys() - listed.keys()
        self._views.update(listed)
        self._missing -= listed.keys()
        self._mark_missing(missing, now_s)

    def put(self, view: ServerView, now_s: float) -> None:
        """Take in one entry that is new or changed."""
        self._mark_reachable(now_s)
        self._views[view.name] = view
        self._missing.discard(view.name)

    def remove(self, name: str, now_s: float) -> None:
        """Take in that an entry is gone."""
        self._mark_reachable(now_s)
        if name in self._views:
            self._mark_missing({name}, now_s)

    def expire_missing(self, now_s: float) -> bool:
        """Drop servers that were missing for too long.

        :returns: whether any was dropped.
        """
        if not self._missing or self._outage_start_s is not None:
            return False
        if now_s < self._grace_until_s:
            return False
        self._remove_all(self._missing)
        return True

    def _mark_reachable(self, now_s: float) -> None:
        outage_start_s, self._outage_start_s = (
            self._outage_start_s,
            None,
        )
        if (
            outage_start_s is not None
            and now_s - outage_start_s >= MIN_OUTAGE_S
        ):
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
