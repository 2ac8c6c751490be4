"""Learn at the start which prompt parts the model engines keep.

Answers the load after a restart of many instances: engines outlive them and
keep their parts, which would be read again if prompts went elsewhere.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.whole_answer import fetch
from siskinpass.exceptions import BackendError, SiskinpassError
from siskinpass.platform.engines import KEPT_PARTS_CALL, decode_kept_parts
from siskinpass.process.fleet.tickets import hash_parts
from siskinpass.process.logs import PartLog
from siskinpass.request.inbound import STATUS_OK, Prompt
from siskinpass.request.ticket import PromptPlaced, ServerView

# An engine answers between two steps, which take up to 0.2 s while it is slow;
# later than this, requests have taught more than the answer tells.
ANSWER_TIMEOUT_S = 1.0
# A list holds up the engine's work. Each instance of a large fleet asks only
# some engines, so that none gets more calls than on the users' smaller sites.
MAX_ENGINES = 12


class KeptPartsLoader:
    """Ask each engine once what it keeps, or some of them where they are many.

    A part that an engine keeps in part counts as whole.

    :param backends: connections to the engines.
    :param tell: takes the parts of one engine.
    :param answer_s: longest time that an engine's answer is waited for.
    """

    def __init__(
        self,
        backends: BackendPool,
        on_parts: Callable[[PromptPlaced], None],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        """Ask nothing yet."""
        self._backends = backends
        self._on_parts = on_parts
        self._timeout_s = timeout_s
        self._log = PartLog('kept-parts')

    async def load(self, engines: Iterable[ServerView]) -> None:
        """Ask all engines at once."""
        known = tuple(engines)
        sampled = random.sample(known, min(len(known), MAX_ENGINES))
        await asyncio.gather(*(self._load_one(one) for one in sampled))

    async def _load_one(self, engine: ServerView) -> None:
        try:
            parts = decode_kept_parts(await self._fetch(engine.address))
        except SiskinpassError as error:
            self._log.warn(
                'An engine does not tell what it keeps.',
                server=engine.name,
                cause=str(error),
            )
            return
        self._on_parts(PromptPlaced(engine.name, hash_parts(Prompt(parts))))
        self._log.note(
            'An engine told what it keeps.',
            server=engine.name,
            parts=len(parts),
        )

    async def _fetch(self, address: str) -> bytes:
        answer = await fetch(
            self._backends,
            address,
            KEPT_PARTS_CALL,
            self._timeout_s,
        )
        if answer.status != STATUS_OK:
            raise BackendError(Code.backend_error, f'status {answer.status}')
        return answer.body
