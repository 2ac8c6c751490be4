"""Know which prompt parts each backend server has probably cached.

Pure logic. What was placed on a server is taken as cached there until the
least recently used parts exceed what its memory keeps. An engine finds a part
only if it has all parts before it, so parts are followed as chains.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from siskinpass.request.ticket import PromptPiece

# Running requests take their share of an engine's memory; the rest caches.
CACHE_FRACTION = 0.7


class ServerCache:
    """Follow the parts on one server."""

    def __init__(self, memory_tokens: int) -> None:
        """Start empty.

        :param memory_tokens: tokens that the engine's memory holds.
        """
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0
        self.resize(memory_tokens)

    def resize(self, memory_tokens: int) -> None:
        """Take in another size of the engine's memory."""
        self._capacity_tokens = memory_tokens * CACHE_FRACTION
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
        """Note a prompt that was placed here."""
        for piece in pieces:
            if piece.key in self._parts:
                self._parts.move_to_end(piece.key)
            else:
                self._parts[piece.key] = piece.tokens
                self._tokens += piece.tokens
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while self._tokens > self._capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


class CacheMap:
    """Follow the parts on all servers of a group."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with nothing cached.

        :param memory_tokens: tokens that the memory of each engine holds.
        """
        self._memory_tokens = memory_tokens
        self._caches: dict[str, ServerCache] = {}

    def cached_tokens(self, server: str, pieces: Sequence[PromptPiece]) -> int:
        """Return how many tokens of a prompt a server need not read."""
        cache = self._caches.get(server)
        return cache.cached_tokens(pieces) if cache else 0

    def record(self, server: str, pieces: Iterable[PromptPiece]) -> None:
        """Note a prompt that was placed on a server."""
        cache = self._caches.get(server)
        if cache is None:
            cache = ServerCache(self._memory_tokens)
            self._caches[server] = cache
        cache.record(pieces)

    def resize(self, memory_tokens: int) -> None:
        """Take in another size of the engines' memory."""
        if memory_tokens != self._memory_tokens:
            self._memory_tokens = memory_tokens
            for cache in self._caches.values():
                cache.resize(memory_tokens)

    def remove_server(self, server: str) -> None:
        """Forget a server that ended or started anew."""
        self._caches.pop(server, None)
