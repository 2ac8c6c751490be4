"""Test how requests that come again are recognized."""

from dataclasses import replace

import pytest

from siskinpass.request.identity import request_identity
from siskinpass.request.inbound import (
    InboundRequest,
    Prompt,
    PromptPart,
    WireRequest,
)

WIRE = WireRequest(b'POST', b'/safe/x', (), b'body')
CALL = InboundRequest(WIRE, 'h.example', 'id-1', 5.0, 'key-1')
PROMPT = Prompt((PromptPart('sys', 50), PromptPart('own', 60)))


class TestRequestIdentity:
    """Test what belongs to a request's identity."""

    @pytest.mark.parametrize(
        'same',
        [
            replace(CALL, call_id='id-2'),
            replace(CALL, caller_timeout_s=1.0),
            replace(CALL, last_event_id='4'),
            replace(CALL, headers=((b'X-Trace', b'1'),)),
        ],
    )
    def test_attempts_are_one_request(self, same):
        """What differs from attempt to attempt does not count."""
        assert request_identity(same) == request_identity(CALL)

    @pytest.mark.parametrize(
        'other',
        [
            replace(CALL, key='key-2'),
            replace(CALL, host='i.example'),
            replace(CALL, prompt=PROMPT),
            replace(CALL, request=replace(WIRE, method=b'PUT')),
            replace(CALL, request=replace(WIRE, target=b'/safe/y')),
            replace(CALL, request=replace(WIRE, body=b'other')),
            replace(
                CALL, request=replace(WIRE, target=b'/safe/', body=b'xbody')
            ),
        ],
    )
    def test_other_requests_differ(self, other):
        """Another caller, path, prompt or body is another request."""
        assert request_identity(other) != request_identity(CALL)
