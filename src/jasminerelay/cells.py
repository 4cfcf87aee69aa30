"""Cells: small groups of servers whose requests one instance places.

Does no I/O. With dozens of instances, each learns of the others' placements up
to a second late, and within that second several of them would fill the same
server. Each cell therefore has one owner, which rendezvous hashing picks among
the live instances. The owner places all requests for the cell's servers, by the
placements that it has made itself. Cells are small, so that an owner's work
stays constant as servers are added, but large enough for their servers to be
split between kinds of work.
"""

import functools
import math
from collections.abc import Iterable, Iterator, Sequence

import xxhash

from jasminerelay import rendezvous
from jasminerelay.catalog import BackendServer, Catalog
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import CellQueue

MS = 1e3

MAX_SERVERS_PER_CELL = 8
"""Maximum servers per cell. At the expected rates the owner places some 40
requests per second; fewer servers could not be split between three kinds of
work."""

MAX_PROBES = 32
"""Maximum hash probes for a cell with free capacity. The last few servers find
most cells full and then take the first one that isn't."""

JUMP_MULTIPLIER = 2862933555777941757
MASK_64 = (1 << 64) - 1

QUEUE_MAX_AGE_S = 1.0
"""Maximum age of an owner's queue estimate, which is published every 0.1 s."""

Cell = tuple[str, int]
"""Service and cell number."""


def cells_of(servers: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Groups a service's servers into cells.

    Each server takes the first cell with free capacity in its own probe order,
    so that cells have similar sizes and few servers change cells when one is
    added or removed.

        >>> sorted(len(cell) for cell in cells_of(str(n) for n in range(20)))
        [6, 7, 7]
    """
    return _cells(tuple(sorted(servers)))


def cell_number(server: str, servers: Iterable[str]) -> int | None:
    """Returns a server's cell number; None if it is not among the servers."""
    return _numbers(tuple(sorted(servers))).get(server)


def cell_of_key(key: str, count: int) -> int:
    """Returns the cell, out of `count`, to which a key hashes."""
    return int(rendezvous.owner(key, _cell_names(count)))


def cells_by_key(key: str, count: int) -> Iterator[int]:
    """Yields all cells in the order in which a key's requests use them."""
    first = cell_of_key(key, count)
    yield first
    for name in rendezvous.rank(key, _cell_names(count)):
        if int(name) != first:
            yield int(name)


def owner(service: str, cell: int, instances: Sequence[str]) -> str | None:
    """Returns the instance that owns a cell; None if there are no instances."""
    return rendezvous.owner(f"{service}/{cell}", instances)


class CellServers:
    """The servers of one cell, with the interface of the registry."""

    def __init__(self, registry: Registry, service: str, cell: int):
        self._registry = registry
        self._service = service
        self._cell = cell

    @property
    def catalog(self) -> Catalog | None:
        """The current configuration."""
        return self._registry.catalog

    @property
    def exists(self) -> bool:
        """Whether the service has this cell."""
        ids = self._registry.server_ids_of(self._service)
        return 0 <= self._cell < len(cells_of(ids))

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the cell's servers that accept new requests."""
        if service != self._service:
            return []
        split = cells_of(self._registry.server_ids_of(service))
        if self._cell >= len(split):
            return []
        found = (self._registry.server(name) for name in split[self._cell])
        return [server for server in found if server is not None]


class QueueEstimates:
    """Queue estimates for all cells, as published by their owners."""

    def __init__(self) -> None:
        self._queues: dict[Cell, dict[str, float]] = {}
        self._updated_at: dict[Cell, float] = {}

    def update(self, queues: Iterable[CellQueue], now: float) -> None:
        """Stores an owner's queue estimates."""
        for item in queues:
            cell = (item.service, item.cell)
            self._queues.setdefault(cell, {})[item.kind] = item.ahead_ms / MS
            self._updated_at[cell] = now

    def shortest(
        self, cell: Cell, kind: str, now: float
    ) -> tuple[int, float] | None:
        """Returns the cell with the shortest queue, and its estimated wait.

        Args:
            cell: A cell of the service, which is excluded.
            kind: The kind of work.
            now: Monotonic time.
        """
        found = [
            (queues[kind], other[1])
            for other, queues in self._queues.items()
            if other[0] == cell[0]
            and other != cell
            and kind in queues
            and now - self._updated_at[other] < QUEUE_MAX_AGE_S
        ]
        if not found:
            return None
        ahead_s, number = min(found)
        return number, ahead_s

    def add(self, cell: Cell, kind: str, busy_s: float) -> None:
        """Adds redirected work to a cell's estimate until the next one arrives.

        Otherwise all requests that are redirected between two estimates would
        go to the same cell.
        """
        self._queues[cell][kind] += busy_s


@functools.lru_cache(maxsize=64)
def _cells(servers: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    if not servers:
        return ()
    count = math.ceil(len(servers) / MAX_SERVERS_PER_CELL)
    capacity = math.ceil(len(servers) / count)
    cells: list[list[str]] = [[] for _ in range(count)]
    for server in servers:
        chosen = next(
            x for x in _probe_order(server, count) if len(cells[x]) < capacity
        )
        cells[chosen].append(server)
    return tuple(tuple(cell) for cell in cells)


@functools.lru_cache(maxsize=16)
def _numbers(servers: tuple[str, ...]) -> dict[str, int]:
    return {
        server: number
        for number, cell in enumerate(_cells(servers))
        for server in cell
    }


def _probe_order(server: str, count: int) -> Iterator[int]:
    """Yields the cells in the order in which a server probes them.

    Lazily: ranking all cells for each server takes quadratic time, which is
    seconds of CPU time with thousands of servers.
    """
    for attempt in range(MAX_PROBES):
        seed = xxhash.xxh64_intdigest(server.encode(), attempt)
        yield _jump(seed, count)
    yield from range(count)


def _jump(key: int, count: int) -> int:
    """Returns the bucket of a key; few keys move when the count changes.

    Jump consistent hash, Lamping and Veach 2014.
    """
    bucket, following = -1, 0
    while following < count:
        bucket = following
        key = (key * JUMP_MULTIPLIER + 1) & MASK_64
        following = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket


def _cell_names(count: int) -> list[str]:
    return [str(number) for number in range(count)]
