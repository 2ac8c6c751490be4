"""Nodes of the settings tree, the settings they can hold and their bounds."""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from types import MappingProxyType

MAX_TIER = 15
MINUTE_MS = 60_000
HOUR_MS = 3_600_000
MAX_TOKENS = 1_000_000

SettingValue = str | int | float | bool


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings in force for one request class, its service level included.

    Latencies are counted from the arrival of the request.

    :param tier: priority, 0 is the most urgent.
    :param pool: name of the pool of backend servers that serve the class.
    :param first_token_ms: latency target for the first token.
    :param token_ms: target for the mean time between tokens.
    :param max_wait_ms: time in the queue after which a request is refused.
    :param objective: fraction of requests that must meet the targets.
    :param share: fraction of freed slots guaranteed to the tier.
    :param retry_fraction: retries allowed per request.
    :param repeatable: whether a request may be run more than once.
    :param max_tokens: limit on the tokens of one response.
    """

    tier: int = 3
    pool: str = 'lm'
    first_token_ms: int = 2000
    token_ms: int = 200
    max_wait_ms: int = 30000
    objective: float = 0.95
    share: float = 0.05
    retry_fraction: float = 0.1
    repeatable: bool = True
    max_tokens: int = 4096


@dataclass(frozen=True, slots=True)
class Pool:
    """Pool of backend servers.

    :param kind: ``engine`` or ``service``.
    :param models: models that its engines serve.
    :param slots: initial concurrency limit of each backend server.
    :param slots_most: upper bound of the concurrency limit.
    :param token_ms: mean time between tokens that the concurrency limit is
        adapted to maintain.
    :param checks_fence: whether its servers reject outdated fencing numbers.
    """

    kind: str = 'engine'
    models: tuple[str, ...] = ()
    slots: int = 8
    slots_most: int = 64
    token_ms: int = 40
    checks_fence: bool = False


@dataclass(frozen=True, slots=True)
class ApiKey:
    """API key of a workspace, stored as a salted hash.

    :param salt: salt in hexadecimal.
    :param digest: hash of the key with the salt, in hexadecimal.
    :param default_class: class of requests that name none.
    """

    salt: str
    digest: str
    default_class: str = ''


@dataclass(frozen=True, slots=True)
class Workspace:
    """Branch of the settings tree for one workspace.

    :param settings: settings that override those of the root.
    :param classes: for each request class, settings that override those of
        the workspace.
    :param keys: API keys of the workspace.
    """

    settings: Mapping[str, SettingValue] = field(default_factory=dict)
    classes: Mapping[str, Mapping[str, SettingValue]] = field(
        default_factory=dict
    )
    keys: tuple[ApiKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Root:
    """Root of the settings tree.

    :param deployment: name of the deployment.
    :param settings: settings that apply where nothing overrides them.
    :param pools: pools of backend servers by name.
    """

    deployment: str
    settings: Mapping[str, SettingValue] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Tree:
    """One version of the settings tree.

    :param workspaces: branches by name of the workspace.
    """

    root: Root
    workspaces: Mapping[str, Workspace]

    def class_settings(
        self, workspace: str, request_class: str
    ) -> ClassSettings | None:
        """Return the settings in force for a class, or None if unknown."""
        branch = self.workspaces.get(workspace)
        if branch is None or request_class not in branch.classes:
            return None
        return ClassSettings(
            **{
                **self.root.settings,
                **branch.settings,
                **branch.classes[request_class],
            },
        )


@dataclass(frozen=True, slots=True)
class Bounds:
    """Permitted range of a number, both ends included."""

    minimum: float
    maximum: float


# By field name; they apply to the fields of classes and of pools alike.
BOUNDS = MappingProxyType({
    'tier': Bounds(0, MAX_TIER),
    'first_token_ms': Bounds(1, HOUR_MS),
    'token_ms': Bounds(1, MINUTE_MS),
    'max_wait_ms': Bounds(1, HOUR_MS),
    'objective': Bounds(0, 1),
    'share': Bounds(0, 0.5),
    'retry_fraction': Bounds(0, 1),
    'max_tokens': Bounds(1, MAX_TOKENS),
    'slots': Bounds(1, 1024),
    'slots_most': Bounds(1, 1024),
})


def field_types(cls: type) -> dict[str, type | str]:
    """Return the type of each field of a data class by its name."""
    return {spec.name: spec.type for spec in fields(cls)}
