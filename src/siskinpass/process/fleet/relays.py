"""Choose the instances that relay requests to backend servers."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from contextlib import contextmanager
from dataclasses import dataclass

from siskinpass.process.fleet.path_reports import PathReports
from siskinpass.process.membership import Member

RELAY_PORT_STEP = 3  # offset of the relay's port from the heartbeat port
# An instance in another availability zone is used if those of the same zone
# relay this many requests more for this one.
FAR_REQUESTS = 4
# Time for which an instance that failed to relay is asked last.
FAILED_S = 2.0


@dataclass(frozen=True, slots=True)
class Relay:
    """Instance that may relay requests.

    :param address: ``ip:port`` of its relay.
    :param is_near: whether it is in the same availability zone.
    """

    name: str
    address: str
    is_near: bool


class Relays:
    """Choice among the instances that may relay requests.

    :param own: this instance.
    :param candidates: returns the instances that may relay, this one included.
    :param reports: what other instances say of their paths.
    """

    def __init__(
        self,
        own: Member,
        candidates: Callable[[], Iterable[Member]],
        reports: PathReports,
    ) -> None:
        self._own = own
        self._candidates = candidates
        self._reports = reports
        self._loop = asyncio.get_running_loop()
        self._open: Counter[str] = Counter()
        self._failed_s: dict[str, float] = {}

    @property
    def has_others(self) -> bool:
        """Return whether there are other instances."""
        return any(
            member.name != self._own.name for member in self._candidates()
        )

    def choose(self, server: str, count: int) -> list[Relay]:
        """Return the instances to ask for a server, the best ones first.

        Near ones with few requests of this instance come first, those that
        failed lately last. Those that reported that they do not reach the
        server are left out.
        """
        found = [
            self._relay_of(member)
            for member in self._candidates()
            if member.name != self._own.name
            and self._reports.reaches(member.name, server)
        ]
        return sorted(found, key=self._cost)[:count]

    @contextmanager
    def use(self, relay: Relay) -> Generator[None, None, None]:
        """Count a request that an instance relays until its end."""
        self._open[relay.name] += 1
        try:
            yield
        finally:
            self._open.subtract((relay.name,))
            self._open += Counter()

    def avoid(self, relay: Relay) -> None:
        """Ask an instance last for a while."""
        self._failed_s[relay.name] = self._loop.time() + FAILED_S

    def _relay_of(self, member: Member) -> Relay:
        host, port = member.peer_address.rsplit(':', 1)
        return Relay(
            member.name,
            f'{host}:{int(port) + RELAY_PORT_STEP}',
            member.zone == self._own.zone,
        )

    def _cost(self, relay: Relay) -> tuple[bool, int, float]:
        has_failed = self._loop.time() < self._failed_s.get(relay.name, 0.0)
        requests = self._open[relay.name]
        if not relay.is_near:
            requests += FAR_REQUESTS
        return has_failed, requests, random.random()
