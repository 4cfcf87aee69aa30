"""Measures how a cell fares while its broker is lost.

Short requests at a steady rate at all instances; the broker is killed or
frozen. Reports the longest pause between two answers' first tokens, how far
the engines' work went above their slots, and what callers saw.
"""

import asyncio
import random
import threading
import time

import httpcore

from bench import figures
from bench.load import LoadGenerator
from bench.mix import MORETON, PlannedRequest, RequestKind
from jasminerelay import rendezvous
from standins.launcher import Options, System, call

DAEMONS = 6
ENGINES = 2
SLOTS = 8
RATE = 30.0
LOST_AT_S = 4.0
SECONDS = 10.0
FROZEN_S = 4.0
SAMPLE_S = 0.02


def main() -> None:
    """Prints the figures of each way to lose the broker."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    rows = [
        _run(way, seed)
        for way in ("none", "killed", "frozen", "drained")
        for seed in range(options.seeds)
    ]
    figures.show(rows)
    figures.write_json(rows, options.out)


def _run(way: str, seed: int) -> dict:
    options = Options(
        daemons=DAEMONS,
        max_engines=ENGINES,
        max_services=1,
        engine=("--step-ms", "20"),
    )
    with System(options) as system:
        names = [daemon.name for daemon in system.daemons]
        owner = rendezvous.owner("model/0", names)
        broker = next(d for d in system.daemons if d.name == owner)
        others = [d for d in system.daemons if d is not broker]
        urls = [daemon.url for daemon in others]
        excess = _Excess(system)
        threading.Timer(LOST_AT_S, _lose, (way, broker)).start()
        caller = LoadGenerator(MORETON, urls, seed, retries_refused=False)
        started = time.monotonic()
        seen = asyncio.run(caller.run(_schedule(seed), 1.0))
        elapsed = time.monotonic() - started
        excess.stop()
    firsts = sorted(s.planned.at + s.first_s for s in seen if s.whole)
    pauses = [b - a for a, b in zip(firsts, firsts[1:], strict=False)]
    waits = sorted(item.first_s for item in seen if item.whole)
    return {
        "broker": way,
        "seed": seed,
        "requests": len(seen),
        "not served": sum(not item.whole for item in seen),
        "wrong": sum(item.wrong for item in seen),
        "longest pause s": round(max(pauses), 3),
        "first token p99 s": round(waits[int(len(waits) * 0.99)], 3),
        "most above slots": excess.most,
        "seconds": round(elapsed, 1),
    }


def _schedule(seed: int) -> list[PlannedRequest]:
    rng = random.Random(seed)
    kind = RequestKind("chat", 1.0, 12, 0.5, "helper", "chat", 300, 256, 10)
    schedule, at = [], 0.0
    while at < SECONDS:
        tokens = rng.randint(6, 18)
        organisation = rng.randint(1, 10)
        serial = rng.getrandbits(40)
        schedule.append(PlannedRequest(at, kind, organisation, tokens, serial))
        at += rng.expovariate(RATE)
    return schedule


def _lose(way: str, broker) -> None:
    match way:
        case "killed":
            broker.kill()
        case "frozen":
            broker.freeze()
            time.sleep(FROZEN_S)
            broker.thaw()
        case "drained":
            broker.terminate()


class _Excess:
    """Samples how far the engines' work goes above their slots."""

    def __init__(self, system: System):
        self.most = 0
        self._urls = [
            system.processes[f"model-{n + 1}"].url for n in range(ENGINES)
        ]
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Ends sampling."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_S):
            for url in self._urls:
                try:
                    load = call("GET", url + "/load")[1]
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    continue
                total = load["running"] + load["waiting"]
                self.most = max(self.most, total - SLOTS)


if __name__ == "__main__":
    main()
