"""gRPC channels to other instances, over grpclib."""

import ssl
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import orjson
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from siskinpass.process.broker_client import BrokerClient, BrokerSession
from siskinpass.process.peer_grpc import PeerStub
from siskinpass.process.remote_session import RemoteSession

CALL_TIMEOUT_S = 2.0
KEY_HEADER = 'x-siskinpass-peer-key'
# Errors of a call to another instance, of unpacking its reply too; KeyError if
# its address is not known.
PEER_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    KeyError,
    DecodeError,
    orjson.JSONDecodeError,
    zlib.error,
)


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """Credentials for the traffic between instances.

    :param key: secret that all instances share, also used for heartbeats.
    :param server: TLS context for accepted connections, None without TLS.
    :param client: TLS context for outgoing connections, None without TLS.
    """

    key: str
    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


class PeerLinks:
    """Channels to other instances, one for each, opened on first use."""

    def __init__(
        self,
        own: str,
        local_host: str,
        security: PeerSecurity,
    ) -> None:
        """Start without channels.

        :param own: name of this instance.
        :param local_host: IP address from which connections are made.
        """
        self._own = own
        self._local_host = local_host
        self._security = security
        self._channels: dict[str, Channel] = {}
        self._addresses: dict[str, str] = {}

    def update_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the other instances.

        Channels to instances that are gone or have a new address are closed.

        :param addresses: ``ip:port`` by the name of the instance.
        """
        for name, channel in tuple(self._channels.items()):
            if addresses.get(name) != self._addresses.get(name):
                channel.close()
                self._channels.pop(name)
        self._addresses = addresses

    def open_session(
        self,
        name: str,
        broker_client: BrokerClient,
        on_lost: Callable[[BrokerSession], None],
    ) -> BrokerSession:
        """Open a session with a broker at another instance.

        :param name: name of the instance.
        :param broker_client: gets the broker's commands.
        :param on_lost: called with the session when it has ended.
        :raises KeyError: if the instance's address is not known.
        """
        return RemoteSession(self.stub(name), self._own, broker_client, on_lost)

    def stub(self, name: str) -> PeerStub:
        """Return a stub for another instance.

        :raises KeyError: if its address is not known.
        """
        return PeerStub(self.channel(name))

    def channel(self, name: str) -> Channel:
        """Return the channel to another instance, opened on first use.

        :raises KeyError: if its address is not known.
        """
        channel = self._channels.get(name)
        if channel is None:
            channel = self.open(self._addresses[name])
            self._channels[name] = channel
        return channel

    def open(self, address: str) -> Channel:
        """Return a new channel to an address, which the caller closes.

        :param address: ``ip:port``.
        """
        host, port = address.rsplit(':', 1)
        channel = _AuthenticatedChannel(
            host,
            int(port),
            ssl=self._security.client,
        )
        channel.key = self._security.key
        channel.local_host = self._local_host
        return channel

    def drop(self, name: str) -> None:
        """Close the channel to an instance, so that the next call reconnects.

        Nothing happens if there is no channel.
        """
        channel = self._channels.pop(name, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for name in tuple(self._channels):
            self.drop(name)


class _AuthenticatedChannel(Channel):
    """Channel that sends the peer key and binds to a given local address."""

    key = ''
    local_host = ''

    async def _create_connection(self) -> H2Protocol:
        _, protocol = await self._loop.create_connection(
            self._protocol_factory,
            self._host,
            self._port,
            ssl=self._ssl,
            server_hostname=self._host if self._ssl else None,
            local_addr=(self.local_host, 0),
        )
        return protocol

    def request(self, *args, metadata=None, **kwargs):
        """Start a call with the peer key added to its metadata."""
        with_key = (*(metadata or ()), (KEY_HEADER, self.key))
        return super().request(*args, metadata=with_key, **kwargs)
