"""Send requests to backend servers through other instances."""

import asyncio
from collections.abc import Iterable

from siskinpass.codes import Code
from siskinpass.connection.backend import (
    AnswerSink,
    BackendConnection,
    BackendPool,
)
from siskinpass.exceptions import BackendError, ConnectError
from siskinpass.process.background import BackgroundTasks
from siskinpass.process.fleet.relay_wire import (
    SERVER_OUTCOMES,
    RelayOutcome,
    RelayTarget,
    decode_answer_headers,
    encode_probe,
    read_outcome,
    wrap_request,
)
from siskinpass.process.fleet.relays import Relay, Relays
from siskinpass.process.logs import ComponentLog
from siskinpass.request.inbound import Header
from siskinpass.request.ticket import ServerView

# Instances that one request is offered to, one after the other. With more,
# several are cut off at once and have not reported it yet.
MAX_RELAYS = 4
# Instances that are asked whether they reach a server.
FEW_RELAYS = 2
MANY_RELAYS = 8
CONFIRM_S = 0.6  # within which an instance finds out whether it connects


class RelayClient:
    """Sender of requests through other instances.

    :param pool: connections to other instances.
    :param key: key that all instances of the deployment share.
    """

    def __init__(self, pool: BackendPool, relays: Relays, key: str) -> None:
        self.pool = pool
        self.relays = relays
        self._key = key

    def open(
        self, view: ServerView, *, fresh: bool
    ) -> 'RelayedConnection | None':
        """Return a connection through other instances, if there are any."""
        found = self.relays.choose(view.name, MAX_RELAYS)
        if not found:
            return None
        target = self._target(view, is_fresh=fresh)
        return RelayedConnection(self, target, found)

    async def confirm(self, view: ServerView) -> RelayOutcome | None:
        """Ask other instances whether they reach a server.

        A few are asked first, and many if these reach no server at all.

        :returns: ``reached`` if one of them reaches the server, else what one
            that reaches others says; ``refused`` too if all say that every
            server refuses connections; ``None`` if nobody knows.
        """
        found = self.relays.choose(view.name, MANY_RELAYS)
        first = await self._ask_all(view, found[:FEW_RELAYS])
        decided = _decisive(first)
        if decided is not None:
            return decided
        outcomes = first | await self._ask_all(view, found[FEW_RELAYS:])
        if outcomes == {RelayOutcome.all_refused}:
            return RelayOutcome.refused
        return _decisive(outcomes)

    async def _ask_all(
        self, view: ServerView, relays: Iterable[Relay]
    ) -> set[RelayOutcome | None]:
        asked = (self._ask(view, relay) for relay in relays)
        return set(await asyncio.gather(*asked))

    async def _ask(self, view: ServerView, relay: Relay) -> RelayOutcome | None:
        sink = RelaySink(None)
        connection = None
        try:
            async with asyncio.timeout(CONFIRM_S):
                connection = await self.pool.connect(relay.address, fresh=False)
                connection.send(encode_probe(self._target(view)), sink)
                return await sink.ended
        except (ConnectError, TimeoutError):
            return None
        finally:
            if connection is not None and not sink.is_complete:
                connection.cancel()

    def _target(
        self, view: ServerView, *, is_fresh: bool = False
    ) -> RelayTarget:
        return RelayTarget(view.name, self._key, is_fresh)


def _decisive(outcomes: set[RelayOutcome | None]) -> RelayOutcome | None:
    for outcome in (RelayOutcome.reached, *SERVER_OUTCOMES):
        if outcome in outcomes:
            return outcome
    return None


class RelaySink(AnswerSink):
    """Sink that tells a relay's own statement from a server's answer.

    :param sink: receiver of the server's answer, ``None`` for a probe.
    :ivar ended: done with the relay's statement, or with ``None`` after the
        server's answer.
    """

    def __init__(self, sink: AnswerSink | None) -> None:
        self._sink = sink
        self._outcome: RelayOutcome | None = None
        self._has_begun = False
        self.ended: asyncio.Future[RelayOutcome | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def has_begun(self) -> bool:
        """Return whether a server's answer has begun."""
        return self._has_begun

    @property
    def is_complete(self) -> bool:
        """Return whether the answer or the statement has ended."""
        return self.ended.done() and not self.ended.cancelled()

    def receive_head(self, status: int, headers: tuple[Header, ...]) -> bool:
        """Read the relay's statement, or pass the server's head on."""
        self._outcome = read_outcome(headers)
        if self._outcome is not None or self._sink is None:
            return True
        self._has_begun = self._sink.receive_head(
            status, decode_answer_headers(headers)
        )
        return self._has_begun

    def receive_body(self, piece: bytes) -> None:
        """Pass a piece of the server's body on."""
        if self._has_begun:
            self._sink.receive_body(piece)

    def receive_end(self) -> None:
        """End the server's answer, or decide by the relay's statement."""
        if self._has_begun:
            self._sink.receive_end()
        self._end(self._outcome)

    def receive_failure(self, error: BackendError) -> None:
        """Fail the answer; a relay that got nothing has declined."""
        if self._has_begun:
            self._sink.receive_failure(error)
            self._end(None)
        elif isinstance(error, ConnectError):
            self._end(RelayOutcome.declined)
        else:
            self._end(self._outcome or RelayOutcome.broken)

    def _end(self, outcome: RelayOutcome | None) -> None:
        if not self.ended.done():
            self.ended.set_result(outcome)


class RelayedConnection:
    """Connection to a server through one of several other instances.

    It is used like a ``BackendConnection``, for one request. The next instance
    is asked only if the one before states that the server got nothing.
    """

    # The relaying instance knows whether its connection was used before.
    is_reused = False

    def __init__(
        self, client: RelayClient, target: RelayTarget, found: list[Relay]
    ) -> None:
        self._client = client
        self._target = target
        self._found = found
        self._connection: BackendConnection | None = None
        self._is_reading = True
        self._background = BackgroundTasks()
        self._task: asyncio.Task[None] | None = None
        self._log = ComponentLog('relay')

    def send(self, request: bytes, sink: AnswerSink) -> None:
        """Send a request and pass its response to the sink."""
        wrapped = wrap_request(request, self._target)
        self._task = self._background.start(self._send(wrapped, sink))

    def give_back(self) -> None:
        """Nothing was sent; there is nothing to give back."""

    def limit_idle(self, stated_s: float) -> None:
        """Do nothing: the relay keeps the connection to the server."""

    def cancel(self) -> None:
        """Close the connection at once, so that the server stops."""
        if self._task is not None:
            self._task.cancel()

    def set_reading(self, *, on: bool) -> None:
        """Resume or pause reading, to match the speed of the caller."""
        self._is_reading = on
        if self._connection is not None:
            self._connection.set_reading(on=on)

    async def _send(self, wrapped: bytes, sink: AnswerSink) -> None:
        outcome = RelayOutcome.declined
        for relay in self._found:
            with self._client.relays.use(relay):
                outcome = await self._send_through(relay, wrapped, sink)
            if outcome is None:
                return
            self._log.note(
                'A relay did not reach the server.',
                server=self._target.server,
                relay=relay.name,
                outcome=outcome.value,
            )
            if outcome in SERVER_OUTCOMES or outcome is RelayOutcome.broken:
                break
            self._client.relays.avoid(relay)
        if outcome is RelayOutcome.broken:
            sink.receive_failure(
                BackendError(Code.stream_cut, 'the relayed answer broke off')
            )
            return
        sink.receive_failure(
            ConnectError(
                Code.backend_unreachable, f'through a relay: {outcome.value}'
            )
        )

    async def _send_through(
        self, relay: Relay, wrapped: bytes, sink: AnswerSink
    ) -> RelayOutcome | None:
        """Send the request through one instance.

        :returns: ``None`` once the server's answer was passed on to its end.
        """
        relay_sink = RelaySink(sink)
        try:
            connection = await self._client.pool.connect(
                relay.address, fresh=False
            )
        except ConnectError:
            return RelayOutcome.declined
        self._connection = connection
        self._log.routine(
            'A relay is asked.', server=self._target.server, relay=relay.name
        )
        if not self._is_reading:
            connection.set_reading(on=False)
        connection.send(wrapped, relay_sink)
        try:
            return await relay_sink.ended
        finally:
            if not relay_sink.is_complete:
                self._abandon(relay, relay_sink, connection)

    def _abandon(
        self, relay: Relay, relay_sink: RelaySink, connection: BackendConnection
    ) -> None:
        connection.cancel()
        if not relay_sink.has_begun:
            self._client.relays.avoid(relay)
