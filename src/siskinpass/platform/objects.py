"""Speak the dialect of the platform's object store."""

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import orjson

from siskinpass.platform.fields import (
    read_field,
    read_json_table,
    read_tables,
)

INSTANCES_KIND = 'siskinpass-instances'
STATUS_OK = 200
STATUS_CREATED = 201
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one object as the store told it.

    :param revision: store revision of its last change.
    :param body: the value that its writer gave, any JSON type.
    :param is_deleted: whether it is gone.
    """

    name: str
    revision: int
    body: Any
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """Hold what one listing or watch returned.

    :param revision: store revision to watch from.
    :param next_name: name to go on from, empty at the end of a listing.
    """

    stored: tuple[StoredObject, ...]
    revision: int
    next_name: str = ''


def kind_path(kind: str) -> str:
    """Return the path of a kind, at which its objects are created."""
    return f'/-/objects/{kind}'


def list_path(kind: str, after: str = '') -> str:
    """Return the path of a listing.

    :param after: name of the last object of the page before.
    """
    path = kind_path(kind)
    # Its name on the wire says revision; it takes the name of an object.
    return f'{path}?after-rev={quote(after)}' if after else path


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path of a watch."""
    return f'{kind_path(kind)}?watch={revision}&wait-ms={wait_ms}'


def object_path(kind: str, name: str) -> str:
    """Return the path of one object."""
    return f'{kind_path(kind)}/{quote(name)}'


def encode_object(name: str, body: Any) -> bytes:
    """Return the body of a call that creates or replaces an object."""
    return orjson.dumps({'metadata': {'name': name}, 'spec': body})


def decode_list(body: bytes) -> Page:
    """Return a listing.

    :raises FormatError: where it cannot be read.
    """
    table = read_json_table(body, 'listing')
    stored = tuple(_object(row) for row in read_tables(table, 'items'))
    has_more = bool(table.get('has-more')) and stored
    return Page(
        stored,
        read_field(table, 'current-rev', int),
        stored[-1].name if has_more else '',
    )


def decode_watch(body: bytes) -> Page:
    """Return the changes that a watch told.

    :raises FormatError: where they cannot be read.
    """
    table = read_json_table(body, 'watch')
    stored = tuple(
        _object(
            read_field(row, 'object', dict),
            is_deleted=bool(row.get('deleted')),
        )
        for row in read_tables(table, 'events')
    )
    return Page(stored, read_field(table, 'current-rev', int))


def _object(row: dict[str, Any], *, is_deleted: bool = False) -> StoredObject:
    metadata = read_field(row, 'metadata', dict)
    return StoredObject(
        read_field(metadata, 'name', str),
        read_field(metadata, 'revision', int, 0),
        row.get('spec'),
        is_deleted=is_deleted,
    )
