"""Translate the headers of requests and responses."""

import math
import re

from siskinpass.platform.fields import MS_PER_S
from siskinpass.request.inbound import (
    AnswerHead,
    Header,
    InboundRequest,
    Prompt,
    PromptPart,
    SendContext,
    ServerNotice,
    WireRequest,
    is_framed,
)

CALL_ID = b'x-attempt-id'
LEAVING = b'server-leaving'
LIMIT = b'server-limit'
BRITTLE = b'server-brittle'
RETRY_AFTER = b'retry-after'
RECEIPT = b'x-server-seal'
NOT_RUN = b'x-not-executed'
DEADLINE = b'x-deadline-ms'
RESUME = b'last-event-id'
RESUMED_CALL = b'resumes'
AUTHORIZATION = b'authorization'
BEARER = b'bearer '
FLAG_SET = '1'
FLAG_VALUES = frozenset(('', '0', FLAG_SET))
MAX_TOKENS = 2_147_483_647  # of a signed 32-bit field
# Characters that no header value may hold.
CONTROLS = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503

# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP_HEADERS = frozenset((
    b'connection',
    b'keep-alive',
    b'proxy-connection',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
    b'content-length',
    b'expect',
))
# Headers that only this system may set. Those sent by a caller are not
# forwarded, so that a caller cannot forge them.
SYSTEM_HEADERS = frozenset((
    DEADLINE,
    RESUME,
    AUTHORIZATION,
    b'x-expect-instance',
    b'x-expect-version',
    b'x-tenant',
    b'x-request-urgency',
    b'x-hold',
    b'x-pin-ms',
    b'x-kv-backup',
    b'kv-from',
    b'kv-fetch',
))


def decode_call(request: WireRequest) -> InboundRequest:
    """Return a request with its headers decoded.

    A header with an invalid value is treated as missing.
    """
    by_name = {name.lower(): text for name, text in request.headers}
    dropped = (
        HOP_BY_HOP_HEADERS
        | SYSTEM_HEADERS
        | _listed_in_connection(request.headers)
    )
    return InboundRequest(
        request=request,
        host=_host_name(_header_text(by_name, b'host')),
        call_id=_header_text(by_name, CALL_ID),
        caller_timeout_s=_nonnegative_number(_header_text(by_name, DEADLINE))
        / MS_PER_S,
        key=_bearer(by_name.get(AUTHORIZATION, b'')),
        last_event_id=_header_text(by_name, RESUME),
        resumed_call=_header_text(by_name, RESUMED_CALL),
        prompt=_prompt(by_name),
        headers=_without(dropped, request.headers),
    )


def encode_send(call: InboundRequest, context: SendContext) -> bytes:
    """Return the bytes of the request to send to a backend server."""
    request = call.request
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%b: %b' % header for header in call.headers)
    lines.extend(_system_header_lines(context))
    if request.body or request.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', request.body))


def decode_answer(status: int, headers: tuple[Header, ...]) -> AnswerHead:
    """Return the head of a response with its headers decoded."""
    by_name = {name.lower(): text for name, text in headers}
    dropped = HOP_BY_HOP_HEADERS | _listed_in_connection(headers)
    return AnswerHead(
        notice=_decode_notice(status, by_name),
        status=status,
        call_id=_header_text(by_name, CALL_ID),
        receipt=_header_text(by_name, RECEIPT),
        # Status 421 states that the request was not run, even without the
        # header.
        not_run=NOT_RUN in by_name or status == STATUS_MISDIRECTED,
        is_encoded=b'content-encoding' in by_name,
        is_framed=is_framed(headers),
        idle_s=_keep_alive_s(_header_text(by_name, b'keep-alive')),
        headers=_without(dropped, headers),
    )


def _decode_notice(
    status: int, by_name: dict[bytes, bytes]
) -> ServerNotice | None:
    # A 421 comes from a server other than the one that the request was for.
    if status == STATUS_MISDIRECTED:
        return None
    leaving = _header_text(by_name, LEAVING)
    pause = ''
    if status == STATUS_UNAVAILABLE:
        pause = _header_text(by_name, RETRY_AFTER)
    texts = {
        RETRY_AFTER: pause,
        LIMIT: _header_text(by_name, LIMIT),
        BRITTLE: _header_text(by_name, BRITTLE),
    }
    numbers = {name: _finite_number(text) for name, text in texts.items()}
    unreadable = [
        f'{name.decode()}: {text:.60}'
        for name, text in texts.items()
        if text and numbers[name] is None
    ]
    if leaving not in FLAG_VALUES:
        unreadable.append(f'{LEAVING.decode()}: {leaving:.60}')
    return ServerNotice(
        is_leaving=leaving == FLAG_SET,
        pause_s=numbers[RETRY_AFTER] or 0.0,
        limit_per_s=numbers[LIMIT],
        refusals_per_s=numbers[BRITTLE],
        is_full=status == STATUS_UNAVAILABLE and NOT_RUN in by_name,
        unreadable=tuple(unreadable),
    )


def _system_header_lines(context: SendContext) -> list[bytes]:
    left_ms = max(1, int(context.remaining_s * MS_PER_S))
    fields = (
        (b'X-Deadline-Ms', b'%d' % left_ms),
        (b'X-Expect-Instance', context.server.encode()),
        (b'X-Tenant', context.workspace.encode(errors='replace')),
        (b'X-Request-Urgency', b'%d' % context.urgency),
        # Came in a header or an event, and was decoded as Latin-1 there.
        (b'Last-Event-Id', context.last_event_id.encode('latin-1')),
    )
    return [
        b'%b: %b' % (name, CONTROLS.sub(b' ', text))
        for name, text in fields
        if text
    ]


def _listed_in_connection(headers: tuple[Header, ...]) -> frozenset[bytes]:
    """Return the names that all ``Connection`` lines of a head list."""
    listed = b','.join(
        text for name, text in headers if name.lower() == b'connection'
    )
    return frozenset(name.strip() for name in listed.lower().split(b','))


def _without(
    dropped: frozenset[bytes],
    headers: tuple[Header, ...],
) -> tuple[Header, ...]:
    return tuple(
        header for header in headers if header[0].lower() not in dropped
    )


def _prompt(by_name: dict[bytes, bytes]) -> Prompt:
    # Format: "<prompt tokens>,<maximum output tokens>".
    counts = _header_text(by_name, b'x-token-count').split(',')
    entries = _header_text(by_name, b'x-prompt-prefix').split(',')
    return Prompt(
        parts=tuple(_part(entry) for entry in entries if entry),
        tokens_in=_token_count(counts[0]),
        max_tokens_out=_token_count(counts[-1]) if len(counts) > 1 else 0,
        tokens_out_hint=_token_count(_header_text(by_name, b'x-length-hint')),
    )


def _part(entry: str) -> PromptPart:
    key, _, tokens = entry.strip().partition(':')
    return PromptPart(key, _token_count(tokens))


def _host_name(text: str) -> str:
    """Return a host without its port, which clients name unless it is 80."""
    name, _, port = text.rpartition(':')
    return name if port.isdecimal() else text


def _bearer(credentials: bytes) -> str:
    """Return the key, which is compared with texts of the configuration."""
    if credentials[: len(BEARER)].lower() == BEARER:
        return credentials[len(BEARER) :].decode(errors='replace').strip()
    return ''


def _keep_alive_s(text: str) -> float:
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout':
            return _nonnegative_number(seconds)
    return 0.0


def _finite_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _header_text(by_name: dict[bytes, bytes], name: bytes) -> str:
    return by_name.get(name, b'').decode('latin-1').strip()


def _nonnegative_number(text: str) -> float:
    return _finite_number(text) or 0.0


def _token_count(text: str) -> int:
    number = _nonnegative_number(text)
    return int(number) if number <= MAX_TOKENS else 0
