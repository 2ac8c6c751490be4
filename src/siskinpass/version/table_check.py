"""Find what is valid but cannot be meant in a routing configuration.

Pure logic. Operators run it before they send a configuration: a document whose
fields are all valid may still hold entries that no request can match, limits
that contradict each other, or a change that was not intended.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields
from functools import singledispatch
from typing import Any

from siskinpass.version.routes import (
    RepeatPolicy,
    Route,
    RouteTable,
    Service,
    Workspace,
)


def find_unmatched(table: RouteTable) -> list[str]:
    """Return a sentence for each entry that no request can match or use."""
    return [
        *_unmatched_routes(table.routes),
        *_unmatched_keys(table.workspaces),
        *_unused_services(table),
    ]


def find_contradictions(table: RouteTable) -> list[str]:
    """Return a sentence for each pair of limits that contradict each other."""
    found = [
        f'route {_label(route)}: {reason}'
        for route in table.routes
        for reason in _route_contradictions(route, table.services)
    ]
    found.extend(
        f'service {service.name}: {reason}'
        for service in table.services.values()
        for reason in _service_contradictions(service)
    )
    return found


def find_differences(before: RouteTable, after: RouteTable) -> list[str]:
    """Return a sentence for each entry that was added, removed or changed.

    Keys of workspaces are counted and not printed.

    :param before: version in force.
    """
    found = [f'version: {before.version} -> {after.version}']
    if after.version <= before.version:
        found.append('version: not above the one in force, so never adopted')
    sections = (
        ('route', _routes_by_label(before), _routes_by_label(after)),
        ('service', before.services, after.services),
        ('workspace', _by_name(before), _by_name(after)),
    )
    for section, old, new in sections:
        found.extend(_section_differences(section, old, new))
    found.extend(
        f'limits: {change}' for change in _changes(before.limits, after.limits)
    )
    return found


def _unmatched_routes(routes: Iterable[Route]) -> Iterator[str]:
    first: dict[tuple[str, str], Route] = {}
    for route in routes:
        known = first.setdefault((route.host.lower(), route.prefix), route)
        if known is not route:
            yield (
                f'route {_label(route)}: never matches, '
                f'{_label(known)} has the same host and prefix'
            )
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield f'route {_label(route)}: its prefix is not between slashes'


def _unmatched_keys(workspaces: Iterable[Workspace]) -> Iterator[str]:
    owner: dict[str, str] = {}
    for workspace in workspaces:
        if not workspace.keys:
            yield f'workspace {workspace.name}: no key selects it'
        for key in workspace.keys:
            known = owner.setdefault(key, workspace.name)
            if known != workspace.name:
                yield f'workspace {known}: {workspace.name} takes its key'


def _unused_services(table: RouteTable) -> Iterator[str]:
    used = {name for route in table.routes for name in route.services}
    for name in sorted(used - table.services.keys()):
        yield f'service {name}: routes name it, but it is not defined'
    for name in sorted(table.services.keys() - used):
        yield f'service {name}: no route names it'


def _route_contradictions(
    route: Route, services: Mapping[str, Service]
) -> Iterator[str]:
    checks = (
        (route.target_s > route.timeout_s, 'its target is above its timeout'),
        (
            route.pause_s > route.timeout_s,
            'its longest pause is above its timeout',
        ),
        (
            route.is_resumable and not route.is_stream,
            'only streams can be resumed',
        ),
        (
            route.max_attempts > 1 and not route.may_repeat,
            'several attempts, but it must not be repeated',
        ),
        (
            route.has_prompt and _is_plain(route, services),
            'it carries prompts, but a service of it has no engine',
        ),
        (
            route.repeat is RepeatPolicy.stream and not route.pause_s,
            'a stream without a target for its pauses',
        ),
    )
    return (reason for is_wrong, reason in checks if is_wrong)


def _is_plain(route: Route, services: Mapping[str, Service]) -> bool:
    return any(
        name in services and services[name].engine is None
        for name in route.services
    )


def _service_contradictions(service: Service) -> Iterator[str]:
    engine = service.engine
    if engine is not None and engine.slots > service.max_connections:
        yield 'more slots than connections to fill them'


def _section_differences(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(old.keys() - new.keys()):
        yield f'{section} {name}: removed'
    for name in sorted(new.keys() - old.keys()):
        yield f'{section} {name}: added'
    for name in sorted(old.keys() & new.keys()):
        for change in _changes(old[name], new[name]):
            yield f'{section} {name}: {change}'


def _changes(old: Any, new: Any) -> Iterator[str]:
    for field in fields(old):
        before, after = (getattr(one, field.name) for one in (old, new))
        if before != after:
            yield f'{field.name} {_shown(before)} -> {_shown(after)}'


@singledispatch
def _shown(setting: Any) -> str:
    return str(setting)


@_shown.register
def _shown_keys(setting: frozenset) -> str:
    # API keys are secrets.
    return f'{len(setting)} keys'


@_shown.register
def _shown_shares(setting: tuple) -> str:
    return ', '.join(f'{share.service} {share.weight:g}' for share in setting)


def _routes_by_label(table: RouteTable) -> dict[str, Route]:
    return {_label(route): route for route in table.routes}


def _by_name(table: RouteTable) -> dict[str, Workspace]:
    return {workspace.name: workspace for workspace in table.workspaces}


def _label(route: Route) -> str:
    return f'{route.host}{route.prefix}'
