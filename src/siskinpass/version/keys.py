"""Creation, hashing and look-up of callers' API keys."""

import hashlib
import secrets
from functools import lru_cache

from siskinpass.version.schema import ApiKey, Tree

KEY_BYTES = 32
SALT_BYTES = 12
MAX_CACHED_KEYS = 4096


def make_key(default_class: str = '') -> tuple[str, ApiKey]:
    """Return a new API key and its entry in the settings tree.

    :param default_class: class of requests that name none.
    :returns: the key, to be handed to the caller, and the entry with its
        salted hash.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return key, ApiKey(salt, hash_key(salt, key), default_class)


def hash_key(salt: str, key: str) -> str:
    """Return the salted hash of a key.

    Keys have 256 random bits, so one round of a salted hash is enough.

    :param salt: the salt in hexadecimal.
    """
    digest = hashlib.blake2b(
        key.encode(), salt=bytes.fromhex(salt)[:SALT_BYTES]
    )
    return digest.hexdigest()


class KeyTable:
    """Look-up of the workspace of an API key in one version of the tree.

    Each key has its own salt, so the first look-up of a key has to hash it
    with every salt; the results of the latest look-ups are cached.
    """

    def __init__(self, tree: Tree) -> None:
        """Collect the keys of all workspaces of a tree."""
        self._keys = [
            (key.salt, key.digest, name, key)
            for name, branch in tree.workspaces.items()
            for key in branch.keys
        ]
        self.find = lru_cache(maxsize=MAX_CACHED_KEYS)(self._find)

    def _find(self, key: str) -> tuple[str, ApiKey] | None:
        for salt, digest, name, entry in self._keys:
            if secrets.compare_digest(hash_key(salt, key), digest):
                return name, entry
        return None
