"""Define the settings that a node of the tree can hold, and their bounds."""

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
    """Hold the settings in force for one request class.

    Latencies are counted from the arrival of the request.

    :param tier: priority, 0 is the most urgent.
    :param pool: backend servers that serve the class.
    :param first_token_ms: latency target of the first token.
    :param token_ms: target of the mean time between tokens.
    :param max_wait_ms: wait after which a request is refused.
    :param objective: fraction of requests that must meet the targets.
    :param share: fraction of freed slots guaranteed to the tier.
    :param retry_fraction: retries allowed per request.
    :param repeatable: whether a request may be run more than once.
    :param max_tokens: most tokens of one answer.
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
    """Describe a pool of backend servers.

    :param kind: ``engine`` or ``service``.
    :param models: models that its engines serve.
    :param slots: first limit of each backend server.
    :param slots_most: limit that is never exceeded.
    :param token_ms: token time that the limit defends.
    :param checks_fence: whether its servers refuse an old fencing number.
    """

    kind: str = 'engine'
    models: tuple[str, ...] = ()
    slots: int = 8
    slots_most: int = 64
    token_ms: int = 40
    checks_fence: bool = False


@dataclass(frozen=True, slots=True)
class ApiKey:
    """Bind a caller's key to a workspace, held as a salted hash."""

    salt: str
    digest: str
    default_class: str = ''


@dataclass(frozen=True, slots=True)
class Workspace:
    """Hold one branch of the tree.

    :param settings: what the workspace overrides.
    :param classes: what each request class overrides.
    """

    settings: Mapping[str, SettingValue] = field(default_factory=dict)
    classes: Mapping[str, Mapping[str, SettingValue]] = field(
        default_factory=dict
    )
    keys: tuple[ApiKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Root:
    """Hold the root of the tree."""

    deployment: str
    settings: Mapping[str, SettingValue] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Tree:
    """Hold one version of the settings tree."""

    root: Root
    workspaces: Mapping[str, Workspace]

    def class_settings(
        self, workspace: str, request_class: str
    ) -> ClassSettings | None:
        """Return what holds for a class, or none where there is no such."""
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
    """Bound a number, both ends included."""

    minimum: float
    maximum: float


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
    """Return the fields of a data class and their types."""
    return {spec.name: spec.type for spec in fields(cls)}
