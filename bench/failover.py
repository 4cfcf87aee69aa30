"""Measures how the loss of its broker affects a cell.

Short requests arrive at a steady rate at all instances but the broker, which
is killed, frozen or drained during the run. Reports the longest time between
the first tokens of two successive answers, the largest number of requests
above an engine's slots, and the requests that failed or got a wrong answer.
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
REQUESTS_PER_S = 30.0
FAILURE_AT_S = 4.0
SECONDS = 10.0
FREEZE_S = 4.0
SAMPLE_INTERVAL_S = 0.02


def main() -> None:
    """Prints the figures for each way in which the broker fails."""
    parser = figures.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    rows = [
        _run(failure, seed)
        for failure in ("none", "killed", "frozen", "drained")
        for seed in range(options.seeds)
    ]
    figures.show(rows)
    figures.write_json(rows, options.out)


def _run(failure: str, seed: int) -> dict:
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
        overload_sampler = _OverloadSampler(system)
        threading.Timer(FAILURE_AT_S, _fail_broker, (failure, broker)).start()
        generator = LoadGenerator(MORETON, urls, seed, retries_refused=False)
        started = time.monotonic()
        results = asyncio.run(generator.run(_schedule(seed), 1.0))
        elapsed = time.monotonic() - started
        overload_sampler.stop()
    first_token_times = sorted(
        s.planned.at + s.first_s for s in results if s.whole
    )
    intervals = [
        b - a
        for a, b in zip(first_token_times, first_token_times[1:], strict=False)
    ]
    first_token_delays = sorted(item.first_s for item in results if item.whole)
    return {
        "broker": failure,
        "seed": seed,
        "requests": len(results),
        "not served": sum(not item.whole for item in results),
        "wrong": sum(item.wrong for item in results),
        "longest pause s": round(max(intervals), 3),
        "first token p99 s": round(
            first_token_delays[int(len(first_token_delays) * 0.99)], 3
        ),
        "most above slots": overload_sampler.max_excess,
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
        at += rng.expovariate(REQUESTS_PER_S)
    return schedule


def _fail_broker(failure: str, broker) -> None:
    match failure:
        case "killed":
            broker.kill()
        case "frozen":
            broker.pause()
            time.sleep(FREEZE_S)
            broker.unpause()
        case "drained":
            broker.terminate()


class _OverloadSampler:
    """Samples by how many requests an engine's load exceeds its slots."""

    def __init__(self, system: System):
        self.max_excess = 0
        self._urls = [
            system.processes[f"model-{n + 1}"].url for n in range(ENGINES)
        ]
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Stops sampling."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_INTERVAL_S):
            for url in self._urls:
                try:
                    load = call("GET", url + "/load")[1]
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    continue
                total = load["running"] + load["waiting"]
                self.max_excess = max(self.max_excess, total - SLOTS)


if __name__ == "__main__":
    main()
