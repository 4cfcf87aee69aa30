"""Measures what one daemon adds, against a direct connection to the engine.

Open loop: as many requests a second, and tokens a second, as one daemon gets
at the size designed for, over a few engines, as the streams of one daemon do
not step together. Figures are of the time after the first answers are done.
Direct and relayed runs take turns.
"""

import asyncio
import random
import statistics
import threading
import time

from bench import figures
from bench.load import Caller, Seen
from bench.mix import MORETON, Kind, Planned
from standins.launcher import Daemon, Options, System, cpu_seconds

REQUESTS_PER_S = 9.0
TOKENS = 305
STEP_MS = 32.0
WARM_UP_S = 12.0
"""Time after which as many streams end as begin."""


def main() -> None:
    """Runs the comparison and prints the figures."""
    args = figures.parser(__doc__)
    args.add_argument("--rounds", type=int, default=3)
    args.add_argument("--seconds", type=float, default=30.0)
    options = args.parse_args()
    results: dict[str, list[dict]] = {"direct": [], "relayed": []}
    for seed in range(options.rounds):
        for way in results:
            results[way].append(_run(way, seed, options.seconds))
    rows = []
    for way, runs in results.items():
        row = {"way": way}
        for name in runs[0]:
            row[name] = round(statistics.median(r[name] for r in runs), 4)
        rows.append(row)
    figures.show(rows)
    figures.keep(results, options.out)


def _run(way: str, seed: int, seconds: float) -> dict[str, float]:
    options = Options(
        daemons=1,
        max_services=1,
        engine=(
            "--step-ms",
            str(STEP_MS),
            "--step-per-stream-ms",
            "0",
            "--slots",
            "400",
        ),
        manifest=(
            ("slots = 8", "slots = 400"),
            ("max_tokens = 512", "max_tokens = 4096"),
        ),
    )
    rng = random.Random(seed)
    kind = Kind("chat", 1.0, TOKENS, 0.2, "helper", "chat", 400, 256, 10)
    schedule, at = [], 0.0
    while at < seconds:
        tokens = round(TOKENS * rng.uniform(0.8, 1.2))
        organisation = rng.randint(1, 10)
        serial = rng.getrandbits(40)
        schedule.append(Planned(at, kind, organisation, tokens, serial))
        at += rng.expovariate(REQUESTS_PER_S)
    with System(options) as system:
        daemon = system.daemons[0]
        urls = [system.processes[f"model-{n + 1}"].url for n in range(6)]
        if way == "relayed":
            urls = [daemon.url]
        caller = Caller(MORETON, urls, seed, comes_back=False)
        meter = _Meter(daemon, WARM_UP_S, seconds)
        seen = asyncio.run(caller.run(schedule, 1.0))
        cpu = meter.share()
    return _figures(seen, cpu)


class _Meter:
    """Measures the daemon's processor time in the steady part of a run."""

    def __init__(self, daemon: Daemon, start_s: float, end_s: float):
        self._daemon = daemon
        self._marks: list[tuple[float, float]] = []
        for delay in (start_s, end_s):
            threading.Timer(delay, self._mark).start()

    def _mark(self) -> None:
        self._marks.append((time.monotonic(), cpu_seconds(self._daemon)))

    def share(self) -> float:
        """Returns processor seconds a second."""
        (start, before), (end, after) = self._marks
        return (after - before) / (end - start)


def _figures(seen: list[Seen], cpu: float) -> dict[str, float]:
    first = sorted(item.first_s for item in seen)
    gaps = sorted(gap for item in seen for gap in item.gaps)
    tokens_per_s = REQUESTS_PER_S * TOKENS
    return {
        "requests": len(seen),
        "failed": sum(not item.whole for item in seen),
        "tokens/s": tokens_per_s,
        "first p50 ms": first[len(first) // 2] * 1000,
        "first p95 ms": first[int(len(first) * 0.95)] * 1000,
        "gap p50 ms": gaps[len(gaps) // 2] * 1000,
        "gap p95 ms": gaps[int(len(gaps) * 0.95)] * 1000,
        "gap p99 ms": gaps[int(len(gaps) * 0.99)] * 1000,
        "daemon cpu": cpu,
        "cpu us/token": cpu * 1e6 / tokens_per_s,
    }


if __name__ == "__main__":
    main()
