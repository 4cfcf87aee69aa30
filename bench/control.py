"""Measures what coordination costs a daemon, by requests a second.

The same requests of few tokens at the same rate, once with brokers and once
with the naive version; the difference in processor time is the cost of
control. The daemon that brokers is shown apart from those that only ask.
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
RATES = (2.0, 4.5, 9.0, 18.0)
SECONDS = 12.0
SETTLE_S = 3.0


def main() -> None:
    """Prints processor time by rate, and the fitted cost of a request."""
    parser = figures.argument_parser(__doc__)
    options = parser.parse_args()
    rows = []
    for rate in RATES:
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
        extra = [row[name] - row["naive %"] for row in rows]
        slope, start = numpy.polyfit(RATES, extra, 1)
        print(f"{name}: {slope * 1e4:.0f} us a request, {start:.2f} % at 0")
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
    marks: list[list[float]] = []
    with System(options) as system:

        def mark() -> None:
            marks.append([cpu_seconds(daemon) for daemon in system.daemons])

        timers = [threading.Timer(at, mark) for at in (SETTLE_S, SECONDS)]
        for timer in timers:
            timer.start()
        urls = [daemon.url for daemon in system.daemons]
        started = time.monotonic()
        caller = LoadGenerator(MORETON, urls, 1, retries_refused=False)
        asyncio.run(caller.run(schedule, 1.0))
        elapsed = time.monotonic() - started
        for timer in timers:
            timer.join()
        states = [system.status(daemon) for daemon in system.daemons]
    span = SECONDS - SETTLE_S
    used = [(b - a) / span for a, b in zip(*marks, strict=True)]
    hosts = [bool(state["cells"]) for state in states]
    asking = [u for u, host in zip(used, hosts, strict=True) if not host]
    brokering = [u for u, host in zip(used, hosts, strict=True) if host]
    counters = [state["counters"] for state in states]
    return {
        "mean": sum(used) / len(used),
        "asking": sum(asking) / max(1, len(asking)),
        "brokering": sum(brokering) / max(1, len(brokering)),
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
