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


def break_crossed() -> None:
    """Forward stream events of other requests."""
    original_init = TokenStreamParser.__init__

    def init_with_weak_marker(self, marker: bytes) -> None:
        original_init(self, b'"id":"')

    TokenStreamParser.__init__ = init_with_weak_marker


def break_once() -> None:
    """Retry calls that are not idempotent."""
    RequestRun._check_may_retry = lambda self, error: None


def break_claims() -> None:
    """Run requests without checking whether their key is claimed."""

    async def make(self, call) -> HeldClaim:
        claim = Claim('none', call.digest, ClaimState.open, 0)
        return HeldClaim('claims/none', claim, 0)

    async def settle(self, *args) -> None:
        """Leave the claim store unchanged."""

    Claims.make = make
    Claims.settle = settle


def break_drain() -> None:
    """Exit without waiting for open requests."""

    async def drain(self) -> None:
        """Return at once."""

    Relay.drain = drain


def break_versions() -> None:
    """Put any received version in force, even a lower one."""

    def adopt_if_newer(self, version) -> bool:
        self._current = version
        return True

    CurrentVersion.adopt_if_newer = adopt_if_newer


def break_resume() -> None:
    """Resume interrupted streams from their first token."""
    TokenStreamParser.tokens = property(
        lambda self: 0,
        lambda self, count: None,
    )


def break_leaving() -> None:
    """Grant slots of backend servers that are leaving."""

    def free_slots(self, now_s: float) -> int:
        return self.limit.slots - self.running

    Server.free_slots = free_slots


def break_whole() -> None:
    """Treat an interrupted stream as complete."""

    def take_failure(self, error) -> None:
        self._connection = None
        if not self.finished.done():
            self.finished.set_result(None)

    Attempt.take_failure = take_failure


def break_truth() -> None:
    """Report every failed request as not run."""
    RequestRun.ran = property(
        lambda self: Ran.not_run,
        lambda self, ran: None,
    )


BREAKS: dict[str, Callable[[], None]] = {
    'crossed': break_crossed,
    'once': break_once,
    'claims': break_claims,
    'drain': break_drain,
    'versions': break_versions,
    'resume': break_resume,
    'leaving': break_leaving,
    'whole': break_whole,
    'truth': break_truth,
}

if __name__ == '__main__':
    BREAKS[sys.argv.pop(1)]()
    cli.main()
