"""Choose the instances whose addresses are returned to a caller."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.membership import Member

MAX_ADDRESSES = 3


@dataclass(frozen=True, slots=True)
class Address:
    """An instance that a caller may use.

    :param name: name of the instance.
    :param address: its address for callers, ``ip:port``.
    :param zone: its availability zone.
    """

    name: str
    address: str
    zone: str


def choose_addresses(serving: Iterable[Member], zone: str) -> list[Address]:
    """Return up to ``MAX_ADDRESSES`` instances, best first.

    An instance in the caller's zone comes first, then one of each other zone.
    Instances of one zone are in random order, which spreads callers over them.

    :param serving: members that are neither dead nor leaving.
    :param zone: availability zone of the caller, empty where unknown.
    """
    candidates = [
        Address(member.name, member.caller_address, member.zone)
        for member in serving
        if member.caller_address
    ]
    random.shuffle(candidates)
    candidates.sort(key=lambda address: address.zone != zone)
    return _spread_over_zones(candidates)[:MAX_ADDRESSES]


def first_address(candidates: Iterable[Address]) -> str:
    """Return the best address, empty where there is none."""
    return next((address.address for address in candidates), '')


def _spread_over_zones(candidates: list[Address]) -> list[Address]:
    """Reorder so that each zone's first instance precedes any second one."""
    seen: dict[str, int] = {}
    ranks = []
    for address in candidates:
        seen[address.zone] = seen.get(address.zone, 0) + 1
        ranks.append(seen[address.zone])
    order = sorted(range(len(candidates)), key=ranks.__getitem__)
    return [candidates[index] for index in order]
