"""Approximate index of the prompt prefixes in the servers' KV caches.

Cache events arrive late and with gaps, so the index is only a hint for routing:
a wrong entry costs one prefill and never an answer.
"""

import collections
from collections.abc import Sequence

import xxhash

BLOCK_CHARS = 256
MAX_BLOCKS = 16
DEFAULT_CAPACITY = 20000

MAX_PARTS = 8192
"""Parts that are known of one server's cache. Callers state their sizes, and
parts of no token would be kept for good; those of usual prompts fill a cache
with a quarter as many."""


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Returns the chained hashes of a prompt's leading blocks.

    Two prompts share their first n hashes exactly if they share their first
    n blocks of BLOCK_CHARS characters.
    """
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt), BLOCK_CHARS):
        block = prompt[start : start + BLOCK_CHARS]
        if len(block) < BLOCK_CHARS or len(hashes) == MAX_BLOCKS:
            break
        state.update(block.encode(errors="surrogatepass"))
        hashes.append(state.intdigest())
    return tuple(hashes)


def part_hash(name: str) -> int:
    """Returns the hash that identifies a part of a prompt."""
    return xxhash.xxh64_intdigest(name.encode())


class PrefixIndex:
    """Blocks that each server probably has cached, with LRU eviction."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY):
        """Creates an empty index.

        Args:
            capacity: Maximum number of entries over all servers.
        """
        self._capacity = capacity
        self._entries: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._holders: dict[int, dict[str, None]] = {}
        self._sequence: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, server: str, hashes: tuple[int, ...]) -> None:
        """Records that a server computed these blocks."""
        for block in hashes:
            self._entries[server, block] = None
            self._entries.move_to_end((server, block))
            holders = self._holders.setdefault(block, {})
            holders.pop(server, None)
            holders[server] = None
        while len(self._entries) > self._capacity:
            self._remove(*next(iter(self._entries)))

    def event(
        self,
        server: str,
        sequence: int,
        stored: tuple[int, ...],
        removed: tuple[int, ...],
    ) -> None:
        """Applies a cache event of a server.

        A gap in the sequence means that removals were missed. The server's
        entries could then name blocks that it has evicted, and requests would
        be routed to a cache that no longer exists, so all its entries are
        deleted.
        """
        expected = self._sequence.get(server, sequence)
        self._sequence[server] = sequence + 1
        if sequence < expected:
            return
        if sequence > expected:
            self.forget(server)
        for block in removed:
            self._remove(server, block)
        self.add(server, stored)

    def forget(self, server: str) -> None:
        """Deletes all entries of a server."""
        stale = [key for key in self._entries if key[0] == server]
        for key in stale:
            self._remove(*key)

    def holders(self, block: int) -> list[str]:
        """Returns the servers that probably have a block, the latest first."""
        return list(reversed(self._holders.get(block, {})))

    def _remove(self, server: str, block: int) -> None:
        self._entries.pop((server, block), None)
        holders = self._holders.get(block, {})
        holders.pop(server, None)
        if not holders:
            self._holders.pop(block, None)

    def matched(self, server: str, hashes: tuple[int, ...]) -> int:
        """Returns how many leading blocks a server probably has cached."""
        count = 0
        for block in hashes:
            if (server, block) not in self._entries:
                break
            count += 1
        return count


class CacheView:
    """Prompt parts in each server's KV cache, derived from requests sent.

    For the instance that places all requests of a server. Engines evict the
    least recently used parts once their cache is full; if the view kept more,
    requests would be placed by parts that must be prefilled again. On engines
    that hold thirty long prompts a prefix is evicted after some fifteen
    seconds.

    Example:
        >>> view = CacheView()
        >>> view.add("s", [(1, 60), (2, 30)], capacity=100)
        >>> view.matched("s", (1, 3))
        1
        >>> view.add("s", [(4, 60)], capacity=100)
        >>> view.matched("s", (1,))
        0
    """

    def __init__(self) -> None:
        self._parts: dict[str, collections.OrderedDict[int, int]] = {}
        self._tokens: collections.Counter[str] = collections.Counter()

    def add(
        self, server: str, parts: Sequence[tuple[int, int]], capacity: int
    ) -> None:
        """Records that a server prefills a prompt.

        Args:
            server: The server.
            parts: Hash and token count of the prompt's parts, in order.
            capacity: KV cache capacity of the server in tokens.
        """
        held = self._parts.setdefault(server, collections.OrderedDict())
        # The prefix is evicted last: without it the rest is of no use.
        for part, tokens in reversed(parts):
            self._tokens[server] += tokens - held.pop(part, 0)
            held[part] = tokens
        while held and (
            self._tokens[server] > capacity or len(held) > MAX_PARTS
        ):
            _, tokens = held.popitem(last=False)
            self._tokens[server] -= tokens

    def holders(self, part: int) -> list[str]:
        """Returns the servers that have a part cached."""
        return [name for name, held in self._parts.items() if part in held]

    def matched(self, server: str, hashes: Sequence[int]) -> int:
        """Returns how many leading parts a server has cached."""
        held = self._parts.get(server, {})
        count = 0
        for part in hashes:
            if part not in held:
                break
            count += 1
        return count

    def forget(self, server: str) -> None:
        """Deletes the record of a server that has ended."""
        self._parts.pop(server, None)
        self._tokens.pop(server, None)
