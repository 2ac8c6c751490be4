"""Test the whole path with real processes."""

import json
from pathlib import Path

import openai
import pytest

from siskinpass.codes import Code
from tests.processes import (
    ask,
    counter,
    metric_sum,
    order,
    pattern,
    raw,
    target,
    wait_until,
)


def head(cluster, *lines, method='POST', path='/v1/completions', key=None):
    """Return the start of a request as bytes."""
    given = cluster.keys['centro'] if key is None else key
    start = [
        f'{method} {path} HTTP/1.1',
        'Host: x',
        f'Authorization: Bearer {given}',
        *lines,
    ]
    return '\r\n'.join(start).encode() + b'\r\n\r\n'


def with_body(cluster, body, *lines, **more):
    """Return a whole request as bytes."""
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    length = f'Content-Length: {len(text)}'
    return head(cluster, 'Connection: close', length, *lines, **more) + text


ASKED = {'model': 'fieltro-chat', 'prompt': 'hi', 'metadata': {'tokens': 3}}
COUNTER = 'X-Siskinpass-Class: counter'

BAD_INPUTS = [
    (
        'malformed JSON',
        lambda made: with_body(made, b'{"model', COUNTER),
        Code.malformed_json,
    ),
    (
        'JSON that is no object',
        lambda made: with_body(made, b'[1]', COUNTER),
        Code.malformed_json,
    ),
    (
        'a head that is too large',
        lambda made: head(made, 'X-Long: ' + 'x' * 40_000),
        Code.header_too_large,
    ),
    (
        'a body that is too large',
        lambda made: head(made, COUNTER, 'Content-Length: 99999999'),
        Code.body_too_large,
    ),
    (
        'a request line that is none',
        lambda made: b'WHAT\r\n\r\n',
        Code.malformed_head,
    ),
    (
        'a length that is none',
        lambda made: head(made, COUNTER, 'Content-Length: many'),
        Code.malformed_head,
    ),
    (
        'a header given twice',
        lambda made: with_body(made, ASKED, COUNTER, COUNTER),
        Code.duplicate_header,
    ),
    (
        'a chunked body',
        lambda made: head(made, COUNTER, 'Transfer-Encoding: chunked'),
        Code.length_required,
    ),
    (
        'an unknown key',
        lambda made: with_body(made, ASKED, COUNTER, key='wrong'),
        Code.unknown_key,
    ),
    (
        "another workspace's name",
        lambda made: with_body(
            made,
            ASKED,
            COUNTER,
            'X-Siskinpass-Workspace: norte',
        ),
        Code.unknown_workspace,
    ),
    (
        'an unknown class',
        lambda made: with_body(made, ASKED, 'X-Siskinpass-Class: none'),
        Code.unknown_class,
    ),
    (
        'no class',
        lambda made: with_body(made, ASKED),
        Code.unknown_class,
    ),
    (
        'an unknown model',
        lambda made: with_body(made, {**ASKED, 'model': 'x'}, COUNTER),
        Code.unknown_model,
    ),
    (
        'a prompt of a wrong type',
        lambda made: with_body(made, {**ASKED, 'prompt': 3}, COUNTER),
        Code.wrong_field,
    ),
    (
        'too many tokens',
        lambda made: with_body(
            made,
            {**ASKED, 'max_tokens': 10**9},
            COUNTER,
        ),
        Code.wrong_field,
    ),
    (
        'an unknown mark of repeatability',
        lambda made: with_body(
            made,
            ASKED,
            COUNTER,
            'X-Siskinpass-Repeatable: maybe',
        ),
        Code.wrong_field,
    ),
    (
        'a class of another pool',
        lambda made: with_body(made, ASKED, 'X-Siskinpass-Class: order'),
        Code.unknown_path,
    ),
    (
        'an unknown path',
        lambda made: with_body(made, ASKED, path='/v2/none'),
        Code.unknown_path,
    ),
    (
        'a wrong method',
        lambda made: head(made, COUNTER, 'Connection: close', method='GET'),
        Code.wrong_method,
    ),
]


class TestBadInput:
    """Test that each wrong request gets its numbered error."""

    @pytest.mark.parametrize(
        ('make', 'code'),
        [pytest.param(make, code, id=name) for name, make, code in BAD_INPUTS],
    )
    def test_is_answered_and_survived(self, cluster, make, code):
        """The caller gets a code, and the process lives on."""
        entry = cluster.entries[0]
        answer = raw(entry.callers, make(cluster))
        assert b'X-Siskinpass-Code: %d\r\n' % code in answer
        assert b'X-Siskinpass-Ran: no\r\n' in answer
        assert ask([counter()], target(cluster, entry))[0].complete

    def test_body_cut_short(self, cluster):
        """A body that ends early is told from a slow one."""
        wire = head(cluster, COUNTER, 'Content-Length: 90') + b'{'
        answer = raw(cluster.entries[0].callers, wire, end=True)
        assert b'X-Siskinpass-Code: 1006\r\n' in answer

    @pytest.mark.parametrize('sent', [b'POST /v1/comp', None])
    def test_slow_sender(self, cluster, sent):
        """A sender that stops is answered after the read limit."""
        wire = sent or head(cluster, COUNTER, 'Content-Length: 90') + b'{'
        answer = raw(cluster.entries[0].callers, wire)
        assert b'X-Siskinpass-Code: 1005\r\n' in answer


class TestPath:
    """Test what a caller sees."""

    def test_answers_are_whole_at_every_entry(self, cluster):
        """Streams, whole answers and service calls work everywhere."""
        jobs = [counter(at_s=number / 50) for number in range(12)]
        jobs += [counter(stream=False), order(), pattern()]
        assert all(answer.complete for answer in ask(jobs, target(cluster)))

    @pytest.mark.parametrize('stream', [False, True])
    def test_stock_client(self, cluster, stream):
        """The usual client library works unchanged."""
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
        """Callers are spread over the zones, their own first."""
        url = f'http://{cluster.entries[0].callers}/address?zone=b'
        told = cluster.http.request('GET', url).json()
        zones = [found['zone'] for found in told['addresses']]
        assert zones[0] == 'b'
        assert sorted(zones) == ['a', 'b', 'c']
        assert told['keep_s'] > 0

    def test_connection_is_kept(self, cluster):
        """Two requests in a row use one connection."""
        wire = with_body(cluster, ASKED, COUNTER)
        kept = wire.replace(b'Connection: close\r\n', b'')
        answer = raw(cluster.entries[0].callers, kept + wire)
        assert answer.count(b'HTTP/1.1 200 OK') == 2

    def test_process_has_no_io_uring(self, cluster):
        """The event loop's library does not open io_uring."""
        pid = cluster.entries[0].process.pid
        names = [
            str(link.readlink())
            for link in Path(f'/proc/{pid}/fd').iterdir()
            if link.exists() or link.is_symlink()
        ]
        assert names
        assert not [name for name in names if 'io_uring' in name]


class TestOperators:
    """Test the operators' side."""

    def test_key_is_asked_for(self, cluster):
        """Nobody reads the tree without the operators' key."""
        url = f'http://{cluster.entries[0].operators}/tree'
        answer = cluster.http.request('GET', url)
        assert answer.status == 401
        assert answer.headers['X-Siskinpass-Code'] == '5005'

    def test_faults_are_all_named(self, cluster):
        """A tree with faults is refused with path, line and reason."""
        text = (
            'deployment: x\nsettings: {tier: 99}\npools: {}\n'
            'workspaces: {a: {classes: {b: {tear: 1}}}}\n'
        )
        told = cluster.propose(text, 1)['error']
        assert told['code'] == 5001
        assert 'settings/tier, line 2' in told['message']
        assert 'workspaces/a/classes/b/tear, line 4' in told['message']

    def test_refusals_are_counted_by_reason(self, cluster):
        """Each refusal raises the counter of its code."""
        name, label = 'siskinpass_refusals_total', 'code="1008"'
        before = metric_sum(cluster, name, label)
        entry = cluster.entries[0]
        raw(entry.callers, with_body(cluster, ASKED, COUNTER, key='wrong'))
        assert metric_sum(cluster, name, label) == before + 1

    def test_status_tells_promises_and_versions(self, cluster):
        """Operators read back what holds and where it is in force."""
        ask([counter() for _ in range(12)], target(cluster))
        status = wait_until(
            lambda: (
                told
                if 'centro/counter'
                in (told := cluster.status(cluster.entries[0]))['promises']
                else None
            ),
            'the promise in the status',
        )
        assert status['in_force_everywhere']
        assert len(status['instances']) == 3
        assert status['promises']['centro/counter']['requests'] > 0

    def test_no_caller_port_serves_operators(self, cluster):
        """The operators' pages are not on the callers' port."""
        url = f'http://{cluster.entries[0].callers}/tree'
        assert cluster.http.request('GET', url).status == 404
