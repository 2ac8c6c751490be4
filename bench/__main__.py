"""Run the demo or an experiment: ``python -m bench COMMAND``."""

import sys

from cyclopts import App

from bench.demo import demo

app = App(name='bench', help='Drive real processes and measure them.')


@app.command(name='demo')
def demo_command() -> None:
    """Show both example deployments under a small mixed load."""
    sys.exit(1 if demo() else 0)


app()
