"""Test the translation of request and response headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinpass.platform.headers import (
    decode_answer,
    decode_call,
    encode_send,
)
from siskinpass.request.inbound import SendContext, WireRequest

FORGED_HEADERS = (
    b'X-Hold',
    b'X-Pin-Ms',
    b'X-Kv-Backup',
    b'Kv-From',
    b'Kv-Fetch',
    b'X-Tenant',
    b'X-Expect-Instance',
    b'X-Request-Urgency',
    b'Authorization',
    b'Last-Event-Id',
)


def request(*headers, method=b'POST', body=b'body'):
    """Return a request with headers."""
    return WireRequest(method, b'/p/x?q=1', headers, body)


class TestCall:
    """Test decoding of a request and encoding for the backend server."""

    def test_decodes_prompt_and_deadline(self):
        """Token counts, prompt parts and the caller's time limit are read."""
        call = decode_call(
            request(
                (b'Host', b'h.example'),
                (b'X-Attempt-Id', b'id-1'),
                (b'X-Deadline-Ms', b'1500'),
                (b'X-Token-Count', b'1460,80'),
                (b'X-Prompt-Prefix', b'ab:800,cd:660'),
                (b'X-Length-Hint', b'20'),
                (b'Authorization', b'Bearer key'),
            ),
        )
        assert (call.call_id, call.caller_timeout_s, call.key) == (
            'id-1',
            1.5,
            'key',
        )
        prompt = call.prompt
        assert (prompt.tokens_in, prompt.tokens_out) == (1460, 20)
        assert [part.key for part in prompt.shared_parts] == ['ab']

    @pytest.mark.parametrize(
        ('name', 'text'),
        [
            (b'X-Deadline-Ms', b'soon'),
            (b'X-Deadline-Ms', b'inf'),
            (b'X-Token-Count', b'inf,nan'),
            (b'X-Token-Count', b'1e300,1e300'),
            (b'X-Length-Hint', b'1e999'),
            (b'X-Prompt-Prefix', b'a:inf'),
            (b'X-Prompt-Prefix', b'a:1e300'),
            (b'X-Token-Count', b','),
            (b'X-Prompt-Prefix', b':,x'),
        ],
    )
    def test_invalid_header_counts_as_missing(self, name, text):
        """An invalid header does not make the decoding fail."""
        call = decode_call(request((name, text)))
        assert (call.caller_timeout_s, call.prompt.tokens_in) == (0.0, 0)

    @pytest.mark.parametrize(
        ('text', 'host'),
        [
            (b'h.example', 'h.example'),
            (b'h.example:8227', 'h.example'),
            (b'127.0.0.1:80', '127.0.0.1'),
            (b'[::1]:80', '[::1]'),
            (b'[::1]', '[::1]'),
            (b'h.example:', 'h.example:'),
            (b'h:x', 'h:x'),
            (b'', ''),
        ],
    )
    def test_port_is_no_part_of_the_host(self, text, host):
        """Clients that name the port found no route."""
        call = decode_call(request((b'Host', text)))
        assert call.host == host
        assert call.headers == ((b'Host', text),)

    @pytest.mark.parametrize('name', FORGED_HEADERS)
    def test_forged_system_headers_are_dropped(self, name):
        """Headers that only this system sets are not taken from a caller."""
        call = decode_call(request((name, b'forged')))
        wire = encode_send(call, SendContext('i-1', 1.0))
        assert b'forged' not in wire

    def test_connection_headers_are_dropped(self):
        """Hop-by-hop headers and those named in ``Connection`` are dropped."""
        call = decode_call(
            request(
                (b'Connection', b'Upgrade, X-Own'),
                (b'X-Own', b'1'),
                (b'connection', b'close'),
                (b'Transfer-Encoding', b'chunked'),
                (b'X-Kept', b'2'),
            ),
        )
        assert call.headers == ((b'X-Kept', b'2'),)

    def test_sends_method_path_and_body_unchanged(self):
        """The caller's request is sent with this system's headers added."""
        call = decode_call(request((b'X-Attempt-Id', b'id-1')))
        wire = encode_send(call, SendContext('i-1', 0.25, 'w', urgency=0))
        head, _, body = wire.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        assert lines[0] == b'POST /p/x?q=1 HTTP/1.1'
        assert body == b'body'
        assert b'X-Attempt-Id: id-1' in lines
        assert b'X-Deadline-Ms: 250' in lines
        assert b'X-Expect-Instance: i-1' in lines
        assert b'X-Tenant: w' in lines
        assert b'Content-Length: 4' in lines

    @given(
        st.text(st.characters()),
        st.text(st.characters(max_codepoint=0xFF)),
    )
    def test_every_text_can_be_sent(self, workspace, last_event_id):
        """No text adds a line, and none leaves a connection unused."""
        call = decode_call(request(method=b'GET', body=b''))
        context = SendContext(
            'i-1', 1.0, workspace, last_event_id=last_event_id
        )
        head = encode_send(call, context).removesuffix(b'\r\n\r\n')
        names = {line.partition(b':')[0] for line in head.split(b'\r\n')[1:]}
        assert names <= {
            b'X-Deadline-Ms',
            b'X-Expect-Instance',
            b'X-Tenant',
            b'X-Request-Urgency',
            b'Last-Event-Id',
        }
        assert b'\n' not in head.replace(b'\r\n', b'')


class TestAnswer:
    """Test decoding of a response head."""

    @pytest.mark.parametrize(
        ('status', 'headers', 'not_run'),
        [
            (503, ((b'X-Not-Executed', b'1'),), True),
            (421, (), True),
            (503, (), False),
            (500, (), False),
        ],
    )
    def test_not_run_is_stated_by_the_server_only(
        self,
        status,
        headers,
        not_run,
    ):
        """Only status 421 or the server's header states that it did not run."""
        assert decode_answer(status, headers).not_run is not_run

    def test_forwards_receipt(self):
        """The receipt is forwarded to the caller, hop-by-hop headers not."""
        head = decode_answer(
            200,
            (
                (b'X-Server-Seal', b'seal'),
                (b'X-Attempt-Id', b'id-1'),
                (b'Keep-Alive', b'timeout=5'),
                (b'Content-Length', b'3'),
            ),
        )
        assert (head.receipt, head.call_id, head.idle_s) == ('seal', 'id-1', 5)
        assert [name for name, _ in head.headers] == [
            b'X-Server-Seal',
            b'X-Attempt-Id',
        ]
