"""Convert events, commands and heartbeats to protobuf messages and back."""

import zlib
from collections.abc import Iterable
from functools import singledispatch

from siskinpass.codes import Code
from siskinpass.process import peer_pb2 as pb
from siskinpass.process.membership import Member, Packet
from siskinpass.request.ticket import (
    Command,
    Event,
    Granted,
    GrantReleased,
    GrantReported,
    Moved,
    Paused,
    Refused,
    ServerView,
    Ticket,
    TicketOpened,
    TicketWithdrawn,
    TokensObserved,
)

MS_PER_S = 1000


@singledispatch
def encode_event(event: Event, now_s: float) -> pb.EntryMessage:
    """Encode an event that an entry instance sends to a broker.

    :param now_s: the sender's clock, for converting times to ages.
    """
    raise TypeError(event)


@encode_event.register
def _encode_open(event: TicketOpened, now_s: float) -> pb.EntryMessage:
    return pb.EntryMessage(open=_encode_ticket(event.ticket, now_s))


@encode_event.register
def _encode_withdraw(event: TicketWithdrawn, now_s: float) -> pb.EntryMessage:
    return pb.EntryMessage(withdraw=event.ticket_id)


@encode_event.register
def _encode_release(event: GrantReleased, now_s: float) -> pb.EntryMessage:
    message = pb.ReleaseMessage(
        ticket_id=event.ticket_id,
        failed=event.failed,
    )
    return pb.EntryMessage(release=message)


@encode_event.register
def _encode_held(event: GrantReported, now_s: float) -> pb.EntryMessage:
    message = pb.HeldMessage(
        ticket=_encode_ticket(event.ticket, now_s),
        server=event.server,
    )
    return pb.EntryMessage(held=message)


@encode_event.register
def _encode_observed(event: TokensObserved, now_s: float) -> pb.EntryMessage:
    message = pb.ObservedMessage(
        server=event.server,
        token_ms=event.token_s * MS_PER_S,
        first_ms=event.first_s * MS_PER_S,
        count=event.count,
    )
    return pb.EntryMessage(observed=message)


def decode_event(
    message: pb.EntryMessage,
    entry: str,
    now_s: float,
) -> Event:
    """Decode an event that an entry instance sent to a broker.

    :param entry: name of the entry instance.
    :param now_s: the receiver's clock, for converting ages to times.
    """
    kind = message.WhichOneof('kind')
    if kind == 'open':
        return TicketOpened(_decode_ticket(message.open, entry, now_s))
    if kind == 'withdraw':
        return TicketWithdrawn(message.withdraw)
    if kind == 'release':
        return GrantReleased(message.release.ticket_id, message.release.failed)
    if kind == 'held':
        ticket = _decode_ticket(message.held.ticket, entry, now_s)
        return GrantReported(ticket, message.held.server)
    observed = message.observed
    return TokensObserved(
        observed.server,
        observed.token_ms / MS_PER_S,
        observed.first_ms / MS_PER_S,
        observed.count,
    )


@singledispatch
def encode_command(command: Command) -> pb.BrokerMessage:
    """Encode a command that a broker sends to an entry instance."""
    raise TypeError(command)


@encode_command.register
def _encode_granted(command: Granted) -> pb.BrokerMessage:
    grant = pb.GrantMessage(
        ticket_id=command.ticket_id,
        server=command.server,
        address=command.address,
    )
    return pb.BrokerMessage(granted=grant)


@encode_command.register
def _encode_paused(command: Paused) -> pb.BrokerMessage:
    return pb.BrokerMessage(paused=command.ticket_id)


@encode_command.register
def _encode_moved(command: Moved) -> pb.BrokerMessage:
    return pb.BrokerMessage(moved=command.ticket_id)


@encode_command.register
def _encode_refused(command: Refused) -> pb.BrokerMessage:
    refusal = pb.RefusalMessage(
        ticket_id=command.ticket_id,
        code=int(command.code),
        retry_after_ms=command.retry_after_ms,
    )
    return pb.BrokerMessage(refused=refusal)


def decode_command(message: pb.BrokerMessage, entry: str) -> Command:
    """Decode a command that a broker sent to an entry instance.

    :param entry: name of the entry instance.
    """
    kind = message.WhichOneof('kind')
    if kind == 'granted':
        granted = message.granted
        return Granted(
            granted.ticket_id,
            entry,
            granted.server,
            address=granted.address,
        )
    if kind == 'paused':
        return Paused(message.paused, entry)
    if kind == 'moved':
        return Moved(message.moved, entry)
    refused = message.refused
    return Refused(
        refused.ticket_id,
        entry,
        Code(refused.code),
        refused.retry_after_ms,
    )


def encode_packet(packet: Packet) -> bytes:
    """Encode one heartbeat, without its keyed hash."""
    message = pb.PacketMessage(
        kind=packet.kind,
        sender=encode_member(packet.sender),
        sequence=packet.sequence,
        news=[encode_member(member) for member in packet.updates],
        target=packet.target,
    )
    return message.SerializeToString()


def decode_packet(datagram: bytes) -> Packet:
    """Decode one heartbeat, without its keyed hash.

    :raises google.protobuf.message.DecodeError: if it is malformed.
    """
    message = pb.PacketMessage.FromString(datagram)
    return Packet(
        message.kind,
        decode_member(message.sender),
        message.sequence,
        tuple(decode_member(member) for member in message.news),
        message.target,
    )


def pack_members(members: Iterable[Member]) -> bytes:
    """Encode many members, which have most of their text in common."""
    encoded = pb.MemberList(members=map(encode_member, members))
    return zlib.compress(encoded.SerializeToString())


def unpack_members(packed: bytes) -> list[Member]:
    """Decode the result of :func:`pack_members`."""
    encoded = pb.MemberList.FromString(zlib.decompress(packed))
    return list(map(decode_member, encoded.members))


def encode_server(view: ServerView) -> pb.ServerMessage:
    """Encode one backend server."""
    return pb.ServerMessage(
        name=view.name,
        address=view.address,
        pool=view.pool,
        zone=view.zone,
        leaving=view.leaving,
        slots=view.slots,
        incarnation=view.incarnation,
        version=view.version,
        is_spot=view.is_spot,
    )


def decode_server(message: pb.ServerMessage) -> ServerView:
    """Decode one backend server."""
    return ServerView(
        name=message.name,
        address=message.address,
        pool=message.pool,
        zone=message.zone,
        leaving=message.leaving,
        slots=message.slots,
        incarnation=message.incarnation,
        version=message.version,
        is_spot=message.is_spot,
    )


def _encode_ticket(ticket: Ticket, now_s: float) -> pb.TicketMessage:
    return pb.TicketMessage(
        ticket_id=ticket.ticket_id,
        pool=ticket.pool,
        node=ticket.node,
        tier=ticket.tier,
        age_ms=max(0, int((now_s - ticket.opened_s) * MS_PER_S)),
        target_ms=int(ticket.target_s * MS_PER_S),
        patience_ms=int(ticket.max_wait_s * MS_PER_S),
        share=ticket.share,
        prefix=ticket.prefix,
        pausable=ticket.pausable,
        resumed=ticket.resumed,
        avoid=ticket.avoid,
        token_ms=int(ticket.token_s * MS_PER_S),
    )


def _decode_ticket(
    message: pb.TicketMessage,
    entry: str,
    now_s: float,
) -> Ticket:
    return Ticket(
        ticket_id=message.ticket_id,
        entry=entry,
        pool=message.pool,
        node=message.node,
        tier=message.tier,
        opened_s=now_s - message.age_ms / MS_PER_S,
        target_s=message.target_ms / MS_PER_S,
        max_wait_s=message.patience_ms / MS_PER_S,
        share=message.share,
        prefix=message.prefix,
        pausable=message.pausable,
        resumed=message.resumed,
        avoid=message.avoid,
        token_s=message.token_ms / MS_PER_S,
    )


def encode_member(member: Member) -> pb.MemberMessage:
    """Encode the state of one member."""
    return pb.MemberMessage(
        name=member.name,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        zone=member.zone,
        incarnation=member.incarnation,
        counter=member.counter,
        state=member.state,
        tree_version=member.tree_version,
        capacity=member.capacity,
    )


def decode_member(message: pb.MemberMessage) -> Member:
    """Decode the state of one member."""
    return Member(
        message.name,
        message.peer_address,
        message.caller_address,
        message.zone,
        message.incarnation,
        message.counter,
        message.state,
        message.tree_version,
        message.capacity,
    )
