"""Slopes of what an instance on the platform pays for its decisions.

Usage: python -m bench.platformcost

Prints microseconds for each part at several sizes, least of five rounds, so
that the capacity page can be worked out from them.
"""

import random
import time
from collections.abc import Callable

import msgspec
import tabulate

from jasminerelay import peerwords, placing
from jasminerelay.catalog import BackendServer, Engine
from jasminerelay.enginemodel import Speeds
from jasminerelay.groups import DemandView, Split
from jasminerelay.placing import Guess, Option
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    KindDemand,
    PeerWord,
    ServerLoad,
    ServerRow,
    Standing,
)
from jasminerelay.workload import Load, Workload
from tests.test_placing import call

ROUNDS = 5
TIMES = 200
SIZES = (8, 32, 128, 512)
ENGINE = Engine(64, 700_000, 18_432, True, 5)
SPEEDS = Speeds(1 / 80_000, 0.045, 0.004, 0.000_08)


def word(servers: int) -> PeerWord:
    """Returns an instance's word with work at some servers."""
    loads = [ServerLoad(f"i-{n:010x}", 9000, 3, 40_000) for n in range(servers)]
    demand = [KindDemand(f"pool/r-{n}", 0.4, 900, n) for n in range(5)]
    return PeerWord(
        None,
        "edge-1/0123456789ab",
        77,
        Standing(1, 2, 3),
        peerwords.load_columns(loads),
        peerwords.demand_columns(demand),
    )


def microseconds(part: Callable[[], object]) -> float:
    """Returns the least mean time of one call."""
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(TIMES):
            part()
        best = min(best, (time.perf_counter() - started) / TIMES)
    return best * 1e6


def hear(servers: int) -> Callable[[], object]:
    """Returns the work of one word from another instance."""
    data = peerwords.encode(word(servers))
    workload = Workload()
    view = DemandView()
    numbers = iter(range(1, 1 << 30))

    def part() -> None:
        heard = peerwords.decode(data)
        loads = peerwords.load_rows(heard.loads)
        workload.hear("edge-1", next(numbers), loads, 1.0)
        view.hear("edge-1", peerwords.demand_rows(heard.demand), 1.0)

    return part


def place(servers: int) -> Callable[[], object]:
    """Returns the work of placing one model request in its group."""
    rng = random.Random(1)
    options = [
        Option(
            BackendServer(f"i-{n:010x}", "pool", "1.2.3.4:5", "z", 64, False),
            Load(rng.randrange(30_000), rng.randrange(40), 300_000),
        )
        for n in range(servers)
    ]
    item = call()
    guess = Guess(300, 300)
    return lambda: placing.place_model(
        item, ENGINE, SPEEDS, options, guess, 0.0
    )


def split(servers: int) -> Callable[[], object]:
    """Returns the work of looking at one service's split."""
    names = [f"i-{n:010x}" for n in range(servers)]
    demand = [KindDemand(f"r-{n}", 0.5 + n, 900.0, n) for n in range(5)]
    held = Split()
    return lambda: held.update(names, demand)


def change(servers: int) -> Callable[[], object]:
    """Returns the work of one server's changed row."""

    def decode(name: str, data: bytes) -> BackendServer:
        return BackendServer(name, "pool", "1.2.3.4:5", "z", 64, False)

    registry = Registry(lambda data: None, decode)
    rows = [ServerRow(f"i-{n:010x}", n + 1, b"x") for n in range(servers)]
    registry.take_changes(rows, servers)
    versions = iter(range(servers + 1, 1 << 30))

    def part() -> None:
        version = next(versions)
        row = ServerRow("i-0000000000", version, b"x")
        registry.take_changes([row], version)

    return part


def main() -> None:
    """Prints the table."""
    parts = (
        ("word heard", hear),
        ("request placed", place),
        ("split looked at", split),
        ("server row changed", change),
    )
    rows = [
        [name, *(round(microseconds(make(size)), 1) for size in SIZES)]
        for name, make in parts
    ]
    sizes = [len(msgspec.msgpack.encode(word(size))) for size in SIZES]
    rows.append(["bytes of a word", *sizes])
    headers = ["us for", *(f"{size} servers" for size in SIZES)]
    print(tabulate.tabulate(rows, headers, tablefmt="github"))


if __name__ == "__main__":
    main()
