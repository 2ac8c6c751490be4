"""One version of the routing configuration: routes, services, workspaces.

A request belongs to the route that its host and path select, and to the
workspace of its API key. The tier of the workspace takes precedence over the
tier of the route.
"""

import enum
from bisect import bisect
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from itertools import accumulate, product


class RepeatPolicy(enum.Enum):
    """Whether a request may run more than once.

    ``idempotent``: it may.
    ``once``: it must not.
    ``stream``: it is answered by a stream and may run again, on another
    server, only where the route is resumable.
    """

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that goes to one service.

    :param weight: size of the part relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One request class.

    :param host: host name that requests must be addressed to.
    :param prefix: prefix of the request paths.
    :param repeat: whether requests may run more than once.
    :param shares: services that requests are distributed among.
    :param timeout_s: longest time from arrival to the end of the response.
    :param target_s: latency target for the response, for streams for the first
        event.
    :param pause_s: target for the longest pause between events, 0 for none.
    :param tier: priority, 0 is the most urgent.
    :param max_attempts: number of sends of one request that may be run.
    :param is_public: whether requests need no key.
    :param has_prompt: whether requests carry a prompt for a model engine.
    :param is_resumable: whether a stream that broke off may be continued from
        another server.
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
        """Return whether the response is a stream of events."""
        return self.repeat is RepeatPolicy.stream

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.repeat is RepeatPolicy.idempotent or self.is_resumable

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that may serve the route."""
        return tuple(share.service for share in self.shares if share.weight)

    def pick_service(self, draw: float) -> str:
        """Return a service chosen at random by the weights of the shares.

        :param draw: random number, uniform over 0 to 1, 1 excluded.
        """
        bounds = list(accumulate(share.weight for share in self.shares))
        index = bisect(bounds, draw * bounds[-1])
        return self.shares[min(index, len(self.shares) - 1)].service


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties of the model engines of a service.

    :param slots: requests that one engine runs concurrently.
    :param kv_capacity_tokens: tokens that the KV cache of one engine holds.
    :param kv_bytes_per_token: size of the KV cache entry of one token.
    :param supports_kv_backup: whether the KV cache of a request can be copied
        while the request runs.
    """

    slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: int = 0
    supports_kv_backup: bool = False


@dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices for ordering servers of a service.

    :param least: servers that each zone has at least, of both kinds together.
    :param most: servers that each zone may have, of both kinds together.
    :param boot_s: time from an order until a new server serves.
    :param spot_price: price of a spot server relative to a normal one; 1 if
        there is no reason to order spot servers.
    :param zone_prices: price of a normal server by zone.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float = 1.0
    zone_prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that serve the same requests.

    :param max_connections: connections that one backend server accepts from
        all instances together.
    :param engine: properties of its model engines, None for a plain service.
    :param scaling: how its servers are ordered, None if they are not.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send.

    :param head_bytes: size of the head of a request.
    :param body_bytes: size of the body of a request.
    :param head_timeout_s: time within which a complete head must arrive.
    :param idle_timeout_s: time for which a persistent connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace, a customer of the deployment.

    :param keys: API keys of its callers.
    :param tier: priority, 0 is the most urgent; takes precedence over the
        tiers of the routes. A workspace without one ranks with the least
        urgent workspace that has one.
    """

    name: str
    keys: frozenset[str]
    tier: int | None = None


@dataclass(frozen=True)
class RouteTable:
    """One complete and validated version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[Workspace, ...] = ()

    @property
    def needs_keys(self) -> bool:
        """Return whether routes that are not public need a key."""
        return bool(self.workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        :param host: host name of the request, in any case.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self._by_key.get(key)

    def memory_of(self, service: str) -> int:
        """Return the tokens that one server of a service holds.

        :returns: 0 if the service has no model engine, or its size is not
            known.
        """
        found = self.services.get(service)
        engine = found.engine if found else None
        return engine.kv_capacity_tokens if engine else 0

    def tier_of(self, route: Route, workspace: Workspace | None) -> int:
        """Return the tier of a request, 0 for the most urgent of the table.

        Requests are ranked by the tier of the workspace first and by the tier
        of the route second.
        """
        return self._tiers[self._workspace_tier(workspace), route.tier]

    def is_upper(self, tier: int) -> bool:
        """Return whether a tier is in the upper half of the table's tiers."""
        return 2 * tier < len(self._tiers)

    def is_tight(self, route: Route) -> bool:
        """Return whether a route has the shortest pause target of all streams.

        Where all streams have the same pause target, none is tight.
        """
        return route.pause_s > 0 and route.pause_s == self._tight_pause_s

    @cached_property
    def engine_count(self) -> int:
        """Return the number of services that have model engines."""
        return sum(one.engine is not None for one in self.services.values())

    @cached_property
    def resumable_services(self) -> frozenset[str]:
        """Return the services that have streams which may be resumed."""
        return frozenset().union(*self.resumable_groups)

    @cached_property
    def resumable_groups(self) -> frozenset[frozenset[str]]:
        """Return the services of each route whose streams may be resumed."""
        return frozenset(
            frozenset(route.services)
            for route in self.routes
            if route.is_resumable
        )

    @cached_property
    def _tight_pause_s(self) -> float:
        pauses = {route.pause_s for route in self.routes if route.pause_s > 0}
        return min(pauses) if len(pauses) > 1 else 0.0

    @cached_property
    def _tiers(self) -> dict[tuple[int, int], int]:
        """Return consecutive tiers for the pairs of workspace and route tiers.

        They are numbered without gaps, in the order of the pairs.
        """
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
