"""Let CherryPy's server parse requests that have wholly arrived.

The server's threads never touch a caller's socket: they get the bytes of one
head (for a page with a body, of the whole request) and answer with a message.
A slow or silent caller therefore holds no thread.
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
    """Run CherryPy's request threads without a listening socket.

    :param relayed: path prefixes whose requests are passed on unanswered.
    """

    def __init__(
        self,
        application: Callable,
        threads: int,
        relay_prefixes: tuple[str, ...] = (),
    ) -> None:
        """Prepare the threads; ``start_threads`` starts them."""
        super().__init__(('127.0.0.1', 0), application, threads)
        self.max_request_header_size = MAX_HEADER_BYTES
        self.gateway = _choose_gateway
        self.relay_prefixes = relay_prefixes
        self.version = 'siskinpass'

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return that idle connections are kept, by their owner's bound."""
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
        """Queue one request.

        :param arrived: the head, and the body as far as it is there.
        :param reply: called from a request thread with what came of it.
        """
        self.requests.put(_QueuedRequest(self, received, remote, reply))

    def error_log(self, *args: object, **kwargs: object) -> None:
        """Keep quiet: what goes wrong is answered and counted."""


class _QueuedRequest:
    """Stand in a thread's queue for one request."""

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
        """Parse the request and send one message about it."""
        request = _CodedErrorRequest(self.server, self)
        try:
            self._respond(request)
        except Exception as error:
            # The caller waits for this message, whatever went wrong.
            self.outcome = PageAnswer(
                error_answer(Code.malformed_head, repr(error)),
                0,
                keep_alive=False,
            )
        self._reply(self.outcome or self._page(request))
        return False

    def close(self) -> None:
        """Do nothing: the socket is owned elsewhere."""

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
    """Read what has arrived; counts as CherryPy's server expects."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Tell that there is nothing beyond this request."""
        return False


class _Writer(io.BytesIO):
    """Collect the answer of a page."""

    bytes_written = 0


class _CodedErrorRequest(HTTPRequest):
    """Answer what is malformed with a numbered error."""

    @property
    def length(self) -> int:
        """Return the announced length of the body in bytes."""
        text = self.inheaders.get(CONTENT_LENGTH, b'0')
        return int(text) if text.isdigit() else 0

    def simple_response(self, status: str | int, msg: str | Code = '') -> None:
        """Write a numbered error in place of a plain text."""
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
    """Pass a request on without answering it."""

    def respond(self) -> None:
        """Turn the parsed request into a message."""
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
    """Ask for the body of a request to a page."""

    def respond(self) -> None:
        """Turn the parsed request into a message."""
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
