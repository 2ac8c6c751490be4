"""Choose the instances that a caller is told to use."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from siskinpass.process.membership import Member

MAX_ADDRESSES = 3
MIN_NEAR = 2
MAX_NEAR = 64  # callers read no more of an answer


@dataclass(frozen=True, slots=True)
class Address:
    """Name an instance that a caller may use."""

    name: str
    address: str
    zone: str


def choose_addresses(serving: Iterable[Member], zone: str) -> list[Address]:
    """Return instances: the caller's zone first, then one of each other.

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
    """Put one instance of each zone before a second of any."""
    seen: dict[str, int] = {}
    ranks = []
    for address in candidates:
        seen[address.zone] = seen.get(address.zone, 0) + 1
        ranks.append(seen[address.zone])
    order = sorted(range(len(candidates)), key=ranks.__getitem__)
    return [candidates[index] for index in order]


def addresses_near(serving: Iterable[Member], zone: str) -> list[str]:
    """Return the instances of a zone, or all where it has fewer than two.

    One alone would leave a caller without a second address to turn to.

    :param serving: members that are neither dead nor leaving.
    :param zone: availability zone of the caller.
    """
    candidates = [member for member in serving if member.caller_address]
    near = [member for member in candidates if member.zone == zone]
    chosen = near if len(near) >= MIN_NEAR else candidates
    return [member.caller_address for member in chosen[:MAX_NEAR]]
