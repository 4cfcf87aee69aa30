"""Measures the latency and processor time that one daemon adds.

Compares requests through a daemon with requests sent to the engines directly.
The load is open loop, with the requests and tokens a second of one daemon at
the design size. It goes to several engines because the streams of one daemon
do not decode in lock step. Processor time is measured after the warm-up, when
the first answers have ended. Direct and relayed runs alternate.
"""

import asyncio
import random
import statistics
import threading
import time

from bench import figures
from bench.load import LoadGenerator, RequestResult
from bench.mix import MORETON, PlannedRequest, RequestKind
from standins.launcher import Daemon, Options, System, cpu_seconds

REQUESTS_PER_S = 9.0
TOKENS = 305
STEP_MS = 32.0
WARM_UP_S = 12.0
"""Time until streams end at the rate at which they begin."""


def main() -> None:
    """Prints the median figures of direct and relayed runs."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    results: dict[str, list[dict]] = {"direct": [], "relayed": []}
    for seed in range(options.rounds):
        for path in results:
            results[path].append(_run(path, seed, options.seconds))
    rows = []
    for path, runs in results.items():
        row = {"way": path}
        for name in runs[0]:
            row[name] = round(statistics.median(r[name] for r in runs), 4)
        rows.append(row)
    figures.show(rows)
    figures.write_json(results, options.out)


def _run(path: str, seed: int, seconds: float) -> dict[str, float]:
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
    kind = RequestKind("chat", 1.0, TOKENS, 0.2, "helper", "chat", 400, 256, 10)
    schedule, at = [], 0.0
    while at < seconds:
        tokens = round(TOKENS * rng.uniform(0.8, 1.2))
        organisation = rng.randint(1, 10)
        serial = rng.getrandbits(40)
        schedule.append(PlannedRequest(at, kind, organisation, tokens, serial))
        at += rng.expovariate(REQUESTS_PER_S)
    with System(options) as system:
        daemon = system.daemons[0]
        urls = [system.processes[f"model-{n + 1}"].url for n in range(6)]
        if path == "relayed":
            urls = [daemon.url]
        generator = LoadGenerator(MORETON, urls, seed, retries_refused=False)
        cpu_meter = _CpuMeter(daemon, WARM_UP_S, seconds)
        request_results = asyncio.run(generator.run(schedule, 1.0))
        cpu = cpu_meter.share()
    return _summarise(request_results, cpu)


class _CpuMeter:
    """Measures the daemon's processor time from start_s to end_s."""

    def __init__(self, daemon: Daemon, start_s: float, end_s: float):
        self._daemon = daemon
        self._samples: list[tuple[float, float]] = []
        for delay in (start_s, end_s):
            threading.Timer(delay, self._sample).start()

    def _sample(self) -> None:
        self._samples.append((time.monotonic(), cpu_seconds(self._daemon)))

    def share(self) -> float:
        """Returns processor seconds a second between the two samples."""
        (start, before), (end, after) = self._samples
        return (after - before) / (end - start)


def _summarise(
    request_results: list[RequestResult], cpu: float
) -> dict[str, float]:
    first = sorted(item.first_s for item in request_results)
    gaps = sorted(gap for item in request_results for gap in item.gaps)
    tokens_per_s = REQUESTS_PER_S * TOKENS
    return {
        "requests": len(request_results),
        "failed": sum(not item.whole for item in request_results),
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
