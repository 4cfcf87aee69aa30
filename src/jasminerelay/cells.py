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
from collections.abc import Iterable, Sequence

from jasminerelay import rendezvous

CELL_SERVERS = 8
"""Most servers of a cell. Its owner places some 40 requests a second at the
rates known; fewer servers could not be split between three kinds of work."""


def cells_of(servers: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Returns a service's servers by cell.

    Each server goes to the first cell in its own order that has room, so that
    cells are even, and that few servers change cells when one comes or goes.

    >>> [len(cell) for cell in cells_of(str(n) for n in range(20))]
    [6, 7, 7]
    """
    return _cells(tuple(sorted(servers)))


def home(key: str, count: int) -> int:
    """Returns the cell, of some number of cells, where a key belongs."""
    return int(rendezvous.owner(key, _names(count)))


def owner(service: str, cell: int, instances: Sequence[str]) -> str | None:
    """Returns the instance that decides for a cell; None if there is none."""
    return rendezvous.owner(f"{service}/{cell}", instances)


@functools.lru_cache(maxsize=64)
def _cells(servers: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    if not servers:
        return ()
    count = math.ceil(len(servers) / CELL_SERVERS)
    room = math.ceil(len(servers) / count)
    cells: list[list[str]] = [[] for _ in range(count)]
    for server in servers:
        order = rendezvous.rank(server, _names(count))
        chosen = next(name for name in order if len(cells[int(name)]) < room)
        cells[int(chosen)].append(server)
    return tuple(tuple(cell) for cell in cells)


def _names(count: int) -> list[str]:
    return [str(number) for number in range(count)]
