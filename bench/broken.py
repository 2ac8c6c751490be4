"""Product command line with one safeguard disabled.

``python -m bench.broken NAME serve ...`` starts an entry without the safeguard
of that name, to show that the chaos run detects its absence.
"""

import sys
from collections.abc import Callable

from siskinpass import cli
from siskinpass.codes import Ran
from siskinpass.process.attempt import Attempt
from siskinpass.process.claims import Claims, HeldClaim
from siskinpass.process.placement import Server
from siskinpass.process.relay import Relay
from siskinpass.process.run import RequestRun
from siskinpass.request.claim import Claim, ClaimState
from siskinpass.request.stream import TokenStreamParser
from siskinpass.version.tree_version import CurrentVersion


def ignore_request_ids() -> None:
    """Forward stream events without checking their request id."""
    original_init = TokenStreamParser.__init__

    def init_with_weak_marker(self, marker: bytes) -> None:
        original_init(self, b'"id":"')

    TokenStreamParser.__init__ = init_with_weak_marker


def retry_non_idempotent_calls() -> None:
    """Retry calls that are not idempotent."""
    RequestRun._check_may_retry = lambda self, error: None


def skip_claims() -> None:
    """Run requests without checking whether their key is claimed."""

    async def acquire(self, call) -> HeldClaim:
        claim = Claim('none', call.digest, ClaimState.open, 0)
        return HeldClaim('claims/none', claim, 0)

    async def settle(self, *args) -> None:
        """Leave the claim store unchanged."""

    Claims.acquire = acquire
    Claims.settle = settle


def skip_drain() -> None:
    """Exit without waiting for open requests."""

    async def drain(self) -> None:
        """Return at once."""

    Relay.drain = drain


def accept_lower_versions() -> None:
    """Put any received version in force, even a lower one."""

    def adopt_if_newer(self, version) -> bool:
        self._current = version
        return True

    CurrentVersion.adopt_if_newer = adopt_if_newer


def resume_from_start() -> None:
    """Resume interrupted streams from their first token."""
    TokenStreamParser.tokens = property(
        lambda self: 0,
        lambda self, count: None,
    )


def grant_leaving_slots() -> None:
    """Grant slots of backend servers that are leaving."""

    def free_slots(self, now_s: float) -> int:
        return self.limit.slots - self.running

    Server.free_slots = free_slots


def treat_cut_streams_as_complete() -> None:
    """Treat an interrupted stream as complete."""

    def receive_failure(self, error) -> None:
        self._connection = None
        if not self.finished.done():
            self.finished.set_result(None)

    Attempt.receive_failure = receive_failure


def report_failures_as_not_run() -> None:
    """Report every failed request as not run."""
    RequestRun.ran = property(
        lambda self: Ran.not_run,
        lambda self, ran: None,
    )


MUTATIONS: dict[str, Callable[[], None]] = {
    'crossed': ignore_request_ids,
    'once': retry_non_idempotent_calls,
    'claims': skip_claims,
    'drain': skip_drain,
    'versions': accept_lower_versions,
    'resume': resume_from_start,
    'leaving': grant_leaving_slots,
    'whole': treat_cut_streams_as_complete,
    'truth': report_failures_as_not_run,
}

if __name__ == '__main__':
    MUTATIONS[sys.argv.pop(1)]()
    cli.main()
