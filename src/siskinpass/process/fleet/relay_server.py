"""Relay other instances' requests to backend servers.

An instance that has no path to a server asks another one, which only passes on
bytes: the asking instance keeps the caller's connection, chooses the server and
decides on retries. What servers say of themselves holds for both.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial

from siskinpass.connection.backend import (
    STATUSES_WITHOUT_BODY,
    AnswerSink,
    BackendConnection,
)
from siskinpass.connection.http_caller import HttpCaller
from siskinpass.exceptions import BackendError, ConnectError
from siskinpass.platform.headers import decode_answer, decode_call
from siskinpass.process.fleet.own_paths import OwnPaths
from siskinpass.process.fleet.relay_wire import (
    OUTCOME,
    PROBE,
    RelayOutcome,
    encode_answer_headers,
    is_authentic,
    read_target,
    unwrap_request,
)
from siskinpass.process.logs import ComponentLog
from siskinpass.process.metrics import Metrics
from siskinpass.request.inbound import Header, ServerNotice, WireRequest
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import CallerLimits

STATUS_UNAVAILABLE = 503
MAX_RELAYED = 256  # requests relayed at the same time
# Above the limits on callers, as relayed requests have more headers; and idle
# connections are kept longer than the asking instance keeps them.
MAX_HEAD_BYTES = 262_144
MAX_BODY_BYTES = 67_108_864
IDLE_TIMEOUT_S = 90.0
RELAY_LIMITS = CallerLimits(
    head_bytes=MAX_HEAD_BYTES,
    body_bytes=MAX_BODY_BYTES,
    idle_timeout_s=IDLE_TIMEOUT_S,
)


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Dependencies of the relay.

    :param key: key that all instances of the deployment share.
    :param find_server: returns the server of a name if it may be used now.
    :param paths: this instance's own connections to servers.
    :param on_notice: called with a server, when a request was sent to it, and
        what it says about itself in its answer.
    """

    key: str
    find_server: Callable[[str], ServerView | None]
    paths: OwnPaths
    on_notice: Callable[[ServerView, float, ServerNotice], None]
    metrics: Metrics


class RelayServer:
    """Owner of the relayed requests."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._log = ComponentLog('relay')
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_leaving = False

    @property
    def open_requests(self) -> int:
        """Return how many relayed requests are unanswered."""
        return len(self._tasks)

    def stop(self) -> None:
        """Decline further requests; those under way go on."""
        self._is_leaving = True

    def serve(self, caller: HttpCaller, request: WireRequest) -> None:
        """Start to relay a request; it is cancelled if the asker leaves."""
        target = read_target(request)
        if not is_authentic(target, self._context.key):
            self._log.warn('Declined a relay without the key.')
            # No instance sent it, so that no more is read from the connection.
            outcome = RelayOutcome.declined.value.encode('latin-1')
            caller.answer(
                STATUS_UNAVAILABLE, ((OUTCOME, outcome),), is_last=True
            )
            return
        view = self._context.find_server(target.server)
        is_full = len(self._tasks) >= MAX_RELAYED
        if view is None or is_full or self._is_leaving:
            _state(caller, RelayOutcome.declined)
            return
        work = (
            self._relay(caller, request, view, is_fresh=target.is_fresh)
            if request.header(PROBE) is None
            else self._probe(caller, view)
        )
        task = asyncio.get_running_loop().create_task(self._run(caller, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        caller.on_lost = task.cancel

    async def _run(
        self, caller: HttpCaller, work: Coroutine[None, None, None]
    ) -> None:
        try:
            await work
        except Exception as error:
            self._log.warn(
                'A relay failed with an internal error.', cause=repr(error)
            )
            caller.abort()
            raise

    async def _probe(self, caller: HttpCaller, view: ServerView) -> None:
        try:
            await self._context.paths.check(view)
        except ConnectError as error:
            _state(caller, await self._find_outcome(error))
            return
        _state(caller, RelayOutcome.reached)

    async def _relay(
        self,
        caller: HttpCaller,
        request: WireRequest,
        view: ServerView,
        *,
        is_fresh: bool,
    ) -> None:
        paths = self._context.paths
        try:
            connection = await paths.open(view, fresh=is_fresh)
        except ConnectError as error:
            _state(caller, await self._find_outcome(error))
            return
        self._context.metrics.noticed('relayed')
        call = decode_call(request).call_id
        self._log.routine('A request is relayed.', call=call, server=view.name)
        sent_s = asyncio.get_running_loop().time()
        relayed = _AnswerRelay(
            caller,
            call,
            partial(self._context.on_notice, view, sent_s),
        )
        with paths.watch(view, connection) as on_data:
            await relayed.run(connection, unwrap_request(request), on_data)

    async def _find_outcome(self, error: ConnectError) -> RelayOutcome:
        """Return whether the server is at fault or this instance's paths."""
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        if await self._context.paths.reaches_any():
            return (
                RelayOutcome.refused if is_refused else RelayOutcome.unreachable
            )
        return RelayOutcome.all_refused if is_refused else RelayOutcome.cut_off


class _AnswerRelay(AnswerSink):
    """Pass one answer of a server on to the asking instance.

    :param call_id: request id that the answer must carry.
    :param on_notice: called with what the server says about itself.
    """

    def __init__(
        self,
        caller: HttpCaller,
        call_id: str,
        on_notice: Callable[[ServerNotice], None],
    ) -> None:
        self._caller = caller
        self._call_id = call_id
        self._on_notice = on_notice
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._finished = asyncio.get_running_loop().create_future()

    async def run(
        self,
        connection: BackendConnection,
        request: bytes,
        on_data: Callable[[], None],
    ) -> None:
        """Send the request and wait for the end of the answer.

        Cancelled when the asking instance leaves, which stops the server.
        """
        self._on_data = on_data
        self._connection = connection
        self._caller.on_writable = connection.set_reading
        connection.send(request, self)
        try:
            await self._finished
        finally:
            if not self._finished.done() or self._finished.cancelled():
                connection.cancel()

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Pass the head on if it answers this request."""
        self._on_data()
        head = decode_answer(status, headers)
        if not head.may_answer(self._call_id):
            return False
        if head.is_doubtful(is_reused=self._connection.is_reused):
            self._break_off()
            return True
        if head.notice is not None:
            self._on_notice(head.notice)
        self._connection.limit_idle(head.idle_s)
        self._status = status
        self._headers = encode_answer_headers(headers)
        if status not in STATUSES_WITHOUT_BODY:
            self._caller.start_stream(status, self._headers)
        return True

    def receive_body(self, piece: bytes) -> None:
        """Pass a piece of the body on."""
        self._on_data()
        self._caller.write_piece(piece)

    def receive_end(self) -> None:
        """End the relayed answer as complete."""
        if self._status in STATUSES_WITHOUT_BODY:
            self._caller.answer(self._status, self._headers)
        else:
            self._caller.end_stream()
        self._finish()

    def receive_failure(self, error: BackendError) -> None:
        """Break the relayed answer off, or state that there is none."""
        if self._finished.done():
            return
        if self._status:
            self._caller.abort()
        else:
            is_unsent = isinstance(error, ConnectError)
            _state(
                self._caller,
                RelayOutcome.declined if is_unsent else RelayOutcome.broken,
            )
        self._finish()

    def _break_off(self) -> None:
        """State that the server may have run the request."""
        _state(self._caller, RelayOutcome.broken)
        self._connection.cancel()
        self._finish()

    def _finish(self) -> None:
        if not self._finished.done():
            self._finished.set_result(None)


def _state(caller: HttpCaller, outcome: RelayOutcome) -> None:
    """Answer with what was found out, in place of a server's answer."""
    caller.answer(
        STATUS_UNAVAILABLE, ((OUTCOME, outcome.value.encode('latin-1')),)
    )
