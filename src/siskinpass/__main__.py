"""Run the command line as ``python -m siskinpass``."""

from siskinpass.cli import main

main()
