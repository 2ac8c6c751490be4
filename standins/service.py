"""Fake plain service that logs every call it runs."""

import asyncio
import os
import time
from dataclasses import dataclass

from standins.http_server import Request, Response, json_response, serve


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of a service.

    :param work_ms: duration of a call.
    """

    name: str
    work_ms: float = 5


class Service:
    """HTTP API of a service, with paths for faults and inspection."""

    def __init__(self, options: ServiceOptions) -> None:
        self._options = options
        self._runs: list[dict] = []
        self._slow = 1.0
        self._leaving = False

    async def __call__(self, request: Request) -> Response:
        """Return the response to a request.

        A call is logged before it takes its time, so that calls broken off by
        the router are in the log as well.
        """
        if request.path == '/log':
            return json_response(self._runs)
        if request.path == '/load':
            return json_response({'leaving': self._leaving, 'age_ms': 0})
        if request.path.startswith('/admin/'):
            return self._admin(request)
        if self._leaving:
            return json_response({'error': 'leaving'}, 503)
        return await self._run(request)

    def _admin(self, request: Request) -> Response:
        if request.path == '/admin/crash':
            os._exit(9)
        command = request.json()
        self._slow = float(command.get('slow', self._slow))
        self._leaving = bool(command.get('leaving', self._leaving))
        return json_response({'slow': self._slow})

    async def _run(self, request: Request) -> Response:
        request_id = request.headers.get('x-request-id', '')
        run = {
            'request_id': request_id,
            'path': request.path,
            'body': request.body.decode(errors='replace'),
            'at': time.time(),
        }
        self._runs.append(run)
        await asyncio.sleep(self._options.work_ms * self._slow / 1000)
        answer = json_response({'ran': request.path, 'sent': run['body']})
        return Response(
            200,
            answer.body,
            {**answer.headers, 'X-Request-Id': request_id},
        )


async def run_service(options: ServiceOptions, host: str, port: int) -> None:
    """Serve a service on an address until cancelled."""
    server = await serve(Service(options), host, port)
    async with server:
        await server.serve_forever()
