"""gRPC calls between the instances of a fleet, over grpclib."""

import hmac
from collections.abc import AsyncIterator, Callable, Iterable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from siskinpass.process import peer_pb2 as pb
from siskinpass.process.codec import decode_member, pack_members
from siskinpass.process.membership import Member
from siskinpass.process.peer_grpc import FleetPeerBase
from siskinpass.process.peers import KEY_HEADER


class FleetPeerService(FleetPeerBase):
    """Implementation of the service; each call must carry the peer key.

    :param key: peer key that callers must present.
    :param meet: called with a caller's own state; returns all known members.
    :param follow: returns the updates for a follower, given the configuration
        version in force there.
    """

    def __init__(
        self,
        key: str,
        meet: Callable[[Member], Iterable[Member]],
        follow: Callable[[int], AsyncIterator[pb.StateUpdate]],
    ) -> None:
        self._key = key
        self._meet = meet
        self._follow = follow

    async def ReadMembers(
        self, stream: Stream[pb.MembersRequest, pb.MembersReply]
    ) -> None:
        """Record the calling instance and send all known members."""
        self._check_key(stream)
        request = await stream.recv_message()
        members = self._meet(decode_member(request.sender))
        await stream.send_message(
            pb.MembersReply(members=pack_members(members))
        )

    async def Follow(
        self, stream: Stream[pb.FollowRequest, pb.StateUpdate]
    ) -> None:
        """Send the state, then its changes and heartbeats."""
        self._check_key(stream)
        request = await stream.recv_message()
        async for update in self._follow(request.config_version):
            await stream.send_message(update)

    def _check_key(self, stream: Stream) -> None:
        presented = str(stream.metadata.get(KEY_HEADER, ''))
        if not hmac.compare_digest(presented.encode(), self._key.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, 'wrong peer key')
