"""Know which backend servers may be used.

Pure logic. While the registry was away its entries may have lapsed although
their servers live; such entries come back soon after it answers again. Until
then a server whose entry is missing is still used; after that it is gone.
"""

from collections.abc import Iterable

from siskinpass.request.ticket import ServerView

# The platform states that lapsed entries are back about two seconds after the
# store's return.
RETURN_S = 2.2
# Entries lapse after three heartbeats; a shorter outage removes none.
OUTAGE_LEAST_S = 1.5


class ServerBook:
    """Hold the entries of the registry."""

    def __init__(self) -> None:
        """Start empty, with the registry not heard of yet."""
        self._views: dict[str, ServerView] = {}
        self._missing: set[str] = set()
        self._heard_s = float('-inf')
        self._lost_s: float | None = None
        self._trusts_from_s = float('-inf')

    @property
    def views(self) -> tuple[ServerView, ...]:
        """Return the servers to use or to leave, by name."""
        return tuple(self._views[name] for name in sorted(self._views))

    def lose(self, now_s: float) -> None:
        """Note that the registry does not answer."""
        if self._lost_s is None:
            self._lost_s = now_s

    def list_all(self, views: Iterable[ServerView], now_s: float) -> None:
        """Take in all entries."""
        self._hear(now_s)
        listed = {view.name: view for view in views}
        missing = self._views.keys() - listed.keys()
        self._views.update(listed)
        self._missing -= listed.keys()
        self._miss(missing, now_s)

    def change(self, view: ServerView, now_s: float) -> None:
        """Take in one entry that is new or changed."""
        self._hear(now_s)
        self._views[view.name] = view
        self._missing.discard(view.name)

    def remove(self, name: str, now_s: float) -> None:
        """Take in that an entry is gone."""
        self._hear(now_s)
        if name in self._views:
            self._miss({name}, now_s)

    def pass_time(self, now_s: float) -> bool:
        """Drop servers that were missing for too long.

        :returns: whether any was dropped.
        """
        if not self._missing or self._lost_s is not None:
            return False
        if now_s < self._trusts_from_s:
            return False
        self._drop(self._missing)
        return True

    def _hear(self, now_s: float) -> None:
        lost_s, self._lost_s = self._lost_s, None
        if lost_s is not None and now_s - lost_s >= OUTAGE_LEAST_S:
            self._trusts_from_s = now_s + RETURN_S

    def _miss(self, names: set[str], now_s: float) -> None:
        if now_s < self._trusts_from_s:
            self._missing |= names
        else:
            self._drop(names | self._missing)

    def _drop(self, names: Iterable[str]) -> None:
        for name in tuple(names):
            self._views.pop(name, None)
        self._missing.clear()
