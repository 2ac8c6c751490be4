"""Describe a caller's request and a backend server's answer, decoded."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]
STATUS_OK = 200
STATUS_REDIRECT = 300
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class WireRequest:
    """Hold one whole request as it arrived.

    :param target: path and query, unchanged.
    :param headers: names and values in their order, as they were spelled.
    :param keep_alive: whether the caller keeps the connection afterwards.
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
        """Return the first value of a header, or none.

        :param name: in lower case.
        """
        for spelled, text in self.headers:
            if spelled.lower() == name:
                return text
        return None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name one part of a prompt.

    :param key: the same for all requests that share this part.
    """

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the work that a request asks of a model engine.

    :param parts: in the order of the prompt; the last belongs to the request
        or its session.
    :param tokens_in: length of the prompt.
    :param max_tokens_out: most tokens that are generated.
    :param tokens_out_hint: the caller's estimate, 0 where there is none.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    max_tokens_out: int = 0
    tokens_out_hint: int = 0

    @property
    def tokens_out(self) -> int:
        """Return the expected number of generated tokens."""
        if self.tokens_out_hint:
            return min(self.tokens_out_hint, self.max_tokens_out)
        return self.max_tokens_out

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """Hold a caller's request, decoded.

    :param call_id: the caller's id of this attempt, empty where it has none.
    :param caller_timeout_s: how long the caller waits, from arrival on,
        0 where it does not say.
    :param key: API key, empty where there is none.
    :param last_event_id: last event that the caller has, empty for none.
    :param headers: headers for the backend server, without those that
        concern one connection or that only this system sets.
    """

    request: WireRequest
    host: str
    call_id: str = ''
    caller_timeout_s: float = 0.0
    key: str = ''
    last_event_id: str = ''
    prompt: Prompt = field(default_factory=Prompt)
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class SendContext:
    """State what this system tells a backend server beside the request.

    :param server: id of the server that must run it.
    :param remaining_s: time that is left for the answer.
    :param workspace: name of the workspace, empty where none applies.
    :param urgency: 0 is the most urgent, 9 the least.
    :param last_event_id: last event that was passed on, empty for none.
    """

    server: str
    remaining_s: float
    workspace: str = ''
    urgency: int = 5
    last_event_id: str = ''


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Hold the head of a backend server's answer, decoded.

    :param call_id: id of the request that is answered, empty where missing.
    :param receipt: the server's receipt, empty where missing.
    :param not_run: whether the server states that it did not run the request.
    :param is_encoded: whether the body is compressed or otherwise changed.
    :param idle_s: how long the server keeps an idle connection, 0 for unsaid.
    :param headers: headers to pass on to the caller.
    """

    status: int
    call_id: str = ''
    receipt: str = ''
    not_run: bool = False
    is_encoded: bool = False
    idle_s: float = 0.0
    headers: tuple[Header, ...] = ()

    @property
    def is_success(self) -> bool:
        """Return whether the request succeeded."""
        return STATUS_OK <= self.status < STATUS_REDIRECT

    @property
    def implies_not_run(self) -> bool:
        """Return whether callers take the status for "not run"."""
        return self.status in NOT_RUN_STATUSES
