"""Measures claims a second against a table service with a rate limit.

A limit of 300 writes a second may count each commit once, however many rows
it has, or each row. Both cases are measured, with all claims made by one
instance.
"""

import time
import types

import anyio

from bench import figures
from jasminerelay.claimstore import AcquiredClaim, ClaimStore
from jasminerelay.errors import StoreError
from jasminerelay.httpclient import HttpClient
from jasminerelay.metrics import Counters
from jasminerelay.schema.settings import Platform, Statsd
from jasminerelay.store import ObjectStoreClient, TableClient
from jasminerelay.watchdog import Watchdog
from standins.launcher import Options, System, call

WRITES_PER_S = 300
CALL_DURATION_S = 0.02
MAX_CALL_S = 5.0


def main() -> None:
    """Prints claims a second and their latency, by limit and load."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    rows = []
    for limited_unit in ("commits", "rows"):
        for callers in (10, 50, 200):
            rows.append(_run(limited_unit, callers, options.seconds))
    figures.show(rows)
    figures.write_json(rows, options.out)


def _run(limited_unit: str, callers: int, seconds: float) -> dict:
    limits = {"commits": "0", "rows": "0", limited_unit: str(WRITES_PER_S)}
    table = (
        "--commits-per-s",
        limits["commits"],
        "--rows-per-s",
        limits["rows"],
    )
    options = Options(daemons=0, max_engines=0, max_services=0, table=table)
    with System(options) as system:
        urls = {name: system.processes[name].url for name in _SERVICES}
        latencies: list[float] = []
        refused = anyio.run(_measure_claims, urls, callers, seconds, latencies)
        stats = call("GET", system.processes["table"].url + "/stats")[1]
    latencies.sort()
    return {
        "counted": limited_unit,
        "callers": callers,
        "claims/s": round(len(latencies) / seconds),
        "refused": refused,
        "p50 ms": round(latencies[len(latencies) // 2] * 1000, 1),
        "p95 ms": round(latencies[int(len(latencies) * 0.95)] * 1000, 1),
        "rows/commit": round(stats["writes"] / max(1, stats["commits"]), 1),
    }


_SERVICES = ("table", "objects", "instances")


async def _measure_claims(
    urls: dict[str, str], callers: int, seconds: float, latencies: list[float]
) -> int:
    client = HttpClient(Watchdog())
    platform = Platform(**urls)
    claim_store = ClaimStore(
        TableClient(client, platform, 2.0),
        ObjectStoreClient(client, platform, 2.0),
        Counters(Statsd()),
        5.0,
        16384,
    )
    deadline = time.monotonic() + seconds
    refused = types.SimpleNamespace(count=0)

    async def make_claims(name: int) -> None:
        number = 0
        while time.monotonic() < deadline:
            number += 1
            started = time.monotonic()
            try:
                result = await claim_store.acquire(
                    f"claim/{name}-{number}", "d", MAX_CALL_S
                )
            except StoreError:
                refused.count += 1
                continue
            latencies.append(time.monotonic() - started)
            await anyio.sleep(CALL_DURATION_S)
            if isinstance(result, AcquiredClaim):
                await claim_store.record_answer(
                    result, 200, "text/plain", b"done"
                )

    async with anyio.create_task_group() as group:
        group.start_soon(claim_store.run)
        async with anyio.create_task_group() as running:
            for name in range(callers):
                running.start_soon(make_claims, name)
        group.cancel_scope.cancel()
    await client.aclose()
    return refused.count


if __name__ == "__main__":
    main()
