"""Selects the backend server for a permit."""

import dataclasses

from jasminerelay.fairqueue import QueuedRequest
from jasminerelay.schema.manifest import Server

PREFIX_WEIGHT = 0.5
"""Value of a fully cached prompt, in units of a full server's load.

A cache hit saves the prefill, which is at most about half of a short answer's
time; a larger weight makes requests queue for one server with a warm cache.
"""

STRAGGLER_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A backend server and its current load and cache state.

    Attributes:
        server: Its entry in the manifest.
        granted: Permits granted on it and not yet released.
        unattributed: Requests in its load report that no permit accounts for.
        slowness: Step time relative to the median of its peers.
        cached_blocks: Leading blocks of the prompt that its prefix cache
            probably holds.
    """

    server: Server
    granted: int
    unattributed: int
    slowness: float
    cached_blocks: int

    @property
    def free(self) -> int:
        """Number of slots that may still be granted."""
        return self.server.slots - self.granted - self.unattributed


def select_server(
    waiting: QueuedRequest, candidates: list[Candidate]
) -> Candidate | None:
    """Returns the best candidate with a free slot, or None.

    The server that the request should resume on comes first; otherwise the
    lowest score of load, prefix cache hits and slowness wins.
    """
    usable = [
        item
        for item in candidates
        if item.free > 0 and item.server.name not in waiting.avoid
    ]
    for item in usable:
        if item.server.name == waiting.resume_on:
            return item
    return min(
        usable,
        key=lambda item: (_score(waiting, item), item.server.name),
        default=None,
    )


def _score(waiting: QueuedRequest, item: Candidate) -> float:
    busy = 1 - item.free / item.server.slots
    hit_ratio = (
        item.cached_blocks / len(waiting.prefixes) if waiting.prefixes else 0.0
    )
    excess_slowness = max(0.0, item.slowness - 1.0)
    return busy - PREFIX_WEIGHT * hit_ratio + STRAGGLER_WEIGHT * excess_slowness
