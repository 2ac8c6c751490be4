"""Decoded forms of callers' requests and of backend servers' responses."""

from collections.abc import Iterable
from dataclasses import dataclass, field

Header = tuple[bytes, bytes]
STATUS_OK = 200
STATUS_REDIRECT = 300
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


def is_framed(headers: Iterable[Header]) -> bool:
    """Return whether a body has a length or chunks.

    One without either ends with its connection.
    """
    return any(name.lower() in FRAMING_HEADERS for name, _ in headers)


@dataclass(frozen=True, slots=True)
class WireRequest:
    """One complete HTTP request as it arrived.

    :param target: path and query, unchanged.
    :param headers: names and values, with order and spelling unchanged.
    :param keep_alive: whether the connection stays open afterwards.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes = b''
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None where it is missing.

        :param name: name of the header in lower case.
        """
        for spelled, text in self.headers:
            if spelled.lower() == name:
                return text
        return None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as stated by the caller.

    :param key: name that is the same for all requests that share this part.
    :param tokens: length of this part.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Work that a request requires of a model engine.

    :param parts: parts in the order of the prompt; the last one belongs only
        to this request or its session.
    :param tokens_in: length of the prompt in tokens.
    :param max_tokens_out: limit on the generated tokens.
    :param tokens_out_hint: the caller's estimate of the generated tokens, 0
        where there is none.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    max_tokens_out: int = 0
    tokens_out_hint: int = 0

    @property
    def tokens_out(self) -> int:
        """Return the expected number of generated tokens.

        This is the caller's estimate, or without one the limit.
        """
        if self.tokens_out_hint:
            return min(self.tokens_out_hint, self.max_tokens_out)
        return self.max_tokens_out

    @property
    def size(self) -> int:
        """Return the tokens that a server has to hold before the first one."""
        return max(self.tokens_in, sum(part.tokens for part in self.parts))

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A caller's request with its headers decoded.

    :param request: the request as it arrived.
    :param call_id: the caller's id for this attempt, empty where it gave none.
    :param caller_timeout_s: how long the caller waits, counted from arrival, 0
        where it does not say.
    :param key: API key, empty where there is none.
    :param last_event_id: id of the last event that the caller has, empty for
        none.
    :param resumed_call: id of the caller's attempt that brought the first event
        of the stream that this one takes up, empty for none.
    :param prompt: work for a model engine, empty where there is none.
    :param headers: headers for the backend server, without hop-by-hop headers
        and those that only the router sets.
    """

    request: WireRequest
    host: str
    call_id: str = ''
    caller_timeout_s: float = 0.0
    key: str = ''
    last_event_id: str = ''
    resumed_call: str = ''
    prompt: Prompt = field(default_factory=Prompt)
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class SendContext:
    """Information that the router adds to a request for a backend server.

    :param server: name of the server that must run the request.
    :param remaining_s: time that remains for the response.
    :param workspace: name of the workspace, empty where none applies.
    :param urgency: 0 is the most urgent, 9 the least.
    :param last_event_id: id of the last event that was passed on, empty for
        none.
    """

    server: str
    remaining_s: float
    workspace: str = ''
    urgency: int = 5
    last_event_id: str = ''


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What a backend server says about itself in the head of a response.

    :param is_leaving: whether the server stops soon and should get no new
        requests.
    :param pause_s: time for which the server wants no requests from this
        instance, in seconds; 0 for none.
    :param limit_per_s: requests a second that the server takes from all
        instances together, ``None`` if it states no limit.
    :param refusals_per_s: requests a second that the server bears to turn away
        for want of room before it fails, ``None`` if it states nothing.
    :param is_full: whether it turned this request away for want of room.
    :param unreadable: headers whose values could not be read; they change
        nothing.
    """

    is_leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    refusals_per_s: float | None = None
    is_full: bool = False
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Decoded head of a backend server's response.

    :param call_id: id of the request that it answers, empty where missing.
    :param receipt: the server's seal, which every successful response must
        carry; empty where missing.
    :param not_run: whether the server states that it did not run the request.
    :param is_encoded: whether the body is compressed or otherwise encoded.
    :param is_framed: whether the body has a length or chunks; one without
        either ends with its connection.
    :param idle_s: how long the server keeps an idle connection open, 0 where
        it does not say.
    :param headers: headers to pass on to the caller.
    :param notice: what the server says about itself, ``None`` if another
        server than the one that was asked has answered.
    """

    status: int
    call_id: str = ''
    receipt: str = ''
    not_run: bool = False
    is_encoded: bool = False
    is_framed: bool = True
    idle_s: float = 0.0
    headers: tuple[Header, ...] = ()
    notice: ServerNotice | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is in the 2xx range."""
        return STATUS_OK <= self.status < STATUS_REDIRECT

    def may_answer(self, call_id: str) -> bool:
        """Return whether this may be the response to a request.

        One to another request is a late copy, which the connection skips.
        """
        return not self.call_id or self.call_id == call_id

    def is_doubtful(self, *, is_reused: bool) -> bool:
        """Return whether this may be a late copy of an earlier refusal.

        Without a request id, a statement that a request did not run proves
        nothing on a connection that has carried another request.
        """
        return self.not_run and not self.call_id and is_reused

    @property
    def implies_not_run(self) -> bool:
        """Return whether callers take the status to mean "not run"."""
        return self.status in NOT_RUN_STATUSES
