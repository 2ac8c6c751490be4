"""Wrap requests to backend servers for their relay by another instance.

The relaying instance gets the bytes of the request with a few more headers. Its
answer is the server's, in chunks, so that its end proves that it is whole; or
it states that the server got nothing.
"""

import enum
import hmac
from dataclasses import dataclass
from types import MappingProxyType

from siskinpass.request.inbound import (
    FRAMING_HEADERS,
    Header,
    WireRequest,
    is_framed,
)

SERVER = b'siskinpass-relay-server'
KEY = b'siskinpass-relay-key'
FRESH = b'siskinpass-relay-fresh'
PROBE = b'siskinpass-relay-probe'
OUTCOME = b'siskinpass-relay-outcome'
# Marks an answer that has no length and ends with the server's connection.
UNFRAMED = b'siskinpass-relay-unframed'
RELAY_HEADERS = frozenset((SERVER, KEY, FRESH, PROBE, OUTCOME, UNFRAMED))
# What belongs to one connection, and is not passed on to another one.
FRAMED_HEADERS = RELAY_HEADERS | FRAMING_HEADERS
HOP_HEADERS = FRAMED_HEADERS | {b'connection', b'keep-alive'}
LINE_END = b'\r\n'
FLAG_SET = b'1'


class RelayOutcome(enum.Enum):
    """What a relaying instance found out about a server.

    ``reached``: it has a connection to the server; only probes get this.
    ``refused``: the server's address refuses connections.
    ``unreachable``: it does not reach the server, but others.
    ``cut_off``: it reaches no server at all.
    ``all_refused``: the same, and the server's address refuses connections.
    ``declined``: it does not use the server, or relays too much already.
    ``broken``: the answer broke off; the server may have run the request.
    """

    reached = 'reached'
    refused = 'refused'
    unreachable = 'unreachable'
    cut_off = 'cut_off'
    all_refused = 'all_refused'
    declined = 'declined'
    broken = 'broken'


_OUTCOMES = MappingProxyType({one.value: one for one in RelayOutcome})
# Outcomes that say something about the server rather than about the relay.
SERVER_OUTCOMES = frozenset((RelayOutcome.refused, RelayOutcome.unreachable))


@dataclass(frozen=True, slots=True)
class RelayTarget:
    """Server that a request is relayed to.

    :param server: name of the server.
    :param key: key that all instances of the deployment share.
    :param is_fresh: whether a new connection must be used.
    """

    server: str
    key: str
    is_fresh: bool = False


def wrap_request(request: bytes, target: RelayTarget) -> bytes:
    """Return the bytes of a request with the headers for its relay."""
    first, _, rest = request.partition(LINE_END)
    headers = [
        b'%b: %b' % (SERVER, target.server.encode('latin-1')),
        b'%b: %b' % (KEY, target.key.encode()),
    ]
    if target.is_fresh:
        headers.append(b'%b: %b' % (FRESH, FLAG_SET))
    return LINE_END.join((first, *headers, rest))


def encode_probe(target: RelayTarget) -> bytes:
    """Return the request that asks whether an instance reaches a server."""
    probe = b'GET / HTTP/1.1\r\n%b: %b\r\n\r\n' % (PROBE, FLAG_SET)
    return wrap_request(probe, target)


def read_target(request: WireRequest) -> RelayTarget:
    """Return the target of a wrapped request."""
    return RelayTarget(
        (request.header(SERVER) or b'').decode('latin-1'),
        (request.header(KEY) or b'').decode(errors='replace'),
        is_fresh=request.header(FRESH) is not None,
    )


def is_authentic(target: RelayTarget, key: str) -> bool:
    """Return whether a request comes from an instance of the deployment."""
    return hmac.compare_digest(target.key.encode(), key.encode())


def unwrap_request(request: WireRequest) -> bytes:
    """Return the bytes of a wrapped request as the server gets them."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(
        b'%b: %b' % (name, text)
        for name, text in request.headers
        if name.lower() not in FRAMED_HEADERS
    )
    if request.header(b'content-length') is not None:
        lines.append(b'Content-Length: %d' % len(request.body))
    return LINE_END.join((*lines, b'', request.body))


def encode_answer_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a server's answer for the asking instance."""
    kept = tuple(
        header for header in headers if header[0].lower() not in HOP_HEADERS
    )
    return kept if is_framed(headers) else (*kept, (UNFRAMED, FLAG_SET))


def decode_answer_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a relayed answer as the server framed it."""
    names = {name.lower() for name, _ in headers}
    dropped = FRAMED_HEADERS if UNFRAMED in names else RELAY_HEADERS
    return tuple(one for one in headers if one[0].lower() not in dropped)


def read_outcome(headers: tuple[Header, ...]) -> RelayOutcome | None:
    """Return what the relaying instance itself states, if it does.

    One that cannot be read leaves open whether the request ran.
    """
    for name, text in headers:
        if name.lower() == OUTCOME:
            return _OUTCOMES.get(text.decode('latin-1'), RelayOutcome.broken)
    return None
