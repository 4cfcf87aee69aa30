"""Cells: small groups of a service's servers that one instance decides for.

Pure. With dozens of instances each hears of another's placings a second late,
and in that second several of them fill the same server. So each cell has one
owner among the instances, found by hashing over the living, which places all
requests for the cell's servers by what it has itself placed there. A cell is
small, so that the owner's work stays constant however many servers there are,
and large enough to be split between kinds of work.
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

CELL_SERVERS = 8
"""Most servers of a cell. Its owner places some 40 requests a second at the
rates known; fewer servers could not be split between three kinds of work."""

MOST_PROBES = 32
"""Cells at which a server looks for room by hashing; the last few servers find
most cells full, and take the first one that is not."""

JUMP_MULTIPLIER = 2862933555777941757
MASK_64 = (1 << 64) - 1

QUEUE_LIFE_S = 1.0
"""How long an owner's word on its queue counts; it is told each 0.1 s."""

Cell = tuple[str, int]
"""Service and number of a cell."""


def cells_of(servers: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Returns a service's servers by cell.

    Each server goes to the first cell in its own order that has room, so that
    cells are even, and that few servers change cells when one comes or goes.

    >>> sorted(len(cell) for cell in cells_of(str(n) for n in range(20)))
    [6, 7, 7]
    """
    return _cells(tuple(sorted(servers)))


def number_of(server: str, servers: Iterable[str]) -> int | None:
    """Returns the cell of a server; None if it is none of the servers."""
    return _numbers(tuple(sorted(servers))).get(server)


def home(key: str, count: int) -> int:
    """Returns the cell, of some number of cells, where a key belongs."""
    return int(rendezvous.owner(key, _names(count)))


def owner(service: str, cell: int, instances: Sequence[str]) -> str | None:
    """Returns the instance that decides for a cell; None if there is none."""
    return rendezvous.owner(f"{service}/{cell}", instances)


class CellServers:
    """The servers of one cell, in the place of a registry of all."""

    def __init__(self, registry: Registry, service: str, cell: int):
        self._registry = registry
        self._service = service
        self._cell = cell

    @property
    def catalog(self) -> Catalog | None:
        """The configuration in force."""
        return self._registry.catalog

    @property
    def known(self) -> bool:
        """Whether the service has so many cells."""
        ids = self._registry.ids_of(self._service)
        return 0 <= self._cell < len(cells_of(ids))

    def servers_of(self, service: str) -> list[BackendServer]:
        """Returns the cell's servers that take new work."""
        if service != self._service:
            return []
        split = cells_of(self._registry.ids_of(service))
        if self._cell >= len(split):
            return []
        found = (self._registry.server(name) for name in split[self._cell])
        return [server for server in found if server is not None]


class QueueView:
    """How long the queues at cells are, by what their owners tell."""

    def __init__(self) -> None:
        self._queues: dict[Cell, dict[str, float]] = {}
        self._heard: dict[Cell, float] = {}

    def hear(self, queues: Iterable[CellQueue], now: float) -> None:
        """Takes an owner's word."""
        for item in queues:
            cell = (item.service, item.cell)
            self._queues.setdefault(cell, {})[item.kind] = item.ahead_ms / MS
            self._heard[cell] = now

    def shortest(
        self, cell: Cell, kind: str, now: float
    ) -> tuple[int, float] | None:
        """Returns the cell with the shortest queue and the time it takes.

        Args:
            cell: A cell of the service that is left out.
            kind: The kind of work.
            now: Steady time.
        """
        found = [
            (queues[kind], other[1])
            for other, queues in self._queues.items()
            if other[0] == cell[0]
            and other != cell
            and kind in queues
            and now - self._heard[other] < QUEUE_LIFE_S
        ]
        if not found:
            return None
        ahead_s, number = min(found)
        return number, ahead_s

    def sent(self, cell: Cell, kind: str, busy_s: float) -> None:
        """Notes work sent to a cell, until its owner's next word.

        Without it all that is passed on between two words goes to one cell.
        """
        self._queues[cell][kind] += busy_s


@functools.lru_cache(maxsize=64)
def _cells(servers: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    if not servers:
        return ()
    count = math.ceil(len(servers) / CELL_SERVERS)
    room = math.ceil(len(servers) / count)
    cells: list[list[str]] = [[] for _ in range(count)]
    for server in servers:
        chosen = next(x for x in _order(server, count) if len(cells[x]) < room)
        cells[chosen].append(server)
    return tuple(tuple(cell) for cell in cells)


@functools.lru_cache(maxsize=16)
def _numbers(servers: tuple[str, ...]) -> dict[str, int]:
    return {
        server: number
        for number, cell in enumerate(_cells(servers))
        for server in cell
    }


def _order(server: str, count: int) -> Iterator[int]:
    """Yields the cells in the order in which a server looks for room.

    Hashed one at a time: to rank all cells for each server takes the square of
    the servers, seconds of the processor where there are thousands.
    """
    for attempt in range(MOST_PROBES):
        seed = xxhash.xxh64_intdigest(server.encode(), attempt)
        yield _jump(seed, count)
    yield from range(count)


def _jump(key: int, count: int) -> int:
    """Returns a bucket that few keys leave when the count changes.

    After Lamping and Veach 2014 (jump consistent hash).
    """
    bucket, following = -1, 0
    while following < count:
        bucket = following
        key = (key * JUMP_MULTIPLIER + 1) & MASK_64
        following = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket


def _names(count: int) -> list[str]:
    return [str(number) for number in range(count)]
