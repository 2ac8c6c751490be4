"""Decide who may run a request that must run at most once.

Pure logic over the claim object of one idempotency key.
"""

import enum
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from siskinpass.codes import Code

MAX_STORED_BODY_BYTES = 65_536


class ClaimState(enum.Enum):
    """Tell how far a claimed request has come."""

    open = 'open'
    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the claim object of one idempotency key.

    :param nonce: made by the writer, by which it knows its own write.
    :param digest: hash of the request that the key belongs to.
    :param written_s: wall clock of the writer, for expiry only.
    :param status: HTTP status of the stored answer, 0 where there is none.
    :param body: the stored answer.
    """

    nonce: str
    digest: str
    state: ClaimState
    written_s: float
    status: int = 0
    body: str = ''

    def dump(self) -> bytes:
        """Return the claim as it is stored."""
        return orjson.dumps({**asdict(self), 'state': self.state.value})

    @classmethod
    def load(cls, stored: bytes) -> 'Claim':
        """Read a stored claim."""
        fields: dict[str, Any] = orjson.loads(stored)
        fields['state'] = ClaimState(fields['state'])
        return cls(**fields)


class ClaimAction(enum.Enum):
    """Tell what to do with a request whose key has a claim."""

    run = 'run'
    take_over = 'take_over'
    replay = 'replay'
    refuse = 'refuse'


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """Hold a verdict and, for a refusal, its code."""

    action: ClaimAction
    code: Code | None = None


def decide_claim(
    found: Claim,
    nonce: str,
    digest: str,
    age_s: float,
    open_s: float,
) -> ClaimDecision:
    """Judge a request by the claim that its key already has.

    :param nonce: nonce of this request's own write.
    :param digest: hash of this request.
    :param age_s: age of the claim.
    :param open_s: age up to which an open claim may still be running.
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
