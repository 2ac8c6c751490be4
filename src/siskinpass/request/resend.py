"""Decide what follows when an attempt on a backend server ended.

Pure logic. It answers for two promises under any load and fault: work that may
not be repeated runs at most once, and "not run" is only said when it is true.
"""

import enum
from dataclasses import dataclass

from siskinpass.version.routes import RepeatPolicy, Route


class AttemptOutcome(enum.Enum):
    """Tell how an attempt ended.

    ``unsent``: no byte of the request reached a server.
    ``declined``: the server states that it did not run the request.
    ``failed``: the server answered with a failure of its own, whole.
    ``lost``: it is not known whether the request ran.
    ``cut``: the answer broke off after a part of it was passed on.
    """

    unsent = 'unsent'
    declined = 'declined'
    failed = 'failed'
    lost = 'lost'
    cut = 'cut'


class NextStep(enum.Enum):
    """Tell what to do next.

    ``resend``: send the request to another server.
    ``resume``: go on with the stream at another server.
    ``pass_on``: give the caller the server's own failure.
    ``tell_not_run``: say that the request did not run, and when to return.
    ``tell_unknown``: say that the outcome is not known.
    ``cut``: close the caller's connection without the end mark.
    """

    resend = 'resend'
    resume = 'resume'
    pass_on = 'pass_on'
    tell_not_run = 'tell_not_run'
    tell_unknown = 'tell_unknown'
    cut = 'cut'


# Sends that were not run cost the caller little; three cover a server that
# left, one that is full and one whose address has a new owner.
MAX_NOT_RUN_SENDS = 3


@dataclass(frozen=True, slots=True)
class SendCounts:
    """Count the sends of one request so far.

    :param run: sends that a server ran or may have run.
    :param not_run: sends that surely were not run.
    """

    run: int = 0
    not_run: int = 0


def decide_next_step(
    route: Route, ending: AttemptOutcome, sends: SendCounts
) -> NextStep:
    """Return the next step, were there time and budget for another send."""
    if ending in {AttemptOutcome.unsent, AttemptOutcome.declined}:
        if sends.not_run < MAX_NOT_RUN_SENDS:
            return NextStep.resend
        return final_step(ending, has_run=sends.run > 0)
    if not route.may_repeat or sends.run >= route.max_attempts:
        return final_step(ending, has_run=True)
    if ending is AttemptOutcome.cut:
        return NextStep.resume if route.is_resumable else NextStep.cut
    if (
        ending is AttemptOutcome.failed
        and route.repeat is not RepeatPolicy.idempotent
    ):
        return NextStep.pass_on
    return NextStep.resend


def final_step(ending: AttemptOutcome, *, has_run: bool) -> NextStep:
    """Return how to end a request that is not sent again.

    :param has_run: whether this or an earlier send may have run.
    """
    if ending is AttemptOutcome.cut:
        return NextStep.cut
    if ending is AttemptOutcome.failed:
        return NextStep.pass_on
    return NextStep.tell_unknown if has_run else NextStep.tell_not_run
