"""Command line to run the daemon and to operate it."""

import sys
from typing import Annotated

from cyclopts import App, Parameter
from cyclopts.config import Env

from siskinpass.cli_check import check
from siskinpass.cli_explain import explain
from siskinpass.cli_status import status
from siskinpass.cli_tree import key_command, tree_app
from siskinpass.exceptions import SiskinpassError
from siskinpass.process.serve import serve
from siskinpass.process.settings import Settings, check_settings

app = App(
    name='siskinpass',
    help='Route language-model traffic with priorities and service levels.',
    config=Env('SISKINPASS_', command=False),
)
app.command(tree_app)
app.command(key_command, name='key')
app.command(status, name='status')
app.command(check, name='check')
app.command(explain, name='explain')


@app.command(name='serve')
def serve_command(
    settings: Annotated[Settings, Parameter(name='*')],
) -> None:
    """Run one entry instance until it is asked to shut down."""
    check_settings(settings)
    serve(settings)


def main() -> None:
    """Run the command line; exit with status 2 on an error."""
    try:
        app()
    except SiskinpassError as error:
        sys.stderr.write(f'siskinpass: {int(error.code)} {error}\n')
        sys.exit(2)
