"""Timeouts of attempts on backend servers that stop responding.

Pure logic without I/O, for servers that hang, lose responses or are behind a
dead connection. Only work that may be repeated is moved to another server:
for all other work a late response is worth more than none.
"""

from dataclasses import dataclass

from siskinpass.request.resend import SendCounts
from siskinpass.version.routes import Route

# A response that takes more than twice its target is late anyway, and a second
# server can still produce one within the caller's time limit.
FIRST_FACTOR = 2.0
# A prompt may be queued at a busy engine, which is not a fault.
STREAM_FIRST_FACTOR = 5.0
MIN_FIRST_S = 0.4
# Busy engines do not pause for as long as four times the pause target.
PAUSE_FACTOR = 4.0
MIN_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Longest times for which a server may send nothing.

    :param first_s: time to the first sign of a response.
    :param pause_s: time between events.
    """

    first_s: float
    pause_s: float


def attempt_timeouts(route: Route, sends: SendCounts) -> AttemptTimeouts | None:
    """Return the timeouts of an attempt, or None where none apply.

    None apply where no further attempt is allowed, because the request must
    not be repeated or this is its last attempt.

    :param sends: sends before this one.
    """
    if not route.may_repeat or sends.run + 1 >= route.max_attempts:
        return None
    factor = STREAM_FIRST_FACTOR if route.is_stream else FIRST_FACTOR
    return AttemptTimeouts(
        max(MIN_FIRST_S, route.target_s * factor),
        max(MIN_PAUSE_S, route.pause_s * PAUSE_FACTOR),
    )
