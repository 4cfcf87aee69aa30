"""Shared prompt parts that an instance has brought to servers, to be announced.

Load handled: a burst of long prompts at several instances that place requests
at the same servers, so that requests overflow from the first server of their
prefix. An instance that knows only its own placements sends the next request
with the same prefix to another server, where it is prefilled again; with 17
instances that was a seventh of all tokens prefilled on days of such bursts.
"""

import dataclasses
from collections.abc import Sequence

from jasminerelay.schema.messages import CachedParts

MIN_INSTANCES_TO_ANNOUNCE = 12
"""Instances from which on placements are announced. With fewer, each has placed
a good part of a prefix's requests itself."""

SENDS_PER_ENTRY = 2
"""Reports in which an entry is sent. Each goes to some of the instances, and a
datagram may be lost."""

MAX_UNSENT_PARTS = 256
"""Parts that may wait to be announced. Each costs 9 bytes of a datagram; one
that is dropped costs a prefill at most."""


@dataclasses.dataclass
class _Entry:
    server: str
    parts: tuple[int, ...]
    sends_left: int = SENDS_PER_ENTRY


class PrefixAnnouncements:
    """Parts brought to servers that the other instances may not know of.

    Example:
        >>> announcements = PrefixAnnouncements()
        >>> announcements.record("s", [1, 2])
        >>> announcements.take_unsent()
        [CachedParts(server='s', parts=[1, 2])]
    """

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._parts = 0

    def record(self, server: str, parts: Sequence[int]) -> None:
        """Records parts that a server will prefill.

        Args:
            server: The server.
            parts: Hashes of those parts that were not known to be there.
        """
        if not parts or self._parts + len(parts) > MAX_UNSENT_PARTS:
            return
        self._entries.append(_Entry(server, tuple(parts)))
        self._parts += len(parts)

    def take_unsent(self) -> list[CachedParts]:
        """Returns what the next report announces."""
        found = [
            CachedParts(entry.server, list(entry.parts))
            for entry in self._entries
        ]
        for entry in self._entries:
            entry.sends_left -= 1
        self._entries = [entry for entry in self._entries if entry.sends_left]
        self._parts = sum(len(entry.parts) for entry in self._entries)
        return found
