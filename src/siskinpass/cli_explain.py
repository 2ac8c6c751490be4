"""Command that shows what happened to a request."""

import sys

from siskinpass.process.request_timeline import build_timeline, read_log

STATUS_UNKNOWN = 1


def explain(call_id: str) -> None:
    """Print what the logs on standard input say about one request.

    Exits with 1 if no line mentions it: the request did not arrive, or it
    succeeded and its lines were left out under load.

    :param call_id: the caller's id of its attempt.
    """
    story = build_timeline(tuple(read_log(sys.stdin.buffer)), call_id)
    for line in story:
        sys.stdout.write(f'{line}\n')
    if not story:
        sys.stderr.write('siskinpass: no log line mentions this request\n')
        sys.exit(STATUS_UNKNOWN)
