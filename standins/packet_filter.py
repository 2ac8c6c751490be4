"""Drop the packets that some hosts send to a listening socket."""

import ctypes
import ipaddress
import socket
import struct
from collections.abc import Iterable

SO_ATTACH_FILTER = 26  # of Linux; Python does not name it
# Instructions of the kernel's packet filters.
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x6
INSTRUCTION = struct.Struct('HBBI')
PROGRAM = struct.Struct('HL')
SOURCE_OFFSET = 0xFFF00000 + 12  # of the source in an IPv4 header
WHOLE_PACKET = 0xFFFFFFFF


def drop_packets(sock: socket.socket, sources: Iterable[str]) -> None:
    """Let a listening socket get no packets from some IPv4 addresses.

    Connections to it from there are neither accepted nor refused. Replaces the
    addresses that were given before; connections that are open are not changed.

    :raises OSError: if the kernel does not take the filter.
    """
    program = [INSTRUCTION.pack(LOAD_WORD, 0, 0, SOURCE_OFFSET)]
    for source in sources:
        address = int(ipaddress.IPv4Address(source))
        program += (
            INSTRUCTION.pack(JUMP_IF_EQUAL, 0, 1, address),
            INSTRUCTION.pack(RETURN, 0, 0, 0),
        )
    program.append(INSTRUCTION.pack(RETURN, 0, 0, WHOLE_PACKET))
    code = ctypes.create_string_buffer(b''.join(program))
    pointer = PROGRAM.pack(len(program), ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, pointer)
