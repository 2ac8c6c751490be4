"""Decide which of several attempts may run a request with an idempotency key.

Pure logic without I/O, on the claim object that is stored for each key. A
request that must not be repeated runs at most once.
"""

import enum
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from siskinpass.codes import Code

MAX_STORED_BODY_BYTES = 65_536  # larger responses are not stored


class ClaimState(enum.Enum):
    """State of a claimed request.

    ``open``: it may be running.
    ``done``: it ran.
    ``unknown``: it is not known whether it ran.
    ``not_run``: it did not run.
    """

    open = 'open'
    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim object of one idempotency key.

    :param nonce: random text by which the writer recognizes its own write.
    :param digest: hash of the request that the key belongs to.
    :param written_s: wall-clock time of the writer, used only for expiry.
    :param status: HTTP status of the stored response, 0 where there is none.
    :param body: body of the stored response.
    """

    nonce: str
    digest: str
    state: ClaimState
    written_s: float
    status: int = 0
    body: str = ''

    def dump(self) -> bytes:
        """Return the claim in its stored form, as JSON."""
        return orjson.dumps({**asdict(self), 'state': self.state.value})

    @classmethod
    def load(cls, stored: bytes) -> 'Claim':
        """Return the claim that is stored in JSON."""
        fields: dict[str, Any] = orjson.loads(stored)
        fields['state'] = ClaimState(fields['state'])
        return cls(**fields)


class ClaimAction(enum.Enum):
    """What to do with a request whose key already has a claim.

    ``run``: run it; the claim is its own.
    ``take_over``: replace the claim, whose request did not run, and run it.
    ``replay``: answer with the stored response.
    ``refuse``: answer with an error.
    """

    run = 'run'
    take_over = 'take_over'
    replay = 'replay'
    refuse = 'refuse'


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """An action and, for a refusal, its code."""

    action: ClaimAction
    code: Code | None = None


def decide_claim(
    found: Claim,
    nonce: str,
    digest: str,
    age_s: float,
    open_s: float,
) -> ClaimDecision:
    """Return what to do with a request whose key already has a claim.

    :param found: the claim.
    :param nonce: nonce with which this request writes claims.
    :param digest: hash of this request.
    :param age_s: age of the claim.
    :param open_s: age up to which the request of an open claim may still be
        running; beyond it, its outcome is taken as unknown.
    """
    if found.digest != digest:
        return ClaimDecision(ClaimAction.refuse, Code.key_reused)
    if found.state is not ClaimState.open:
        return _decide_settled(found)
    if found.nonce == nonce:
        return ClaimDecision(ClaimAction.run)
    code = Code.claim_in_progress if age_s < open_s else Code.outcome_unknown
    return ClaimDecision(ClaimAction.refuse, code)


def _decide_settled(found: Claim) -> ClaimDecision:
    if found.state is ClaimState.not_run:
        return ClaimDecision(ClaimAction.take_over)
    if found.state is ClaimState.unknown:
        return ClaimDecision(ClaimAction.refuse, Code.outcome_unknown)
    if found.status:
        return ClaimDecision(ClaimAction.replay)
    return ClaimDecision(ClaimAction.refuse, Code.already_ran)
