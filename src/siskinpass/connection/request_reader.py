"""Build requests from the bytes that a caller sends."""

from collections import deque
from collections.abc import Callable

import httptools

from siskinpass.codes import Code
from siskinpass.connection.byte_queue import ByteQueue
from siskinpass.request.inbound import Header, WireRequest
from siskinpass.version.routes import CallerLimits

# Parsed at a time. What follows a request is parsed after its answer, so that
# at most so much is held in parsed form beside it.
PARSED_BYTES = 4096
PARSED_BODY_BYTES = 65_536  # within a body of known length
# The shortest lines that the default of ``max-header-bytes`` has room for; it
# bounds the memory of heads where that limit is higher.
MAX_HEAD_LINES = 4096
# Memory of a header line beside its text: a tuple, two objects with their
# headers, and the places that lists of headers have for it.
LINE_BYTES = 200
ITEM_BYTES = 200  # of an item of a list in a header, once it is parsed
REQUEST_BYTES = 1024  # of a request beside its lines and its body
MIN_LINE_BYTES = 3  # of the separators of a line
LINE_END = b'\r\n'
HTTP_VERSIONS = frozenset(('1.0', '1.1'))
CHUNKED = b'chunked'
UPGRADE = b'upgrade'
ITEM_END = b','
CONNECT = b'CONNECT'


class RequestCollector:
    """Builds complete requests from the callbacks of httptools.

    What follows a complete request is kept as it arrived until that request
    was taken, so that little is held in parsed form. Header lines after a body
    are dropped: they would pass for those of the head. An offer to go on in
    another protocol is passed over, as if the head did not hold it.
    """

    def __init__(
        self,
        send_continue: Callable[[], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        """Create a collector without requests.

        :param send_continue: sends an interim 100 response to a caller that
            waits for one before it sends the body.
        :param limits: returns the current limits on what callers may send.
        """
        self._send_continue = send_continue
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = ByteQueue()
        self._headers: list[Header] = []
        self._target = bytearray()
        self._body = bytearray()
        self._has_begun = False
        self._in_head = False
        # Whether the head offers an upgrade, for which the parser takes what
        # follows for another protocol.
        self._offers_upgrade = False
        # Smallest size of the head received so far, which the parser does not
        # tell.
        self._head_bytes = 0
        # Received since the request began or its body went on.
        self._framing_bytes = 0
        self._empty_bytes = 0
        self._body_left = 0  # of a known length
        self._complete_bytes = 0
        self.complete: deque[WireRequest] = deque()
        self.fault: Code | None = None

    @property
    def has_any(self) -> bool:
        """Return whether any part of a request was received."""
        return bool(self.complete or self._has_begun or len(self._waiting))

    @property
    def waiting_bytes(self) -> int:
        """Return how much was received that is not parsed yet."""
        return len(self._waiting)

    @property
    def held_bytes(self) -> int:
        """Return the memory that everything received takes."""
        held = len(self._waiting) + len(self._body) + self._complete_bytes
        if self._has_begun:
            held += self._head_cost()
        return held

    def add(self, piece: bytes) -> None:
        """Keep received bytes until they are parsed."""
        if self.fault is None:
            self._waiting.add(piece)

    def parse(self) -> None:
        """Parse what was received, up to the end of a request.

        Sets ``fault`` to the code of an error; nothing is parsed after one.
        """
        while self._may_parse:
            if not self._has_begun:
                self._skip_empty_lines()
            if self._may_parse:
                self._feed(self._waiting.take(self._next_size()))
        if self.fault is not None:
            self._waiting.clear()
            self._body.clear()

    def take(self) -> WireRequest:
        """Return the next complete request, which is no longer held here."""
        request = self.complete.popleft()
        self._complete_bytes -= request_cost(request)
        return request

    def clear(self) -> None:
        """Drop everything received."""
        self.complete.clear()
        self._complete_bytes = 0
        self._has_begun = False
        self._waiting.clear()
        self._body.clear()
        self._headers = []

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._headers = []
        self._target = bytearray()
        self._body = bytearray()
        self._has_begun = True
        self._in_head = True
        self._head_bytes = 0
        self._framing_bytes = 0
        self._empty_bytes = 0

    def on_url(self, piece: bytes) -> None:
        """Append a piece of the request target."""
        self._target += piece
        self._head_bytes += len(piece)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header of the head."""
        if not self._in_head:
            return
        self._headers.append((name, text))
        self._head_bytes += len(name) + len(text) + MIN_LINE_BYTES
        if len(self._headers) > MAX_HEAD_LINES:
            self.fault = Code.header_too_large

    def on_headers_complete(self) -> None:
        """Finish the head; answer ``Expect: 100-continue``.

        A head that offers an upgrade is parsed once more without the offer.
        """
        self._in_head = False
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            if self._parser.get_method() == CONNECT:
                self.fault = Code.malformed_head
            self._check_head_size()
            return
        self._framing_bytes = 0
        self._body_left = 0
        expects = self._read_framing()
        if self._parser.get_http_version() not in HTTP_VERSIONS:
            self.fault = Code.malformed_head
        if self._body_left > self._limits().body_bytes:
            self.fault = Code.body_too_large
        self._check_head_size()
        if expects and self.fault is None:
            self._send_continue()

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self._framing_bytes = 0
        if self._body_left:
            self._body_left -= len(piece)
        if self.fault is None:
            self._body += piece

    def on_message_complete(self) -> None:
        """Queue the complete request until earlier ones are answered."""
        if self._offers_upgrade:
            return
        self._has_begun = False
        self._framing_bytes = 0
        if self.fault is not None:
            return
        request = WireRequest(
            self._parser.get_method(),
            bytes(self._target),
            tuple(self._headers),
            bytes(self._body),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._body = bytearray()
        self._headers = []
        self.complete.append(request)
        self._complete_bytes += request_cost(request)

    @property
    def _may_parse(self) -> bool:
        is_done = self.complete or self.fault is not None
        return len(self._waiting) > 0 and not is_done

    def _skip_empty_lines(self) -> None:
        """Drop empty lines before a request, which are no part of one."""
        count = self._waiting.count_leading(LINE_END, PARSED_BYTES)
        if count:
            self._waiting.take(count)
            self._empty_bytes += count
            if self._empty_bytes > self._limits().head_bytes:
                self.fault = Code.header_too_large

    def _next_size(self) -> int:
        if self._body_left and not self._in_head:
            return min(self._body_left, PARSED_BODY_BYTES)
        return PARSED_BYTES

    def _feed(self, piece: bytes) -> None:
        self._framing_bytes += len(piece)
        try:
            self._parse_all(piece)
        except httptools.HttpParserError:
            self.fault = self.fault or Code.malformed_head
            return
        limits = self._limits()
        if len(self._body) > limits.body_bytes:
            self.fault = Code.body_too_large
        elif self._framing_bytes > limits.head_bytes:
            self.fault = self.fault or Code.header_too_large

    def _parse_all(self, piece: bytes) -> None:
        """Parse a piece, across heads that offer an upgrade.

        :raises httptools.HttpParserError: if it is malformed.
        """
        while piece and self.fault is None:
            try:
                self._parser.feed_data(piece)
            except httptools.HttpParserUpgrade as upgrade:
                end = upgrade.args[0]
                piece = self._head_without_offer() + piece[end:]
                self._parser = httptools.HttpRequestParser(self)
            else:
                return

    def _head_without_offer(self) -> bytes:
        start = b'%b %b HTTP/%b' % (
            self._parser.get_method(),
            bytes(self._target),
            self._parser.get_http_version().encode(),
        )
        lines = (
            b'%b: %b' % header
            for header in self._headers
            if header[0].lower() != UPGRADE
        )
        return LINE_END.join((start, *lines, b'', b''))

    def _check_head_size(self) -> None:
        if self._head_bytes > self._limits().head_bytes:
            self.fault = Code.header_too_large

    def _read_framing(self) -> bool:
        """Read the length of the body.

        :returns: whether the caller waits for an interim response.
        """
        expects = False
        for spelled, text in self._headers:
            name = spelled.lower()
            if name == b'expect':
                expects = text.lower() == b'100-continue'
            elif name == b'content-length':
                self._body_left = int(text)
            elif name == b'transfer-encoding':
                self._check_encoding(text)
        return expects

    def _check_encoding(self, text: bytes) -> None:
        """Refuse a body whose end or content other parsers read otherwise."""
        is_old = self._parser.get_http_version() == '1.0'
        if is_old or text.strip().lower() != CHUNKED:
            self.fault = Code.malformed_head

    def _head_cost(self) -> int:
        return (
            self._head_bytes + LINE_BYTES * len(self._headers) + REQUEST_BYTES
        )


def request_cost(request: WireRequest) -> int:
    """Return the memory that a complete request takes."""
    lines = sum(len(name) + len(text) for name, text in request.headers)
    items = sum(text.count(ITEM_END) for _, text in request.headers)
    return (
        REQUEST_BYTES
        + len(request.target)
        + lines
        + LINE_BYTES * len(request.headers)
        + ITEM_BYTES * items
        + len(request.body)
    )
