"""Make the tickets by which requests wait for a backend server. Pure logic."""

import hashlib
from dataclasses import dataclass
from typing import Protocol

from siskinpass.request.inbound import Call, Prompt
from siskinpass.request.ticket import Ticket
from siskinpass.version.routes import Route, RouteTable

# A generated token costs about as much engine time as ten prompt tokens: the
# sheets' 0.165 ms a running request and step against 62 prompt tokens a ms.
TOKEN_OUT_WORK = 10
# A plain call takes one slot; its work is only compared with that of others.
PLAIN_WORK = 1000.0
URGENCY_MOST = 9
KEY_BYTES = 8
# A request waits for a server for at most this part of its target, so that a
# refusal comes early enough to be served elsewhere.
PATIENCE_PART = 0.5
PATIENCE_LEAST_S = 0.25
SHARE = 0.1


class Plan(Protocol):
    """Describe what a ticket is made for."""

    route: Route
    service: str
    table: RouteTable

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
    call: Call,
    plan: Plan,
    attempt: Attempt,
) -> Ticket:
    """Return the ticket of one attempt."""
    route = plan.route
    prompt = call.prompt
    patience_s = max(PATIENCE_LEAST_S, route.target_s * PATIENCE_PART)
    return Ticket(
        ticket_id=attempt.ticket_id,
        entry='',
        pool=plan.service,
        node=route.name,
        tier=plan.tier,
        opened_s=attempt.now_s,
        target_s=route.target_s,
        patience_s=patience_s,
        share=SHARE,
        prefix=affinity_key(prompt),
        pausable=False,
        avoid=attempt.avoid,
        work=prompt.tokens_in + TOKEN_OUT_WORK * prompt.tokens_out
        if prompt.tokens_in
        else PLAIN_WORK,
        prompt_work=float(prompt.tokens_in),
        is_tight=is_tight(route, plan.table),
    )


def affinity_key(prompt: Prompt) -> int:
    """Return a hash of the last prompt part that is shared, 0 for none."""
    shared = prompt.shared_parts
    if not shared:
        return 0
    digest = hashlib.blake2b(shared[-1].key.encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest())


def is_tight(route: Route, table: RouteTable) -> bool:
    """Return whether no other stream of the table has a shorter pause.

    Where all streams have the same pause, none is tight.
    """
    pauses = {other.pause_s for other in table.routes if other.pause_s > 0}
    return len(pauses) > 1 and route.pause_s == min(pauses)


def urgency_of(tier: int) -> int:
    """Return the engine's urgency for a tier."""
    return min(URGENCY_MOST, max(0, tier))

