"""Measures the processor cost of the decisions of an instance on the platform.

Usage: python -m bench.platformcost

Prints the microseconds of one call of each operation at several numbers of
servers, as the minimum of five rounds. The capacity page is calculated from
these figures.
"""

import random
import time
from collections.abc import Callable

import msgspec
import tabulate

from jasminerelay import peermessages, placing
from jasminerelay.catalog import BackendServer, Engine
from jasminerelay.enginemodel import EngineSpeeds
from jasminerelay.groups import ServerSplit, TotalDemand
from jasminerelay.placing import OutputEstimate, PlacementCandidate
from jasminerelay.registry import Registry
from jasminerelay.schema.messages import (
    PeerMessage,
    ReplicaStatus,
    RouteDemand,
    ServerLoad,
    ServerRow,
)
from jasminerelay.workload import Load, Workload
from tests.test_placing import call

ROUNDS = 5
CALLS_PER_ROUND = 200
SIZES = (8, 32, 128, 512)
ENGINE = Engine(64, 700_000, 18_432, True, 5)
SPEEDS = EngineSpeeds(1 / 80_000, 0.045, 0.004, 0.000_08)


def make_message(servers: int) -> PeerMessage:
    """Returns a message of an instance that reports load at some servers."""
    loads = [ServerLoad(f"i-{n:010x}", 9000, 3, 40_000) for n in range(servers)]
    demand = [RouteDemand(f"pool/r-{n}", 0.4, 900, n) for n in range(5)]
    return PeerMessage(
        None,
        "edge-1/0123456789ab",
        77,
        ReplicaStatus(1, 2, 3),
        peermessages.load_columns(loads),
        peermessages.demand_columns(demand),
    )


def min_microseconds(part: Callable[[], object]) -> float:
    """Returns the mean time of one call in the fastest round."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            part()
        best_s = min(best_s, (time.perf_counter() - started) / CALLS_PER_ROUND)
    return best_s * 1e6


def receive_message(servers: int) -> Callable[[], object]:
    """Returns an operation that handles one message of another instance."""
    data = peermessages.encode(make_message(servers))
    workload = Workload()
    view = TotalDemand()
    sequence_numbers = iter(range(1, 1 << 30))

    def part() -> None:
        message = peermessages.decode(data)
        loads = peermessages.load_rows(message.loads)
        workload.apply_report("edge-1", next(sequence_numbers), loads, 1.0)
        view.update("edge-1", peermessages.demand_rows(message.demand), 1.0)

    return part


def place_request(servers: int) -> Callable[[], object]:
    """Returns an operation that places one model request in its group."""
    rng = random.Random(1)
    options = [
        PlacementCandidate(
            BackendServer(f"i-{n:010x}", "pool", "1.2.3.4:5", "z", 64, False),
            Load(rng.randrange(30_000), rng.randrange(40), 300_000),
        )
        for n in range(servers)
    ]
    model_call = call()
    output_estimate = OutputEstimate(300, 300)
    return lambda: placing.place_model(
        model_call, ENGINE, SPEEDS, options, output_estimate, 0.0
    )


def split(servers: int) -> Callable[[], object]:
    """Returns an operation that updates the split of one service's servers."""
    names = [f"i-{n:010x}" for n in range(servers)]
    demand = [RouteDemand(f"r-{n}", 0.5 + n, 900.0, n) for n in range(5)]
    held = ServerSplit()
    return lambda: held.update(names, demand)


def change_row(servers: int) -> Callable[[], object]:
    """Returns an operation that applies one changed server row."""

    def decode(name: str, data: bytes) -> BackendServer:
        return BackendServer(name, "pool", "1.2.3.4:5", "z", 64, False)

    registry = Registry(lambda data: None, decode)
    rows = [ServerRow(f"i-{n:010x}", n + 1, b"x") for n in range(servers)]
    registry.apply_changes(rows, servers)
    versions = iter(range(servers + 1, 1 << 30))

    def part() -> None:
        version = next(versions)
        row = ServerRow("i-0000000000", version, b"x")
        registry.apply_changes([row], version)

    return part


def main() -> None:
    """Prints the table of costs."""
    parts = (
        ("peer message received", receive_message),
        ("request placed", place_request),
        ("split updated", split),
        ("server row changed", change_row),
    )
    rows = [
        [name, *(round(min_microseconds(make(size)), 1) for size in SIZES)]
        for name, make in parts
    ]
    sizes = [len(msgspec.msgpack.encode(make_message(size))) for size in SIZES]
    rows.append(["bytes of a peer message", *sizes])
    headers = ["us for", *(f"{size} servers" for size in SIZES)]
    print(tabulate.tabulate(rows, headers, tablefmt="github"))


if __name__ == "__main__":
    main()
