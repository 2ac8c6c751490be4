"""Time limit of one request, which a stop of the process may bring forward."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from siskinpass.codes import Code
from siskinpass.exceptions import RefusedError
from siskinpass.request.stop_plan import StopPlan


class TimeLimit:
    """Time limit of one request."""

    def __init__(self) -> None:
        self._stop_plan: StopPlan | None = None
        self._timeout: asyncio.Timeout | None = None

    def end_by(self, stop_plan: StopPlan) -> None:
        """End the request in time for its answer to reach the caller."""
        self._stop_plan = stop_plan
        timeout = self._timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(min(timeout.when(), stop_plan.answers_s))

    def limit(self, started_s: float, deadline_s: float) -> float:
        """Return the end of a request that was read before it is sent.

        :param deadline_s: its end by the route and the caller.
        :raises RefusedError: if the process may end before it.
        """
        stop_plan = self._stop_plan
        if stop_plan is None:
            return deadline_s
        if not stop_plan.admits(started_s, deadline_s):
            raise RefusedError(Code.instance_leaving)
        return min(deadline_s, stop_plan.answers_s)

    @asynccontextmanager
    async def enforce(self, deadline_s: float) -> AsyncGenerator[None, None]:
        """Bound the request's work.

        :raises TimeoutError: when its time is up.
        """
        try:
            async with asyncio.timeout_at(deadline_s) as timeout:
                self._timeout = timeout
                yield
        finally:
            self._timeout = None
