"""Query the model engines at start for the prompt parts in their KV caches.

Engines keep running, with their caches, while instances restart. After a
restart of many instances, prompts sent to other engines than before would have
to be prefilled again; the query avoids this load.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from siskinpass.codes import Code
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.fetch import fetch
from siskinpass.exceptions import BackendError, SiskinpassError
from siskinpass.platform.engines import KEPT_PARTS_REQUEST, decode_kept_parts
from siskinpass.process.fleet.tickets import hash_listed
from siskinpass.process.logs import ComponentLog
from siskinpass.request.inbound import STATUS_OK
from siskinpass.request.ticket import PromptPlaced, ServerView

# An engine answers between two steps, which take up to 0.2 s on a slow engine.
# After this time, placed requests have given more information than the answer
# would.
ANSWER_TIMEOUT_S = 1.0
# Listing its cache delays an engine's other work. Each instance of a large
# fleet queries only some engines, so that no engine gets more queries than at
# the users' smaller sites.
MAX_ENGINES = 12


class KeptPartsLoader:
    """Loader of the prompt parts that the engines have cached.

    Queries each engine once, or a random sample of ``MAX_ENGINES``. A part that
    an engine has cached incompletely counts as complete.

    :param backends: connections to the engines.
    :param on_parts: called with the parts of each engine that answers.
    :param timeout_s: longest wait for an engine's answer.
    """

    def __init__(
        self,
        backends: BackendPool,
        on_parts: Callable[[PromptPlaced], None],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._backends = backends
        self._on_parts = on_parts
        self._timeout_s = timeout_s
        self._log = ComponentLog('kept-parts')

    async def load(self, engines: Iterable[ServerView]) -> None:
        """Query the engines concurrently; failures are only logged."""
        known = tuple(engines)
        sampled = random.sample(known, min(len(known), MAX_ENGINES))
        await asyncio.gather(*(self._load_one(one) for one in sampled))

    async def _load_one(self, engine: ServerView) -> None:
        try:
            parts = decode_kept_parts(await self._fetch(engine.address))
        except SiskinpassError as error:
            self._log.warn(
                'An engine did not list its cached prompt parts.',
                server=engine.name,
                cause=str(error),
            )
            return
        self._on_parts(PromptPlaced(engine.name, hash_listed(parts)))
        self._log.note(
            'An engine listed its cached prompt parts.',
            server=engine.name,
            parts=len(parts),
        )

    async def _fetch(self, address: str) -> bytes:
        answer = await fetch(
            self._backends,
            address,
            KEPT_PARTS_REQUEST,
            self._timeout_s,
        )
        if answer.status != STATUS_OK:
            raise BackendError(Code.backend_error, f'status {answer.status}')
        return answer.body
