"""Commands that read and edit the settings tree."""

import os
import sys
from pathlib import Path
from typing import Annotated, Any

import orjson
import yaml
from cyclopts import App, Parameter

from siskinpass.cli_client import Operator
from siskinpass.version.document import dump_tree, parse_tree
from siskinpass.version.edit import get_node, set_leaf
from siskinpass.version.keys import make_key

tree_app = App(name='tree', help='Read and edit the settings tree.')

OperatorArgs = Annotated[Operator, Parameter(name='*')]
DEFAULT = Operator()
BASE_PREFIX = '# version '


def print_document(document: Any, *, json: bool) -> None:
    """Print a document as YAML or, if asked for, as JSON."""
    if json:
        text = orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
    else:
        # PyYAML appends the document end marker "..." to a bare scalar.
        text = yaml.safe_dump(document, sort_keys=False)
        text = text.removesuffix('...\n').rstrip()
    sys.stdout.write(f'{text}\n')


@tree_app.command
def get(
    path: str = '',
    *,
    version: int = 0,
    operator: OperatorArgs = DEFAULT,
    json: bool = False,
) -> None:
    """Print the tree or one node of it.

    :param path: path of the node; empty for the whole tree.
    :param version: version to read; 0 for the current one.
    """
    page = f'tree/{version}' if version else 'tree'
    answer = operator.call('GET', page)
    print_document(get_node(answer['tree'], path), json=json)


@tree_app.command(name='set')
def set_command(
    path: str,
    leaf: str,
    *,
    operator: OperatorArgs = DEFAULT,
    author: str = '',
    message: str = '',
    json: bool = False,
) -> None:
    """Set one setting; the value ``null`` removes it."""
    answer = operator.call('GET', 'tree')
    tree = answer['tree']
    set_leaf(tree, path, yaml.safe_load(leaf))
    message = message or f'set {path}'
    _submit_edit(operator, answer['version'], tree, author, message, json=json)


@tree_app.command
def apply(
    path: Path,
    *,
    base: int | None = None,
    operator: OperatorArgs = DEFAULT,
    author: str = '',
    message: str = '',
    json: bool = False,
) -> None:
    """Apply the tree in a file as a new version.

    With ``--base``, only the differences between the file and that version
    are applied, on top of edits that others made since.
    """
    text = path.read_text()
    parse_tree(text)
    if base is None:
        base = operator.call('GET', 'tree')['version']
    _submit_edit(operator, base, text, author, message, json=json)


@tree_app.command
def edit(
    path: Path,
    *,
    operator: OperatorArgs = DEFAULT,
    author: str = '',
    message: str = '',
    json: bool = False,
) -> None:
    """Write the tree to a new file, or apply the edits made in that file.

    The first line of the file records the version that was written, so that
    only the operator's own edits are applied.
    """
    if path.exists():
        first, _, text = path.read_text().partition('\n')
        base = int(first.removeprefix(BASE_PREFIX))
        parse_tree(text)
        _submit_edit(operator, base, text, author, message, json=json)
        return
    answer = operator.call('GET', 'tree')
    text = yaml.safe_dump(answer['tree'])
    path.write_text(f'{BASE_PREFIX}{answer["version"]}\n{text}')
    sys.stdout.write(f'Change {path} and run the same command again.\n')


@tree_app.command
def check(path: Path) -> None:
    """Validate the tree in a file and print it as it would be stored."""
    sys.stdout.write(dump_tree(parse_tree(path.read_text())))


@tree_app.command
def diff(
    old: int,
    new: int,
    *,
    operator: OperatorArgs = DEFAULT,
    json: bool = False,
) -> None:
    """Print the differences between two versions."""
    changes = operator.call('GET', f'diff?old={old}&new={new}')
    print_document(changes, json=json)


@tree_app.command
def history(
    *,
    operator: OperatorArgs = DEFAULT,
    json: bool = False,
) -> None:
    """Print the latest edits."""
    print_document(operator.call('GET', 'history'), json=json)


@tree_app.command
def rollback(
    version: int,
    *,
    operator: OperatorArgs = DEFAULT,
    author: str = '',
    json: bool = False,
) -> None:
    """Apply the tree of an earlier version as a new, higher version."""
    current = operator.call('GET', 'tree')['version']
    tree = operator.call('GET', f'tree/{version}')['tree']
    message = f'rollback to {version}'
    _submit_edit(operator, current, tree, author, message, json=json)


def key_command(*, default_class: str = '', json: bool = False) -> None:
    """Generate an API key and print it with its entry for the tree."""
    key, entry = make_key(default_class)
    document = {
        'key': key,
        'entry': {
            'salt': entry.salt,
            'digest': entry.digest,
            'default_class': entry.default_class,
        },
    }
    print_document(document, json=json)


def _submit_edit(
    operator: Operator,
    base: int,
    tree: Any,
    author: str,
    message: str,
    *,
    json: bool,
) -> None:
    body = orjson.dumps({
        'base': base,
        'tree': tree,
        'author': author or os.environ.get('USER', ''),
        'message': message,
    })
    print_document(operator.call('PUT', 'tree', body), json=json)
