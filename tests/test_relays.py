"""Test the choice of instances that relay, and what is sent to them."""

import asyncio
import time
from contextlib import ExitStack

import pytest

from siskinpass.process.fleet.path_reports import PathReport, PathReports
from siskinpass.process.fleet.relay_wire import (
    OUTCOME,
    RelayOutcome,
    RelayTarget,
    decode_answer_headers,
    encode_answer_headers,
    is_authentic,
    read_outcome,
    read_target,
    unwrap_request,
    wrap_request,
)
from siskinpass.process.fleet.relays import FAR_REQUESTS, Relays
from siskinpass.process.fleet.roles import (
    MAX_SERVING,
    all_serving_members,
    relay_members,
)
from siskinpass.process.membership import Member
from siskinpass.request.inbound import WireRequest, is_framed

OWN = Member('own', '10.0.0.1:7340', '10.0.0.1:80', 'a')
NEAR = Member('near', '10.0.0.2:7340', '10.0.0.2:80', 'a')
FAR = Member('far', '10.0.0.3:7340', '10.0.0.3:80', 'b')
REQUEST = (
    b'POST /once/x?q=1 HTTP/1.1\r\nX-Attempt-Id: c\r\n'
    b'X-Expect-Instance: i-1\r\nContent-Length: 4\r\n\r\nbody'
)
TARGET = RelayTarget('i-1', 'key', is_fresh=True)


def chosen(*, reports=(), failed=(), used=()):
    """Return the names of the relays for a server, best first."""

    async def scenario():
        known, start_s = PathReports(), time.time() - 1
        known.receive(
            PathReport(name, is_cut_off, servers, start_s + number / 10)
            for number, (name, is_cut_off, servers) in enumerate(reports)
        )
        relays = Relays(OWN, lambda: [OWN, NEAR, FAR], known)
        for one in relays.choose('i-1', 9):
            if one.name in failed:
                relays.avoid(one)
            for _ in range(used.count(one.name)):
                open_requests.enter_context(relays.use(one))
        return [one.name for one in relays.choose('i-1', 9)]

    with ExitStack() as open_requests:
        return asyncio.run(scenario())


class TestChoice:
    """Test which instances are asked, and in which order."""

    @pytest.mark.parametrize(
        ('more', 'expected'),
        [
            ({}, ['near', 'far']),
            ({'failed': ('near',)}, ['far', 'near']),
            ({'used': ('near',) * (FAR_REQUESTS + 1)}, ['far', 'near']),
            ({'reports': [('near', True, ())]}, ['far']),
            ({'reports': [('near', False, ('i-1',))]}, ['far']),
            ({'reports': [('near', False, ('i-2',))]}, ['near', 'far']),
            (
                {'reports': [('near', True, ()), ('near', False, ())]},
                ['near', 'far'],
            ),
            ({'reports': [('near', True, ()), ('far', True, ())]}, []),
        ],
    )
    def test_order(self, more, expected):
        """Never this instance, nor one that does not reach the server."""
        assert chosen(**more) == expected

    @pytest.mark.parametrize('instances', [3, 60, 450])
    def test_number_of_candidates_is_bounded(self, instances):
        """It does not grow with the fleet, and covers what callers use."""
        members = [
            Member(f'f-{number}', f'10.0.0.1:{number}', '10.0.0.1:1', 'a')
            for number in range(1, instances + 1)
        ]
        found = relay_members(members, all_serving_members(members))
        assert min(instances, MAX_SERVING) <= len(found) <= MAX_SERVING + 8
        assert len({one.name for one in found}) == len(found)


class TestWire:
    """Test that requests and answers arrive as they were sent."""

    def test_request(self):
        """The server gets it unchanged, without the relay's headers."""
        head, _, body = wrap_request(REQUEST, TARGET).partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        method, target, _ = lines[0].split(b' ')
        headers = tuple(tuple(line.split(b': ', 1)) for line in lines[1:])
        arrived = WireRequest(method, target, headers, body)
        assert read_target(arrived) == TARGET
        assert unwrap_request(arrived) == REQUEST

    def test_forged_target_does_not_count(self):
        """What a caller sends in these headers is overruled."""
        forged = REQUEST.replace(
            b'X-Attempt-Id', b'Siskinpass-Relay-Server: i-9\r\nX-Attempt-Id'
        )
        assert wrap_request(forged, TARGET).index(b'i-1') < wrap_request(
            forged, TARGET
        ).index(b'i-9')

    @pytest.mark.parametrize(('key', 'expected'), [('key', True), ('', False)])
    def test_key(self, key, expected):
        """Only instances of the deployment may ask."""
        assert is_authentic(TARGET, key) is expected

    @pytest.mark.parametrize(
        'headers',
        [
            ((b'X-A', b'1'), (b'Content-Length', b'3')),
            ((b'X-A', b'1'), (b'Transfer-Encoding', b'chunked')),
            ((b'X-A', b'1'),),
        ],
    )
    def test_answer(self, headers):
        """Its headers arrive, and whether it had a length."""
        sent = encode_answer_headers(headers)
        arrived = (*sent, (b'Transfer-Encoding', b'chunked'))
        decoded = decode_answer_headers(arrived)
        assert (b'X-A', b'1') in decoded
        assert is_framed(decoded) is is_framed(headers)

    @pytest.mark.parametrize(
        ('headers', 'expected'),
        [
            ((), None),
            (((b'Siskinpass-Relay-Outcome', b'cut_off'),), 'cut_off'),
            (((OUTCOME, b'unheard of'),), 'broken'),
        ],
    )
    def test_outcome(self, headers, expected):
        """One that cannot be read leaves open whether the request ran."""
        found = read_outcome(headers)
        assert found == (RelayOutcome(expected) if expected else None)

    def test_servers_cannot_forge_an_outcome(self):
        """It is left out of what a server answers."""
        assert not encode_answer_headers((
            (OUTCOME, b'refused'),
            (b'Content-Length', b'0'),
        ))
