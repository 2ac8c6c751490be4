"""Run one request until it is answered, with as many attempts as it needs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

from siskinpass.codes import Code, Ran
from siskinpass.connection.backend import BackendPool
from siskinpass.connection.backend_requests import (
    EngineOptions,
    assemble_answer,
    encode_engine_request,
    encode_service_request,
    event_marker,
)
from siskinpass.connection.caller import LAST_CHUNK, CallerConnection
from siskinpass.exceptions import (
    BackendError,
    ConnectError,
    RefusedError,
    SiskinpassError,
)
from siskinpass.process.attempt import Attempt, CallerDisconnectedError
from siskinpass.process.dispatcher import Dispatcher
from siskinpass.process.streams import StreamMonitor
from siskinpass.request.answer import error_body, stream_head, whole_answer
from siskinpass.request.call import CHAT_PATH, Call
from siskinpass.request.retry import RetryBudget
from siskinpass.request.stream import TokenStreamParser
from siskinpass.request.ticket import Granted, Refused, Ticket
from siskinpass.version.schema import ClassSettings

MS_PER_S = 1000
MAX_ATTEMPTS = 16
MAX_PAUSES = 3  # pauses and moves of one request
# Delay before a retry that callers are asked for once the budget is spent.
BACKEND_RETRY_MS = 500
# Limit of an answer that is collected before it is sent.
MAX_ANSWER_BYTES = 8_388_608

# Reasons for ending an attempt that do not count as failures of its backend
# server.
NOT_SERVER_FAULTS = frozenset((Code.retry_paused, Code.retry_backend_slow))
# Codes under which retries are counted, by the code of the failed attempt. A
# code that is not listed is counted itself.
RETRY_REASONS = MappingProxyType({
    Code.backend_unreachable: Code.retry_connect_failed,
    Code.stream_cut: Code.retry_stream_cut,
    Code.stream_silent: Code.retry_stream_silent,
    Code.answer_crossed: Code.retry_answer_crossed,
    Code.backend_error: Code.retry_reset,
})


@dataclass(slots=True)
class RunOutcome:
    """Result and latencies of a request, filled in while it runs.

    :param code: code of the error that ended it, ``None`` after a complete
        answer.
    :param caller_gone: whether the caller disconnected.
    :param status: HTTP status of the answer, 0 for a stream or for no answer.
    :param body: body of the answer, empty where it was streamed.
    :param tokens: tokens passed on to the caller.
    :param waited_ms: time from arrival to the first slot.
    :param first_ms: time from arrival to the first token, 0 before it; for a
        service, to the complete answer.
    :param token_ms: mean time between tokens, 0 with fewer than two.
    """

    request_id: str
    code: Code | None = None
    caller_gone: bool = False
    status: int = 0
    body: bytes = b''
    tokens: int = 0
    waited_ms: float = 0
    first_ms: float = 0
    token_ms: float = 0

    def meets_targets(self, class_settings: ClassSettings) -> bool:
        """Return whether both latency targets of a class were met."""
        in_time = self.first_ms <= class_settings.first_token_ms
        return in_time and self.token_ms <= class_settings.token_ms


@dataclass(frozen=True, slots=True)
class RunContext:
    """Parts of the process that every request uses.

    :param name: name of this instance.
    :param budget: retry budgets of the request classes.
    :param count_retry: counts a retry by its reason.
    :param address_of: returns the address of a backend server, empty where it
        is not listed.
    :param sends_priority: whether engines are sent the tier as a priority;
        otherwise they all get 0.
    """

    name: str
    dispatcher: Dispatcher
    backends: BackendPool
    stream_monitor: StreamMonitor
    budget: RetryBudget
    count_retry: Callable[[Code], None]
    address_of: Callable[[str], str]
    sends_priority: bool


class RequestRun:
    """One parsed request, from its first attempt until it has ended.

    :ivar stream_started: whether the head of a stream was sent to the caller.
    :ivar ran: whether a backend server ran the request, as far as is known.
    """

    def __init__(
        self,
        context: RunContext,
        call: Call,
        caller: CallerConnection,
        request_id: str,
        arrived_s: float,
    ) -> None:
        """Prepare the request; nothing is sent before ``answer``.

        :param arrived_s: arrival of the request, on the event loop's clock.
        """
        self._context = context
        self._call = call
        self._caller = caller
        self._arrived_s = arrived_s
        self._loop = asyncio.get_running_loop()
        self._attempt: Attempt | None = None
        self._slot: asyncio.Future[Granted] | None = None
        self._avoid = ''
        self._pause_count = 0
        self._events: list[bytes] = []
        self._buffered_bytes = 0
        self._is_service = bool(call.service_path)
        self._parser = None
        if not self._is_service:
            self._parser = TokenStreamParser(event_marker(request_id))
        self._keep_alive = False
        self.stream_started = False
        self.ran = Ran.not_run
        self.outcome = RunOutcome(request_id)

    @property
    def _has_tokens(self) -> bool:
        return self._parser is not None and self._parser.tokens > 0

    @property
    def _is_pausable(self) -> bool:
        may_repeat = self._call.repeatable and not self._is_service
        return may_repeat and self._pause_count < MAX_PAUSES

    async def answer(self, *, keep_alive: bool) -> None:
        """Make attempts until the caller has its complete answer.

        :param keep_alive: whether the answer leaves the connection open.
        :raises RefusedError: if the broker refused the request.
        :raises BackendError: if an attempt failed and no retry is allowed.
        :raises CallerDisconnectedError: if the caller disconnected.
        """
        self._keep_alive = keep_alive
        self._caller.on_lost = self._on_caller_lost
        self._caller.on_writable = self._set_reading
        class_settings = self._call.class_settings
        self._context.budget.earn(
            self._call.node, class_settings.retry_fraction
        )
        for number in range(MAX_ATTEMPTS):
            try:
                await self._run_attempt(f'{self.outcome.request_id}.{number}')
            except BackendError as error:
                self._prepare_retry(error)
            else:
                self._finish()
                return
        raise BackendError(Code.retry_budget_spent)

    def write_error_event(self, error: SiskinpassError) -> None:
        """Send an error as an event of a stream that has started."""
        body = error_body(error.code, str(error), error.retry_after_ms)
        self._caller.write_chunk(b'event: error\ndata: %b\n\n' % body)

    def granted(self, grant: Granted) -> None:
        """Continue with the slot that the broker granted on a server."""
        if self._slot is not None and not self._slot.done():
            self._slot.set_result(grant)

    def refused(self, refusal: Refused) -> None:
        """End the request with the broker's refusal of its ticket."""
        if self._slot is not None and not self._slot.done():
            error = RefusedError(refusal.code, '', refusal.retry_after_ms)
            self._slot.set_exception(error)

    def paused(self) -> None:
        """Abort the attempt, to resume it later, for a more urgent tier."""
        if self._attempt is not None:
            self._attempt.abort(BackendError(Code.retry_paused))

    def moved(self) -> None:
        """Abort the attempt, to resume it on another backend server."""
        if self._attempt is not None:
            self._attempt.abort(BackendError(Code.retry_backend_slow))

    async def _run_attempt(self, ticket_id: str) -> None:
        pool = self._call.class_settings.pool
        dispatcher = self._context.dispatcher
        grant = await self._wait_for_slot(ticket_id)
        failed = True
        try:
            await self._run_on(grant)
            failed = False
        except BackendError as error:
            failed = error.code not in NOT_SERVER_FAULTS
            raise
        finally:
            dispatcher.release(pool, ticket_id, failed=failed)

    async def _wait_for_slot(self, ticket_id: str) -> Granted:
        class_settings = self._call.class_settings
        if not self._caller.is_open:
            raise CallerDisconnectedError(Code.stream_cut)
        ticket = Ticket(
            ticket_id=ticket_id,
            entry=self._context.name,
            pool=class_settings.pool,
            node=self._call.node,
            tier=class_settings.tier,
            opened_s=self._arrived_s,
            target_s=class_settings.first_token_ms / MS_PER_S,
            max_wait_s=class_settings.max_wait_ms / MS_PER_S,
            share=class_settings.share,
            prefix=self._call.prefix,
            pausable=self._is_pausable,
            resumed=self._has_tokens or self._pause_count > 0,
            avoid=self._avoid,
            token_s=class_settings.token_ms / MS_PER_S,
        )
        self._slot = self._loop.create_future()
        try:
            self._context.dispatcher.ask(ticket, self)
            grant = await self._slot
        except CallerDisconnectedError:
            self._context.dispatcher.withdraw(class_settings.pool, ticket_id)
            raise
        finally:
            self._slot = None
        if not self.outcome.waited_ms:
            self.outcome.waited_ms = self._since_arrival_ms()
        return grant

    async def _run_on(self, grant: Granted) -> None:
        server = grant.server
        # The instance that runs the broker may have read a later list.
        address = self._context.address_of(server) or grant.address
        self._avoid = server
        if not address:
            raise ConnectError(
                Code.backend_unreachable,
                f'no address for backend server {server}',
            )
        fresh = not self._call.repeatable
        connection = await self._context.backends.connect(address, fresh=fresh)
        if not self._caller.is_open:
            connection.cancel()
            raise CallerDisconnectedError(Code.stream_cut)
        attempt = Attempt(
            self._call.class_settings.pool,
            server,
            self._parser,
            self._forward,
        )
        self._attempt = attempt
        # The backend server may run the request from here on.
        self.ran = Ran.unknown
        attempt.start(connection, self._request(address))
        self._context.stream_monitor.add(attempt)
        try:
            await attempt.finished
        finally:
            self._attempt = None
            self._context.stream_monitor.discard(attempt)
        self._check_answer(attempt)

    def _request(self, address: str) -> bytes:
        request_id = self.outcome.request_id
        if self._is_service:
            return encode_service_request(self._call, request_id, address)
        priority = 0
        if self._context.sends_priority:
            priority = self._call.class_settings.tier
        return encode_engine_request(
            self._call,
            request_id,
            address,
            EngineOptions(priority, self._parser.tokens),
        )

    def _check_answer(self, attempt: Attempt) -> None:
        if self._is_service:
            echoed_id = attempt.headers.get('x-request-id')
            if echoed_id != self.outcome.request_id:
                self._events.clear()
                raise BackendError(Code.answer_crossed)

            self.outcome.status = attempt.status
        self.ran = Ran.was_run

    def _forward(self, piece: bytes) -> None:
        if not self.outcome.first_ms:
            self.outcome.first_ms = self._since_arrival_ms()
        if self._call.stream:
            self._start_stream()
            self._caller.write_chunk(piece)
            return
        self._buffered_bytes += len(piece)
        if self._buffered_bytes > MAX_ANSWER_BYTES:
            error = BackendError(Code.backend_error, 'the answer is too large')
            self._attempt.abort(error)
            return
        self._events.append(piece)

    def _start_stream(self) -> None:
        if self.stream_started:
            return
        self.stream_started = True
        headers = {
            'X-Request-Id': self.outcome.request_id,
            'X-Siskinpass-Ran': Ran.was_run.value,
        }
        self._caller.write(
            stream_head(headers, keep_alive=self._keep_alive),
        )

    def _finish(self) -> None:
        self._record_tokens()
        if self._call.stream and not self._is_service:
            self._start_stream()
            self._caller.write(LAST_CHUNK)
            return
        joined = b''.join(self._events)
        if self._is_service:
            self.outcome.body = joined
            self.outcome.first_ms = self._since_arrival_ms()
        else:
            chat = self._call.path == CHAT_PATH
            self.outcome.status = 200
            self.outcome.body = assemble_answer(joined, chat=chat)
        headers = {
            'X-Request-Id': self.outcome.request_id,
            'X-Siskinpass-Ran': Ran.was_run.value,
        }
        self._caller.write(
            whole_answer(
                self.outcome.status,
                self.outcome.body,
                headers,
                keep_alive=self._keep_alive,
            ),
        )

    def _record_tokens(self) -> None:
        if self._parser is None:
            return
        self.outcome.tokens = self._parser.tokens
        if self._parser.tokens > 1:
            span_s = self._parser.last_s - self._parser.first_s
            gaps = self._parser.tokens - 1
            self.outcome.token_ms = span_s * MS_PER_S / gaps

    def _prepare_retry(self, error: BackendError) -> None:
        """Reset the state for another attempt, or raise if none is allowed."""
        if self._parser is not None:
            self._parser.drop_partial()
        if self._is_service:
            self._events.clear()
        self._check_may_retry(error)
        if error.code in NOT_SERVER_FAULTS:
            self._pause_count += 1
        elif self._uses_retry_budget(error) and not self._spend_retry():
            raise BackendError(
                Code.retry_budget_spent,
                str(error),
                BACKEND_RETRY_MS,
            ) from error
        self._context.count_retry(RETRY_REASONS.get(error.code, error.code))

    def _uses_retry_budget(self, error: BackendError) -> bool:
        """Return whether a retry counts against the retry budget.

        It does not if tokens were already delivered, because such a stream has
        to be completed, nor after a failed connect, which did not load the
        backend server.
        """
        return not (self._has_tokens or isinstance(error, ConnectError))

    def _spend_retry(self) -> bool:
        return self._context.budget.spend(self._call.node)

    def _check_may_retry(self, error: BackendError) -> None:
        if isinstance(error, ConnectError):
            # This attempt sent nothing, but an earlier one may have run.
            return
        if error.code is Code.retry_backend_leaving:
            self.ran = self.ran if self._has_tokens else Ran.not_run
            return
        if not self._call.repeatable:
            raise BackendError(Code.outcome_unknown, str(error)) from error

    def _on_caller_lost(self) -> None:
        error = CallerDisconnectedError(Code.stream_cut)
        if self._slot is not None and not self._slot.done():
            self._slot.set_exception(error)
        if self._attempt is not None:
            self._attempt.abort(error)

    def _set_reading(self, *, on: bool) -> None:
        if self._attempt is not None:
            self._attempt.set_reading(on=on)

    def _since_arrival_ms(self) -> float:
        return (self._loop.time() - self._arrived_s) * MS_PER_S
