"""Hold one version of the routing document.

A route is a leaf of the tree of settings: it inherits what the installation
states and is itself overridden by the workspace of the caller's key.
"""

import enum
from bisect import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from itertools import accumulate, product


class RepeatPolicy(enum.Enum):
    """Tell what may be repeated."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class Share:
    """Send a part of a route's requests to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe one request class.

    :param repeat: what may be repeated.
    :param timeout_s: longest time from arrival to the final answer.
    :param target_s: time to the answer, for streams to the first event.
    :param pause_s: longest pause between events that is on time, 0 for none.
    :param tier: priority, 0 is the most urgent.
    :param max_attempts: backend servers that may run one request.
    :param is_public: whether requests need no key.
    :param has_prompt: whether requests carry a prompt for a model engine.
    :param is_resumable: whether a cut stream may go on elsewhere.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    pause_s: float = 0.0
    tier: int = 0
    max_attempts: int = 1
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a series of events."""
        return self.repeat is RepeatPolicy.stream

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.repeat is RepeatPolicy.idempotent or self.is_resumable

    def pick_service(self, draw: float) -> str:
        """Return the service that a draw selects.

        :param draw: uniform over 0 to 1, 1 excluded.
        """
        bounds = list(accumulate(share.weight for share in self.shares))
        index = bisect(bounds, draw * bounds[-1])
        return self.shares[min(index, len(self.shares) - 1)].service


@dataclass(frozen=True, slots=True)
class Engine:
    """Describe the model engines of a service.

    :param slots: requests that one engine runs at once.
    :param kv_capacity_tokens: tokens that its memory holds.
    :param kv_bytes_per_token: bytes of one token's attention state.
    :param supports_kv_backup: whether the KV cache of a running request can be
        copied to another engine.
    """

    slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: int = 0
    supports_kv_backup: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """Describe one service.

    :param max_connections: connections that one backend server accepts from
        all instances together.
    :param engine: its model engines, none for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send.

    :param head_timeout_s: time for a whole head.
    :param idle_timeout_s: time that a kept connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """Describe one workspace.

    :param tier: goes before the tiers of the routes, 0 is the most urgent;
        without one the workspace ranks as the least urgent of the others.
    """

    name: str
    keys: frozenset[str]
    tier: int | None = None


@dataclass(frozen=True)
class RouteTable:
    """Hold one version of the routing document, whole and checked."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[Workspace, ...] = ()

    @property
    def needs_keys(self) -> bool:
        """Return whether routes that are not open need a key."""
        return bool(self.workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or none."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, or none."""
        return self._by_key.get(key)

    def tier_of(self, route: Route, workspace: Workspace | None) -> int:
        """Return the tier of a request, 0 for the most urgent of the table.

        A workspace's tier goes before that of the route; among workspaces of
        one tier the classes keep the order of their routes.
        """
        return self._tiers[self._workspace_tier(workspace), route.tier]

    def is_tight(self, route: Route) -> bool:
        """Return whether no other stream has a shorter pause.

        Where all streams have the same pause, none is tight.
        """
        return route.pause_s > 0 and route.pause_s == self._tight_pause_s

    @cached_property
    def _tight_pause_s(self) -> float:
        pauses = {route.pause_s for route in self.routes if route.pause_s > 0}
        return min(pauses) if len(pauses) > 1 else 0.0

    @cached_property
    def _tiers(self) -> dict[tuple[int, int], int]:
        """Number the pairs of tiers without gaps."""
        upper = {self._workspace_tier(one) for one in self.workspaces}
        upper.add(self._lowest_tier)
        lower = {route.tier for route in self.routes}
        pairs = sorted(product(upper, lower))
        return {pair: tier for tier, pair in enumerate(pairs)}

    @cached_property
    def _lowest_tier(self) -> int:
        tiers = (one.tier for one in self.workspaces if one.tier is not None)
        return max(tiers, default=0)

    def _workspace_tier(self, workspace: Workspace | None) -> int:
        if workspace is None or workspace.tier is None:
            return self._lowest_tier
        return workspace.tier

    @cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            by_host.setdefault(route.host.lower(), []).append(route)
        return by_host

    @cached_property
    def _by_key(self) -> dict[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces
            for key in workspace.keys
        }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
