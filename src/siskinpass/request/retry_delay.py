"""Choose when a refused caller should return.

Pure logic. It answers callers who were refused in one moment and would come
back in one moment, too: their returns are spread over the time in which the
backlog clears.
"""

from siskinpass.codes import Code

# Bounds of the delay of callers for whom no time is known. They are well below
# a third of the shortest time limit of a caller, 1.5 s.
MIN_DELAY_S = 0.1
MIN_SPREAD_S = 0.3
# Callers wait at most this fraction of their remaining time.
MAX_WAIT_FRACTION = 1 / 3
# Refusals whose time is an estimate of the backlog. The others name a time
# before which a return is in vain.
BACKLOG_CODES = frozenset((
    Code.queue_full,
    Code.wait_too_long,
    Code.shed_for_upper_tier,
    Code.no_backend_server,
    Code.workspace_share,
))


def retry_delay_s(
    code: Code, stated_s: float, remaining_s: float, draw: float
) -> float:
    """Return after which time a refused caller should return, in seconds.

    The returns of many callers are spread evenly over a time as long as the
    one stated, which begins at its end. Where the caller does not have that
    time, they end at a third of its remaining time and begin earlier.

    :param stated_s: time in which the backlog clears, 0 if it is not known.
    :param remaining_s: how long the caller still waits for an answer, 0 where
        its time has passed.
    :param draw: random number, uniform over 0 to 1.
    """
    first_s = max(MIN_DELAY_S, stated_s)
    if code not in BACKLOG_CODES:
        return first_s + draw * MIN_SPREAD_S
    spread_s = max(MIN_SPREAD_S, stated_s)
    last_s = first_s + spread_s
    if remaining_s > 0:
        longest_s = max(MIN_DELAY_S, remaining_s * MAX_WAIT_FRACTION)
        last_s = min(last_s, longest_s)
        first_s = min(first_s, max(MIN_DELAY_S, last_s - spread_s))
    return first_s + draw * (last_s - first_s)
