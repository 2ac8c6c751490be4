"""Decode the platform's registry entries of backend servers."""

from typing import Any

from siskinpass.codes import Code
from siskinpass.exceptions import FormatError
from siskinpass.platform.fields import (
    as_table,
    read_address,
    read_field,
    read_whole,
)
from siskinpass.request.ticket import ServerView

SERVERS_KIND = 'servers'
MAX_SLOTS = 2_147_483_647  # of a signed 32-bit field
STATES = ('ready', 'draining')


def decode_server(name: str, spec: Any) -> ServerView:
    """Return the backend server that a registry entry describes.

    :param name: name of the entry, which is also the id of the server.
    :raises FormatError: if the name or a field is invalid or missing, or the
        state is neither ready nor draining.
    """
    if not (name.isascii() and name.isprintable()):
        # Requests carry the name in a header.
        raise FormatError(Code.document_wrong, f'unusable name: {name!a:.60}')
    entry = as_table(spec, name)
    state = read_field(entry, 'state', str)
    if state not in STATES:
        raise FormatError(Code.document_wrong, f'{name}: unknown state {state}')
    return ServerView(
        name=name,
        address=read_address(entry, 'address'),
        pool=read_field(entry, 'service', str),
        zone=read_field(entry, 'zone', str, ''),
        leaving=state != 'ready',
        slots=read_whole(entry, 'slots', 1, MAX_SLOTS),
        # Of the server's software, not of the model's weights.
        version=read_field(entry, 'version', str, ''),
        # Start time of this incarnation in Unix milliseconds.
        incarnation=read_whole(entry, 'born', 0),
        # An odd value must not make the server unusable. ``leaves_ms`` of a
        # reclaimed one is not read: ``state`` says that it leaves.
        is_spot=entry.get('spot') is True,
    )
