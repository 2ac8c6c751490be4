"""Test that instances that have just met share what was just announced."""

import asyncio

import pytest

from siskinpass.process.fleet.loads import LoadExchange

FIRST = ('127.0.0.1', 1)
SECOND = ('127.0.0.1', 2)


class RecordingTransport:
    """Transport that records the receivers of each datagram."""

    def __init__(self):
        self.sent = []

    def sendto(self, datagram, address):
        """Record one datagram."""
        self.sent.append((datagram, address))


class TestGreeting:
    """Test announcements around the moment at which a peer is met."""

    @pytest.mark.parametrize(
        ('known', 'met', 'expected'),
        [
            ([], [FIRST], [FIRST]),
            ([FIRST], [FIRST, SECOND], [FIRST, SECOND]),
            ([FIRST, SECOND], [FIRST, SECOND], [FIRST, SECOND]),
        ],
    )
    def test_peer_that_is_met_gets_what_was_just_announced(
        self, known, met, expected
    ):
        """Guards against a server lost to what the others had just said."""

        async def scenario():
            peers = list(known)
            exchange = LoadExchange(
                'own', dict, lambda: peers, lambda loads: None, lambda one: None
            )
            transport = RecordingTransport()
            exchange.connection_made(transport)
            exchange.announce('topic', [1])
            peers.clear()
            peers.extend(met)
            exchange.greet_peers()
            exchange.greet_peers()
            assert sorted(one for _, one in transport.sent) == expected
            assert {datagram for datagram, _ in transport.sent} == {
                b'{"topic":[1]}'
            }

        asyncio.run(scenario())

    def test_what_was_repeated_is_not_sent_again(self, monkeypatch):
        """The memory of announcements ends with their repeat."""
        monkeypatch.setattr(
            'siskinpass.process.fleet.loads.ANNOUNCE_AGAIN_S', 0
        )

        async def scenario():
            peers = [FIRST]
            exchange = LoadExchange(
                'own', dict, lambda: peers, lambda loads: None, lambda one: None
            )
            transport = RecordingTransport()
            exchange.connection_made(transport)
            exchange.announce('topic', [1])
            await asyncio.sleep(0.05)
            peers.append(SECOND)
            exchange.greet_peers()
            assert [one for _, one in transport.sent] == [FIRST, FIRST]

        asyncio.run(scenario())
