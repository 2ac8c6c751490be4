"""Service discovery: read the platform's list of instances.

The list lags behind the actual state. Only this module knows its format.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from siskinpass.codes import Code
from siskinpass.exceptions import StoreError
from siskinpass.process.logs import ComponentLog
from siskinpass.request.ticket import ServerView

ENTRY = 'entry'  # role of entry instances
LEAVING = 'leaving'  # state of a leaving instance
TIMEOUT_S = 2.0
POLL_INTERVAL_S = 1.0
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class EntryView:
    """One entry instance as listed by the platform.

    :param peer_address: ``ip:port`` for other instances.
    :param caller_address: ``ip:port`` for callers.
    :param zone: availability zone, empty where unknown.
    """

    name: str
    peer_address: str
    caller_address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Listing:
    """One reading of the list.

    :param entries: entry instances.
    :param servers: backend servers.
    """

    entries: tuple[EntryView, ...]
    servers: tuple[ServerView, ...]


def read_listing(http: urllib3.PoolManager, base_url: str) -> Listing:
    """Read the list once; blocks until it arrives, at most ``TIMEOUT_S``.

    :param base_url: ``http://ip:port`` of the platform.
    :raises StoreError: if the platform is unreachable or returns an error.
    """
    try:
        answer = http.request(
            'GET',
            f'{base_url}/instances',
            timeout=TIMEOUT_S,
            retries=False,
        )
    except HTTPError as error:
        raise StoreError(Code.store_down, str(error)) from error
    if answer.status != STATUS_OK:
        raise StoreError(Code.store_down, f'status {answer.status}')
    return parse_listing(answer.data)


async def poll_listing(
    platform: str,
    on_listing: Callable[[Listing], None],
) -> None:
    """Read the list every ``POLL_INTERVAL_S`` until cancelled.

    A failed reading is logged; the previous one stays in use.

    :param platform: ``ip:port`` of the platform.
    :param on_listing: called with each successful reading.
    """
    http = urllib3.PoolManager(maxsize=1)
    log = ComponentLog('list')
    while True:
        try:
            listing = await asyncio.to_thread(
                read_listing,
                http,
                f'http://{platform}',
            )
        except StoreError as error:
            log.warn('Reading the instance list failed.', why=str(error))
        else:
            on_listing(listing)
        await asyncio.sleep(POLL_INTERVAL_S)


def parse_listing(body: bytes) -> Listing:
    """Parse the list's JSON; each role other than entry names a pool."""
    instances = orjson.loads(body)['instances']
    entries = [
        EntryView(
            instance['name'],
            instance['peer'],
            instance['address'],
            instance.get('zone', ''),
        )
        for instance in instances
        if instance['role'] == ENTRY
    ]
    servers = [
        ServerView(
            instance['name'],
            instance['address'],
            instance['role'],
            instance.get('zone', ''),
            leaving=instance.get('state') == LEAVING,
        )
        for instance in instances
        if instance['role'] != ENTRY
    ]
    return Listing(tuple(entries), tuple(servers))
