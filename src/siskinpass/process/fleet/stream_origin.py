"""Keep one request's stream at the software version that began it."""

import asyncio

from siskinpass.process.fleet.stream_versions import StreamVersions
from siskinpass.process.version_history import STREAM_LIFE_S
from siskinpass.request.inbound import InboundRequest
from siskinpass.request.ticket import ServerView
from siskinpass.version.routes import Route


class StreamOrigin:
    """What began the stream of one request, which may be a take-up.

    :param versions: receives what this request shows of the stream.
    :ivar version: software version that began the stream or has to begin it,
        ``None`` if any may.
    """

    def __init__(self, versions: StreamVersions, call: InboundRequest) -> None:
        self._versions = versions
        self._call = call
        self._is_resumable = False
        self.version: str | None = None

    async def resolve(self, route: Route, service: str) -> str:
        """Return the service that the request has to be sent to.

        :param service: the one that was chosen for it.
        :raises RefusedError: if the request takes up a stream and it is not
            known what began it.
        """
        self._is_resumable = route.is_resumable
        if not route.is_resumable:
            return service
        if not self._call.last_event_id:
            self.version = self._versions.required_version(service)
            return service
        origin = await self._versions.resolve(
            self._stream,
            route.services,
            # The record may have another name, or have expired.
            may_derive=bool(self._call.resumed_call)
            and route.timeout_s <= STREAM_LIFE_S,
        )
        self.version = origin.version
        return origin.service if origin.service in route.services else service

    def begin(self, server: ServerView) -> asyncio.Future[None] | None:
        """Record what brings the first event of this request.

        :returns: done when it is recorded, ``None`` if no record is needed.
        """
        if not self._is_resumable:
            return None
        self.version = server.version
        return self._versions.begin(self._stream, server)

    def end(self) -> None:
        """Record that the stream was sent to its end."""
        if self._is_resumable:
            self._versions.end(self._stream)

    @property
    def _stream(self) -> str:
        return self._call.resumed_call or self._call.call_id
