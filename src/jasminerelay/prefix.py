"""An approximate view of which server has which prompt prefix cached.

Cache events come late and with gaps, so the index is a hint for routing and
never more: a wrong entry costs a prefill, not an answer.
"""

import collections

import xxhash

BLOCK_CHARS = 256
MAX_BLOCKS = 16
DEFAULT_CAPACITY = 20000


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
    """Returns the hash by which a prompt's part is known."""
    return xxhash.xxh64_intdigest(name.encode())


class PrefixIndex:
    """Which blocks each backend server probably holds; least recent go."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY):
        """Makes an empty index.

        Args:
            capacity: Most entries over all servers.
        """
        self._capacity = capacity
        self._entries: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._sequence: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, server: str, hashes: tuple[int, ...]) -> None:
        """Notes that a server computed these blocks."""
        for block in hashes:
            self._entries[server, block] = None
            self._entries.move_to_end((server, block))
        while len(self._entries) > self._capacity:
            self._entries.popitem(last=False)

    def event(
        self,
        server: str,
        sequence: int,
        stored: tuple[int, ...],
        removed: tuple[int, ...],
    ) -> None:
        """Takes a cache event of a server.

        A gap in the sequence means that removals were missed: the server's
        entries would then name blocks that it dropped, and requests would
        be sent after a cache that is not there. So all of them are dropped.
        """
        expected = self._sequence.get(server, sequence)
        self._sequence[server] = sequence + 1
        if sequence < expected:
            return
        if sequence > expected:
            self.forget(server)
        for block in removed:
            self._entries.pop((server, block), None)
        self.add(server, stored)

    def forget(self, server: str) -> None:
        """Drops all entries of a server."""
        stale = [key for key in self._entries if key[0] == server]
        for key in stale:
            del self._entries[key]

    def matched(self, server: str, hashes: tuple[int, ...]) -> int:
        """Returns how many leading blocks a server probably holds."""
        count = 0
        for block in hashes:
            if (server, block) not in self._entries:
                break
            count += 1
        return count
