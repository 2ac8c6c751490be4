"""Learn at the start which prompt parts the model engines keep.

Answers the load after a restart of many instances: engines outlive them and
keep their parts, which would be read again if prompts went elsewhere.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.fetch import fetch
from siskinpass.exceptions import BackendError, SiskinpassError
from siskinpass.platform.engines import KEPT_PARTS_REQUEST, decode_kept_parts
from siskinpass.process.fleet.tickets import pieces_of
from siskinpass.process.logs import PartLog
from siskinpass.request.inbound import STATUS_OK, Prompt
from siskinpass.request.ticket import PromptPlaced, ServerView

# An engine answers between two steps, which take up to 0.2 s while it is slow;
# later than this, requests have taught more than the answer tells.
ANSWER_S = 1.0
# A list holds up the engine's work. Each instance of a large fleet asks only
# some engines, so that none gets more calls than on the users' smaller sites.
ENGINES_MOST = 12


class KeptParts:
    """Ask each engine once what it keeps, or some of them where they are many.

    A part that an engine keeps in part counts as whole.

    :param backends: connections to the engines.
    :param tell: takes the parts of one engine.
    :param answer_s: longest time that an engine's answer is waited for.
    """

    def __init__(
        self,
        backends: BackendPool,
        tell: Callable[[PromptPlaced], None],
        answer_s: float = ANSWER_S,
    ) -> None:
        """Ask nothing yet."""
        self._backends = backends
        self._tell = tell
        self._answer_s = answer_s
        self._log = PartLog('kept-parts')

    async def learn(self, engines: Iterable[ServerView]) -> None:
        """Ask all engines at once."""
        known = tuple(engines)
        asked = random.sample(known, min(len(known), ENGINES_MOST))
        await asyncio.gather(*(self._learn_one(one) for one in asked))

    async def _learn_one(self, engine: ServerView) -> None:
        try:
            parts = decode_kept_parts(await self._ask(engine.address))
        except SiskinpassError as error:
            self._log.warn(
                'An engine does not tell what it keeps.',
                server=engine.name,
                cause=str(error),
            )
            return
        self._tell(PromptPlaced(engine.name, pieces_of(Prompt(parts))))
        self._log.note(
            'An engine told what it keeps.',
            server=engine.name,
            parts=len(parts),
        )

    async def _ask(self, address: str) -> bytes:
        answer = await fetch(
            self._backends,
            address,
            KEPT_PARTS_REQUEST,
            self._answer_s,
        )
        if answer.status != STATUS_OK:
            raise BackendError(Code.backend_error, f'status {answer.status}')
        return answer.body
