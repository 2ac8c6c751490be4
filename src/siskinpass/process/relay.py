"""Serve callers' requests: parsing, idempotency claims, answers and counts."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from siskinpass.codes import MEANINGS, Code, Ran
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.caller import CallerConnection
from siskinpass.exceptions import (
    RefusedError,
    RequestError,
    SiskinpassError,
)
from siskinpass.process.attempt import CallerDisconnectedError
from siskinpass.process.claims import Claims, HeldClaim, Replay
from siskinpass.process.counts import Outcome, TallyHistory
from siskinpass.process.dispatcher import Dispatcher
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.process.run import RequestRun, RunContext, RunOutcome
from siskinpass.process.streams import StreamMonitor
from siskinpass.request.answer import error_answer, whole_answer
from siskinpass.request.call import Call, parse_call
from siskinpass.request.claim import ClaimState
from siskinpass.request.head import RequestHead
from siskinpass.request.retry import RetryBudget
from siskinpass.version.tree_version import CurrentVersion

MS_PER_S = 1000
LEAVING_RETRY_MS = 100
POST = 'POST'


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Parts of the process that the relay uses.

    :param name: name of this instance.
    :param incarnation: number that differs after each start of the instance.
    :param address_of: returns the address of a backend server, empty where it
        is not listed.
    :param sends_priority: whether engines are sent the tier as a priority.
    :param other_address: returns the address of another instance for callers
        that this one refuses while it is leaving, empty where there is none.
    """

    name: str
    incarnation: int
    current_version: CurrentVersion
    dispatcher: Dispatcher
    backends: BackendPool
    stream_monitor: StreamMonitor
    claims: Claims
    counts: TallyHistory
    metrics: Metrics
    address_of: Callable[[str], str]
    sends_priority: bool
    other_address: Callable[[], str]


class Relay:
    """Owner of the tasks that answer requests, one task for each.

    :ivar leaving: whether new requests are refused because the instance is
        leaving.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = ComponentLog('relay')
        self._run_context = RunContext(
            context.name,
            context.dispatcher,
            context.backends,
            context.stream_monitor,
            RetryBudget(),
            context.metrics.retried,
            context.address_of,
            context.sends_priority,
        )
        self.leaving = False

    @property
    def open_requests(self) -> int:
        """Return the number of unfinished tasks.

        These include writes that settle claims.
        """
        return len(self._tasks)

    def serve(self, caller: CallerConnection, head: RequestHead) -> None:
        """Start a task that answers a request."""
        task = self._loop.create_task(self._serve(caller, head))
        self._track_task(task)
        task.add_done_callback(lambda done: self._on_task_done(done, caller))

    async def drain(self) -> None:
        """Wait until every request is answered and every claim is settled."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def _serve(
        self,
        caller: CallerConnection,
        head: RequestHead,
    ) -> None:
        arrived_s = self._loop.time()
        try:
            call = await self._parse(caller, head)
        except SiskinpassError as error:
            self._answer_error(caller, error, MEANINGS[error.code].ran)
            return
        request_id = self._next_id()
        outcome = await self._answer(caller, head, call, request_id, arrived_s)
        self._count(call, outcome, arrived_s)

    async def _parse(
        self,
        caller: CallerConnection,
        head: RequestHead,
    ) -> Call:
        if head.method != POST:
            raise RequestError(Code.wrong_method)
        body = await caller.read_body(head.length)
        if self.leaving:
            raise RefusedError(
                Code.instance_leaving,
                '',
                LEAVING_RETRY_MS,
                self._context.other_address(),
            )
        version = self._context.current_version.current
        if version is None:
            raise RefusedError(Code.no_tree_in_force, '', MS_PER_S)
        return parse_call(head, body, version)

    async def _answer(
        self,
        caller: CallerConnection,
        head: RequestHead,
        call: Call,
        request_id: str,
        arrived_s: float,
    ) -> RunOutcome:
        run = RequestRun(self._run_context, call, caller, request_id, arrived_s)
        claim = None
        try:
            claim = await self._claim(caller, head, call)
            if isinstance(claim, Replay):
                return RunOutcome(request_id)
            await run.answer(keep_alive=head.keep_alive)
        except CallerDisconnectedError as error:
            run.outcome.caller_gone = True
            caller.abort()
            self._settle(claim, call, run, error)
            return run.outcome
        except SiskinpassError as error:
            run.outcome.code = error.code
            self._settle(claim, call, run, error)
            self._finish_with_error(caller, run, error)
            return run.outcome
        self._settle(claim, call, run, None)
        caller.finish(keep_alive=head.keep_alive and not self.leaving)
        return run.outcome

    async def _claim(
        self,
        caller: CallerConnection,
        head: RequestHead,
        call: Call,
    ) -> HeldClaim | Replay | None:
        if call.repeatable or not call.idempotency_key:
            return None
        claim = await self._context.claims.acquire(call)
        if isinstance(claim, Replay):
            wire = whole_answer(
                claim.status,
                claim.body,
                {'X-Siskinpass-Replayed': 'yes', 'X-Siskinpass-Ran': 'yes'},
                keep_alive=head.keep_alive,
            )
            caller.write(wire)
            caller.finish(keep_alive=head.keep_alive)
        return claim

    def _settle(
        self,
        claim: HeldClaim | Replay | None,
        call: Call,
        run: RequestRun,
        error: SiskinpassError | None,
    ) -> None:
        if not isinstance(claim, HeldClaim):
            return
        if error is None:
            state = ClaimState.done
        elif run.ran is Ran.not_run:
            state = ClaimState.not_run
        else:
            state = ClaimState.unknown
        settling = self._context.claims.settle(
            claim,
            state,
            run.outcome.status,
            run.outcome.body,
        )
        self._track_task(self._loop.create_task(settling))

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_task_done(
        self,
        done: asyncio.Task[None],
        caller: CallerConnection,
    ) -> None:
        """Close the caller's connection if its task raised an exception.

        The caller would otherwise wait for an answer that never comes.
        """
        if not done.cancelled() and done.exception() is not None:
            self._log.warn(
                'A request failed with an internal error.',
                why=repr(done.exception()),
            )
            caller.abort()

    def _finish_with_error(
        self,
        caller: CallerConnection,
        run: RequestRun,
        error: SiskinpassError,
    ) -> None:
        if run.stream_started:
            # Once a stream has started, only closing the connection shows
            # that it is incomplete.

            self._context.metrics.refused(error.code)
            run.write_error_event(error)
            caller.abort_after_write()
            return
        self._answer_error(caller, error, run.ran)

    def _answer_error(
        self,
        caller: CallerConnection,
        error: SiskinpassError,
        ran: Ran,
    ) -> None:
        self._context.metrics.refused(error.code)
        wire = error_answer(
            error.code,
            str(error),
            error.retry_after_ms,
            ran=ran,
            address=error.address,
        )
        caller.write(wire)
        caller.finish(keep_alive=False)

    def _count(self, call: Call, outcome: RunOutcome, arrived_s: float) -> None:
        if outcome.caller_gone:
            return
        if outcome.code is None:
            self._context.metrics.answered(call.node, outcome.tokens)
        class_settings = call.class_settings
        met = outcome.code is None and outcome.meets_targets(class_settings)
        self._context.counts.record(
            Outcome(
                call.node,
                met,
                refused=outcome.code is not None,
                first_ms=outcome.first_ms,
                waited_ms=outcome.waited_ms,
            ),
            self._loop.time(),
        )

    def _next_id(self) -> str:
        context = self._context
        number = next(self._numbers)
        return f'{context.name}-{context.incarnation}-{number}'
