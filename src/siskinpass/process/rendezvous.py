"""Map keys to names by rendezvous hashing.

All instances compute the same result from the same set of names. Adding or
removing a name moves only the keys that the name holds.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# Cached pairs of a key and a name. Each placement of a prompt compares all
# servers for one of a few hundred keys.
WEIGHT_CACHE_SIZE = 16_384


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


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
