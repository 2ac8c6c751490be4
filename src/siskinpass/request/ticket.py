"""Events and commands exchanged between entry instances and a broker.

An entry instance holds the connection of a caller; the broker of a group of
backend servers decides which request gets which slot. All times are seconds
of the receiver's own monotonic clock. Messages between processes carry an age
or a remaining time, never a clock reading.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import zip_longest

from siskinpass.codes import Code
from siskinpass.request.isolation import ServerEnded


@dataclass(frozen=True, slots=True)
class PromptPiece:
    """One part of a prompt, as used to predict hits in the KV cache.

    :param key: hash that is the same for all prompts that share this part.
    :param tokens: length of this part.
    """

    key: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request's place in the queue for one slot on a backend server.

    :param ticket_id: unique over all instances that share a broker and over
        their restarts.
    :param entry: instance that holds the caller's connection; empty in a fleet,
        where each instance has its own brokers.
    :param pool: name of the pool or service whose backend servers can serve
        the request.
    :param node: request class: its path in the settings tree or the name of
        its route.
    :param tier: priority, 0 is the most urgent.
    :param opened_s: when the request arrived; in a fleet, when the current
        attempt began.
    :param target_s: latency target from ``opened_s`` to the first token.
    :param max_wait_s: longest wait before the request is refused.
    :param share: fraction of freed slots guaranteed to the tier.
    :param prefix: hash of the start of the prompt, 0 where unknown.
    :param pausable: whether the stream may be cancelled and resumed later.
    :param resumed: whether some tokens were already delivered.
    :param avoid: backend server that just failed for this request, empty for
        none.
    :param crashes: backend servers that have ended under the request, one after
        the other.
    :param paused: backend servers that asked this instance for a pause, each
        with its end on the clock; they are never chosen before it.
    :param version: software version that a server must have, ``None`` for any.
    :param token_s: target for the mean time between tokens, 0 for none.
    :param pieces: consecutive parts of the prompt; other prompts can share a
        part only together with all the parts before it. The last one belongs
        only to this request or its session.
    :param tokens_in: length of the prompt in tokens.
    :param is_tight: whether the stream allows only short pauses between
        tokens and so should not run beside the prefill of long prompts.
    :param workspace: name of the workspace that it counts for; requests without
        one share the empty name.
    :param tokens_out: expected number of generated tokens.
    """

    ticket_id: str
    entry: str
    pool: str
    node: str
    tier: int
    opened_s: float
    target_s: float
    max_wait_s: float
    share: float = 0.0
    prefix: int = 0
    pausable: bool = True
    resumed: bool = False
    avoid: str = ''
    crashes: int = 0
    paused: tuple[tuple[str, float], ...] = ()
    version: str | None = None
    token_s: float = 0.0
    pieces: tuple[PromptPiece, ...] = ()
    tokens_in: int = 0
    is_tight: bool = False
    workspace: str = ''
    tokens_out: int = 0

    @property
    def due_s(self) -> float:
        """Return the time at which the first token is due."""
        return self.opened_s + self.target_s

    @property
    def expires_s(self) -> float:
        """Return the time at which the request is refused if still queued."""
        return self.opened_s + self.max_wait_s

    def fits(self, server: 'ServerView') -> bool:
        """Return whether the software of a server may serve the request."""
        return self.version is None or server.version == self.version

    def excludes(self, server: 'ServerView', now_s: float) -> bool:
        """Return whether a server must not get the request now."""
        return not self.fits(server) or any(
            name == server.name and now_s < until_s
            for name, until_s in self.paused
        )


@dataclass(frozen=True, slots=True)
class ServerView:
    """One backend server as listed by service discovery.

    :param address: ``ip:port``.
    :param pool: pool that it belongs to.
    :param zone: availability zone.
    :param leaving: whether it is draining and must get no new requests.
    :param slots: requests that it runs concurrently, 0 where unknown.
    :param incarnation: start of its process in Unix ms, 0 where unknown.
    :param version: version of its software, empty where unknown.
    :param is_spot: whether it may be reclaimed at short notice.
    """

    name: str
    address: str
    pool: str
    zone: str = ''
    leaving: bool = False
    slots: int = 0
    incarnation: int = 0
    version: str = ''
    is_spot: bool = False


@dataclass(frozen=True, slots=True)
class TicketOpened:
    """A request starts to wait for a slot."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class TicketWithdrawn:
    """The caller of a waiting request disconnected."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class GrantReleased:
    """A granted slot was released.

    :param ticket_id: ticket that held the slot.
    :param failed: whether the backend server could not be reached or broke off
        the answer.
    :param server_error: whether the server answered, but with an error of its
        own.
    :param events: events of a stream that was received whole, 0 where unknown.
    :param is_declined: whether the server stated that it did not run the
        request.
    """

    ticket_id: str
    failed: bool = False
    server_error: bool = False
    events: int = 0
    is_declined: bool = False


@dataclass(frozen=True, slots=True)
class GrantReported:
    """An entry instance reports a slot that it holds to a new broker.

    :param server: name of the backend server.
    """

    ticket: Ticket
    server: str


@dataclass(frozen=True, slots=True)
class TokensObserved:
    """An entry instance measured the token times of a backend server.

    :param server: name of the backend server.
    :param token_s: mean time between tokens.
    :param first_s: time to the first token, 0 where none was measured.
    :param count: number of tokens over which the mean was taken.
    """

    server: str
    token_s: float
    first_s: float = 0.0
    count: int = 1


@dataclass(frozen=True, slots=True)
class PrefillCompleted:
    """The first token for a granted ticket arrived, so its prefill is over."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that one or more instances put on a backend server.

    :param running: number of running requests.
    :param tight: how many of them are streams that allow only short pauses.
    :param unread: prompt tokens placed there whose prefill is not over yet,
        by tier, the most urgent first.
    """

    running: int = 0
    tight: int = 0
    unread: tuple[int, ...] = ()

    def __add__(self, other: 'ServerLoad') -> 'ServerLoad':
        """Return the sum of two loads."""
        pairs = zip_longest(self.unread, other.unread, fillvalue=0)
        return ServerLoad(
            self.running + other.running,
            self.tight + other.tight,
            tuple(map(sum, pairs)),
        )

    def __neg__(self) -> 'ServerLoad':
        """Return the negated load, which subtracts this one when added."""
        return ServerLoad(
            -self.running,
            -self.tight,
            tuple(-tokens for tokens in self.unread),
        )

    def unread_at_or_above(self, tier: int) -> int:
        """Return the tokens awaiting prefill in a tier and more urgent ones."""
        return sum(self.unread[: tier + 1])


@dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """Load that the other instances together report for each server.

    Servers that are not listed have no load from them.
    """

    loads: Mapping[str, ServerLoad]


@dataclass(frozen=True, slots=True)
class PromptPlaced:
    """A prompt was placed on a server, which will have its parts cached.

    A broker gets it for the prompts of other instances, and for the parts that
    an engine lists as cached when the instance starts.

    :param pieces: parts of the prompt.
    :param unread: tokens that the server still had to prefill at that time;
        below 0 for those of a prompt that the server declined.
    :param tier: tier of its request.
    :param is_tight: whether its stream allows only short pauses.
    """

    server: str
    pieces: tuple[PromptPiece, ...]
    unread: int = 0
    tier: int = 0
    is_tight: bool = False


@dataclass(frozen=True, slots=True)
class ServersListed:
    """The list of the group's backend servers changed.

    :param servers: the complete new list.
    """

    servers: tuple[ServerView, ...]


@dataclass(frozen=True, slots=True)
class Share:
    """This instance's part of the request rate that a server allows.

    :param interval_s: least time between two requests; infinite if the server
        gets none from this instance.
    :param delay_s: time before the first one; it differs between instances.
    :param places: requests that it may run there at once.
    """

    interval_s: float = 0.0
    delay_s: float = 0.0
    places: float = math.inf


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """This instance's shares of the servers' rate limits have changed.

    :param shares: by server; the others state no limit.
    """

    shares: Mapping[str, Share]


@dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry instance died, which voids its tickets and grants."""

    entry: str


@dataclass(frozen=True, slots=True)
class ClockTicked:
    """A periodic tick, on which timeouts are checked."""


# Events that change only what is known about the load of the servers.
LoadEvent = (
    TokensObserved
    | PrefillCompleted
    | PeerLoadsReported
    | PromptPlaced
    | ServersListed
    | SharesChanged
    | ServerEnded
)
Event = (
    TicketOpened
    | TicketWithdrawn
    | GrantReleased
    | GrantReported
    | LoadEvent
    | EntryLost
    | ClockTicked
)


@dataclass(frozen=True, slots=True)
class Granted:
    """A ticket may use one slot of a backend server.

    :param address: ``host:port`` of the server as the broker knows it, empty
        where the broker's build does not send it.
    :param pieces: parts of its prompt, which the server will have cached.
    :param unread: prompt tokens that the server has to prefill.
    """

    ticket_id: str
    entry: str
    server: str
    pieces: tuple[PromptPiece, ...] = ()
    unread: int = 0
    address: str = ''


@dataclass(frozen=True, slots=True)
class Refused:
    """A ticket was dropped from the queue; no server ran the request for it.

    :param code: reason of the refusal.
    :param retry_after_ms: time after which the caller should retry.
    """

    ticket_id: str
    entry: str
    code: Code
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Paused:
    """A running stream must release its slot to a more urgent tier."""

    ticket_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class Moved:
    """A running stream must leave a backend server that became slow."""

    ticket_id: str
    entry: str


Command = Granted | Refused | Paused | Moved
