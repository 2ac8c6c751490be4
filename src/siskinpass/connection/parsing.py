"""Parse completely received requests with CherryPy's server (cheroot).

The server's threads never touch a caller's socket. They receive the bytes of
one head (of the whole request, for a page handler that needs the body) and
return the result as a message. A slow or stalled caller therefore occupies no
thread.
"""

import io
from collections.abc import Callable
from types import MappingProxyType

from cheroot.server import Gateway, HTTPRequest
from cheroot.wsgi import Gateway_10 as WsgiGateway
from cheroot.wsgi import Server as WsgiServer

from siskinpass.codes import Code
from siskinpass.request.answer import error_answer
from siskinpass.request.head import BodyNeeded, PageAnswer, RequestHead

ParseResult = RequestHead | PageAnswer | BodyNeeded
Reply = Callable[[ParseResult], None]

MAX_HEADER_BYTES = 16_384
HEADER_ENCODING = 'latin-1'
CONTENT_LENGTH = b'Content-Length'
SINGLE_HEADERS = (
    b'authorization',
    b'content-length',
    b'host',
    b'idempotency-key',
    b'transfer-encoding',
    b'x-siskinpass-class',
    b'x-siskinpass-repeatable',
    b'x-siskinpass-workspace',
)
STATUS_CODES = MappingProxyType({
    '413': Code.header_too_large,
    '414': Code.header_too_large,
})


class ParsingServer(WsgiServer):
    """CherryPy's thread pool without a listening socket.

    :param relay_prefixes: path prefixes whose requests are not answered by
        the application but returned as a parsed head, to be relayed.
    """

    def __init__(
        self,
        application: Callable,
        threads: int,
        relay_prefixes: tuple[str, ...] = (),
    ) -> None:
        """Create the thread pool; ``start_threads`` starts it."""
        super().__init__(('127.0.0.1', 0), application, threads)
        self.max_request_header_size = MAX_HEADER_BYTES
        self.gateway = _choose_gateway
        self.relay_prefixes = relay_prefixes
        self.version = 'siskinpass'

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return true: idle connections are limited by their owner."""
        return True

    def start_threads(self) -> None:
        """Start the request threads."""
        self.requests.start()
        self.ready = True

    def stop_threads(self) -> None:
        """Stop the request threads once they are idle."""
        self.ready = False
        self.requests.stop(self.shutdown_timeout)

    def parse(self, received: bytes, remote: str, reply: Reply) -> None:
        """Queue one request to be parsed.

        :param received: the head and as much of the body as was received.
        :param remote: IP address of the caller.
        :param reply: called from a request thread with the result.
        """
        self.requests.put(_QueuedRequest(self, received, remote, reply))

    def error_log(self, *args: object, **kwargs: object) -> None:
        """Discard the message: errors are answered and counted instead."""


class _QueuedRequest:
    """Request in the queue of the thread pool, in the role of a connection."""

    ssl_env: dict[str, str] = {}
    peercreds_enabled = False
    remote_port = 0
    requests_seen = 0

    def __init__(
        self,
        server: ParsingServer,
        received: bytes,
        remote: str,
        reply: Reply,
    ) -> None:
        self.server = server
        self.received = received
        self.remote_addr = remote
        self.rfile = _Reader(received)
        self.wfile = _Writer()
        self.outcome: ParseResult | None = None
        self._reply = reply

    def communicate(self) -> bool:
        """Parse the request and reply with exactly one result."""
        request = _CodedErrorRequest(self.server, self)
        try:
            self._respond(request)
        except Exception as error:
            # The caller waits for a reply, so any failure must produce one.
            self.outcome = PageAnswer(
                error_answer(Code.malformed_head, repr(error)),
                0,
                keep_alive=False,
            )
        self._reply(self.outcome or self._page(request))
        return False

    def close(self) -> None:
        """Do nothing: the connection is owned by the event loop."""

    def _respond(self, request: '_CodedErrorRequest') -> None:
        request.parse_request()
        if not request.ready:
            return
        fault = _find_head_error(request, self.received)
        if fault:
            request.simple_response('400', fault)
            request.close_connection = True
        else:
            request.respond()

    def _page(self, request: '_CodedErrorRequest') -> PageAnswer:
        return PageAnswer(
            self.wfile.getvalue(),
            request.length,
            keep_alive=request.ready and not request.close_connection,
        )


class _Reader(io.BytesIO):
    """Reader of the received bytes, with the counter cheroot expects."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Return false: there is no data beyond this request."""
        return False


class _Writer(io.BytesIO):
    """Buffer for the response of a page, with the counter cheroot expects."""

    bytes_written = 0


class _CodedErrorRequest(HTTPRequest):
    """Request that is rejected with an error code if it is malformed."""

    @property
    def length(self) -> int:
        """Return the length of the body in bytes from ``Content-Length``.

        It is 0 if the header is missing or not a number.
        """
        text = self.inheaders.get(CONTENT_LENGTH, b'0')
        return int(text) if text.isdigit() else 0

    def simple_response(self, status: str | int, msg: str | Code = '') -> None:
        """Reject the request with an error code instead of plain text."""
        self.close_connection = True
        code = (
            msg
            if isinstance(msg, Code)
            else STATUS_CODES.get(
                str(status)[:3],
                Code.malformed_head,
            )
        )
        detail = '' if isinstance(msg, Code) else msg
        self.conn.outcome = PageAnswer(
            error_answer(code, detail),
            0,
            keep_alive=False,
        )


class _RelayGateway(Gateway):
    """Gateway that returns the parsed head instead of a response."""

    def respond(self) -> None:
        """Set the result of the parsed request."""
        request = self.req
        request.ready = False
        request.conn.outcome = RequestHead(
            request.method.decode(HEADER_ENCODING),
            request.path.decode(HEADER_ENCODING),
            {
                name.decode(HEADER_ENCODING).lower(): text.decode(
                    HEADER_ENCODING
                )
                for name, text in request.inheaders.items()
            },
            request.length,
            keep_alive=not request.close_connection,
        )


class _BodyGateway(Gateway):
    """Gateway that requests the missing body for a page handler."""

    def respond(self) -> None:
        """Set the result of the parsed request."""
        self.req.ready = False
        self.req.conn.outcome = BodyNeeded(self.req.length)


def _choose_gateway(request: _CodedErrorRequest) -> Gateway:
    path = request.path.decode(HEADER_ENCODING)
    if path.startswith(request.server.relay_prefixes):
        return _RelayGateway(request)
    received = len(request.conn.received) - request.conn.rfile.tell()
    if request.length > received:
        return _BodyGateway(request)
    return WsgiGateway(request)


def _find_head_error(
    request: _CodedErrorRequest, received: bytes
) -> Code | None:
    head = received[: received.find(b'\r\n\r\n')].lower()
    for name in SINGLE_HEADERS:
        if head.count(b'\r\n' + name + b':') > 1:
            return Code.duplicate_header
    if request.chunked_read:
        return Code.length_required
    if not request.inheaders.get(CONTENT_LENGTH, b'0').isdigit():
        return Code.malformed_head
    return None
