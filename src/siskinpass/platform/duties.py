"""Translate calls of the cloud API and the lease object of the duties."""

import reprlib
from functools import singledispatch
from typing import Any

import orjson

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import (
    MAX_WHOLE,
    NUMBER,
    as_table,
    read_field,
    read_whole,
)
from siskinpass.process.duties.calls import (
    CapacityOrder,
    DutyStatus,
    UsageReport,
)
from siskinpass.process.duties.lease import DutyContent, DutyRecord

LEASE_KIND = 'siskinpass-duties'
LEASE_NAME = 'lease'
MAX_LENGTH_S = 3600.0
STATUS_OK = 200
STATUS_CONFLICT = 409
# Larger counts of one instance are errors. It leaves room for the sum over a
# thousand instances, which must be readable in the lease object.
MAX_EXACT = 9_007_199_254_740_992  # 2**53, of a double
MAX_COUNT = MAX_EXACT // 1000
# Columns of the rows in the lease object.
WINDOW_COLUMNS = 2
ORDER_COLUMNS = 4


def encode_call(
    call: UsageReport | CapacityOrder, host: str, holder: str, token: int
) -> bytes:
    """Return the request of a call.

    :param host: address of the cloud API.
    :param holder: name of this instance.
    :param token: fencing token of the lease.
    """
    path, document = _encode(call)
    body = orjson.dumps(document)
    head = (
        f'POST {path} HTTP/1.1',
        f'Host: {host}',
        f'X-Duty-Holder: {holder}',
        f'X-Fencing-Token: {token}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        'Connection: close',
        '',
        '',
    )
    return '\r\n'.join(head).encode() + body


@singledispatch
def _encode(call: UsageReport | CapacityOrder) -> tuple[str, dict[str, Any]]:
    raise TypeError(call)


@_encode.register
def _encode_report(call: UsageReport) -> tuple[str, dict[str, Any]]:
    document = {'window-id': call.window, 'counts': dict(call.counts)}
    return '/usage', document


@_encode.register
def _encode_order(call: CapacityOrder) -> tuple[str, dict[str, Any]]:
    document = {
        'service': call.service,
        'zone': call.zone,
        'desired-count': call.count,
        'spot': call.is_spot,
    }
    return '/scale', document


def decode_status(status: int) -> DutyStatus:
    """Return the outcome that the status of an answer states."""
    if status == STATUS_OK:
        return DutyStatus.done
    if status == STATUS_CONFLICT:
        return DutyStatus.unavailable
    return DutyStatus.rejected


def encode_record(record: DutyRecord) -> dict[str, Any]:
    """Return the lease object for the store."""
    content = record.content
    return {
        'holder': record.holder,
        'fence': record.fence,
        'length_s': record.length_s,
        'renewals': record.renewals,
        'next_window': content.next_window,
        'windows': encode_windows(content),
        'orders': [
            [one.service, one.zone, one.is_spot, one.count]
            for one in content.orders
        ],
    }


def encode_windows(content: DutyContent) -> list[Any]:
    """Return the rows of the fixed usage windows."""
    return [[one.window, dict(one.counts)] for one in content.windows]


def decode_record(body: Any) -> DutyRecord:
    """Return the lease that a stored object describes.

    :raises FormatError: if a field is missing, of the wrong type or out of
        range.
    """
    table = as_table(body, LEASE_NAME)
    length_s = read_field(table, 'length_s', NUMBER)
    if not 0 < length_s <= MAX_LENGTH_S:
        raise FormatError(Code.document_wrong, f'length_s: {length_s}')
    content = DutyContent(
        read_whole(table, 'next_window'),
        decode_windows(read_field(table, 'windows', list)),
        tuple(
            _decode_order(row) for row in read_field(table, 'orders', list, [])
        ),
    )
    return DutyRecord(
        read_field(table, 'holder', str),
        read_whole(table, 'fence'),
        length_s,
        read_whole(table, 'renewals', 0),
        content,
    )


def decode_windows(rows: Any) -> tuple[UsageReport, ...]:
    """Return the usage windows of some rows.

    :raises FormatError: if a row is not a window with its counts.
    """
    found = rows if isinstance(rows, list) else [rows]
    return tuple(UsageReport(*decode_window(row, MAX_WHOLE)) for row in found)


def decode_window(
    row: Any, most: int = MAX_COUNT
) -> tuple[int, dict[str, int]]:
    """Return one window and its counts by workspace.

    :param most: largest count allowed.
    :raises FormatError: if the row is anything else, or a count out of range.
    """
    if not isinstance(row, list) or len(row) != WINDOW_COLUMNS:
        raise FormatError(Code.document_wrong, f'window: {reprlib.repr(row)}')
    window, counts = row
    table = as_table(counts, 'counts')
    return read_whole({'window': window}, 'window'), {
        workspace: read_whole(table, workspace, most=most)
        for workspace in table
    }


def _decode_order(row: Any) -> CapacityOrder:
    if not isinstance(row, list) or len(row) != ORDER_COLUMNS:
        raise FormatError(Code.document_wrong, f'order: {reprlib.repr(row)}')
    service, zone, is_spot, count = row
    table = {'service': service, 'zone': zone, 'spot': is_spot, 'count': count}
    return CapacityOrder(
        read_field(table, 'service', str),
        read_field(table, 'zone', str),
        read_whole(table, 'count'),
        read_field(table, 'spot', bool),
    )
