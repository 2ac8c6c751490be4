"""Summaries of answers per request class."""

import statistics
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bench.load import Answer
from siskinpass.version.document import parse_tree
from siskinpass.version.schema import ClassSettings

ROW = '{:<12}{:>5}{:>7}{:>7}{:>8}{:>10}{:>10}{:>10}  {}\n'


def load_class_settings(tree: Path) -> dict[str, ClassSettings]:
    """Return the settings of each class of a tree, by class name.

    Where workspaces share a class name, the last one's settings are returned.
    """
    parsed = parse_tree(tree.read_text())
    found = {}
    for name, branch in parsed.workspaces.items():
        for leaf in branch.classes:
            found[leaf] = parsed.class_settings(name, leaf)
    return found


def meets_targets(answer: Answer, class_settings: ClassSettings) -> bool:
    """Return whether an answer met the targets of its class.

    It must be complete and meet the targets for the time to first token and
    for the mean time between tokens.
    """
    if not answer.complete:
        return False
    first_ms = (answer.first_s - answer.sent_s) * 1000
    if answer.tokens > 1:
        gap_ms = (answer.end_s - answer.first_s) * 1000 / (answer.tokens - 1)
    else:
        gap_ms = 0.0
    return (
        first_ms <= class_settings.first_token_ms
        and gap_ms <= class_settings.token_ms
    )


def summarise(answers: Sequence[Answer], tree: Path) -> list[dict[str, Any]]:
    """Return one row per class that had requests, the top tier first."""
    settings_by_class = load_class_settings(tree)
    rows = []
    for leaf in sorted(
        settings_by_class, key=lambda name: (settings_by_class[name].tier, name)
    ):
        class_answers = [answer for answer in answers if answer.leaf == leaf]
        if class_answers:
            rows.append(_row(leaf, class_answers, settings_by_class[leaf]))
    return rows


def _row(
    leaf: str,
    class_answers: Sequence[Answer],
    class_settings: ClassSettings,
) -> dict[str, Any]:
    first_times_ms = sorted(
        (answer.first_s - answer.sent_s) * 1000
        for answer in class_answers
        if answer.complete
    )
    codes = Counter(answer.code for answer in class_answers if answer.code)
    faults = Counter(answer.fault for answer in class_answers if answer.fault)
    complete = [answer for answer in class_answers if answer.complete]
    return {
        'class': leaf,
        'tier': class_settings.tier,
        'sent': len(class_answers),
        'whole': len(complete),
        'met': sum(
            meets_targets(answer, class_settings) for answer in class_answers
        ),
        'attainment': sum(
            meets_targets(answer, class_settings) for answer in class_answers
        )
        / len(class_answers),
        'tokens': sum(answer.tokens for answer in complete),
        'first_ms_p50': quantile(first_times_ms, 0.5),
        'first_ms_p95': quantile(first_times_ms, 0.95),
        'first_ms_p99': quantile(first_times_ms, 0.99),
        'codes': {str(code): count for code, count in codes.items()},
        'faults': dict(faults),
    }


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return a quantile of sorted figures, 0 if there are none.

    :param fraction: between 0 and 1, with a resolution of 0.005.
    """
    if not ordered:
        return 0.0
    if len(ordered) == 1:
        return ordered[0]
    cuts = statistics.quantiles(ordered, n=200, method='inclusive')
    return cuts[min(198, max(0, round(fraction * 200) - 1))]


def print_table(rows: Sequence[dict[str, Any]]) -> None:
    """Print the rows of ``summarise`` as a table."""
    write = sys.stdout.write
    write(
        ROW.format(
            'class',
            'tier',
            'sent',
            'whole',
            'met',
            'p50 ms',
            'p95 ms',
            'p99 ms',
            'refused by code',
        ),
    )
    for row in rows:
        refused = ' '.join(
            f'{code}:{count}' for code, count in row['codes'].items()
        )
        faults = ' '.join(
            f'{fault}:{count}' for fault, count in row['faults'].items()
        )
        write(
            ROW.format(
                row['class'],
                row['tier'],
                row['sent'],
                row['whole'],
                f'{row["attainment"]:.1%}',
                f'{row["first_ms_p50"]:.0f}',
                f'{row["first_ms_p95"]:.0f}',
                f'{row["first_ms_p99"]:.0f}',
                f'{refused} {faults}'.strip() or '-',
            ),
        )
