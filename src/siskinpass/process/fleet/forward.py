"""Forward callers' requests to backend servers."""

import asyncio
import itertools
import random
from collections.abc import Callable, Generator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import MappingProxyType

from siskinpass.codes import MEANINGS, Code
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.http_caller import HttpCaller
from siskinpass.exceptions import ConnectError, RefusedError
from siskinpass.platform.headers import decode_call, encode_send
from siskinpass.process.fleet.answer import AnswerTaker, Ended
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.tickets import Attempt, make_ticket, urgency_of
from siskinpass.process.logs import PartLog
from siskinpass.process.metrics import ANSWERED, Metrics
from siskinpass.process.request_story import (
    ATTEMPT_FAILED,
    REQUEST_REFUSED,
    STREAM_CUT,
)
from siskinpass.request.events import EventTap
from siskinpass.request.inbound import (
    AnswerHead,
    SendOrder,
    WireRequest,
)
from siskinpass.request.resend import Ending, Sends, Step, decide, give_up
from siskinpass.request.silence import silence_limits
from siskinpass.request.ticket import ServerView, Ticket
from siskinpass.version.routes import (
    Route,
    RouteTable,
    Workspace,
)

MS_PER_S = 1000
# Callers wait at most a third of the time they have left; this is well inside
# it for the shortest time limit of the sheets.
RETURN_LEAST_S = 0.1
RETURN_SPREAD_S = 0.3
# Less time than this is not worth an attempt: no answer comes in it.
LEFT_LEAST_S = 0.02
DEFAULT_PATIENCE_S = 60.0


@dataclass(frozen=True, slots=True)
class Tools:
    """Hold what a request needs of its process.

    :param table: returns the routing table in force, none before the first.
    :param may_retry: takes a send beyond the first from a service's budget.
    :param note_request: counts a request of a service.
    """

    table: Callable[[], RouteTable | None]
    assigner: Assigner
    backends: BackendPool
    metrics: Metrics
    may_retry: Callable[[str], bool]
    note_request: Callable[[str], None]
    log: PartLog = field(default_factory=lambda: PartLog('forward'))


class Forwarder:
    """Start and follow one task for each request."""

    def __init__(self, tools: Tools) -> None:
        """Start without requests."""
        self._tools = tools
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_requests(self) -> int:
        """Return how many requests are not answered yet."""
        return len(self._tasks)

    def serve(self, caller: HttpCaller, request: WireRequest) -> None:
        """Start to answer a request."""
        run = ForwardRun(self._tools, caller, request, next(self._numbers))
        task = asyncio.get_running_loop().create_task(run.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        caller.on_lost = task.cancel


class ForwardRun:
    """Answer one request."""

    def __init__(
        self,
        tools: Tools,
        caller: HttpCaller,
        request: WireRequest,
        number: int,
    ) -> None:
        """Decode the request."""
        self._tools = tools
        self._caller = caller
        self._call = decode_call(request)
        self._number = number
        self._started_s = caller.arrived_s
        self._sends = Sends()
        self._tap: EventTap | None = None
        self._in_flight = False
        self._has_begun = False
        self._avoid = ''
        self._server = ''
        self._node = ''
        self._ticket: Ticket | None = None

    async def run(self) -> None:
        """Answer it; a caller that left cancels this."""
        try:
            await self._admit()
        except asyncio.CancelledError:
            self._note('The caller left.', Code.caller_left)
        except RefusedError as error:
            self._end_refused(error)
        except Exception as error:
            self._tools.log.warn(
                'A request failed in this process.',
                call=self._call.call_id,
                cause=repr(error),
            )
            self._caller.abort()
            raise

    def begin(self, head: AnswerHead) -> None:
        """Pass on the head of a stream, once for all attempts."""
        if self._ticket is not None:
            self._tools.assigner.note_prompt_read(self._ticket)
            self._ticket = None
        if not self._has_begun:
            self._has_begun = True
            self._caller.start_stream(head.status, head.headers)

    def write(self, events: bytes) -> None:
        """Pass on whole events."""
        self._caller.write_piece(events)

    async def _admit(self) -> None:
        table = self._tools.table()
        if table is None:
            raise RefusedError(Code.no_tree_in_force)
        route = table.find(self._call.host, self._call.request.path)
        if route is None:
            self._refuse(Code.unknown_path)
            return
        workspace = table.workspace_of(self._call.key)
        if workspace is None and table.needs_keys and not route.is_open:
            self._refuse(Code.unknown_key)
            return
        if not table.needs_keys or route.is_open:
            workspace = None
        await self._serve(route, workspace, table)

    async def _serve(
        self,
        route: Route,
        workspace: Workspace | None,
        table: RouteTable,
    ) -> None:
        patience_s = self._call.patience_s or DEFAULT_PATIENCE_S
        ends_s = self._started_s + min(patience_s, route.timeout_s)
        service = route.service_at(random.random())
        self._tools.note_request(service)
        self._node = route.name
        if route.is_stream:
            self._tap = EventTap(self._started_s)
        plan = _Plan(route, workspace, service, ends_s, table)
        try:
            async with asyncio.timeout_at(ends_s):
                await self._attempt_all(plan)
        except TimeoutError:
            self._end_late(plan)

    async def _attempt_all(self, plan: '_Plan') -> None:
        while True:
            ended = await self._attempt(plan)
            if ended.is_success:
                self._deliver(plan, ended)
                return
            step = self._next_step(plan, ended)
            self._log_step(plan, ended, step)
            if step not in {Step.resend, Step.resume}:
                self._finish(step, ended)
                return
            self._tools.metrics.retried(_RETRY_CODES[ended.ending])

    async def _attempt(self, plan: '_Plan') -> Ended:
        ticket = make_ticket(
            self._call,
            plan,
            Attempt(self._ticket_id(), _now_s(), self._avoid),
        )
        view = await self._tools.assigner.acquire(ticket)
        self._server = view.name
        self._ticket = ticket
        self._log_grant(ticket, view)
        ended = None
        try:
            ended = await self._send(plan, ticket, view)
        finally:
            self._release(ticket, ended)
        self._avoid = view.name
        return ended

    def _release(self, ticket: Ticket, ended: Ended | None) -> None:
        ending = ended.ending if ended else None
        self._tools.assigner.release(
            ticket,
            failed=ending in {Ending.unsent, Ending.lost, Ending.cut},
            erred=ending in {Ending.failed, Ending.declined},
        )

    async def _send(
        self,
        plan: '_Plan',
        ticket: Ticket,
        view: ServerView,
    ) -> Ended:
        try:
            connection = await self._tools.backends.connect(
                view.address,
                fresh=False,
            )
        except ConnectError as error:
            return Ended(Ending.unsent, cause=str(error))
        taker = AnswerTaker(self._call.call_id, self._tap, self)
        order = SendOrder(
            server=view.name,
            left_s=plan.ends_s - _now_s(),
            workspace=plan.workspace.name if plan.workspace else '',
            urgency=urgency_of(ticket.tier),
            resume_after=self._resume_after(plan.route),
        )
        if order.left_s < LEFT_LEAST_S:
            connection.cancel()
            return Ended(Ending.unsent, cause='no time left')
        with self._following(taker):
            taker.start(connection, encode_send(self._call, order))
            return await taker.wait(
                silence_limits(plan.route, self._sends),
            )

    @contextmanager
    def _following(self, taker: AnswerTaker) -> Generator[None, None, None]:
        """Stop the server's work if the request ends before its answer."""
        self._in_flight = True
        self._caller.on_writable = taker.set_flow
        try:
            yield
        finally:
            taker.cancel()
            self._caller.on_writable = None
        self._in_flight = False

    def _next_step(self, plan: '_Plan', ended: Ended) -> Step:
        if ended.ending in {Ending.unsent, Ending.declined}:
            self._sends = Sends(self._sends.run, self._sends.not_run + 1)
        else:
            self._sends = Sends(self._sends.run + 1, self._sends.not_run)
        step = decide(plan.route, ended.ending, self._sends)
        if step in {Step.resend, Step.resume} and not self._may_go_on(
            plan,
            ended,
        ):
            return give_up(ended.ending, has_run=self._sends.run > 0)
        return step

    def _may_go_on(self, plan: '_Plan', ended: Ended) -> bool:
        if plan.ends_s - _now_s() < LEFT_LEAST_S:
            return False
        if ended.ending is Ending.unsent:
            return True
        return self._tools.may_retry(plan.service)

    def _deliver(self, plan: '_Plan', ended: Ended) -> None:
        if self._has_begun:
            self._caller.end_stream()
        else:
            self._caller.answer(
                ended.head.status, ended.head.headers, ended.body
            )
        self._note_answer()

    def _note_answer(self) -> None:
        metrics, tap = self._tools.metrics, self._tap
        events = tap.count if tap else 0
        first_ms = tap.first_ms if tap else 0
        pause_ms = tap.pause_ms if tap else 0
        age_s = self._age_s()
        metrics.answered(self._node, events)
        metrics.ended(self._node, ANSWERED, age_s)
        if tap is not None:
            metrics.streamed(
                self._node,
                first_ms / MS_PER_S,
                pause_ms / MS_PER_S,
            )
        self._tools.log.often(
            'A request was answered.',
            call=self._call.call_id,
            server=self._server,
            first_ms=first_ms,
            pause_ms=pause_ms,
            events=events,
            age_ms=_in_ms(age_s),
        )

    def _finish(self, step: Step, ended: Ended) -> None:
        if self._has_begun or step is Step.cut:
            self._cut(Code.stream_cut)
        elif step is Step.pass_on and not ended.head.promises_not_run:
            self._caller.answer(
                ended.head.status, ended.head.headers, ended.body
            )
        elif step is Step.tell_not_run:
            self._refuse(Code.no_backend_server)
        else:
            self._refuse(Code.outcome_unknown)

    def _end_late(self, plan: '_Plan') -> None:
        if self._has_begun:
            self._cut(Code.stream_silent)
        elif self._in_flight or self._sends.run:
            self._refuse(Code.stream_silent)
        else:
            self._refuse(Code.wait_too_long)

    def _end_refused(self, error: RefusedError) -> None:
        """End a request that got no server, by what earlier sends did."""
        if self._has_begun:
            self._cut(error.code)
        elif self._sends.run:
            self._refuse(Code.outcome_unknown)
        else:
            self._refuse(error.code, error.retry_after_ms)

    def _cut(self, code: Code) -> None:
        self._note(STREAM_CUT, code)
        self._caller.truncate_stream()

    def _refuse(self, code: Code, retry_after_ms: int = 0) -> None:
        meaning = MEANINGS[code]
        self._note(REQUEST_REFUSED, code)
        headers: tuple[tuple[bytes, bytes], ...] = ()
        if meaning.status == STATUS_UNAVAILABLE:
            wait_s = max(RETURN_LEAST_S, retry_after_ms / MS_PER_S)
            wait_s += random.uniform(0, RETURN_SPREAD_S)
            headers = ((b'Retry-After', b'%.3f' % wait_s),)
        self._caller.answer(meaning.status, headers, meaning.text.encode())

    def _note(self, sentence: str, code: Code) -> None:
        age_s = self._age_s()
        self._tools.metrics.refused(code)
        self._tools.metrics.ended(self._node, code.name, age_s)
        self._tools.log.note(
            sentence,
            call=self._call.call_id,
            code=int(code),
            reason=code.name,
            route=self._node,
            server=self._server,
            waiting=self._tools.assigner.waiting,
            age_ms=_in_ms(age_s),
        )

    def _log_grant(self, ticket: Ticket, view: ServerView) -> None:
        load = self._tools.assigner.load_of(ticket, view.name)
        waited_s = _now_s() - ticket.opened_s
        self._tools.metrics.waited(ticket.node, waited_s)
        self._tools.log.often(
            'A request goes to a server.',
            call=self._call.call_id,
            route=ticket.node,
            tier=ticket.tier,
            server=view.name,
            running=load.running,
            tight=load.tight,
            unread=sum(load.unread),
            tokens=ticket.tokens_in,
            waited_ms=_in_ms(waited_s),
        )

    def _log_step(self, plan: '_Plan', ended: Ended, step: Step) -> None:
        self._tools.log.note(
            ATTEMPT_FAILED,
            call=self._call.call_id,
            route=plan.route.name,
            version=plan.table.version,
            server=self._server,
            ending=ended.ending.value,
            cause=ended.cause,
            status=ended.head.status if ended.head else 0,
            step=step.value,
            age_ms=_in_ms(self._age_s()),
        )

    def _resume_after(self, route: Route) -> str:
        if not route.is_resumable:
            return ''
        own = self._tap.last_id if self._tap else ''
        return own or self._call.resume_after

    def _age_s(self) -> float:
        return _now_s() - self._started_s

    def _ticket_id(self) -> str:
        return f'{self._number}.{self._sends.run}.{self._sends.not_run}'


@dataclass(frozen=True, slots=True)
class _Plan:
    """Hold what stays the same over all attempts."""

    route: Route
    workspace: Workspace | None
    service: str
    ends_s: float
    table: RouteTable

    @property
    def tier(self) -> int:
        """Return the tier of the request."""
        return self.table.tier_of(self.route, self.workspace)


STATUS_UNAVAILABLE = 503
_RETRY_CODES = MappingProxyType({
    Ending.unsent: Code.retry_connect_failed,
    Ending.declined: Code.retry_backend_leaving,
    Ending.failed: Code.retry_backend_failed,
    Ending.lost: Code.retry_reset,
    Ending.cut: Code.retry_stream_cut,
})


def _in_ms(time_s: float) -> int:
    return int(time_s * MS_PER_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
