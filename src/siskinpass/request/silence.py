"""Decide when a backend server's silence ends an attempt.

Pure logic, for servers that hang, lose answers or sit behind a connection that
went silent. Only work that may be repeated is taken elsewhere: for the rest an
answer that comes late is worth more than none.
"""

from dataclasses import dataclass

from siskinpass.request.resend import Sends
from siskinpass.version.routes import Route

# An answer later than twice its target is late anyway; a second server still
# brings it within the caller's time limit.
FIRST_TARGETS = 2.0
# A prompt may wait for its turn at a busy engine; that is no silence.
STREAM_FIRST_TARGETS = 5.0
FIRST_LEAST_S = 0.4
# A pause of four times what is on time is beyond what a busy engine shows.
PAUSES = 4.0
PAUSE_LEAST_S = 1.0


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Bound the silence of a server, in seconds.

    :param first_s: longest time to the first sign of an answer.
    :param pause_s: longest time between events.
    """

    first_s: float
    pause_s: float


def silence_limits(route: Route, sends: Sends) -> SilenceLimits | None:
    """Return the bounds of an attempt, none where silence must be waited out.

    :param sends: sends before this one.
    """
    if not route.may_repeat or sends.run + 1 >= route.attempts_most:
        return None
    targets = STREAM_FIRST_TARGETS if route.is_stream else FIRST_TARGETS
    return SilenceLimits(
        max(FIRST_LEAST_S, route.target_s * targets),
        max(PAUSE_LEAST_S, route.pause_s * PAUSES),
    )
