"""Test callers' and operators' requests on real processes."""

import json
from pathlib import Path

import openai
import pytest

from siskinpass.codes import Code
from tests.processes import (
    counter,
    metric_sum,
    order,
    pattern,
    send_jobs,
    send_raw,
    target,
    wait_until,
)


def head(cluster, *lines, method='POST', path='/v1/completions', key=None):
    """Return the head of a request as bytes."""
    api_key = cluster.keys['centro'] if key is None else key
    head_lines = [
        f'{method} {path} HTTP/1.1',
        'Host: x',
        f'Authorization: Bearer {api_key}',
        *lines,
    ]
    return '\r\n'.join(head_lines).encode() + b'\r\n\r\n'


def with_body(cluster, body, *lines, **head_fields):
    """Return a complete request as bytes."""
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    length = f'Content-Length: {len(text)}'
    return (
        head(cluster, 'Connection: close', length, *lines, **head_fields) + text
    )


BODY = {'model': 'fieltro-chat', 'prompt': 'hi', 'metadata': {'tokens': 3}}
COUNTER = 'X-Siskinpass-Class: counter'

BAD_INPUTS = [
    (
        'malformed JSON',
        lambda cluster: with_body(cluster, b'{"model', COUNTER),
        Code.malformed_json,
    ),
    (
        'JSON that is not an object',
        lambda cluster: with_body(cluster, b'[1]', COUNTER),
        Code.malformed_json,
    ),
    (
        'a head that is too large',
        lambda cluster: head(cluster, 'X-Long: ' + 'x' * 40_000),
        Code.header_too_large,
    ),
    (
        'a body that is too large',
        lambda cluster: head(cluster, COUNTER, 'Content-Length: 99999999'),
        Code.body_too_large,
    ),
    (
        'a malformed request line',
        lambda cluster: b'WHAT\r\n\r\n',
        Code.malformed_head,
    ),
    (
        'a length that is not a number',
        lambda cluster: head(cluster, COUNTER, 'Content-Length: many'),
        Code.malformed_head,
    ),
    (
        'a header given twice',
        lambda cluster: with_body(cluster, BODY, COUNTER, COUNTER),
        Code.duplicate_header,
    ),
    (
        'a chunked body',
        lambda cluster: head(cluster, COUNTER, 'Transfer-Encoding: chunked'),
        Code.length_required,
    ),
    (
        'an unknown key',
        lambda cluster: with_body(cluster, BODY, COUNTER, key='wrong'),
        Code.unknown_key,
    ),
    (
        "another workspace's name",
        lambda cluster: with_body(
            cluster,
            BODY,
            COUNTER,
            'X-Siskinpass-Workspace: norte',
        ),
        Code.unknown_workspace,
    ),
    (
        'an unknown class',
        lambda cluster: with_body(cluster, BODY, 'X-Siskinpass-Class: none'),
        Code.unknown_class,
    ),
    (
        'no class',
        lambda cluster: with_body(cluster, BODY),
        Code.unknown_class,
    ),
    (
        'an unknown model',
        lambda cluster: with_body(cluster, {**BODY, 'model': 'x'}, COUNTER),
        Code.unknown_model,
    ),
    (
        'a prompt of a wrong type',
        lambda cluster: with_body(cluster, {**BODY, 'prompt': 3}, COUNTER),
        Code.wrong_field,
    ),
    (
        'too many tokens',
        lambda cluster: with_body(
            cluster,
            {**BODY, 'max_tokens': 10**9},
            COUNTER,
        ),
        Code.wrong_field,
    ),
    (
        'an unknown value of the repeatable header',
        lambda cluster: with_body(
            cluster,
            BODY,
            COUNTER,
            'X-Siskinpass-Repeatable: maybe',
        ),
        Code.wrong_field,
    ),
    (
        'a class of another pool',
        lambda cluster: with_body(cluster, BODY, 'X-Siskinpass-Class: order'),
        Code.unknown_path,
    ),
    (
        'an unknown path',
        lambda cluster: with_body(cluster, BODY, path='/v2/none'),
        Code.unknown_path,
    ),
    (
        'a wrong method',
        lambda cluster: head(
            cluster, COUNTER, 'Connection: close', method='GET'
        ),
        Code.wrong_method,
    ),
]


class TestBadInput:
    """Test that each invalid request is answered with its error code."""

    @pytest.mark.parametrize(
        ('make', 'code'),
        [pytest.param(make, code, id=name) for name, make, code in BAD_INPUTS],
    )
    def test_gets_error_and_process_survives(self, cluster, make, code):
        """The caller gets the code, and the process serves the next request."""
        entry = cluster.entries[0]
        answer = send_raw(entry.callers, make(cluster))
        assert b'X-Siskinpass-Code: %d\r\n' % code in answer
        assert b'X-Siskinpass-Ran: no\r\n' in answer
        assert send_jobs([counter()], target(cluster, entry))[0].complete

    def test_offer_of_an_upgrade_is_passed_over(self, cluster):
        """The body is read by its length, and each request gets one answer."""
        body = json.dumps(BODY).encode()
        wire = head(
            cluster,
            COUNTER,
            'Connection: Upgrade, HTTP2-Settings',
            'Upgrade: h2c',
            'HTTP2-Settings: AAMAAABk',
            f'Content-Length: {len(body)}',
        )
        last = with_body(cluster, BODY, COUNTER)
        answer = send_raw(cluster.entries[0].callers, wire + body + last)
        assert answer.count(b'HTTP/1.1 200 ') == 2
        assert answer.count(b'HTTP/1.1 ') == 2

    def test_body_cut_short(self, cluster):
        """A body that ends early has another code than a slow one."""
        wire = head(cluster, COUNTER, 'Content-Length: 90') + b'{'
        answer = send_raw(cluster.entries[0].callers, wire, half_close=True)
        assert b'X-Siskinpass-Code: 1006\r\n' in answer

    @pytest.mark.parametrize('sent', [b'POST /v1/comp', None])
    def test_slow_sender(self, cluster, sent):
        """A sender that stops is answered with an error after a time limit."""
        wire = sent or head(cluster, COUNTER, 'Content-Length: 90') + b'{'
        answer = send_raw(cluster.entries[0].callers, wire)
        assert b'X-Siskinpass-Code: 1005\r\n' in answer


class TestPath:
    """Test what callers get from the whole deployment."""

    def test_answers_are_whole_at_every_entry(self, cluster):
        """Streams, whole answers and service calls work at random entries."""
        jobs = [counter(at_s=number / 50) for number in range(12)]
        jobs += [counter(stream=False), order(), pattern()]
        assert all(
            answer.complete for answer in send_jobs(jobs, target(cluster))
        )

    @pytest.mark.parametrize('stream', [False, True])
    def test_stock_client(self, cluster, stream):
        """OpenAI's client library works unchanged."""
        client = openai.OpenAI(
            base_url=f'http://{cluster.entries[1].callers}/v1',
            api_key=cluster.keys['sur'],
            default_headers={'X-Siskinpass-Class': 'counter'},
            max_retries=0,
        )
        answer = client.chat.completions.create(
            model='fieltro-chat',
            messages=[{'role': 'user', 'content': 'sizes?'}],
            metadata={'tokens': '4', 'seed': 'z'},
            stream=stream,
        )
        if stream:
            text = ''.join(
                chunk.choices[0].delta.content or '' for chunk in answer
            )
        else:
            text = answer.choices[0].message.content
        assert text == 'z-0 z-1 z-2 z-3 '
        assert [model.id for model in client.models.list()] == [
            'fieltro-chat',
        ]

    def test_address_names_one_instance_per_zone(self, cluster):
        """The caller's own zone comes first, then one of each other zone."""
        url = f'http://{cluster.entries[0].callers}/address?zone=b'
        document = cluster.http.request('GET', url).json()
        zones = [found['zone'] for found in document['addresses']]
        assert zones[0] == 'b'
        assert sorted(zones) == ['a', 'b', 'c']
        assert document['keep_s'] > 0

    def test_connection_is_kept(self, cluster):
        """Two consecutive requests can use one connection."""
        wire = with_body(cluster, BODY, COUNTER)
        reused = wire.replace(b'Connection: close\r\n', b'')
        answer = send_raw(cluster.entries[0].callers, reused + wire)
        assert answer.count(b'HTTP/1.1 200 OK') == 2

    def test_process_does_not_use_io_uring(self, cluster):
        """No file descriptor of the process is an io_uring."""
        pid = cluster.entries[0].process.pid
        names = [
            str(link.readlink())
            for link in Path(f'/proc/{pid}/fd').iterdir()
            if link.exists() or link.is_symlink()
        ]
        assert names
        assert not [name for name in names if 'io_uring' in name]


class TestOperators:
    """Test the pages for operators."""

    def test_operator_key_is_required(self, cluster):
        """Without the operators' key the tree cannot be read."""
        url = f'http://{cluster.entries[0].operators}/tree'
        answer = cluster.http.request('GET', url)
        assert answer.status == 401
        assert answer.headers['X-Siskinpass-Code'] == '5005'

    def test_every_tree_error_is_reported(self, cluster):
        """All errors of a refused tree are reported with path and line."""
        text = (
            'deployment: x\nsettings: {tier: 99}\npools: {}\n'
            'workspaces: {a: {classes: {b: {tear: 1}}}}\n'
        )
        error = cluster.propose(text, 1)['error']
        assert error['code'] == 5001
        assert 'settings/tier, line 2' in error['message']
        assert 'workspaces/a/classes/b/tear, line 4' in error['message']

    def test_refusals_are_counted_by_reason(self, cluster):
        """Each refusal increments the counter of its code."""
        name, label = 'siskinpass_refusals_total', 'code="1008"'
        before = metric_sum(cluster, name, label)
        entry = cluster.entries[0]
        send_raw(entry.callers, with_body(cluster, BODY, COUNTER, key='wrong'))
        assert metric_sum(cluster, name, label) == before + 1

    def test_status_lists_promises_and_versions(self, cluster):
        """The status shows the promises and the version of each instance."""
        send_jobs([counter() for _ in range(12)], target(cluster))
        status = wait_until(
            lambda: (
                document
                if 'centro/counter'
                in (document := cluster.status(cluster.entries[0]))['promises']
                else None
            ),
            'the promise in the status',
        )
        assert status['in_force_everywhere']
        assert len(status['instances']) == 3
        assert status['promises']['centro/counter']['requests'] > 0

    def test_no_caller_port_serves_operators(self, cluster):
        """The operators' pages are not served on the callers' port."""
        url = f'http://{cluster.entries[0].callers}/tree'
        assert cluster.http.request('GET', url).status == 404
