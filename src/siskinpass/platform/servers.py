"""Decode the platform's registry entries of backend servers."""

from collections.abc import Mapping
from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import as_table, read_field
from siskinpass.request.ticket import ServerView

SERVERS_KIND = 'servers'
STATES = ('ready', 'draining')


def decode_server(name: str, spec: Any) -> ServerView:
    """Return the backend server that a registry entry describes.

    :param name: name of the entry, which is also the id of the server.
    :raises FormatError: if a field is missing or invalid, or the state is
        neither ready nor draining.
    """
    entry = as_table(spec, name)
    state = read_field(entry, 'state', str)
    if state not in STATES:
        raise FormatError(Code.document_wrong, f'{name}: unknown state {state}')
    return ServerView(
        name=name,
        address=_address(entry),
        pool=read_field(entry, 'service', str),
        zone=read_field(entry, 'zone', str, ''),
        leaving=state != 'ready',
        slots=read_field(entry, 'slots', int, 1),
        # Of the server's software, not of the model's weights.
        version=read_field(entry, 'version', str, ''),
        # Start time of this incarnation in Unix milliseconds.
        incarnation=read_field(entry, 'born', int, 0),
    )


def _address(spec: Mapping[str, Any]) -> str:
    address = read_field(spec, 'address', str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise FormatError(
            Code.document_wrong,
            f'address: expected host:port, got {address:.60}',
        )
    return address
