"""Tickets with which requests wait for a backend server. Pure logic."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from siskinpass.request.identity import is_identity
from siskinpass.request.inbound import InboundRequest, Prompt, PromptPart
from siskinpass.request.ticket import PromptPiece, Ticket
from siskinpass.version.routes import Route, RouteTable, Workspace

MAX_URGENCY = 9
KEY_BYTES = 8
# Shorter pieces save an engine little.
MIN_PIECE_TOKENS = 128
NAME_SEPARATOR = ','  # which no name has
# Limits of what instances announce of a prompt.
MAX_NAME_LENGTH = 64
MAX_NAMED_PARTS = 32
# A request waits for a server for at most this fraction of its remaining time.
# Waiting longer would make the answer late, which lowers its value; refusing
# sooner would lose the whole value.
WAIT_FRACTION = 0.4
GUARANTEED_SHARE = 0.1  # of freed slots, for each tier


class Plan(Protocol):
    """Properties of a request that its tickets depend on."""

    route: Route
    workspace: Workspace | None
    service: str
    table: RouteTable
    deadline_s: float

    @property
    def tier(self) -> int:
        """Return the tier of the request."""


NO_PROMPT = Prompt()


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request.

    :param ticket_id: unique in the process.
    :param now_s: start of the attempt, on the event loop's clock.
    :param avoid: backend server of the previous attempt, which failed.
    :param version: software version that the server must have, ``None`` for
        any.
    :param crashes: servers that have ended under the request, one after the
        other.
    """

    ticket_id: str
    now_s: float
    avoid: str = ''
    version: str | None = None
    crashes: int = 0


def make_ticket(
    call: InboundRequest,
    plan: Plan,
    attempt: Attempt,
) -> Ticket:
    """Return the ticket of one attempt."""
    route = plan.route
    # Without an engine of a known size nothing bounds what a caller states.
    prompt = call.prompt if plan.table.memory_of(plan.service) else NO_PROMPT
    remaining_s = plan.deadline_s - attempt.now_s
    return Ticket(
        ticket_id=attempt.ticket_id,
        entry='',
        pool=plan.service,
        node=route.name,
        tier=plan.tier,
        opened_s=attempt.now_s,
        target_s=route.target_s,
        max_wait_s=remaining_s * WAIT_FRACTION,
        share=GUARANTEED_SHARE,
        pieces=hash_parts(prompt),
        pausable=False,
        avoid=attempt.avoid,
        version=attempt.version,
        crashes=attempt.crashes,
        tokens_in=prompt.tokens_in,
        is_tight=plan.table.is_tight(route),
        workspace=plan.workspace.name if plan.workspace else '',
        tokens_out=prompt.tokens_out,
    )


def hash_parts(prompt: Prompt) -> tuple[PromptPiece, ...]:
    """Return the parts of a prompt, with hashes in place of their names.

    Shared parts that follow each other are joined until a piece has
    ``MIN_PIECE_TOKENS``, which bounds the pieces by the length of the prompt:
    callers may send thousands of parts of a token each. Prompts that begin
    with the same parts begin with the same pieces.
    """
    pieces: list[PromptPiece] = []
    names: list[str] = []
    tokens = 0
    for part in prompt.shared_parts:
        names.append(part.key)
        tokens += part.tokens
        if tokens >= MIN_PIECE_TOKENS:
            pieces.append(PromptPiece(_hash(*names), tokens))
            names, tokens = [], 0
    if names:
        pieces.append(PromptPiece(_hash(*names), tokens))
    return (*pieces, *hash_listed(prompt.parts[-1:]))


def hash_listed(parts: Iterable[PromptPart]) -> tuple[PromptPiece, ...]:
    """Return parts that need not be of one prompt, each as a piece."""
    return tuple(PromptPiece(_hash(part.key), part.tokens) for part in parts)


def shared_part_names(prompt: Prompt) -> tuple[str, ...]:
    """Return the names of the parts that other prompts may share.

    Callers choose the names. Long ones, and those that look like the name of a
    request, are replaced by hashes.
    """
    return tuple(
        f'{_hash(part.key):x}'
        if len(part.key) > MAX_NAME_LENGTH or is_identity(part.key)
        else part.key
        for part in prompt.shared_parts[:MAX_NAMED_PARTS]
    )


def engine_urgency(tier: int) -> int:
    """Return the urgency to send to the server, the tier within 0 to 9."""
    return min(MAX_URGENCY, max(0, tier))


def _hash(*names: str) -> int:
    digest = hashlib.blake2b(
        NAME_SEPARATOR.join(names).encode(), digest_size=KEY_BYTES
    )
    return int.from_bytes(digest.digest())
