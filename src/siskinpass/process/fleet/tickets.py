"""Make the tickets by which requests wait for a backend server. Pure logic."""

import hashlib
from dataclasses import dataclass
from typing import Protocol

from siskinpass.request.inbound import InboundRequest, Prompt
from siskinpass.request.ticket import PromptPiece, Ticket
from siskinpass.version.routes import Route, RouteTable

URGENCY_MOST = 9
KEY_BYTES = 8
# A request waits for a server for at most this part of the time that its caller
# waits: a late answer is worth less, but one that is refused is worth nothing.
PATIENCE_PART = 0.4
SHARE = 0.1


class Plan(Protocol):
    """Describe what a ticket is made for."""

    route: Route
    service: str
    table: RouteTable
    ends_s: float

    @property
    def tier(self) -> int:
        """Return the tier of the request."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """Identify one attempt of a request.

    :param ticket_id: unique in the process.
    :param now_s: when it starts.
    :param avoid: backend server that just failed for this request.
    """

    ticket_id: str
    now_s: float
    avoid: str = ''


def make_ticket(
    call: InboundRequest,
    plan: Plan,
    attempt: Attempt,
) -> Ticket:
    """Return the ticket of one attempt."""
    route = plan.route
    prompt = call.prompt
    left_s = plan.ends_s - attempt.now_s
    return Ticket(
        ticket_id=attempt.ticket_id,
        entry='',
        pool=plan.service,
        node=route.name,
        tier=plan.tier,
        opened_s=attempt.now_s,
        target_s=route.target_s,
        max_wait_s=left_s * PATIENCE_PART,
        share=SHARE,
        pieces=pieces_of(prompt),
        pausable=False,
        avoid=attempt.avoid,
        tokens_in=prompt.tokens_in,
        is_tight=plan.table.is_tight(route),
    )


def pieces_of(prompt: Prompt) -> tuple[PromptPiece, ...]:
    """Return the parts of a prompt by hashes of their names."""
    return tuple(
        PromptPiece(_hash(part.key), part.tokens) for part in prompt.parts
    )


def urgency_of(tier: int) -> int:
    """Return the engine's urgency for a tier."""
    return min(URGENCY_MOST, max(0, tier))


def _hash(key: str) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest())
