"""Test how an instance of a fleet learns of the others."""

import asyncio

import pytest
from grpclib.server import Server

from bench.fleet import free_ports
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.fleet.feed import decode_update
from siskinpass.process.fleet.members import FleetMembers
from siskinpass.process.fleet.settings import FleetSettings
from siskinpass.process.fleet.store_client import StoreClient
from siskinpass.process.peer_grpc import FleetPeerBase
from siskinpass.process.peers import PEER_ERRORS

STORE = '127.0.0.1:1'


class BrokenPeer(FleetPeerBase):
    """Instance whose replies cannot be unpacked."""

    async def ReadMembers(self, stream):
        await stream.recv_message()
        await stream.send_message(pb.MembersReply(members=b'junk'))

    async def Follow(self, stream):
        await stream.recv_message()
        await stream.send_message(pb.StateUpdate(config=b'junk'))


def settings(port, seed):
    """Return the settings of an instance with one seed."""
    return FleetSettings(
        name='front-1',
        ip='127.0.0.1',
        zone='a',
        callers='127.0.0.1:2',
        readiness='127.0.0.1:3',
        directory='127.0.0.1:4',
        peer_port=port,
        store=STORE,
        seeds=(f'127.0.0.1:{seed}',),
    )


class TestUnreadableReplies:
    """Test replies of other instances that cannot be unpacked."""

    def test_join_goes_on(self):
        """An instance that answers with noise counts as one that is lost."""

        async def scenario():
            own, seed = free_ports(2)
            peer = Server([BrokenPeer()])
            await peer.start('127.0.0.1', seed)
            store = StoreClient(STORE, lambda call, outcome: None)
            members = FleetMembers(settings(own, seed), store)
            await asyncio.wait_for(members.join(), 10)
            peer.close()
            await peer.wait_closed()
            return members.serving

        assert len(asyncio.run(scenario())) == 1

    @pytest.mark.parametrize(
        'update',
        [
            pb.StateUpdate(config=b'junk', config_version=9),
            pb.StateUpdate(
                config=b'x\x9c\x03\x00\x00\x00\x00\x01', config_version=9
            ),
        ],
    )
    def test_update_is_a_peer_error(self, update):
        """The task that follows a reader handles it and tries another one."""
        with pytest.raises(PEER_ERRORS):
            decode_update(update)
