"""Command that prints the state of a deployment."""

import sys
import time
from collections.abc import Mapping
from typing import Any

from siskinpass.cli_tree import DEFAULT, OperatorArgs, print_document

WATCH_EVERY_S = 1.0
ROW = '{:<36}{:<11}{:>9}{:>9}{:>9}{:>9}  {}\n'


def status(
    *,
    operator: OperatorArgs = DEFAULT,
    watch: bool = False,
    json: bool = False,
) -> None:
    """Print the version in force, the instances and each class's attainment.

    :param watch: whether to print the state again every second.
    :param json: whether to print JSON instead of a table.
    """
    while True:
        document = operator.call('GET', 'status')
        if json:
            print_document(document, json=True)
        else:
            sys.stdout.write(_table(document))
        if not watch:
            return
        time.sleep(WATCH_EVERY_S)


def _table(document: Mapping[str, Any]) -> str:
    reach = 'everywhere'
    if not document['in_force_everywhere']:
        reach = f'not yet at {", ".join(document["behind"])}'
    lines = [f'version {document["version"]}, in force {reach}\n']
    for name, instance in sorted(document['instances'].items()):
        lines.append(
            f'  {name:<20}{instance["state"]:<10}{instance["zone"]:<14}'
            f'version {instance["version"]}\n',
        )
    lines.append(
        ROW.format('node', 'promise', 'requests', 'met', 'p50', 'p95', 'cause'),
    )
    for node, promise in sorted(document['promises'].items()):
        attainment = promise['attainment']
        lines.append(
            ROW.format(
                node,
                promise['state'],
                promise['requests'],
                '-' if attainment is None else f'{attainment:.1%}',
                promise['first_ms_p50'],
                promise['first_ms_p95'],
                promise['cause'],
            ),
        )
    return ''.join(lines)
