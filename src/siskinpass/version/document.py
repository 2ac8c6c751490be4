"""Parse a settings tree from YAML and report all faults with their places."""

from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import Any

import yaml

from siskinpass.codes import Code
from siskinpass.exceptions import TreeError
from siskinpass.version.schema import (
    BOUNDS,
    ApiKey,
    ClassSettings,
    Pool,
    Root,
    SettingValue,
    Tree,
    Workspace,
    field_types,
)

KINDS = frozenset(('engine', 'service'))
MAX_NAME_LENGTH = 64
BOOLEAN = 'bool'
INTEGER = 'int'
FLOAT = 'float'
STRING_TUPLE = 'tuple[str, ...]'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document.

    :param path: path of the node, such as ``workspaces/one/classes/two``.
    :param line: line in the document, counted from 1; 0 where unknown.
    :param reason: what is wrong, as the rest of a sentence about the node.
    """

    path: str
    line: int
    reason: str

    def __str__(self) -> str:
        """Return path, line and reason on one line."""
        return f'{self.path}, line {self.line}: {self.reason}'


class TreeFaultsError(TreeError):
    """A document has faults; ``faults`` holds all of them."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        """Build the message from all faults."""
        text = '; '.join(str(fault) for fault in faults)
        super().__init__(Code.tree_invalid, text)
        self.faults = faults


def parse_tree(text: str) -> Tree:
    """Return the settings tree of a YAML document.

    :param text: the document.
    :raises TreeFaultsError: where the document has faults, with path, line and
        reason of each.
    """
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        fault = Fault('/', line, str(error.problem))
        raise TreeFaultsError((fault,)) from error
    except yaml.YAMLError as error:
        raise TreeFaultsError((Fault('/', 0, str(error)),)) from error
    reader = _Reader()
    tree = reader.read_tree(node)
    if reader.faults:
        raise TreeFaultsError(tuple(reader.faults))
    return tree


def dump_tree(tree: Tree) -> str:
    """Return a tree as a YAML document that ``parse_tree`` can read."""
    return yaml.safe_dump(tree_mapping(tree), sort_keys=True)


def tree_mapping(tree: Tree) -> dict[str, Any]:
    """Return a tree as plain mappings that serialize to JSON or YAML."""
    pools = {
        name: {**asdict(pool), 'models': list(pool.models)}
        for name, pool in tree.root.pools.items()
    }
    return {
        'deployment': tree.root.deployment,
        'settings': dict(tree.root.settings),
        'pools': pools,
        'workspaces': {
            name: workspace_mapping(branch)
            for name, branch in tree.workspaces.items()
        },
    }


def workspace_mapping(branch: Workspace) -> dict[str, Any]:
    """Return the branch of a workspace as plain mappings."""
    return {
        'settings': dict(branch.settings),
        'classes': {name: dict(leaf) for name, leaf in branch.classes.items()},
        'keys': [asdict(key) for key in branch.keys],
    }


class _Reader:
    """Converts the nodes of one document and collects its faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def read_tree(self, node: yaml.Node | None) -> Tree:
        parts = dict(self._children(node, '/'))
        known = ('deployment', 'settings', 'pools', 'workspaces')
        self._reject_unknown(parts, known, '/')
        root = Root(
            self._deployment(parts, node),
            self._settings(parts.get('settings'), 'settings'),
            self._pools(parts.get('pools')),
        )
        workspaces = {
            name: self._workspace(branch, f'workspaces/{name}')
            for name, branch in self._children(
                parts.get('workspaces'),
                'workspaces',
            )
        }
        tree = Tree(root, workspaces)
        self._check_pools(tree, parts.get('workspaces'))
        return tree

    def _deployment(
        self,
        parts: Mapping[str, yaml.Node],
        node: yaml.Node | None,
    ) -> str:
        child = parts.get('deployment')
        if child is None:
            self._fault('deployment', node, 'is missing')
            return ''
        return str(self._parse_value(child, 'deployment', 'str'))

    def _pools(self, node: yaml.Node | None) -> dict[str, Pool]:
        pools = {}
        for name, pool in self._children(node, 'pools'):
            path = f'pools/{name}'
            settings = self._fields(pool, path, Pool)
            if settings.get('kind', 'engine') not in KINDS:
                self._fault(f'{path}/kind', pool, 'is not engine or service')
            pools[name] = Pool(**settings)
        return pools

    def _workspace(self, node: yaml.Node | None, path: str) -> Workspace:
        parts = dict(self._children(node, path))
        self._reject_unknown(parts, ('settings', 'classes', 'keys'), path)
        classes = {
            name: self._settings(leaf, f'{path}/classes/{name}')
            for name, leaf in self._children(
                parts.get('classes'),
                f'{path}/classes',
            )
        }
        return Workspace(
            self._settings(parts.get('settings'), f'{path}/settings'),
            classes,
            tuple(self._keys(parts.get('keys'), f'{path}/keys')),
        )

    def _keys(self, node: yaml.Node | None, path: str) -> Iterator[ApiKey]:
        if node is None:
            return
        if not isinstance(node, yaml.SequenceNode):
            self._fault(path, node, 'is not a list')
            return
        for number, entry in enumerate(node.value):
            settings = self._fields(entry, f'{path}/{number}', ApiKey)
            if 'salt' in settings and 'digest' in settings:
                yield ApiKey(**settings)
            else:
                self._fault(f'{path}/{number}', entry, 'lacks salt or digest')

    def _settings(
        self,
        node: yaml.Node | None,
        path: str,
    ) -> dict[str, SettingValue]:
        return self._fields(node, path, ClassSettings)

    def _fields(
        self,
        node: yaml.Node | None,
        path: str,
        schema: type,
    ) -> dict[str, Any]:
        kinds = field_types(schema)
        settings = {}
        for name, child in self._children(node, path):
            kind = str(kinds.get(name, ''))
            if not kind:
                self._fault(f'{path}/{name}', child, 'is not a setting')
                continue
            parsed = self._parse_value(
                child, f'{path}/{name}', _type_name(kind)
            )
            if parsed is not None:
                settings[name] = parsed
        return settings

    def _parse_value(self, node: yaml.Node, path: str, kind: str) -> Any:
        parsed = yaml.CSafeLoader('').construct_object(node, deep=True)
        if kind == STRING_TUPLE and isinstance(parsed, list):
            return tuple(str(text) for text in parsed)
        if kind == FLOAT and _is_integer(parsed):
            parsed = float(parsed)
        if type(parsed).__name__ != kind:
            self._fault(path, node, f'is not of type {kind}')
            return None
        bounds = BOUNDS.get(path.rsplit('/', 1)[-1])
        if bounds and not bounds.minimum <= parsed <= bounds.maximum:
            reason = f'is not within {bounds.minimum} and {bounds.maximum}'
            self._fault(path, node, reason)
            return None
        return parsed

    def _children(
        self,
        node: yaml.Node | None,
        path: str,
    ) -> Iterator[tuple[str, yaml.Node]]:
        if node is None or _is_null(node):
            return
        if not isinstance(node, yaml.MappingNode):
            self._fault(path, node, 'is not a mapping')
            return
        seen = set()
        for key, child in node.value:
            name = str(key.value)
            if name in seen:
                self._fault(f'{path}/{name}', key, 'is given twice')
            elif _is_name(name):
                seen.add(name)
                yield name, child
            else:
                self._fault(f'{path}/{name}', key, 'is not a usable name')

    def _reject_unknown(
        self,
        parts: Mapping[str, yaml.Node],
        known: tuple[str, ...],
        path: str,
    ) -> None:
        for name in parts.keys() - set(known):
            self._fault(f'{path}/{name}', parts[name], 'is not known')

    def _check_pools(self, tree: Tree, node: yaml.Node | None) -> None:
        for name, branch in tree.workspaces.items():
            for leaf in branch.classes:
                class_settings = tree.class_settings(name, leaf)
                if (
                    class_settings
                    and class_settings.pool not in tree.root.pools
                ):
                    path = f'workspaces/{name}/classes/{leaf}/pool'
                    reason = f'names no pool: {class_settings.pool}'
                    self._fault(path, node, reason)

    def _fault(self, path: str, node: yaml.Node | None, reason: str) -> None:
        line = 0 if node is None else node.start_mark.line + 1
        self.faults.append(Fault(path.replace('//', '/'), line, reason))


def _is_integer(parsed: Any) -> bool:
    return isinstance(parsed, int) and not isinstance(parsed, bool)


def _type_name(kind: str) -> str:
    return kind.removeprefix("<class '").removesuffix("'>")


def _is_null(node: yaml.Node) -> bool:
    return node.tag.endswith(':null')


def _is_name(name: str) -> bool:
    plain = name.replace('-', '').replace('_', '').replace('.', '')
    return plain.isalnum() and len(name) <= MAX_NAME_LENGTH
