"""Track the backend servers that asked for a pause.

Pure logic. A server that is short of capacity can refuse a request and name a
time for which it wants no more of them from this instance. A request therefore
goes elsewhere, or is refused with the time at which the first server takes
requests again.
"""

from collections.abc import Mapping

# Upper limit of a pause, against a server that asks for an absurd time.
MAX_PAUSE_S = 60.0


class ServerPauses:
    """End of each server's pause, on this instance's clock."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def pause(self, server: str, pause_s: float, now_s: float) -> float:
        """Start a pause, or extend one that ends sooner.

        :param pause_s: time that the server asked for.
        :returns: time that is used, at most ``MAX_PAUSE_S``.
        """
        used_s = min(pause_s, MAX_PAUSE_S)
        known_s = self._until_s.get(server, 0.0)
        self._until_s[server] = max(known_s, now_s + used_s)
        return used_s

    def current(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Return the servers that are paused, each with its end.

        Ended pauses are dropped.
        """
        self._until_s = {
            server: until_s
            for server, until_s in self._until_s.items()
            if until_s > now_s
        }
        return tuple(self._until_s.items())

    def is_paused(self, server: str, now_s: float) -> bool:
        """Return whether a server gets no requests now."""
        return self._until_s.get(server, 0.0) > now_s

    def first_end_s(self, servers: Mapping[str, float], now_s: float) -> float:
        """Return how long all of some servers are still closed.

        :param servers: names of the servers, each with the time before which
            it gets no requests for another reason.
        :returns: seconds until the first of them may be used, 0 if any of them
            may be used now or there is none.
        """
        ends_s = [
            max(closed_s, self._until_s.get(server, 0.0))
            for server, closed_s in servers.items()
        ]
        return max(0.0, min(ends_s, default=0.0) - now_s)
