"""Requests that a soak run sends."""

import random
from dataclasses import dataclass

from bench.soak_checks import AGAIN, BAD, ONCE, SOUND, STREAM
from standins.fleet import CrashCauses

BAD_PART = 'bad0'
CRASHING_BODY = 'crash'
CAUSES = CrashCauses(
    frozenset((BAD_PART,)), frozenset((CRASHING_BODY.encode(),))
)
SUBJECTS = 8
# Requests a second by kind.
RATES = ((SOUND, 24.0), (ONCE, 6.0), (STREAM, 8.0), (BAD, 4.0), (AGAIN, 2.0))
CRASHING_KINDS = frozenset((BAD, AGAIN))
# Kinds of route by which the request that comes again is sent, one a run.
AGAIN_PATHS = ('/safe/again', '/once/again', '/stream/again')


@dataclass(frozen=True, slots=True)
class SoakRequest:
    """What is sent as one request.

    :param more: further header lines.
    """

    path: str
    more: str = ''
    body: str = 'body'


class SoakLoad:
    """Source of the requests of one run.

    :param seed: the same seed gives the same requests.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._again = SoakRequest(
            self._rng.choice(AGAIN_PATHS), body=CRASHING_BODY
        )

    def pause_s(self) -> float:
        """Return the time until the next request."""
        return self._rng.expovariate(sum(rate for _, rate in RATES))

    def next_kind(self) -> str:
        """Return the kind of the next request."""
        kinds, rates = zip(*RATES, strict=True)
        return self._rng.choices(kinds, rates)[0]

    def choose(self, names: list[str]) -> str:
        """Return the instance that gets the next request."""
        return self._rng.choice(names)

    def fork(self) -> random.Random:
        """Return a generator for the decisions of one caller."""
        return random.Random(self._rng.random())

    def make(self, kind: str, number: int) -> SoakRequest:
        """Return a request of some kind.

        :param number: distinguishes the prompts of a run.
        """
        if kind == AGAIN:
            return self._again
        if kind == ONCE:
            return SoakRequest('/once/x')
        subject = f'subject-{self._rng.randrange(SUBJECTS)}'
        parts = ['sys', BAD_PART, subject] if kind == BAD else ['sys', subject]
        entries = ''.join(f'{part}:50,' for part in parts)
        return SoakRequest(
            '/plain-stream/x',
            f'X-Prompt-Prefix: {entries}own-{number}:60\r\n',
        )
