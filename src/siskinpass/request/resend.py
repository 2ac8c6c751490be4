"""Decide how to continue after an attempt on a backend server has ended.

Pure logic without I/O. It upholds two guarantees under any load and fault:
work that must not be repeated runs at most once, and a caller gets the answer
"not run" only if that is certain.
"""

import enum
from dataclasses import dataclass, replace

from siskinpass.version.routes import Route


class AttemptOutcome(enum.Enum):
    """How an attempt on a backend server ended.

    ``unsent``: no byte of the request reached a server.
    ``declined``: the server states that it did not run the request.
    ``failed``: the server sent a complete error response.
    ``lost``: it is unknown whether the request ran.
    ``cut``: the response broke off after part of it was passed on.
    """

    unsent = 'unsent'
    declined = 'declined'
    failed = 'failed'
    lost = 'lost'
    cut = 'cut'


class NextStep(enum.Enum):
    """What the router does after an attempt.

    ``resend``: send the request to another server.
    ``resume``: continue the stream from another server.
    ``pass_on``: pass the server's error response on to the caller.
    ``tell_not_run``: answer that the request did not run, and when to retry.
    ``tell_unknown``: answer that the outcome is unknown.
    ``cut``: close the caller's connection without ending the stream properly.
    """

    resend = 'resend'
    resume = 'resume'
    pass_on = 'pass_on'
    tell_not_run = 'tell_not_run'
    tell_unknown = 'tell_unknown'
    cut = 'cut'


# Outcomes that prove that a send was not run.
NOT_RUN_OUTCOMES = frozenset((AttemptOutcome.unsent, AttemptOutcome.declined))
# A send that was not run costs the caller little time. Three of them cover a
# server that is gone, one that is full and one whose address was reassigned.
MAX_NOT_RUN_SENDS = 3


@dataclass(frozen=True, slots=True)
class SendCounts:
    """Numbers of sends of one request so far.

    A send counts as run from its first byte on, until its outcome proves that
    it was not run.

    :param run: sends that a server ran or may have run.
    :param not_run: sends that certainly were not run.
    """

    run: int = 0
    not_run: int = 0

    @property
    def total(self) -> int:
        """Return the number of all sends."""
        return self.run + self.not_run

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run any of the sends."""
        return self.run > 0

    def add_send(self) -> 'SendCounts':
        """Return the numbers after the start of a send."""
        return replace(self, run=self.run + 1)

    def add_unsent(self) -> 'SendCounts':
        """Return the numbers after an attempt that sent nothing."""
        return replace(self, not_run=self.not_run + 1)

    def disprove(self) -> 'SendCounts':
        """Return the numbers once the latest send is proved not to have run."""
        return SendCounts(self.run - 1, self.not_run + 1)


def decide_next_step(
    route: Route,
    ending: AttemptOutcome,
    sends: SendCounts,
    *,
    is_server_error: bool = True,
) -> NextStep:
    """Return the next step, assuming time and budget for another send.

    A stream that may be resumed counts as idempotent: a server's own error
    before its first event is followed by another send like the error of a
    plain request.

    :param ending: how the last attempt ended.
    :param sends: all sends so far, the last attempt included.
    :param is_server_error: whether a server that failed blames itself, not the
        request; another server would find the same fault with a request.
    """
    if ending in NOT_RUN_OUTCOMES:
        if sends.not_run < MAX_NOT_RUN_SENDS:
            return NextStep.resend
        return final_step(ending, has_run=sends.may_have_run)
    if not route.may_repeat or sends.run >= route.max_attempts:
        return final_step(ending, has_run=True)
    if ending is AttemptOutcome.cut:
        return NextStep.resume if route.is_resumable else NextStep.cut
    if (
        ending is AttemptOutcome.failed
        and route.is_stream
        and not is_server_error
    ):
        return NextStep.pass_on
    return NextStep.resend


def final_step(ending: AttemptOutcome, *, has_run: bool) -> NextStep:
    """Return the step that ends a request without another send.

    :param ending: how the last attempt ended.
    :param has_run: whether this or an earlier send may have run.
    """
    if ending is AttemptOutcome.cut:
        return NextStep.cut
    if ending is AttemptOutcome.failed:
        return NextStep.pass_on
    return NextStep.tell_unknown if has_run else NextStep.tell_not_run
