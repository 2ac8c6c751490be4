"""Track which backend servers may be used.

Pure logic. During an outage of the registry (the platform's object store) its
entries may expire although the servers are alive; the entries reappear soon
after the registry answers again. A server whose entry is missing is therefore
still used for a grace period after an outage, and removed after that.

The registry may also be restored from a copy that is some seconds old. The copy
can list a server that has left, or list as ready one that is leaving. What is
known of one incarnation of a server is kept, and an entry that had been removed
is believed only if it is written again or outlives the entries of dead servers.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from siskinpass.request.ticket import ServerView

# The platform states that expired entries reappear about two seconds after the
# registry is available again.
RECOVERY_GRACE_S = 2.2
# Entries expire after three heartbeat intervals; a shorter outage removes none.
MIN_OUTAGE_S = 1.5
# The entry of a dead server is removed after three heartbeat intervals of the
# stated 1.2 s; the rest covers the delay of the answer.
ENTRY_EXPIRY_S = 5.0
# Servers whose departure is remembered, oldest forgotten first.
MAX_REMEMBERED = 10_000


class KnownServers:
    """Backend servers as last listed by the registry.

    Each method that applies an answer of the registry also ends an outage.
    """

    def __init__(self) -> None:
        self._views: dict[str, ServerView] = {}
        self._missing: set[str] = set()
        self._outage_start_s: float | None = None
        self._grace_until_s = float('-inf')
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._leaving: OrderedDict[str, int] = OrderedDict()
        self._distrusted: dict[str, ServerView] = {}
        self._trust_from_s = 0.0

    @property
    def views(self) -> tuple[ServerView, ...]:
        """Return all known servers, ordered by name.

        They include leaving servers and those that are missing from the
        registry during a grace period.
        """
        return tuple(self._views[name] for name in sorted(self._views))

    @property
    def is_reachable(self) -> bool:
        """Return whether the registry answered the last time."""
        return self._outage_start_s is None

    def mark_unreachable(self, now_s: float) -> None:
        """Record that the registry does not answer.

        The outage begins with the first call; further calls change nothing.
        """
        if self._outage_start_s is None:
            self._outage_start_s = now_s

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Record that a server announced its end.

        It counts as leaving until a later incarnation of it is listed.

        :returns: whether it was not known to be leaving.
        """
        _remember(self._leaving, name, incarnation)
        known = self._views.get(name)
        if known is None or known.leaving or known.incarnation != incarnation:
            return False
        self._views[name] = replace(known, leaving=True)
        return True

    def apply_listing(self, views: Iterable[ServerView], now_s: float) -> None:
        """Update the servers from a full listing of the registry."""
        self._mark_reachable(now_s)
        self._replace_all(views, now_s)

    def apply_restored(self, views: Iterable[ServerView], now_s: float) -> None:
        """Update the servers from the first listing after a restore.

        Servers that are missing may only not have written their entries again,
        and those that had been removed may only be listed by the copy.
        """
        self._mark_reachable(now_s)
        self._grace_until_s = now_s + RECOVERY_GRACE_S
        self.apply_relayed(views, now_s)

    def apply_relayed(self, views: Iterable[ServerView], now_s: float) -> None:
        """Update the servers from the list of another instance.

        That instance may not know yet that a server was removed.
        """
        self._mark_reachable(now_s)
        self._trust_from_s = now_s + ENTRY_EXPIRY_S
        self._replace_all(views, now_s)

    def put(self, view: ServerView, now_s: float) -> None:
        """Add or replace the server of one entry that was written."""
        self._mark_reachable(now_s)
        self._distrusted.pop(view.name, None)
        self._accept(view)

    def remove(self, name: str, now_s: float) -> None:
        """Remove a server, or mark it as missing during a grace period."""
        self._mark_reachable(now_s)
        self._distrusted.pop(name, None)
        if name in self._views:
            self._mark_missing({name}, now_s)

    def expire_missing(self, now_s: float) -> bool:
        """Apply what is due once a grace period is over.

        Missing servers are removed, and entries that outlived those of dead
        servers are believed. Nothing changes during an outage of the registry.

        :returns: whether any server was added or removed.
        """
        if self._outage_start_s is not None:
            return False
        changed = self._believe_distrusted(now_s)
        if self._missing and now_s >= self._grace_until_s:
            self._remove_all(self._missing)
            return True
        return changed

    def _believe_distrusted(self, now_s: float) -> bool:
        if not self._distrusted or now_s < self._trust_from_s:
            return False
        for view in self._distrusted.values():
            self._accept(view)
        self._distrusted.clear()
        return True

    def _replace_all(self, views: Iterable[ServerView], now_s: float) -> None:
        listed = {view.name: view for view in views}
        missing = self._views.keys() - listed.keys()
        self._distrusted = {
            name: view
            for name, view in listed.items()
            if now_s < self._trust_from_s
            and self._removed.get(name) == view.incarnation
        }
        for name in listed.keys() - self._distrusted.keys():
            self._accept(listed[name])
        self._mark_missing(missing, now_s)

    def _accept(self, view: ServerView) -> None:
        if view.leaving:
            _remember(self._leaving, view.name, view.incarnation)
        elif self._leaving.get(view.name) == view.incarnation:
            view = replace(view, leaving=True)
        self._views[view.name] = view
        self._missing.discard(view.name)
        self._removed.pop(view.name, None)

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
            view = self._views.pop(name, None)
            if view is not None:
                _remember(self._removed, name, view.incarnation)
        self._missing.clear()


def _remember(
    incarnations: OrderedDict[str, int], name: str, incarnation: int
) -> None:
    incarnations[name] = incarnation
    incarnations.move_to_end(name)
    if len(incarnations) > MAX_REMEMBERED:
        incarnations.popitem(last=False)
