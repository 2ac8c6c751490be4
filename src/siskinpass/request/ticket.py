"""Define the messages between an entry instance and a broker.

All times are seconds of the receiver's own monotonic clock; what crosses a
process is an age or a remaining time, never a clock reading.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import zip_longest

from siskinpass.codes import Code


@dataclass(frozen=True, slots=True)
class PromptPiece:
    """Name one part of a prompt.

    :param key: the same for all prompts that share this part.
    """

    key: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for one slot on a backend server.

    :param ticket_id: unique over all instances and incarnations.
    :param entry: instance that holds the caller's connection.
    :param pool: backend servers that can serve the request.
    :param node: path of the request class in the tree.
    :param tier: priority, 0 is the most urgent.
    :param opened_s: when the request arrived.
    :param target_s: latency target from arrival to first token.
    :param max_wait_s: longest wait before the request is refused.
    :param share: fraction of freed slots guaranteed to the tier.
    :param prefix: hash of the prompt's first part, 0 where unknown.
    :param pausable: whether the stream may be cancelled and resumed.
    :param resumed: whether some tokens were already delivered.
    :param avoid: backend server that just failed for this request.
    :param token_s: target of the mean time between tokens, 0 for none.
    :param pieces: parts of the prompt, each sharable with those before it.
    :param tokens_in: length of the prompt.
    :param is_tight: whether the stream needs servers without long prompts.
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
    token_s: float = 0.0
    pieces: tuple[PromptPiece, ...] = ()
    tokens_in: int = 0
    is_tight: bool = False

    @property
    def due_s(self) -> float:
        """Return when the first token is due."""
        return self.opened_s + self.target_s

    @property
    def expires_s(self) -> float:
        """Return when the request is refused if it still waits."""
        return self.opened_s + self.max_wait_s


@dataclass(frozen=True, slots=True)
class ServerView:
    """Describe one backend server as the instance list tells it.

    :param name: name of the backend server.
    :param address: ``ip:port``.
    :param pool: pool that it belongs to.
    :param zone: availability zone.
    :param leaving: whether it must get nothing new.
    :param slots: requests that it runs at once, 0 where that is not known.
    :param incarnation: start of its process in Unix ms, 0 where unknown.
    """

    name: str
    address: str
    pool: str
    zone: str = ''
    leaving: bool = False
    slots: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class TicketOpened:
    """A request waits for a slot."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class TicketWithdrawn:
    """The caller of a waiting request went away."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class GrantReleased:
    """A slot is free again.

    :param ticket_id: ticket that held the slot.
    :param failed: whether the backend server failed the request.
    :param server_error: whether it answered, but with an error of its own.
    """

    ticket_id: str
    failed: bool = False
    server_error: bool = False


@dataclass(frozen=True, slots=True)
class GrantReported:
    """An entry tells a new broker of a slot that it holds."""

    ticket: Ticket
    server: str


@dataclass(frozen=True, slots=True)
class TokensObserved:
    """An entry saw tokens of a backend server.

    :param server: name of the backend server.
    :param token_s: mean time between tokens in seconds.
    :param first_s: time to the first token, 0 where none was seen.
    :param count: tokens that the mean is made of.
    """

    server: str
    token_s: float
    first_s: float = 0.0
    count: int = 1


@dataclass(frozen=True, slots=True)
class PrefillCompleted:
    """The first token of a granted ticket came; its prompt was read."""

    ticket_id: str


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Sum up what one or more instances run on a backend server.

    :param running: requests.
    :param tight: those among them that are streams with a tight pause.
    :param unread: prompt tokens that are placed there and not read yet, by
        tier from the most urgent on.
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
        """Return the load that takes this one off."""
        return ServerLoad(
            -self.running,
            -self.tight,
            tuple(-tokens for tokens in self.unread),
        )

    def unread_at_or_above(self, tier: int) -> int:
        """Return the unread tokens of a tier and those above it."""
        return sum(self.unread[: tier + 1])


@dataclass(frozen=True, slots=True)
class PeerLoadsReported:
    """The other instances told their loads; servers left out have none."""

    loads: Mapping[str, ServerLoad]


@dataclass(frozen=True, slots=True)
class PromptPlaced:
    """Another instance placed a prompt on a server.

    :param unread: tokens of it that the server had yet to read.
    :param tier: tier of its request.
    :param is_tight: whether its stream has a tight pause.
    """

    server: str
    pieces: tuple[PromptPiece, ...]
    unread: int = 0
    tier: int = 0
    is_tight: bool = False


@dataclass(frozen=True, slots=True)
class ServersListed:
    """The backend servers of the group changed."""

    servers: tuple[ServerView, ...]


@dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry instance died; its tickets and grants are void."""

    entry: str


@dataclass(frozen=True, slots=True)
class ClockTicked:
    """Time passed."""


# Events that change only what the servers are known to carry.
LoadEvent = (
    TokensObserved
    | PrefillCompleted
    | PeerLoadsReported
    | PromptPlaced
    | ServersListed
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

    :param pieces: parts of its prompt, which the server will have cached.
    :param unread: tokens of it that the server has to read.
    """

    ticket_id: str
    entry: str
    server: str
    pieces: tuple[PromptPiece, ...] = ()
    unread: int = 0


@dataclass(frozen=True, slots=True)
class Refused:
    """A ticket is given up on; the request was not run by this grant.

    :param retry_after_ms: when the caller should come back.
    """

    ticket_id: str
    entry: str
    code: Code
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Paused:
    """A running stream has to make room for an upper tier."""

    ticket_id: str
    entry: str


@dataclass(frozen=True, slots=True)
class Moved:
    """A running stream has to leave a backend server that became slow."""

    ticket_id: str
    entry: str


Command = Granted | Refused | Paused | Moved
