"""Summarise answers per request class."""

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
    """Return the promise of each class name of a tree."""
    parsed = parse_tree(tree.read_text())
    found = {}
    for name, branch in parsed.workspaces.items():
        for leaf in branch.classes:
            found[leaf] = parsed.class_settings(name, leaf)
    return found


def met(answer: Answer, class_settings: ClassSettings) -> bool:
    """Tell whether an answer met the targets of its class."""
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
    """Return one row per class, the most urgent first."""
    known = load_class_settings(tree)
    rows = []
    for leaf in sorted(known, key=lambda name: (known[name].tier, name)):
        own = [answer for answer in answers if answer.leaf == leaf]
        if own:
            rows.append(_row(leaf, own, known[leaf]))
    return rows


def _row(
    leaf: str,
    own: Sequence[Answer],
    class_settings: ClassSettings,
) -> dict[str, Any]:
    firsts = sorted(
        (answer.first_s - answer.sent_s) * 1000
        for answer in own
        if answer.complete
    )
    codes = Counter(answer.code for answer in own if answer.code)
    faults = Counter(answer.fault for answer in own if answer.fault)
    complete = [answer for answer in own if answer.complete]
    return {
        'class': leaf,
        'tier': class_settings.tier,
        'sent': len(own),
        'whole': len(complete),
        'met': sum(met(answer, class_settings) for answer in own),
        'attainment': sum(met(answer, class_settings) for answer in own)
        / len(own),
        'tokens': sum(answer.tokens for answer in complete),
        'first_ms_p50': quantile(firsts, 0.5),
        'first_ms_p95': quantile(firsts, 0.95),
        'first_ms_p99': quantile(firsts, 0.99),
        'codes': {str(code): count for code, count in codes.items()},
        'faults': dict(faults),
    }


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """Return a quantile of ordered figures, 0 where there are none."""
    if not ordered:
        return 0.0
    if len(ordered) == 1:
        return ordered[0]
    cuts = statistics.quantiles(ordered, n=200, method='inclusive')
    return cuts[min(198, max(0, round(fraction * 200) - 1))]


def print_table(rows: Sequence[dict[str, Any]]) -> None:
    """Print one line per class."""
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
