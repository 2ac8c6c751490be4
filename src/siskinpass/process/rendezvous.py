"""Choose instances by rendezvous hashing.

Each instance comes to the same choice from the same set of names, and a
change of the set moves only what the changed instance held.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# Pairs of a key and a name: each decision about a prompt compares all servers
# for one of a few hundred keys.
WEIGHT_CACHE_SIZE = 16_384


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in their order for a key, the holder first."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def holder(key: str, names: Iterable[str]) -> str:
    """Return the name that holds a key.

    :raises ValueError: where there are no names.
    """
    return max(names, key=lambda name: _weight(key, name))


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
