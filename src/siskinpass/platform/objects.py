"""Encode requests to the platform's object store and decode its pages."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import orjson

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import (
    read_field,
    read_json_table,
    read_tables,
)
from siskinpass.request.inbound import Header

INSTANCES_KIND = 'siskinpass-instances'
STATUS_OK = 200
STATUS_CREATED = 201
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
ERA = b'store-era'


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the store returned it.

    :param revision: store revision of the object's last change.
    :param body: value that was written, of any JSON type.
    :param is_deleted: whether the object was deleted; only a watch reports
        deletions.
    """

    name: str
    revision: int
    body: Any
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Page:
    """Result of one list or watch request.

    A revision counts only together with its era: the store gives revisions out
    again after it was restored from an older copy.

    :param revision: store revision to start the next watch from.
    :param next_name: name after which the next page starts, empty on the
        last page.
    :param era: number of times that the store was restored.
    """

    stored: tuple[StoredObject, ...]
    revision: int
    next_name: str = ''
    era: int = 0


def decode_era(headers: Iterable[Header]) -> int | None:
    """Return the store's era from the headers of an answer.

    :returns: ``None`` if the answer does not state it.
    :raises FormatError: if it is not a whole number.
    """
    for name, text in headers:
        if name.lower() == ERA:
            if not text.isdigit():
                raise FormatError(
                    Code.document_wrong, f'{ERA.decode()}: {text!r:.60}'
                )
            return int(text)
    return None


def kind_path(kind: str) -> str:
    """Return the path of a kind; objects of it are created there."""
    return f'/-/objects/{kind}'


def list_path(kind: str, after: str = '', *, stale: bool = False) -> str:
    """Return the path of one page of a listing.

    :param after: name of the last object on the previous page, empty for the
        first page.
    :param stale: whether the answer may be some seconds old, which costs the
        store less.
    """
    # Despite its wire name, the first parameter takes the name of an object,
    # not a revision.
    fields = (
        *((f'after-rev={quote(after)}',) if after else ()),
        *(('stale-ok=1',) if stale else ()),
    )
    return '?'.join((kind_path(kind), *filter(None, ('&'.join(fields),))))


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path of a watch.

    :param revision: store revision after which changes are reported.
    :param wait_ms: how long the store may wait for a change before it
        answers, in milliseconds.
    """
    return f'{kind_path(kind)}?watch={revision}&wait-ms={wait_ms}'


def object_path(kind: str, name: str, *, stale: bool = False) -> str:
    """Return the path of one object.

    :param stale: whether the answer may be some seconds old.
    """
    query = '?stale-ok=1' if stale else ''
    return f'{kind_path(kind)}/{quote(name)}{query}'


def encode_object(name: str, body: Any, revision: int = 0) -> bytes:
    """Return the body of a request that creates or replaces an object.

    :param revision: revision that the object must have, 0 for any.
    """
    metadata: dict[str, Any] = {'name': name}
    if revision:
        metadata['revision'] = revision
    return orjson.dumps({'metadata': metadata, 'spec': body})


def decode_object(body: bytes) -> StoredObject:
    """Return the one object of an answer.

    :raises FormatError: if the body is not in the expected format.
    """
    stored = _object(read_json_table(body, 'object'))
    if stored.revision <= 0:
        raise FormatError(Code.document_wrong, 'an object without a revision')
    return stored


def decode_list(body: bytes) -> Page:
    """Return one page of a listing.

    :raises FormatError: if the body is not in the expected format.
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
    """Return the changes that a watch reported.

    :raises FormatError: if the body is not in the expected format.
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
