"""Forward callers' requests to backend servers, with retries."""

import asyncio
import itertools
import random
from collections.abc import Callable, Generator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from types import MappingProxyType

from siskinpass.codes import MEANINGS, Code
from siskinpass.connection.http_caller import HttpCaller
from siskinpass.exceptions import ConnectError, RefusedError
from siskinpass.platform.headers import decode_call, encode_send
from siskinpass.process.fleet.answer import AnswerReceiver, AttemptResult
from siskinpass.process.fleet.assigner import Assigner
from siskinpass.process.fleet.crash_check import CrashCheck
from siskinpass.process.fleet.crash_guard import CrashGuard
from siskinpass.process.fleet.server_access import ServerAccess
from siskinpass.process.fleet.stream_origin import StreamOrigin
from siskinpass.process.fleet.stream_output import StreamOutput
from siskinpass.process.fleet.stream_versions import StreamVersions
from siskinpass.process.fleet.tickets import (
    Attempt,
    engine_urgency,
    make_ticket,
)
from siskinpass.process.fleet.time_limit import TimeLimit
from siskinpass.process.fleet.usage_meter import (
    CountUsage,
    RequestMeter,
    count_nothing,
)
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import ANSWERED, Metrics
from siskinpass.process.request_timeline import (
    ATTEMPT_FAILED,
    REQUEST_REFUSED,
    STREAM_CUT,
)
from siskinpass.request.events import EventStreamParser
from siskinpass.request.inbound import (
    AnswerHead,
    SendContext,
    ServerNotice,
    WireRequest,
)
from siskinpass.request.resend import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    NextStep,
    SendCounts,
    decide_next_step,
    final_step,
)
from siskinpass.request.retry_delay import retry_delay_s
from siskinpass.request.retry_window import RetryNeed
from siskinpass.request.stop_plan import StopPlan
from siskinpass.request.ticket import ServerView, Ticket
from siskinpass.request.timeouts import attempt_timeouts
from siskinpass.version.routes import (
    Route,
    RouteTable,
    Workspace,
)

MS_PER_S = 1000
# No attempt is made with less time left: no server answers within it.
MIN_ATTEMPT_S = 0.02
MAX_LOGGED_PARTS = 8  # of the prompt of a failed attempt
DEFAULT_TIMEOUT_S = 60.0  # for callers that state no time limit


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """Dependencies of the request handlers.

    :param table: returns the routing table in force, ``None`` before the first.
    :param access: ways to the servers.
    :param may_retry: spends one retry of a service's budget, as far as it is
        for such a need, and returns whether there was one left.
    :param note_request: adds a request to the retry budget of its service.
    :param on_notice: called with a server, when a request was sent to it, and
        what it says about itself in its answer.
    :param guard: refuses requests that crash servers.
    :param versions: knows the software versions that began streams.
    :param count_usage: counts requests of workspaces that begin to run.
    """

    table: Callable[[], RouteTable | None]
    assigner: Assigner
    access: ServerAccess
    metrics: Metrics
    may_retry: Callable[[str, RetryNeed], bool]
    note_request: Callable[[str], None]
    on_notice: Callable[[ServerView, float, ServerNotice], None]
    guard: CrashGuard
    versions: StreamVersions
    count_usage: CountUsage = count_nothing
    log: ComponentLog = field(default_factory=lambda: ComponentLog('forward'))


class Forwarder:
    """Owner of the task of each open request."""

    def __init__(self, context: ForwardContext) -> None:
        self._context = context
        self._numbers = itertools.count(1)
        self._handlers: dict[asyncio.Task[None], RequestHandler] = {}
        self._stop_plan: StopPlan | None = None

    @property
    def open_requests(self) -> int:
        """Return how many requests are unanswered."""
        return len(self._handlers)

    def serve(self, caller: HttpCaller, request: WireRequest) -> None:
        """Start the request's task; it is cancelled if the caller leaves."""
        request_handler = RequestHandler(
            self._context, caller, request, next(self._numbers)
        )
        if self._stop_plan is not None:
            request_handler.time_limit.end_by(self._stop_plan)
        task = asyncio.get_running_loop().create_task(request_handler.run())
        self._handlers[task] = request_handler
        task.add_done_callback(self._handlers.pop)
        caller.on_lost = task.cancel

    def stop(self, stop_plan: StopPlan) -> None:
        """Answer all requests, open and new ones, before the process ends."""
        self._stop_plan = stop_plan
        for request_handler in tuple(self._handlers.values()):
            request_handler.time_limit.end_by(stop_plan)

    def stop_blocked(self) -> None:
        """Take back requests from servers that they would crash."""
        for request_handler in tuple(self._handlers.values()):
            request_handler.stop_blocked()

    def stop_unreachable(self, server: str) -> None:
        """Send requests elsewhere that wait behind a broken path."""
        for request_handler in tuple(self._handlers.values()):
            request_handler.stop_unreachable(server)


class RequestHandler:
    """Handler that answers one request, over one or more attempts."""

    def __init__(
        self,
        context: ForwardContext,
        caller: HttpCaller,
        request: WireRequest,
        number: int,
    ) -> None:
        self._context = context
        self._caller = caller
        self._call = decode_call(request)
        self._number = number
        self._started_s = caller.arrived_s
        self._sends = SendCounts()
        self._parser: EventStreamParser | None = None
        self._has_begun = False
        self._avoid = ''
        self._server: ServerView | None = None
        self._route_name = ''
        self._ticket: Ticket | None = None
        self._crash_check = CrashCheck(context.guard, self._call)
        self._origin = StreamOrigin(context.versions, self._call)
        self._output = StreamOutput(caller)
        self._receiver: AnswerReceiver | None = None
        self._is_direct = True
        self._may_repeat = False
        self._meter = RequestMeter(context.count_usage)
        self.time_limit = TimeLimit()

    async def run(self) -> None:
        """Answer the request; cancelled when the caller disconnects."""
        try:
            await self._admit()
        except asyncio.CancelledError:
            self._record_failure(
                'The caller disconnected before the end of its answer.',
                Code.caller_left,
            )
        except RefusedError as error:
            self._end_refused(error)
        except Exception as error:
            self._context.log.warn(
                'A request failed with an internal error.',
                call=self._call.call_id,
                cause=repr(error),
            )
            self._caller.abort()
            raise

    def begin(self, head: AnswerHead) -> None:
        """Send the head of a stream; only the first call sends it.

        The first event of each attempt shows that its prompt is prefilled.
        """
        if self._ticket is not None:
            self._context.assigner.complete_prefill(self._ticket)
            self._ticket = None
        if not self._has_begun:
            self._has_begun = True
            self._meter.note_event()
            self._output.start(head, self._origin.begin(self._server))

    def write(self, events: bytes) -> None:
        """Send complete events to the caller."""
        self._output.write(events)
        self._crash_check.note_events()

    def stop_blocked(self) -> None:
        """Take the request back if its server would crash under it."""
        is_waiting = (
            self._receiver is not None and not self._crash_check.has_events
        )
        if is_waiting and self._crash_check.is_blocked:
            self._receiver.abort('its prompt crashes servers')

    def stop_unreachable(self, server: str) -> None:
        """End an attempt that waits behind a broken path, if it may.

        What must not be repeated is left alone: the server may be running it,
        and the path may be back in time.
        """
        is_waiting = self._receiver is not None and self._is_direct
        if is_waiting and self._may_repeat and self._server_name == server:
            self._receiver.abort('the path to the server is broken')

    async def _admit(self) -> None:
        table = self._context.table()
        if table is None:
            raise RefusedError(Code.no_tree_in_force)
        route = table.find(self._call.host, self._call.request.path)
        if route is None:
            self._refuse(Code.unknown_path)
            return
        workspace = table.workspace_of(self._call.key)
        if workspace is None and table.needs_keys and not route.is_public:
            self._refuse(Code.unknown_key)
            return
        if not table.needs_keys or route.is_public:
            workspace = None
        await self._serve(route, workspace, table)

    async def _serve(
        self,
        route: Route,
        workspace: Workspace | None,
        table: RouteTable,
    ) -> None:
        caller_timeout_s = self._call.caller_timeout_s or DEFAULT_TIMEOUT_S
        deadline_s = self.time_limit.limit(
            self._started_s,
            self._started_s + min(caller_timeout_s, route.timeout_s),
        )
        service = route.pick_service(random.random())
        self._route_name = route.name
        memory_tokens = table.memory_of(service)
        if memory_tokens and self._call.prompt.size > memory_tokens:
            self._refuse(Code.prompt_too_large)
            return
        self._context.note_request(service)
        self._may_repeat = route.may_repeat
        if route.is_stream:
            self._parser = EventStreamParser(self._started_s)
        plan = _Plan(route, workspace, service, deadline_s, table)
        # A caller that takes up a stream was counted when the stream began.
        if not (route.is_resumable and self._call.last_event_id):
            self._meter.start(plan.workspace_name, is_stream=route.is_stream)
        try:
            async with self.time_limit.enforce(deadline_s):
                service = await self._origin.resolve(route, service)
                await self._attempt_all(replace(plan, service=service))
        except TimeoutError:
            self._end_timed_out(plan)

    async def _attempt_all(self, plan: '_Plan') -> None:
        while True:
            attempt_result = await self._attempt(plan)
            if attempt_result.is_success:
                self._deliver(plan, attempt_result)
                return
            step = self._next_step(plan, attempt_result)
            self._log_step(plan, attempt_result, step)
            if step not in {NextStep.resend, NextStep.resume}:
                self._finish(step, attempt_result)
                return
            self._context.metrics.retried(_RETRY_CODES[attempt_result.ending])

    async def _attempt(self, plan: '_Plan') -> AttemptResult:
        await self._crash_check.admit()
        ticket = make_ticket(
            self._call,
            plan,
            Attempt(
                f'{self._number}.{self._sends.run}.{self._sends.not_run}',
                _now_s(),
                self._avoid,
                self._origin.version,
                self._crash_check.crashes,
            ),
        )
        view = await self._context.assigner.acquire(ticket)
        self._server = view
        self._ticket = ticket
        self._log_grant(ticket, view)
        attempt_result = None
        try:
            self._crash_check.check()
            attempt_result = await self._send(plan, ticket, view)
        except ConnectError as error:
            self._sends = self._sends.add_unsent()
            attempt_result = AttemptResult(
                AttemptOutcome.unsent, cause=str(error)
            )
        finally:
            self._release(ticket, attempt_result)
        self._avoid = view.name
        await self._crash_check.judge(
            attempt_result,
            view,
            is_listed=self._context.assigner.is_serving(view),
        )
        return attempt_result

    def _release(
        self, ticket: Ticket, attempt_result: AttemptResult | None
    ) -> None:
        ending = attempt_result.ending if attempt_result else None
        if self._crash_check.is_blocked:
            # The prompt is at fault, not the server.
            ending = None
        is_path_fault = self._is_direct and self._context.access.is_cut_off
        self._context.assigner.release(
            ticket,
            failed=not is_path_fault
            and ending
            in {AttemptOutcome.unsent, AttemptOutcome.lost, AttemptOutcome.cut},
            server_error=ending
            in {AttemptOutcome.failed, AttemptOutcome.declined},
            is_declined=ending is AttemptOutcome.declined,
            events=_whole_events(self._parser, attempt_result, self._sends),
        )

    async def _send(
        self,
        plan: '_Plan',
        ticket: Ticket,
        view: ServerView,
    ) -> AttemptResult:
        """Send the request to a server and return how the attempt ended.

        :raises ConnectError: if nothing was sent.
        """
        self._is_direct = True
        opened = await self._context.access.open(
            view,
            # A late copy of an earlier attempt's answer, which has the same
            # request id, must not arrive as the answer of this one.
            fresh=self._sends.total > 0,
        )
        self._is_direct = opened.is_direct
        if not opened.is_direct:
            self._context.log.routine(
                'A request goes through another instance.',
                call=self._call.call_id,
                server=view.name,
            )
        receiver = AnswerReceiver(
            self._call.call_id,
            self._parser,
            self,
            partial(self._context.on_notice, view, _now_s()),
        )
        context = SendContext(
            server=view.name,
            remaining_s=plan.deadline_s - _now_s(),
            workspace=plan.workspace_name,
            urgency=engine_urgency(ticket.tier),
            last_event_id=self._last_event_id(plan.route),
        )
        if context.remaining_s < MIN_ATTEMPT_S:
            opened.connection.cancel()
            raise ConnectError(
                Code.wait_too_long, 'too little time left for an attempt'
            )
        self._crash_check.start_attempt()
        timeouts = attempt_timeouts(plan.route, self._sends)
        with (
            self._context.access.watch(opened, view) as on_data,
            self._cancel_on_exit(receiver),
        ):
            receiver.on_data = on_data
            self._sends = self._sends.add_send()
            receiver.start(opened.connection, encode_send(self._call, context))
            attempt_result = await receiver.wait(timeouts)
        if attempt_result.ending in NOT_RUN_OUTCOMES:
            self._sends = self._sends.disprove()
        return attempt_result

    @contextmanager
    def _cancel_on_exit(
        self, receiver: AnswerReceiver
    ) -> Generator[None, None, None]:
        """Stop the server's work if the request ends before its answer."""
        self._receiver = receiver
        self._meter.note_sent()
        self._caller.on_writable = receiver.set_reading
        receiver.on_kept = self._caller.hold_answer
        try:
            yield
        finally:
            self._stop_receiving(receiver)

    def _stop_receiving(self, receiver: AnswerReceiver) -> None:
        receiver.cancel()
        self._meter.note_end(receiver.may_have_run)
        self._receiver = None
        self._caller.on_writable = None

    def _next_step(
        self, plan: '_Plan', attempt_result: AttemptResult
    ) -> NextStep:
        step = decide_next_step(
            plan.route,
            attempt_result.ending,
            self._sends,
            is_server_error=attempt_result.is_server_error,
        )
        if step in {NextStep.resend, NextStep.resume} and not self._may_retry(
            plan,
            attempt_result,
        ):
            return final_step(
                attempt_result.ending, has_run=self._sends.may_have_run
            )
        return step

    def _may_retry(self, plan: '_Plan', attempt_result: AttemptResult) -> bool:
        if plan.deadline_s - _now_s() < MIN_ATTEMPT_S:
            return False
        if attempt_result.ending is AttemptOutcome.unsent:
            return True
        due_s = self._started_s + plan.route.target_s
        need = RetryNeed(
            is_upper=plan.table.is_upper(plan.tier),
            has_time=self._has_begun or _now_s() < due_s,
            may_repeat=plan.route.may_repeat,
        )
        is_allowed = self._context.may_retry(plan.service, need)
        if not is_allowed:
            self._context.metrics.denied_retry(is_urgent=need.is_urgent)
        return is_allowed

    def _deliver(self, plan: '_Plan', attempt_result: AttemptResult) -> None:
        if self._has_begun:
            self._output.end()
            self._origin.end()
        else:
            self._caller.answer(
                attempt_result.head.status,
                attempt_result.head.headers,
                attempt_result.body,
            )
        self._record_answer()

    def _record_answer(self) -> None:
        metrics, parser = self._context.metrics, self._parser
        events = parser.count if parser else 0
        first_ms = parser.first_ms if parser else 0
        pause_ms = parser.pause_ms if parser else 0
        age_s = self._age_s()
        metrics.answered(self._route_name, events)
        metrics.ended(self._route_name, ANSWERED, age_s)
        if parser is not None:
            metrics.streamed(
                self._route_name,
                first_ms / MS_PER_S,
                pause_ms / MS_PER_S,
            )
        self._context.log.routine(
            'A request was answered.',
            call=self._call.call_id,
            server=self._server_name,
            first_ms=first_ms,
            pause_ms=pause_ms,
            events=events,
            age_ms=_in_ms(age_s),
        )

    def _finish(self, step: NextStep, attempt_result: AttemptResult) -> None:
        if self._has_begun or step is NextStep.cut:
            self._cut(Code.stream_cut)
        elif (
            step is NextStep.pass_on and not attempt_result.head.implies_not_run
        ):
            self._caller.answer(
                attempt_result.head.status,
                attempt_result.head.headers,
                attempt_result.body,
            )
        elif step is NextStep.tell_not_run:
            self._refuse(Code.no_backend_server)
        else:
            self._refuse(Code.outcome_unknown)

    def _end_timed_out(self, plan: '_Plan') -> None:
        if self._has_begun:
            self._cut(Code.stream_silent)
        elif self._sends.may_have_run:
            self._refuse(Code.stream_silent)
        else:
            self._refuse(Code.wait_too_long)

    def _end_refused(self, error: RefusedError) -> None:
        """End a request that got no server.

        It is refused as not run only if no earlier send may have run.
        """
        if self._has_begun:
            self._cut(error.code)
        elif self._sends.may_have_run:
            self._refuse(Code.outcome_unknown)
        else:
            self._refuse(error.code, error.retry_after_ms)

    def _cut(self, code: Code) -> None:
        self._record_failure(STREAM_CUT, code)
        self._output.truncate()

    def _refuse(self, code: Code, retry_after_ms: int = 0) -> None:
        meaning = MEANINGS[code]
        self._record_failure(REQUEST_REFUSED, code)
        headers: tuple[tuple[bytes, bytes], ...] = ()
        if meaning.status == STATUS_UNAVAILABLE:
            caller_timeout_s = self._call.caller_timeout_s or DEFAULT_TIMEOUT_S
            wait_s = retry_delay_s(
                code,
                retry_after_ms / MS_PER_S,
                max(0, caller_timeout_s - self._age_s()),
                random.random(),
            )
            headers = ((b'Retry-After', b'%.3f' % wait_s),)
        self._caller.answer(meaning.status, headers, meaning.text.encode())

    def _record_failure(self, sentence: str, code: Code) -> None:
        age_s = self._age_s()
        self._context.metrics.refused(code)
        self._context.metrics.ended(self._route_name, code.name, age_s)
        self._context.log.note(
            sentence,
            call=self._call.call_id,
            code=int(code),
            reason=code.name,
            route=self._route_name,
            server=self._server_name,
            waiting=self._context.assigner.waiting,
            age_ms=_in_ms(age_s),
        )

    def _log_grant(self, ticket: Ticket, view: ServerView) -> None:
        load = self._context.assigner.server_load(ticket, view.name)
        waited_s = _now_s() - ticket.opened_s
        self._context.metrics.waited(ticket.node, waited_s)
        self._context.log.routine(
            'A request goes to a server.',
            call=self._call.call_id,
            route=ticket.node,
            tier=ticket.tier,
            server=view.name,
            software=view.version,
            resumes=self._call.resumed_call,
            running=load.running,
            tight=load.tight,
            unread=sum(load.unread),
            tokens=ticket.tokens_in,
            waited_ms=_in_ms(waited_s),
        )

    def _log_step(
        self, plan: '_Plan', attempt_result: AttemptResult, step: NextStep
    ) -> None:
        self._context.log.note(
            ATTEMPT_FAILED,
            call=self._call.call_id,
            route=plan.route.name,
            version=plan.table.version,
            server=self._server_name,
            software=self._server.version if self._server else '',
            ending=attempt_result.ending.value,
            cause=attempt_result.cause,
            status=attempt_result.head.status if attempt_result.head else 0,
            step=step.value,
            request=self._crash_check.identity,
            parts=self._crash_check.parts[:MAX_LOGGED_PARTS],
            head_age_ms=(
                None
                if attempt_result.head_age_s is None
                else _in_ms(attempt_result.head_age_s)
            ),
            age_ms=_in_ms(self._age_s()),
        )

    def _last_event_id(self, route: Route) -> str:
        if not route.is_resumable:
            return ''
        own = self._parser.last_id if self._parser else ''
        return own or self._call.last_event_id

    @property
    def _server_name(self) -> str:
        return self._server.name if self._server else ''

    def _age_s(self) -> float:
        return _now_s() - self._started_s


@dataclass(frozen=True, slots=True)
class _Plan:
    """Properties that all attempts of a request share.

    :param deadline_s: end of the request, on the event loop's clock.
    """

    route: Route
    workspace: Workspace | None
    service: str
    deadline_s: float
    table: RouteTable

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty for none."""
        return self.workspace.name if self.workspace else ''

    @property
    def tier(self) -> int:
        """Return the tier of the request."""
        return self.table.tier_of(self.route, self.workspace)


STATUS_UNAVAILABLE = 503
_RETRY_CODES = MappingProxyType({
    AttemptOutcome.unsent: Code.retry_connect_failed,
    AttemptOutcome.declined: Code.retry_backend_leaving,
    AttemptOutcome.failed: Code.retry_backend_failed,
    AttemptOutcome.lost: Code.retry_reset,
    AttemptOutcome.cut: Code.retry_stream_cut,
})


def _whole_events(
    parser: EventStreamParser | None,
    attempt_result: AttemptResult | None,
    sends: SendCounts,
) -> int:
    """Return the events of a stream that its only send received whole."""
    is_whole = attempt_result is not None and attempt_result.is_success
    if parser is None or not is_whole or sends.total > 1:
        return 0
    return parser.count


def _in_ms(time_s: float) -> int:
    return int(time_s * MS_PER_S)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
