"""Estimate when a model engine has read the prompts that it was given.

Pure logic. An engine admits more urgent prompts first, so what it has to
read before a prompt is what was placed in that tier and those above.
"""

# Prompt tokens that an engine reads in a second beside running streams; the
# sheets state 56,000 and 62,400 without any.
PREFILL_TOKENS_PER_S = 50_000
# Prompt tokens a second at which prompts are read one by one also while an
# engine is 2.5 times slower, as the sheets' engines are for 15% of the time.
PACED_PREFILL_TOKENS_PER_S = 20_000


class PrefillSchedule:
    """Follow the reading of one engine by the tiers of its prompts."""

    def __init__(self) -> None:
        """Start with nothing to read."""
        self._done_s: dict[int, float] = {}
        self._paced_done_s = 0.0

    def add(self, tokens: int, tier: int, now_s: float) -> None:
        """Count a prompt that was placed there."""
        self._done_s.setdefault(tier, self._done_by(tier))
        for other, done_s in self._done_s.items():
            if other >= tier:
                start_s = max(now_s, done_s)
                self._done_s[other] = start_s + tokens / PREFILL_TOKENS_PER_S

    def add_paced(self, tokens: int, now_s: float) -> None:
        """Count a prompt that has to follow the one before at an even pace.

        Long prompts do not count: at this pace one of them takes seconds, and
        an engine that has read it is ready for streams with a tight pause.
        """
        start_s = max(now_s, self._paced_done_s)
        self._paced_done_s = start_s + tokens / PACED_PREFILL_TOKENS_PER_S

    def backlog_s(self, tier: int, now_s: float) -> float:
        """Return how long it reads before a new prompt of a tier, seconds."""
        return max(0.0, self._done_by(tier) - now_s)

    def paced_backlog_s(self, now_s: float) -> float:
        """Return when prompts that follow at an even pace are read, seconds.

        Reading at that pace leaves time for the tokens of running streams.
        """
        return max(0.0, self._paced_done_s - now_s)

    def _done_by(self, tier: int) -> float:
        ahead = (
            done_s for other, done_s in self._done_s.items() if other <= tier
        )
        return max(ahead, default=0.0)
