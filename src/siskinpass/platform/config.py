"""Decode the operator's routing configuration into a route table."""

import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import (
    NUMBER,
    as_table,
    read_field,
    read_seconds,
    read_tables,
    read_whole,
)
from siskinpass.version.routes import (
    CallerLimits,
    Engine,
    RepeatPolicy,
    Route,
    RouteTable,
    Scaling,
    Service,
    Share,
    Workspace,
)

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
REPEAT_BY_ROUTE_TYPE = MappingProxyType({
    'safe': RepeatPolicy.idempotent,
    'unsafe': RepeatPolicy.once,
    'stream': RepeatPolicy.stream,
})
DEFAULT_CONNECTIONS = 100
# Boot time of a server where the configuration states none.
DEFAULT_BOOT_S = 4.0
# Defaults for a configuration that does not set these limits.
HEAD_TIMEOUT_MS = 5000
IDLE_TIMEOUT_MS = 60_000


def decode_config(spec: Any) -> RouteTable:
    """Return the route table that a configuration describes.

    :param spec: decoded document.
    :raises FormatError: if any field is missing or invalid, so that a
        configuration is applied completely or not at all.
    """
    table = as_table(spec, 'configuration')
    services = [decode_service(row) for row in read_tables(table, 'services')]
    return RouteTable(
        version=read_field(table, 'version', int),
        routes=tuple(decode_route(row) for row in read_tables(table, 'routes')),
        services={service.name: service for service in services},
        limits=_limits(read_field(table, 'limits', dict, {})),
        workspaces=tuple(
            decode_workspace(row) for row in read_tables(table, 'tenants')
        ),
    )


def decode_route(row: Mapping[str, Any]) -> Route:
    """Return the route that an entry of ``routes`` describes.

    :raises FormatError: if a field is missing or invalid.
    """
    repeat = REPEAT_BY_ROUTE_TYPE.get(read_field(row, 'route-type', str))
    if repeat is None:
        raise FormatError(
            Code.document_wrong, f'route-type: unknown value in {row}'
        )
    return Route(
        name=read_field(row, 'name', str, ''),
        host=read_field(row, 'host', str),
        prefix=read_field(row, 'path-prefix', str),
        repeat=repeat,
        shares=_shares(row),
        timeout_s=read_seconds(row, 'timeout-ms'),
        target_s=read_seconds(row, 'target-latency-ms', 0),
        pause_s=read_seconds(row, 'target-gap-ms', 0),
        tier=read_field(row, 'priority', int, 0),
        max_attempts=read_field(row, 'max-attempts', int, 1),
        is_public=read_field(row, 'auth-exempt', bool, default=False),
        # Despite its wire name, the field says that requests carry a prompt;
        # it does not ask for sticky routing.
        has_prompt=read_field(row, 'sticky', bool, default=False),
        is_resumable=read_field(row, 'stream-resume', bool, default=False),
    )


def _shares(row: Mapping[str, Any]) -> tuple[Share, ...]:
    parts = read_tables(row, 'traffic-split')
    if not parts:
        return (Share(read_field(row, 'service', str), 1.0),)
    shares = [
        Share(
            read_field(part, 'service', str),
            float(read_field(part, 'weight', NUMBER, 1)),
        )
        for part in parts
    ]
    used = tuple(share for share in shares if share.weight > 0)
    if not used:
        raise FormatError(
            Code.document_wrong, f'traffic-split: no weight above 0 in {parts}'
        )
    return used


def decode_service(row: Mapping[str, Any]) -> Service:
    """Return the service that an entry of ``services`` describes.

    :raises FormatError: if a field is missing or invalid.
    """
    engine = row.get('engine')
    scaling = row.get('scaling')
    return Service(
        name=read_field(row, 'name', str),
        max_connections=read_field(
            row,
            'max-connections',
            int,
            DEFAULT_CONNECTIONS,
        ),
        engine=_engine(engine) if isinstance(engine, dict) else None,
        scaling=_scaling(scaling) if isinstance(scaling, dict) else None,
    )


def _engine(row: Mapping[str, Any]) -> Engine:
    return Engine(
        slots=read_field(row, 'slots', int, 1),
        kv_capacity_tokens=int(
            read_field(row, 'kv-capacity-tokens', NUMBER, 0)
        ),
        kv_bytes_per_token=int(read_field(row, 'kv-token-bytes', NUMBER, 0)),
        supports_kv_backup=read_field(row, 'backups', bool, default=False),
    )


def _scaling(row: Mapping[str, Any]) -> Scaling:
    prices = read_field(row, 'zone-prices', dict, {})
    least = read_whole(row, 'min', 0)
    most = read_whole(row, 'max')
    if least > most:
        raise FormatError(
            Code.document_wrong, f'scaling: min {least} is above max {most}'
        )
    return Scaling(
        least=least,
        most=most,
        boot_s=_positive(row, 'boot-time-s', DEFAULT_BOOT_S),
        spot_price=_positive(row, 'spot-price', 1.0),
        zone_prices={zone: _positive(prices, zone) for zone in prices},
    )


def _positive(
    row: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    found = float(read_field(row, name, NUMBER, default))
    if not (math.isfinite(found) and found > 0):
        raise FormatError(
            Code.document_wrong, f'{name}: expected more than 0, got {found}'
        )
    return found


def _limits(row: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        head_bytes=read_field(row, 'max-header-bytes', int, default.head_bytes),
        body_bytes=read_field(row, 'max-body-bytes', int, default.body_bytes),
        head_timeout_s=read_seconds(row, 'header-timeout-ms', HEAD_TIMEOUT_MS),
        idle_timeout_s=read_seconds(row, 'idle-timeout-ms', IDLE_TIMEOUT_MS),
    )


def decode_workspace(row: Mapping[str, Any]) -> Workspace:
    """Return the workspace that an entry of ``tenants`` describes.

    :raises FormatError: if a field is missing or invalid.
    """
    tier = row.get('priority')
    return Workspace(
        name=read_field(row, 'name', str),
        keys=frozenset(map(str, read_field(row, 'api-keys', list, []))),
        tier=tier if isinstance(tier, int) else None,
    )
