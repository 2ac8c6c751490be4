"""Read the platform's lagging list of instances.

The only module that knows the list's dialect.
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

ENTRY = 'entry'
LEAVING = 'leaving'
TIMEOUT_S = 2.0
LIST_EVERY_S = 1.0
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class EntryView:
    """Describe an entry instance as the list tells it."""

    name: str
    peer_address: str
    caller_address: str
    zone: str


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold one reading of the list."""

    entries: tuple[EntryView, ...]
    servers: tuple[ServerView, ...]


def read_listing(http: urllib3.PoolManager, base_url: str) -> Listing:
    """Read the list; blocks for up to the time-out.

    :raises StoreError: where the list does not answer.
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


async def follow_list(
    platform: str,
    on_listing: Callable[[Listing], None],
) -> None:
    """Read the list again and again for ever.

    :param platform: ``ip:port`` of the platform.
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
            log.warn('The instance list does not answer.', why=str(error))
        else:
            on_listing(listing)
        await asyncio.sleep(LIST_EVERY_S)


def parse_listing(body: bytes) -> Listing:
    """Turn the list's JSON into views."""
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
