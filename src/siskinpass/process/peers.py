"""Keep channels to other instances over grpclib."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from siskinpass.process.broker_client import BrokerClient, BrokerSession
from siskinpass.process.peer_grpc import PeerStub
from siskinpass.process.remote_session import RemoteSession

CALL_TIMEOUT_S = 2.0
KEY_HEADER = 'x-siskinpass-peer-key'


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """Hold what instances show each other.

    :param key: shared key, also of the heartbeats.
    :param server: TLS context of the listening side, none without TLS.
    :param client: TLS context of the dialling side, none without TLS.
    """

    key: str
    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


class PeerLinks:
    """Own the channels to other instances."""

    def __init__(
        self,
        own: str,
        local_host: str,
        security: PeerSecurity,
    ) -> None:
        """Start without channels."""
        self._own = own
        self._local_host = local_host
        self._security = security
        self._channels: dict[str, Channel] = {}
        self._addresses: dict[str, str] = {}

    def update_addresses(self, addresses: dict[str, str]) -> None:
        """Take the peer addresses of the live instances by name."""
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
        """Open a broker session with another instance."""
        return RemoteSession(self.stub(name), self._own, broker_client, on_lost)

    def stub(self, name: str) -> PeerStub:
        """Return a stub for another instance.

        :raises KeyError: where its address is not known.
        """
        channel = self._channels.get(name)
        if channel is None:
            host, port = self._addresses[name].rsplit(':', 1)
            channel = _AuthenticatedChannel(
                host,
                int(port),
                ssl=self._security.client,
            )
            channel.key = self._security.key
            channel.local_host = self._local_host
            self._channels[name] = channel
        return PeerStub(channel)

    def drop(self, name: str) -> None:
        """Close the channel to an instance, so that the next is new."""
        channel = self._channels.pop(name, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for name in tuple(self._channels):
            self.drop(name)


class _AuthenticatedChannel(Channel):
    """Show the peer key on every call, from this instance's own address."""

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
        """Open a call with the key among its metadata."""
        with_key = (*(metadata or ()), (KEY_HEADER, self.key))
        return super().request(*args, metadata=with_key, **kwargs)
