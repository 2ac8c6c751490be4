"""Test the reader of callers' requests on input cut at any byte."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.codes import Code
from siskinpass.connection.request_reader import (
    PARSED_BYTES,
    RequestCollector,
)
from siskinpass.version.routes import CallerLimits

LIMITS = CallerLimits()
START = b'POST /x HTTP/1.1\r\nHost: h\r\n'
GET = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
ENDED = b'0\r\n\r\n'
MALFORMED = {
    'two lengths': b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'a length twice': b'Content-Length: 1\r\nContent-Length: 1\r\n\r\na',
    'a list of lengths': b'Content-Length: 1, 1\r\n\r\na',
    'a length and chunks': b'Content-Length: 5\r\n' + CHUNKED + b'\r\n' + ENDED,
    'chunks and a length': CHUNKED + b'Content-Length: 5\r\n\r\n' + ENDED,
    'chunks twice': CHUNKED + CHUNKED + b'\r\n' + ENDED,
    'chunks of an encoding': (
        b'Transfer-Encoding: gzip, chunked\r\n\r\n' + ENDED
    ),
    'an encoding of chunks': (
        b'Transfer-Encoding: chunked, gzip\r\n\r\n' + ENDED
    ),
    'another encoding': b'Transfer-Encoding: identity\r\n\r\n' + GET,
    'almost chunks': b'Transfer-Encoding: xchunked\r\n\r\n' + ENDED,
    'chunks after a control byte': (
        b'Transfer-Encoding:\x0bchunked\r\n\r\n' + ENDED
    ),
    'a space before the colon': b'Content-Length : 1\r\n\r\na',
    'a space in a name': b'Content Length: 1\r\n\r\na',
    'a folded line': b'X: 1\r\n Content-Length: 1\r\n\r\na',
    'a control byte in a name': b'Content-\x01Length: 1\r\n\r\na',
    'a null byte in a name': b'Content-Length\x00: 1\r\n\r\na',
    'an 8-bit name': b'\xffContent-Length: 1\r\n\r\na',
    'a null byte in a value': b'X: \x00\r\n\r\n',
    'a line feed alone': b'X: 1\nContent-Length: 1\r\n\r\na',
    'a carriage return alone': b'X: 1\rContent-Length: 1\r\n\r\na',
    'a name without letters': b': 1\r\n\r\n',
    'a signed length': b'Content-Length: +1\r\n\r\na',
    'a negative length': b'Content-Length: -1\r\n\r\na',
    'a hexadecimal length': b'Content-Length: 0x1\r\n\r\na',
    'an empty length': b'Content-Length:\r\n\r\na',
    'a length beyond 64 bits': b'Content-Length: 18446744073709551617\r\n\r\na',
    'a signed chunk': CHUNKED + b'\r\n+1\r\na\r\n' + ENDED,
    'a space after a chunk length': CHUNKED + b'\r\n1 \r\na\r\n' + ENDED,
    'a longer chunk': CHUNKED + b'\r\n1\r\nab\r\n' + ENDED,
    'a chunk beyond 64 bits': CHUNKED + b'\r\n11111111111111111\r\na',
    'a length after chunks': (
        CHUNKED + b'\r\n1\r\na\r\n0\r\nContent-Length: 9\r\n\r\n'
    ),
}


def read(pieces, limits=LIMITS):
    """Return the requests that a collector reads, and its fault."""
    collector = RequestCollector(lambda: None, lambda: limits)
    found = []
    for piece in pieces:
        collector.add(piece)
        collector.parse()
        while collector.complete:
            found.append(collector.take())
            collector.parse()
    if not found and collector.fault is None:
        assert collector.has_any or not any(pieces)
    return found, collector.fault


def bytes_of(wire):
    """Return the bytes of a text one by one."""
    return [wire[place : place + 1] for place in range(len(wire))]


class TestMalformedRequests:
    """Test requests that two parsers could delimit differently."""

    @pytest.mark.parametrize('rest', MALFORMED.values(), ids=MALFORMED)
    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_is_refused_and_gives_no_request(self, rest, cut):
        """Guards against request smuggling."""
        found, fault = read(cut(START + rest + GET))
        assert (found, fault) == ([], Code.malformed_head)

    @pytest.mark.parametrize('version', ['1.0', '2.0', '0.9'])
    def test_chunks_of_another_version(self, version):
        """Only HTTP/1.1 has chunks."""
        wire = START.replace(b'1.1', version.encode()) + CHUNKED + b'\r\n'
        assert read([wire + ENDED]) == ([], Code.malformed_head)


class TestTrailers:
    """Test what follows a body."""

    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_reaches_no_request(self, cut):
        """A header after the body would pass for one that was checked."""
        wire = (
            START
            + CHUNKED
            + b'\r\n1\r\na\r\n0\r\nAuthorization: Bearer k\r\nX-Tenant: t\r\n'
            + b'\r\n'
        )
        (first, second), fault = read(cut(wire + GET))
        assert fault is None
        assert first.headers == (
            (b'Host', b'h'),
            (b'Transfer-Encoding', b'chunked'),
        )
        assert (first.body, second.headers) == (b'a', ((b'Host', b'h'),))


LIMIT = LIMITS.head_bytes
FILLED = START + b'X: %b\r\n\r\n'
LARGEST_HEAD = FILLED % (b'x' * (LIMIT - len(FILLED) + 2))
SHORT_LINES = START + b'a:\r\n' * ((LIMIT - len(START) - 2) // 4) + b'\r\n'


class TestLimits:
    """Test requests at the limits and beyond them."""

    @pytest.mark.parametrize('head', [LARGEST_HEAD, SHORT_LINES])
    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_largest_head_is_served(self, head, cut):
        """No limit refuses what another one allows."""
        found, fault = read(cut(head))
        assert (len(found), fault) == (1, None)

    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_longer_head_is_refused(self, cut):
        """A head counts as a whole, however it is cut."""
        head = FILLED % (b'x' * (LIMIT - len(FILLED) + 40))
        assert read(cut(head)) == ([], Code.header_too_large)

    @pytest.mark.parametrize('extra', [0, 1])
    def test_largest_body(self, extra):
        """A body may have the largest size, and no more."""
        size = LIMITS.body_bytes + extra
        head = START + b'Content-Length: %d\r\n\r\n' % size
        found, fault = read([head, b'x' * size])
        if extra:
            assert (found, fault) == ([], Code.body_too_large)
        else:
            assert (len(found[0].body), fault) == (size, None)

    def test_body_in_chunks_of_one_byte(self):
        """What frames the smallest chunks counts to no limit."""
        chunks = b'1\r\nx\r\n' * 60_000
        found, fault = read([START + CHUNKED + b'\r\n' + chunks + ENDED])
        assert (len(found[0].body), fault) == (60_000, None)

    @pytest.mark.parametrize(
        ('start', 'noise'),
        [
            (b'', b'\r\n'),
            (GET, b'\r\n'),
            (START, b'a:\r\n'),
            (START + b'X: ', b'x'),
            (START + CHUNKED + b'\r\n0\r\n', b'a:\r\n'),
            (START + CHUNKED + b'\r\n1\r\na\r\n0\r\n', b'a:\r\n'),
            (START + CHUNKED + b'\r\n5;', b'x'),
            (b'GET /', b'x'),
        ],
    )
    def test_what_is_no_body_ends(self, start, noise):
        """Endless bytes that belong to no body are refused.

        Guards against memory and work without a limit.
        """
        fault = read([start, noise * (2 * LIMIT)])[1]
        assert fault is Code.header_too_large

    def test_more_lines_than_any_head_has(self):
        """A higher limit on the bytes of a head allows no more lines."""
        limits = CallerLimits(head_bytes=262_144)
        fault = read([START, b'a:\r\n' * 9000 + b'\r\n'], limits)[1]
        assert fault is Code.header_too_large


class TestWork:
    """Test the work for a request, by counting."""

    @pytest.mark.parametrize('count', [200, 2000])
    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_each_byte_is_parsed_once(self, count, cut, monkeypatch):
        """Pipelined requests take work that grows with their bytes only."""
        parsed = []
        feed = RequestCollector._feed

        def count_parsed(collector, piece):
            parsed.append(len(piece))
            feed(collector, piece)

        monkeypatch.setattr(RequestCollector, '_feed', count_parsed)
        wire = GET * count
        pieces = cut(wire)
        assert len(read(pieces)[0]) == count
        assert sum(parsed) == len(wire)
        assert len(parsed) <= len(wire) / PARSED_BYTES + len(pieces) + 1

    def test_nothing_is_parsed_behind_a_request(self):
        """What follows a request takes no more memory than its bytes."""
        collector = RequestCollector(lambda: None, lambda: LIMITS)
        collector.add(GET + SHORT_LINES * 100)
        collector.parse()
        assert len(collector.complete) == 1
        sent = len(GET + SHORT_LINES * 100)
        assert collector.held_bytes < 2 * sent


OFFERS = {
    'h2c': (
        b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        b'HTTP2-Settings: AAMAAABk\r\n'
    ),
    'websocket': (
        b'Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n'
        b'Sec-WebSocket-Key: dGhl\r\n'
    ),
    'several': b'Upgrade: TLS/1.3\r\nUpgrade: h2c\r\nConnection: upgrade\r\n',
    'another case': b'upgrade: H2C\r\nCONNECTION: UPGRADE\r\n',
}
BODIES = {
    'no body': (b'\r\n', b''),
    'no length': (b'Content-Length: 0\r\n\r\n', b''),
    'a length': (b'Content-Length: 5\r\n\r\norder', b'order'),
    'chunks': (CHUNKED + b'\r\n5\r\norder\r\n' + ENDED, b'order'),
    'a request as body': (b'Content-Length: %d\r\n\r\n' % len(GET) + GET, GET),
}


class TestUpgradeOffers:
    """Test requests that offer to go on in another protocol."""

    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    @pytest.mark.parametrize(('rest', 'body'), BODIES.values(), ids=BODIES)
    @pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
    def test_reads_the_request_by_its_framing(self, offer, rest, body, cut):
        """Guards against a request that runs without its body."""
        (first, second, last), fault = read(
            cut((START + offer + rest) * 2 + GET)
        )
        assert fault is None
        assert (first.method, first.target, first.body) == (
            b'POST',
            b'/x',
            body,
        )
        assert first.keep_alive
        assert b'upgrade' not in {name.lower() for name, _ in first.headers}
        assert second == first
        assert last.method == b'GET'

    @pytest.mark.parametrize('offer', OFFERS.values(), ids=OFFERS)
    def test_asks_once_for_a_body(self, offer):
        """A caller that waits for an interim response gets one."""
        asked = []
        collector = RequestCollector(lambda: asked.append(1), lambda: LIMITS)
        collector.add(START + offer + b'Expect: 100-continue\r\n')
        collector.add(b'Content-Length: 5\r\n\r\n')
        collector.parse()
        assert (len(asked), len(collector.complete)) == (1, 0)
        collector.add(b'order')
        collector.parse()
        assert collector.take().body == b'order'

    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    @pytest.mark.parametrize(
        'wire',
        [
            b'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n',
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        ],
    )
    def test_other_protocols_are_refused(self, wire, cut):
        """A tunnel or HTTP/2 without an offer gives no request."""
        assert read(cut(wire + GET)) == ([], Code.malformed_head)

    @pytest.mark.parametrize('rest', MALFORMED.values(), ids=MALFORMED)
    @pytest.mark.parametrize('cut', [lambda wire: [wire], bytes_of])
    def test_malformed_requests_are_refused(self, rest, cut):
        """An offer hides no framing that parsers read differently."""
        wire = START + OFFERS['h2c'] + rest + GET
        assert read(cut(wire)) == ([], Code.malformed_head)

    @pytest.mark.parametrize(
        ('limits', 'code'),
        [
            (CallerLimits(head_bytes=90), Code.header_too_large),
            (CallerLimits(body_bytes=4), Code.body_too_large),
        ],
    )
    def test_limits_hold(self, limits, code):
        """An offer is no way around the limits."""
        wire = START + OFFERS['h2c'] + BODIES['a length'][0]
        assert read([wire], limits) == ([], code)


TOKEN = st.text('abcxyz!#$-.^_|~', min_size=1, max_size=9).map(str.encode)
VALUE = st.text('abc :;,=\xff"', max_size=9).map(
    lambda text: text.strip().encode('latin-1')
)
HEADERS = st.lists(
    st.tuples(TOKEN.map(lambda name: b'x-' + name), VALUE), max_size=5
)


@st.composite
def requests(draw):
    """Return the bytes of a request, and what must be read from them."""
    headers = draw(HEADERS)
    lines = [b'POST /x HTTP/1.1', *(b'%b: %b' % line for line in headers)]
    offer = draw(st.sampled_from([b'', *OFFERS.values()]))
    lines.extend(offer.splitlines())
    empty = b'\r\n' * draw(st.integers(0, 3))
    if draw(st.booleans()):
        body = draw(st.binary(max_size=60))
        lines.append(b'Content-Length: %d' % len(body))
        text = b'\r\n'.join((*lines, b'', body))
    else:
        chunks = draw(st.lists(st.binary(min_size=1, max_size=9), max_size=6))
        lines.append(b'Transfer-Encoding: chunked')
        body = b''.join(chunks)
        sent = [b'%x;a=b\r\n%b\r\n' % (len(one), one) for one in chunks]
        trailers = [b'%b: %b\r\n' % line for line in draw(HEADERS)]
        framed = b''.join((*sent, b'0\r\n', *trailers, b'\r\n'))
        text = b'\r\n'.join((*lines, b'', framed))
    return empty + text, (tuple(headers), body)


class TestCutInput:
    """Test requests whose bytes arrive in any pieces."""

    @given(st.lists(requests(), min_size=1, max_size=4), st.data())
    def test_same_requests_come_out(self, sent, given_data):
        """Where the input is cut makes no difference."""
        wire = b''.join(text for text, _ in sent)
        places = given_data.draw(
            st.lists(st.integers(0, len(wire)), max_size=12)
        )
        ends = [0, *sorted(places), len(wire)]
        pieces = [
            wire[begin:end]
            for begin, end in zip(ends[:-1], ends[1:], strict=True)
        ]
        found, fault = read(pieces)
        assert fault is None
        framing = {b'content-length', b'transfer-encoding', b'connection'}
        framing |= {b'http2-settings', b'sec-websocket-key'}
        assert [
            (
                tuple(
                    line
                    for line in one.headers
                    if line[0].lower() not in framing
                ),
                one.body,
            )
            for one in found
        ] == [expected for _, expected in sent]
