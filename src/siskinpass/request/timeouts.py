"""Decide when a backend server's silence ends an attempt.

Pure logic, for servers that hang, lose answers or sit behind a connection that
went silent. Only work that may be repeated is taken elsewhere: for the rest an
answer that comes late is worth more than none.
"""

from dataclasses import dataclass

from siskinpass.request.resend import SendCounts
from siskinpass.version.routes import Route

# An answer later than twice its target is late anyway; a second server still
# brings it within the caller's time limit.
FIRST_FACTOR = 2.0
# A prompt may wait for its turn at a busy engine; that is no silence.
STREAM_FIRST_FACTOR = 5.0
MIN_FIRST_S = 0.4
# A pause of four times what is on time is beyond what a busy engine shows.
PAUSE_FACTOR = 4.0
MIN_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Bound the silence of a server, in seconds.

    :param first_s: longest time to the first sign of an answer.
    :param pause_s: longest time between events.
    """

    first_s: float
    pause_s: float


def attempt_timeouts(route: Route, sends: SendCounts) -> AttemptTimeouts | None:
    """Return the bounds of an attempt, none where silence must be waited out.

    :param sends: sends before this one.
    """
    if not route.may_repeat or sends.run + 1 >= route.max_attempts:
        return None
    factor = STREAM_FIRST_FACTOR if route.is_stream else FIRST_FACTOR
    return AttemptTimeouts(
        max(MIN_FIRST_S, route.target_s * factor),
        max(MIN_PAUSE_S, route.pause_s * PAUSE_FACTOR),
    )
