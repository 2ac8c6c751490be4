"""Duration of one placement decision of the broker, without a network."""

import statistics
import sys
import time
from dataclasses import dataclass

from siskinpass.process.broker import Broker
from siskinpass.process.fleet.policy import fleet_policy
from siskinpass.request.ticket import (
    GrantReleased,
    PromptPiece,
    ServersListed,
    ServerView,
    Ticket,
    TicketOpened,
)

SERVER_COUNTS = (12, 150)
REQUESTS = 3000
SHARED_PREFIXES = 200
SHARED_TOKENS = 13_300
UNIQUE_TOKENS = 3700
KV_CACHE_TOKENS = 600_000
REQUEST_INTERVAL_S = 0.1  # interval at which no request waits
FIRST_UNIQUE_KEY = 10_000  # above the keys of the shared parts
US_PER_S = 1_000_000
TIERS = 3


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Durations of placement decisions.

    :param servers: backend servers to choose from.
    """

    servers: int
    median_us: float
    worst_us: float


def measure(servers: int) -> DecisionCost:
    """Place prompts one after another and measure each decision."""
    broker = _broker(servers)
    durations_us = []
    for number in range(REQUESTS):
        now_s = number * REQUEST_INTERVAL_S
        opened = TicketOpened(_ticket(number, now_s))
        start_s = time.perf_counter()
        broker.apply(opened, now_s)
        durations_us.append((time.perf_counter() - start_s) * US_PER_S)
        broker.apply(GrantReleased(opened.ticket.ticket_id), now_s)
    return DecisionCost(
        servers, statistics.median(durations_us), max(durations_us)
    )


def show() -> None:
    """Print the durations for each group size."""
    for servers in SERVER_COUNTS:
        cost = measure(servers)
        sys.stdout.write(
            f'{cost.servers} servers: median {cost.median_us:.0f} us, '
            f'longest {cost.worst_us:.0f} us\n',
        )


def _broker(servers: int) -> Broker:
    broker = Broker(fleet_policy(KV_CACHE_TOKENS))
    views = (
        ServerView(f'e-{number}', '1.1.1.1:1', 'lm', slots=64)
        for number in range(servers)
    )
    broker.apply(ServersListed(tuple(views)), 0.0)
    return broker


def _ticket(number: int, now_s: float) -> Ticket:
    return Ticket(
        f't-{number}',
        '',
        'lm',
        'r',
        tier=number % TIERS,
        opened_s=now_s,
        target_s=1.0,
        max_wait_s=5.0,
        pausable=False,
        pieces=(
            PromptPiece(number % SHARED_PREFIXES, SHARED_TOKENS),
            PromptPiece(FIRST_UNIQUE_KEY + number, UNIQUE_TOKENS),
        ),
        tokens_in=SHARED_TOKENS + UNIQUE_TOKENS,
        is_tight=number % TIERS == 0,
    )
