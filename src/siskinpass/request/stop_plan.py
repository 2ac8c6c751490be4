"""Plan of an instance's stop, for the requests that it still gets.

Pure logic without I/O. Times are on the event loop's clock.
"""

from dataclasses import dataclass

# Ahead of the kill at the end of the grace time: the last answers, which then
# have to reach their callers, and the end of the process.
ANSWER_MARGIN_S = 0.5
EXIT_MARGIN_S = 0.2
# Share of the grace time for which new connections are accepted at most.
MAX_ACCEPTING = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one stop.

    :param accepting_s: length of the time for which callers that do not know of
        the stop yet may still connect.
    :param late_s: end of that time.
    :param answers_s: time by which each request has its answer.
    :param exit_s: latest end of the process.
    """

    accepting_s: float
    late_s: float
    answers_s: float
    exit_s: float

    def admits(self, now_s: float, deadline_s: float) -> bool:
        """Return whether to send a request that was read by now to a server.

        In the last part of the stop only one that certainly has its answer in
        time is: its caller had better go to another instance at once than wait
        for an answer that is cut off.

        :param deadline_s: time by which the request is answered in any case.
        """
        return now_s < self.late_s or deadline_s <= self.answers_s


def plan_stop(now_s: float, grace_s: float, cached_s: float) -> StopPlan:
    """Return the plan of a stop that begins now.

    :param grace_s: time from now to the kill.
    :param cached_s: longest time for which callers use an old address.
    """
    accepting_s = min(cached_s, grace_s * MAX_ACCEPTING)
    killed_s = now_s + grace_s
    return StopPlan(
        accepting_s,
        now_s + accepting_s,
        killed_s - ANSWER_MARGIN_S,
        killed_s - EXIT_MARGIN_S,
    )
