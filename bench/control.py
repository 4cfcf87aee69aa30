"""Measures the processor time of coordination by request rate.

Sends the same short requests at the same rate, once with brokers and once with
the naive version; the difference in processor time of the daemons is the cost
of coordination. Daemons that run a broker are shown apart from those that only
request permits.
"""

import asyncio
import random
import threading
import time

import numpy

from bench import figures
from bench.load import LoadGenerator
from bench.mix import MORETON, PlannedRequest, RequestKind
from standins.launcher import Options, System, cpu_seconds

DAEMONS = 6
REQUEST_RATES = (2.0, 4.5, 9.0, 18.0)
SECONDS = 12.0
WARM_UP_S = 3.0


def main() -> None:
    """Prints processor time by rate, and the fitted cost per request."""
    parser = figures.argument_parser(__doc__)
    options = parser.parse_args()
    rows = []
    for rate in REQUEST_RATES:
        naive = _run("naive", rate)
        broker = _run("broker", rate)
        rows.append(
            {
                "requests/s a daemon": rate,
                "naive %": round(naive["mean"] * 100, 2),
                "asking %": round(broker["asking"] * 100, 2),
                "brokering %": round(broker["brokering"] * 100, 2),
                "frames/s": round(broker["frames"], 1),
                "gossip B/s": round(broker["gossip"], 0),
            }
        )
    figures.show(rows)
    for name in ("asking %", "brokering %"):
        added_percent = [row[name] - row["naive %"] for row in rows]
        slope, start = numpy.polyfit(REQUEST_RATES, added_percent, 1)
        print(
            f"{name}: {slope * 1e4:.0f} us of CPU per request,"
            f" {start:.2f} % without load"
        )
    figures.write_json(rows, options.out)


def _run(version: str, rate: float) -> dict[str, float]:
    options = Options(
        daemons=DAEMONS,
        max_services=1,
        engine=("--step-ms", "5"),
        settings={"": {"coordination": version}},
    )
    rng = random.Random(1)
    kind = RequestKind("chat", 1.0, 2, 0.0, "helper", "chat", 300, 256, 10)
    schedule, at = [], 0.0
    while at < SECONDS:
        serial = rng.getrandbits(40)
        schedule.append(PlannedRequest(at, kind, rng.randint(1, 10), 2, serial))
        at += rng.expovariate(rate * DAEMONS)
    cpu_samples: list[list[float]] = []
    with System(options) as system:

        def sample_cpu() -> None:
            cpu_samples.append(
                [cpu_seconds(daemon) for daemon in system.daemons]
            )

        timers = [
            threading.Timer(at, sample_cpu) for at in (WARM_UP_S, SECONDS)
        ]
        for timer in timers:
            timer.start()
        urls = [daemon.url for daemon in system.daemons]
        started = time.monotonic()
        generator = LoadGenerator(MORETON, urls, 1, retries_refused=False)
        asyncio.run(generator.run(schedule, 1.0))
        elapsed = time.monotonic() - started
        for timer in timers:
            timer.join()
        states = [system.status(daemon) for daemon in system.daemons]
    measured_s = SECONDS - WARM_UP_S
    cpu_shares = [
        (b - a) / measured_s for a, b in zip(*cpu_samples, strict=True)
    ]
    runs_broker = [bool(state["cells"]) for state in states]
    client_shares = [
        u for u, host in zip(cpu_shares, runs_broker, strict=True) if not host
    ]
    broker_shares = [
        u for u, host in zip(cpu_shares, runs_broker, strict=True) if host
    ]
    counters = [state["counters"] for state in states]
    return {
        "mean": sum(cpu_shares) / len(cpu_shares),
        "asking": sum(client_shares) / max(1, len(client_shares)),
        "brokering": sum(broker_shares) / max(1, len(broker_shares)),
        "frames": sum(
            c.get("link.frames_in", 0) + c.get("link.frames_out", 0)
            for c in counters
        )
        / DAEMONS
        / elapsed,
        "gossip": sum(c["gossip.bytes_out"] for c in counters)
        / DAEMONS
        / elapsed,
    }


if __name__ == "__main__":
    main()
