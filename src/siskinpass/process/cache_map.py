"""Estimate which prompt parts each backend server has cached.

Pure logic. A part that was placed on a server counts as cached there until it
is evicted as the least recently used one. An engine can reuse a part only if it
has all parts before it, so only an unbroken run of parts from the start of a
prompt counts.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from siskinpass.request.ticket import PromptPiece

# Fraction of an engine's KV cache that holds parts of earlier prompts; running
# requests use the rest.
CACHE_FRACTION = 0.7


class ServerCache:
    """Prompt parts that one server probably has cached."""

    def __init__(self, kv_capacity_tokens: int) -> None:
        """Initialize an empty cache.

        :param kv_capacity_tokens: KV cache capacity of the engine in tokens.
        """
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0
        self.resize(kv_capacity_tokens)

    def resize(self, kv_capacity_tokens: int) -> None:
        """Set the KV cache capacity and evict parts that do not fit."""
        self._max_cached_tokens = kv_capacity_tokens * CACHE_FRACTION
        self._evict_oldest()

    def cached_tokens(self, pieces: Sequence[PromptPiece]) -> int:
        """Return how many tokens at the start of a prompt are cached."""
        total = 0
        for piece in pieces:
            if piece.key not in self._parts:
                break
            total += piece.tokens
        return total

    def record(self, pieces: Iterable[PromptPiece]) -> None:
        """Record the parts of a prompt as the most recently used ones."""
        for piece in pieces:
            if piece.key in self._parts:
                self._parts.move_to_end(piece.key)
            else:
                self._parts[piece.key] = piece.tokens
                self._tokens += piece.tokens
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while self._tokens > self._max_cached_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class CacheMap:
    """Prompt parts that the servers of a group probably have cached."""

    def __init__(self, kv_capacity_tokens: int) -> None:
        """Initialize a map without servers.

        :param kv_capacity_tokens: KV cache capacity of each engine in tokens.
        """
        self._kv_capacity_tokens = kv_capacity_tokens
        self._caches: dict[str, ServerCache] = {}

    def cached_tokens(self, server: str, pieces: Sequence[PromptPiece]) -> int:
        """Return how many tokens of a prompt a server need not prefill.

        It is 0 for an unknown server.
        """
        cache = self._caches.get(server)
        return cache.cached_tokens(pieces) if cache else 0

    def record(self, server: str, pieces: Iterable[PromptPiece]) -> None:
        """Record the parts of a prompt that was placed on a server."""
        cache = self._caches.get(server)
        if cache is None:
            cache = ServerCache(self._kv_capacity_tokens)
            self._caches[server] = cache
        cache.record(pieces)

    def resize(self, kv_capacity_tokens: int) -> None:
        """Set the KV cache capacity of all engines."""
        if kv_capacity_tokens != self._kv_capacity_tokens:
            self._kv_capacity_tokens = kv_capacity_tokens
            for cache in self._caches.values():
                cache.resize(kv_capacity_tokens)

    def remove_server(self, server: str) -> None:
        """Drop the cache of a server that has ended or restarted."""
        self._caches.pop(server, None)
