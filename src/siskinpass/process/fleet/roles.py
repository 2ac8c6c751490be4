"""Choose which instances of a fleet serve callers and read the store.

Pure logic: all instances with the same view of the membership choose the same.
In a large fleet most instances are spare: a caller that spreads its requests
over hundreds of instances would leave each of them without knowledge of the
engines, and without open connections to them.
"""

from collections.abc import Iterable, Sequence

from siskinpass.process.membership import Member
from siskinpass.process.rendezvous import rank

# Instances with at least this fraction of the largest capacity count as large.
LARGE_FRACTION = 0.75
# Instances that serve callers, over all zones: enough for their traffic, few
# enough that each knows the load of all others.
MAX_SERVING = 24
# Instances of a zone that serve its callers at least, so that a caller has an
# alternative if one fails.
MIN_SERVING_IN_ZONE = 2
# Instances that relay requests besides those that serve callers.
SPARE_RELAYS = 8
# Instances that always read the store and relay it to the others.
READERS = 2
# Further instances that read it when they are asked to, because no reader can
# be reached or hears the store. They are the same for all instances, which
# bounds the calls while the store is away.
SPARE_READERS = 3
# Instances that may hold the lease of the duties: enough that one of them
# reaches the store and the cloud API, few enough that their reads cost little.
DUTY_CANDIDATES = 4


def large_members(members: Iterable[Member]) -> list[Member]:
    """Return the members with about the largest capacity."""
    given = tuple(members)
    largest = max((member.capacity for member in given), default=0)
    return [
        member
        for member in given
        if member.capacity >= LARGE_FRACTION * largest
    ]


def serving_members(members: Iterable[Member], zone: str) -> list[Member]:
    """Return the members that callers in a zone should use.

    They are the large ones of the zone, or of all zones if it has too few.

    :param members: members that are neither dead nor leaving.
    :param zone: availability zone of the callers, empty if unknown.
    """
    candidates = [member for member in members if member.caller_address]
    large = large_members(candidates)
    zones = {member.zone for member in large}
    limit = max(MIN_SERVING_IN_ZONE, MAX_SERVING // max(1, len(zones)))
    near = [member for member in large if member.zone == zone]
    if len(near) >= MIN_SERVING_IN_ZONE:
        return _first(near, limit)
    return _first(large, MAX_SERVING)


def all_serving_members(members: Iterable[Member]) -> list[Member]:
    """Return the members that callers in any zone should use.

    They report their loads to each other, so that their number is bounded.
    """
    given = tuple(members)
    zones = {member.zone for member in given}
    chosen = {
        member.name: member
        for zone in zones
        for member in serving_members(given, zone)
    }
    return [chosen[name] for name in sorted(chosen)]


def relay_members(
    members: Iterable[Member], serving: Sequence[Member]
) -> list[Member]:
    """Return the members that relay requests for the others.

    They are those that callers use, which have connections to servers, and a
    few more in case all of these are cut off from the servers.

    :param serving: those of the members that callers use.
    """
    names = {member.name for member in serving}
    rest = [member for member in members if member.name not in names]
    return [*serving, *_first(rest, SPARE_RELAYS)]


def readers(members: Iterable[Member]) -> list[str]:
    """Return the names of the members that read the store for the others.

    Large ones are preferred, and each of them in another zone if possible.
    """
    return reader_candidates(members)[:READERS]


def reader_order(own: str, members: Iterable[Member]) -> list[str]:
    """Return the instances that an instance may follow, in order.

    The readers come first, in an order that differs between instances and so
    spreads them; the spare readers follow.

    :param own: name of the instance, which is left out.
    """
    candidates = reader_candidates(members)
    ordered = [*rank(own, candidates[:READERS]), *candidates[READERS:]]
    return [name for name in ordered if name != own]


def reader_candidates(members: Iterable[Member]) -> list[str]:
    """Return the names of the instances that may read the store.

    Large ones are preferred, and each of them in another zone if possible.
    """
    given = tuple(members)
    large = large_members(given)
    ordered = _first(large, len(large))
    seen: set[str] = set()
    apart = []
    for member in ordered:
        if member.zone not in seen:
            seen.add(member.zone)
            apart.append(member.name)
    rest = [one.name for one in ordered if one.name not in apart]
    return [*apart, *rest][: READERS + SPARE_READERS]


def duty_candidates(members: Iterable[Member]) -> list[Member]:
    """Return the members that may hold the lease of the duties, in order.

    :param members: members that are neither dead nor leaving.
    """
    by_name = {member.name: member for member in members}
    names = reader_candidates(by_name.values())[:DUTY_CANDIDATES]
    return [by_name[name] for name in names]


def _first(members: Iterable[Member], count: int) -> list[Member]:
    by_name = {member.name: member for member in members}
    return [by_name[name] for name in rank('serving', by_name)[:count]]
