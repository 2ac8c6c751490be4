"""Explain from the command line what happened to a request."""

import sys

from siskinpass.process.request_timeline import build_timeline, read_log

STATUS_UNKNOWN = 1


def explain(call_id: str) -> None:
    """Follow one request through logs that are given on standard input.

    Exits with 1 where no line tells of it: it did not arrive, or ordinary
    lines were left out under load and nothing failed.

    :param call_id: the caller's id of its attempt.
    """
    told = build_timeline(tuple(read_log(sys.stdin.buffer)), call_id)
    for line in told:
        sys.stdout.write(f'{line}\n')
    if not told:
        sys.stderr.write('siskinpass: no line tells of this request\n')
        sys.exit(STATUS_UNKNOWN)
