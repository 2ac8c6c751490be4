"""Run the demo or an experiment: ``python -m bench COMMAND``."""

import sys
from pathlib import Path

from cyclopts import App

from bench import (
    capacity,
    capacity_page,
    chaos,
    decision,
    experiment,
    overhead,
    report,
)
from bench.demo import demo

app = App(name='bench', help='Drive real processes and measure them.')


@app.command(name='demo')
def demo_command() -> None:
    """Show both example deployments under a small mixed load."""
    sys.exit(1 if demo() else 0)


@app.command(name='run')
def run_command(
    *,
    scenario: str = 'swing',
    policy: str = 'ours',
    seed: int = 1,
    instances: int = 8,
    trace: Path | None = None,
    source: str = '',
) -> None:
    """Run one scenario under one policy."""
    report = experiment.run(scenario, policy, seed, instances, trace, source)
    experiment.show(report)


@app.command(name='overhead')
def overhead_command() -> None:
    """Measure what the path adds over a direct call."""
    overhead.show(overhead.measure())


@app.command(name='decision')
def decision_command() -> None:
    """Measure what one decision about a prompt costs."""
    decision.show()


@app.command(name='chaos')
def chaos_command(
    *,
    seed: int = 1,
    minutes: float = 1.0,
    broken: str = '',
) -> None:
    """Break a deployment at random and check every promise."""
    result = chaos.chaos(seed, minutes, broken)
    chaos.show(result)
    sys.exit(1 if result.violations else 0)


@app.command(name='capacity')
def capacity_command(*, page_only: bool = False) -> None:
    """Measure the slopes and write the capacity page."""
    if not page_only:
        capacity.measure()
    capacity_page.write()


@app.command(name='report')
def report_command() -> None:
    """Draw and list the runs in build/bench."""
    sys.stdout.write(f'{report.report()}\n')


app()
