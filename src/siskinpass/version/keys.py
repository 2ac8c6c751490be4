"""Hash and look up callers' API keys."""

import hashlib
import secrets
from functools import lru_cache

from siskinpass.version.schema import ApiKey, Tree

KEY_BYTES = 32
SALT_BYTES = 12
MAX_CACHED_KEYS = 4096


def make_key(default_class: str = '') -> tuple[str, ApiKey]:
    """Make a new API key.

    :returns: the key, to be given to its caller, and what the tree holds.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    return key, ApiKey(salt, hash_key(salt, key), default_class)


def hash_key(salt: str, key: str) -> str:
    """Return the salted hash of a key.

    Keys have 256 random bits, so that one round of a keyed hash suffices.
    """
    digest = hashlib.blake2b(
        key.encode(), salt=bytes.fromhex(salt)[:SALT_BYTES]
    )
    return digest.hexdigest()


class KeyTable:
    """Find the workspace of an API key in one version of the tree.

    Each key has a salt of its own, so a first look-up tries them all; what
    was found is cached by the key's own hash.
    """

    def __init__(self, tree: Tree) -> None:
        """Index the keys of a tree."""
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
