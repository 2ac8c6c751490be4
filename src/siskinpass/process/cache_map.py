"""Estimate which prompt parts each backend server has cached.

Pure logic. A part that was placed on a server counts as cached there until it
is evicted as the least recently used one. An engine can reuse a part only if it
has all parts before it, so only an unbroken run of parts from the start of a
prompt counts.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

from siskinpass.request.ticket import PromptPiece

# Fraction of an engine's KV cache that holds parts of earlier prompts; running
# requests use the rest.
CACHE_FRACTION = 0.7
MAX_PARTS = 60_000  # over all servers
SHRINK_FRACTION = 0.1  # forgotten at once, so that it happens rarely


class ServerCache:
    """Prompt parts that one server probably has cached."""

    def __init__(self, kv_capacity_tokens: int) -> None:
        """Initialize an empty cache.

        :param kv_capacity_tokens: KV cache capacity of the engine in tokens.
        """
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0
        self.resize(kv_capacity_tokens)

    @property
    def keys(self) -> Collection[int]:
        """Return the keys of the cached parts."""
        return self._parts

    def resize(self, kv_capacity_tokens: int) -> list[int]:
        """Set the KV cache capacity and evict parts that do not fit.

        :returns: keys of the evicted parts.
        """
        self._max_cached_tokens = kv_capacity_tokens * CACHE_FRACTION
        return self._evict_oldest()

    def cached_tokens(self, pieces: Sequence[PromptPiece]) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        total = 0
        for piece in pieces:
            if piece.key not in self._parts:
                break
            total += piece.tokens
        return total

    def record(
        self, pieces: Iterable[PromptPiece]
    ) -> tuple[list[int], list[int]]:
        """Record the parts of a prompt as the most recently used ones.

        :returns: keys of the parts that are new, and of those evicted for them.
        """
        added = []
        for piece in pieces:
            if piece.key in self._parts:
                self._parts.move_to_end(piece.key)
            else:
                self._parts[piece.key] = piece.tokens
                self._tokens += piece.tokens
                added.append(piece.key)
        return added, self._evict_oldest()

    def shrink(self) -> list[int]:
        """Evict the least recently used of the parts.

        :returns: keys of the evicted parts.
        """
        count = math.ceil(len(self._parts) * SHRINK_FRACTION)
        return [self._evict() for _ in range(count)]

    def _evict(self) -> int:
        key, tokens = self._parts.popitem(last=False)
        self._tokens -= tokens
        return key

    def _evict_oldest(self) -> list[int]:
        evicted = []
        while self._tokens > self._max_cached_tokens and self._parts:
            evicted.append(self._evict())
        return evicted


class CacheMap:
    """Prompt parts that the servers of a group probably have cached."""

    def __init__(
        self, kv_capacity_tokens: int, max_parts: int = MAX_PARTS
    ) -> None:
        """Initialize a map without servers.

        :param kv_capacity_tokens: KV cache capacity of each engine in tokens.
        :param max_parts: parts that are known at most, over all servers.
        """
        self._kv_capacity_tokens = kv_capacity_tokens
        self._max_parts = max_parts
        self._known_parts = 0
        self._caches: dict[str, ServerCache] = {}
        # Names of the servers that have a part, by its key. Most parts are on
        # one server, for which a tuple is small.
        self._holders: dict[int, tuple[str, ...]] = {}

    def cached_tokens(self, server: str, pieces: Sequence[PromptPiece]) -> int:
        """Return how many tokens of a prompt a server need not prefill.

        It is 0 for an unknown server.
        """
        cache = self._caches.get(server)
        return cache.cached_tokens(pieces) if cache else 0

    def holders(self, pieces: Sequence[PromptPiece]) -> tuple[str, ...]:
        """Return the servers that need not prefill all of a prompt."""
        return self._holders.get(pieces[0].key, ()) if pieces else ()

    def record(self, server: str, pieces: Iterable[PromptPiece]) -> None:
        """Record the parts of a prompt that was placed on a server."""
        cache = self._caches.get(server)
        if cache is None:
            cache = ServerCache(self._kv_capacity_tokens)
            self._caches[server] = cache
        added, evicted = cache.record(pieces)
        for key in added:
            self._holders[key] = (*self._holders.get(key, ()), server)
        self._known_parts += len(added)
        self._remove_holder(server, evicted)
        if self._known_parts > self._max_parts:
            self._shrink()

    def resize(
        self, kv_capacity_tokens: int, max_parts: int = MAX_PARTS
    ) -> None:
        """Set the KV cache capacity of all engines and the bound on parts."""
        self._max_parts = max_parts
        if kv_capacity_tokens != self._kv_capacity_tokens:
            self._kv_capacity_tokens = kv_capacity_tokens
            for name, cache in self._caches.items():
                self._remove_holder(name, cache.resize(kv_capacity_tokens))

    def remove_server(self, server: str) -> None:
        """Drop the cache of a server that has ended or restarted."""
        cache = self._caches.pop(server, None)
        if cache is not None:
            self._remove_holder(server, cache.keys)

    def _shrink(self) -> None:
        """Forget the same share of each server's parts, the oldest first."""
        for name, cache in self._caches.items():
            self._remove_holder(name, cache.shrink())

    def _remove_holder(self, server: str, keys: Collection[int]) -> None:
        self._known_parts -= len(keys)
        for key in keys:
            others = tuple(
                name for name in self._holders[key] if name != server
            )
            if others:
                self._holders[key] = others
            else:
                self._holders.pop(key)
