"""Test that no background task ends unnoticed."""

import asyncio

import pytest

from siskinpass.exceptions import FormatError
from siskinpass.platform.objects import Page, StoredObject
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.watch import KindWatch, Listed

RESTART = 'siskinpass.process.background.RESTART_S'


class Failing:
    """Work that fails a few times and then goes on.

    :ivar runs: number of its starts.
    """

    def __init__(self, failures):
        self._failures = failures
        self.runs = 0
        self.goes_on = asyncio.Event()

    async def run(self):
        """Fail, or go on until cancelled."""
        self.runs += 1
        if self._failures:
            raise self._failures.pop()
        self.goes_on.set()
        await asyncio.Event().wait()


class TestBackgroundTasks:
    """Test tasks that fail."""

    @pytest.mark.parametrize(
        'errors',
        [[ValueError('x')], [ArithmeticError(), KeyError(1)], []],
        ids=len,
    )
    def test_kept_task_starts_again(self, errors, monkeypatch):
        """Guards against a watch or a timer that has silently ended."""
        monkeypatch.setattr(RESTART, 0)

        async def scenario():
            work = Failing(list(errors))
            task = BackgroundTasks().keep(work.run)
            await asyncio.wait_for(work.goes_on.wait(), 5)
            assert work.runs == len(errors) + 1
            task.cancel()
            await asyncio.wait((task,), timeout=5)
            assert task.cancelled()

        asyncio.run(scenario())

    def test_failure_of_a_single_task_is_logged(self, monkeypatch):
        """The line names the task and the cause."""
        lines = []

        async def scenario():
            tasks = BackgroundTasks()
            monkeypatch.setattr(
                tasks._log, 'warn', lambda text, **more: lines.append(more)
            )
            task = tasks.start(Failing([ValueError('why')]).run())
            await asyncio.wait((task,))
            await asyncio.sleep(0)

        asyncio.run(scenario())
        assert lines == [{'task': 'Failing.run', 'cause': "ValueError('why')"}]


class FewPages:
    """Store with one page, to be listed and watched.

    :ivar lists: number of listings so far.
    """

    def __init__(self):
        self.lists = 0
        self._page = Page((StoredObject('a', 1, {}),), 1, era=1)

    async def list_kind(self, kind):
        """Return the page."""
        self.lists += 1
        return self._page

    async def watch_kind(self, kind, revision, wait_s):
        """Return the page, once it was listed twice nothing any more."""
        if self.lists > 1:
            await asyncio.Event().wait()
        return self._page


class TestWatch:
    """Test the watch of the store, whose updates others apply."""

    @pytest.mark.parametrize('error', [KeyError('x'), FormatError(1001)])
    def test_lists_again_after_an_update_that_could_not_be_applied(
        self, error, monkeypatch
    ):
        """The changes of that update are not lost."""
        monkeypatch.setattr(RESTART, 0)

        async def scenario():
            store = FewPages()
            listed = asyncio.Event()

            def apply(update):
                if not isinstance(update, Listed):
                    raise error
                if store.lists > 1:
                    listed.set()

            watch = KindWatch(store, 'kind', lambda: 1.0, apply)
            BackgroundTasks().keep(watch.run)
            await asyncio.wait_for(listed.wait(), 5)

        asyncio.run(scenario())
