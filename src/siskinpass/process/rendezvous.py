"""Map keys to names by rendezvous hashing.

All instances compute the same result from the same set of names. Adding or
removing a name moves only the keys that the name holds.
"""

import hashlib
import heapq
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

# Cached pairs of a key and a name. Each placement of a prompt compares all
# servers for one of a few hundred keys.
WEIGHT_CACHE_SIZE = 16_384
WEIGHT_BYTES = 8
# With as many bits the number is never rounded to 0 or 1.
UNIFORM_BITS = 52
EXCESS_BITS = 8 * WEIGHT_BYTES - UNIFORM_BITS


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their hash weight for a key.

    The first one is the holder of the key.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def holder(key: str, names: Iterable[str]) -> str:
    """Return the name with the highest hash weight for a key.

    :raises ValueError: if there are no names.
    """
    return max(names, key=lambda name: _weight(key, name))


def weighted_holder(key: str, weights: Mapping[str, float]) -> str:
    """Return the holder of a key among names that hold keys by their weight.

    With equal weights it is the one that :func:`holder` returns.

    :raises ValueError: if there are no names.
    """
    if len(set(weights.values())) == 1:
        return holder(key, weights)
    return max(
        weights,
        key=lambda name: weights[name] * _share(key, name),
    )


def first_holders(
    key: str, weights: Mapping[str, float], count: int
) -> list[str]:
    """Return the names that hold a key if those before them are missing.

    The first of them in a set of names is what :func:`weighted_holder` returns
    for this set.
    """
    if len(set(weights.values())) == 1:
        return heapq.nlargest(count, weights, lambda name: _weight(key, name))
    return heapq.nlargest(
        count, weights, lambda name: weights[name] * _share(key, name)
    )


def _share(key: str, name: str) -> float:
    """Return a number that rises with the hash weight.

    The largest of these numbers, each multiplied by a weight, belongs to each
    name in proportion to its weight.
    """
    weight = int.from_bytes(_weight(key, name)) >> EXCESS_BITS
    return -1 / math.log((weight + 0.5) / 2**UNIFORM_BITS)


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(
        f'{key}/{name}'.encode(), digest_size=WEIGHT_BYTES
    ).digest()
