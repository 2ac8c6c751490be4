"""Run coroutines that nothing waits for."""

import asyncio
from collections.abc import Callable, Coroutine

from siskinpass.process.logs import ComponentLog

RESTART_S = 0.5  # from the failure of a task that is kept to its next start


class BackgroundTasks:
    """Owner of running tasks; the event loop alone would not keep them.

    The failure of a task is logged, as no one else would notice it.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = ComponentLog('tasks')

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a coroutine and keep its task until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def keep(
        self, run: Callable[[], Coroutine[None, None, None]]
    ) -> asyncio.Task[None]:
        """Start a coroutine, and start it again whenever it fails.

        :param run: returns the coroutine.
        """
        return self.start(self._repeat(run))

    async def _repeat(
        self, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        while True:
            try:
                return await run()
            except Exception as error:
                self._log.warn(
                    'A task failed and starts again.',
                    task=_name(run),
                    cause=repr(error),
                )
            await asyncio.sleep(RESTART_S)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.warn(
                'A task failed.',
                task=_name(task.get_coro()),
                cause=repr(task.exception()),
            )


def _name(work: Callable | Coroutine) -> str:
    return getattr(work, '__qualname__', repr(work))
