"""Markdown report with plots of the experiment runs in ``build/bench``."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
import orjson

mpl.use('Agg')
from matplotlib import pyplot as plt  # noqa: E402

from bench.cluster import BUILD  # noqa: E402

OUTPUT_DIR = BUILD / 'bench'
HEAD = (
    '| scenario | policy | instances | class | sent | in target | bound '
    '| p50 ms | p99 ms | refused | wasted |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n'
)


def report() -> Path:
    """Write a page of all runs, with a plot for each scenario.

    :returns: path of the page.
    """
    runs = [orjson.loads(path.read_bytes()) for path in _paths()]
    runs.sort(
        key=lambda run: (run['scenario'], run['instances'], run['policy'])
    )
    lines = [HEAD]
    for run in runs:
        lines.extend(_rows(run))
    for scenario in sorted({run['scenario'] for run in runs}):
        scenario_runs = [run for run in runs if run['scenario'] == scenario]
        _plot(scenario, scenario_runs)
        lines.append(f'\n![{scenario}]({scenario}.png)\n')
    page = OUTPUT_DIR / 'report.md'
    page.write_text(''.join(lines))
    return page


def _rank(run: Mapping[str, Any]) -> tuple[str, int, str]:
    return run['scenario'], run['instances'], run['policy']


def _paths() -> list[Path]:
    return [
        path
        for path in sorted(OUTPUT_DIR.glob('*.json'))
        if path.stem != 'overhead' and not path.stem.startswith('chaos')
    ]


def _rows(run: Mapping[str, Any]) -> list[str]:
    rows = []
    for row in run['classes']:
        bound = run['bound'].get(row['class'])
        cells = (
            run['scenario'],
            run['policy'],
            run['instances'],
            row['class'],
            row['sent'],
            f'{row["attainment"]:.1%}',
            '-' if bound is None else f'{bound:.1%}',
            f'{row["first_ms_p50"]:.0f}',
            f'{row["first_ms_p99"]:.0f}',
            ' '.join(f'{code}:{times}' for code, times in row['codes'].items())
            or '-',
            f'{run["wasted"]:.2%}',
        )
        rows.append('| ' + ' | '.join(map(str, cells)) + ' |\n')
    return rows


def _plot(scenario: str, runs: Sequence[Mapping[str, Any]]) -> None:
    """Plot the distribution of the time to first token per class and run."""
    leaves = [row['class'] for row in runs[0]['classes']]
    figure, axes = plt.subplots(
        1,
        len(leaves),
        figsize=(4 * len(leaves), 3),
        squeeze=False,
    )
    for run in runs:
        stem = f'{scenario}-{run["policy"]}-{run["seed"]}-{run["instances"]}'
        answers = [
            orjson.loads(line)
            for line in (OUTPUT_DIR / f'{stem}.answers.jsonl')
            .read_bytes()
            .splitlines()
        ]
        for axis, leaf in zip(axes[0], leaves, strict=True):
            times = sorted(
                (answer['first_s'] - answer['sent_s']) * 1000
                for answer in answers
                if answer['leaf'] == leaf and answer['whole']
            )
            shares = [(index + 1) / len(times) for index in range(len(times))]
            axis.plot(
                times,
                shares,
                label=f'{run["policy"]} {run["instances"]}',
            )
            axis.set_title(leaf)
            axis.set_xscale('log')
            axis.set_xlabel('first token, ms')
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIR / f'{scenario}.png')
    plt.close(figure)
