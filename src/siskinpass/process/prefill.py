"""Estimate when a model engine has prefilled the prompts placed on it.

Pure logic. An engine admits more urgent prompts first, so a prompt waits only
for the prompts of its own tier and of those above it. Both rates are those of
an engine of even speed; see ``server_speed``.
"""

# Prefill rate of an engine while it also runs streams. Engines are specified at
# 56,000 and 62,400 prompt tokens per second without streams.
PREFILL_TOKENS_PER_S = 50_000
# Rate at which prompts are prefilled one at a time, even while an engine is 2.5
# times slower. Engines run that slowly for 15% of the time.
PACED_PREFILL_TOKENS_PER_S = 20_000


class PrefillSchedule:
    """Estimated prefill backlog of one engine, by tier."""

    def __init__(self) -> None:
        self._done_s: dict[int, float] = {}
        self._paced_done_s = 0.0

    def add(
        self, tokens: int, tier: int, now_s: float, *, speed: float = 1.0
    ) -> None:
        """Add a prompt, which delays its own tier and all tiers below it.

        :param tokens: prompt tokens that the engine does not have cached;
            below 0 to take back as many of the same tier.
        :param speed: of the engine; 1 for an even one.
        """
        prefill_s = tokens / (PREFILL_TOKENS_PER_S * speed)
        self._done_s.setdefault(tier, self._done_by(tier))
        for other, done_s in self._done_s.items():
            if other >= tier:
                self._done_s[other] = max(now_s, done_s) + prefill_s

    def add_paced(
        self, tokens: int, now_s: float, *, speed: float = 1.0
    ) -> None:
        """Add a prompt to those that are prefilled at an even pace.

        Callers add only prompts of tight streams. Long prompts do not count:
        at this pace one of them would take seconds, although an engine is ready
        for tight streams as soon as it has prefilled it.
        """
        start_s = max(now_s, self._paced_done_s)
        self._paced_done_s = start_s + tokens / (
            PACED_PREFILL_TOKENS_PER_S * speed
        )

    def backlog_s(self, tier: int, now_s: float) -> float:
        """Return how long a new prompt of a tier waits, in seconds."""
        return max(0.0, self._done_by(tier) - now_s)

    def paced_backlog_s(self, now_s: float) -> float:
        """Return how long the paced prompts still take, in seconds.

        Prefill at that pace leaves the engine time to generate tokens for its
        running streams.
        """
        return max(0.0, self._paced_done_s - now_s)

    def _done_by(self, tier: int) -> float:
        ahead = (
            done_s for other, done_s in self._done_s.items() if other <= tier
        )
        return max(ahead, default=0.0)
