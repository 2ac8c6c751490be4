"""Run coroutines that nothing waits for."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Owner of running tasks; the event loop alone would not keep them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a coroutine and keep its task until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
