"""Measures the CPU time of one instance on the platform, with real connections.

Usage: requestcost [--rounds=N] [--profile=FILE] [--only=CASE]

One instance runs in a process of its own against the stand-in site. Prints the
CPU time of an idle second, a plain request and a stream of 42 events, alone and
among 80 instances, and of a peer message received and a placement as the owner
of a cell. Each figure is the minimum
of several rounds; the idle CPU time of the same case is deducted from those of
requests and messages.

Options:
  --rounds=N      Rounds of each measurement [default: 3].
  --profile=FILE  Writes cProfiles among 80 instances instead: FILE.idle,
                  FILE.streams, FILE.owner and FILE.plain.
  --only=CASE     Measures one case only: "alone" or "among".
"""

import asyncio
import contextlib
import dataclasses
import itertools
import logging
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import docopt
import httpcore
import tabulate

from bench.instancepeers import InstancePeers
from jasminerelay.platform import bootfile
from jasminerelay.platform.statusapp import READY_PATH
from standins.platformsite import (
    API_KEY,
    HOST,
    MODEL_BACKEND,
    PlatformSite,
    SiteOptions,
)

INSTANCES = 80
ENGINES = 16
EVENTS = 42
EVENT_INTERVAL_S = 0.033
IDLE_S = 4.0
SETTLE_S = 3.0
REQUESTS = 100
PLAIN_INTERVAL_S = 0.02
STREAMS = 40
STREAM_INTERVAL_S = 0.05
MESSAGES = 500
MESSAGE_INTERVAL_S = 0.004
PLACEMENTS = 80
PLACEMENT_INTERVAL_S = 0.025
READY_TIMEOUT_S = 20.0
PROFILE_WRITE_S = 0.5

START = """
import sys
from jasminerelay.platform.start import main
sys.exit(main())
"""
PROFILED_START = """
import cProfile, signal, sys
from jasminerelay.platform.root import main
profiler = cProfile.Profile()
signal.signal(signal.SIGUSR1, lambda *_: profiler.enable())
def stop(*_):
    profiler.disable()
    profiler.dump_stats(sys.argv[1] + ".new")
    profiler.clear()
signal.signal(signal.SIGUSR2, stop)
sys.exit(main())
"""


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a process has used so far.

    Attributes:
        cpu_s: CPU time.
        waits: Number of times that it has waited, once for each wake-up.
    """

    cpu_s: float
    waits: int


def usage(pid: int) -> Usage:
    """Returns what a process has used; it must have a single thread."""
    folder = pathlib.Path(f"/proc/{pid}")
    cpu_ns = int((folder / "schedstat").read_text().split()[0])
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("voluntary_ctxt_switches"):
            return Usage(cpu_ns / 1e9, int(line.split()[1]))
    raise ValueError("no count of context switches")


@dataclasses.dataclass(frozen=True)
class Run:
    """One running instance.

    Attributes:
        pid: Its process.
        callers: Its IP:port for callers.
        pool: Connections of the callers.
        peers: The other instances; None if it is alone.
    """

    pid: int
    callers: str
    pool: httpcore.AsyncConnectionPool
    peers: InstancePeers | None


@contextlib.asynccontextmanager
async def running_instance(
    instances: int, profile: str | None
) -> AsyncIterator[Run]:
    """Runs a site with one real instance."""
    options = SiteOptions(engines=ENGINES, plain=4)
    with tempfile.TemporaryDirectory(prefix="requestcost-") as folder:
        site = PlatformSite(options, pathlib.Path(folder))
        async with site.running(), httpcore.AsyncConnectionPool() as pool:
            for server in site.servers.values():
                server.faults.tick_s = EVENT_INTERVAL_S
            path = site.settings("edge-x")
            boot = bootfile.load(path).unwrap()
            command = (
                [sys.executable, "-c", PROFILED_START, profile]
                if profile
                else [sys.executable, "-c", START]
            )
            process = subprocess.Popen(
                command,
                env={**os.environ, "JASMINERELAY_BOOT": str(path)},
                stdout=subprocess.DEVNULL,
            )
            task = None
            try:
                await _until_ready(pool, boot.readiness)
                peers = None
                if instances > 1:
                    peers = InstancePeers(
                        instances - 1, boot.peers, MODEL_BACKEND
                    )
                    peers.servers = [
                        name for name in site.servers if "engine" in name
                    ]
                    task = asyncio.create_task(peers.run())
                await asyncio.sleep(SETTLE_S)
                yield Run(process.pid, boot.callers, pool, peers)
            finally:
                if task is not None:
                    task.cancel()
                process.kill()
                process.wait()


async def _until_ready(pool: httpcore.AsyncConnectionPool, address: str):
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(httpcore.NetworkError):
            response = await pool.request(
                "GET", f"http://{address}{READY_PATH}"
            )
            if response.status == 200:
                return
        await asyncio.sleep(0.05)
    raise TimeoutError("the instance was not ready in time")


class Requests:
    """Sends requests to an instance and checks the responses."""

    def __init__(self, run: Run):
        self._run = run
        self._numbers = itertools.count(1)

    async def plain(self) -> None:
        """Sends a plain request."""
        await self._send("/lookup/a")

    async def stream(self) -> None:
        """Sends a request for a stream."""
        number = next(self._numbers)
        body = await self._send(
            "/chat/stream",
            [
                ("Token-Usage", f"100,{EVENTS}"),
                ("Prefix-Hash", f"{number:x}:60,b:40"),
            ],
        )
        if body.count(b"\n\n") != EVENTS:
            raise RuntimeError(f"incomplete stream: {body[-80:]!r}")

    async def _send(self, path: str, fields=()) -> bytes:
        response = await self._run.pool.request(
            "POST",
            f"http://{self._run.callers}{path}",
            headers=[
                ("Host", HOST),
                ("Attempt-Id", f"a{next(self._numbers)}"),
                ("Authorization", f"Bearer {API_KEY}"),
                ("Content-Length", "0"),
                *fields,
            ],
        )
        if response.status != 200:
            raise RuntimeError(f"{path}: {response.status} {response.content}")
        return response.content


async def _paced(
    count: int, interval_s: float, send: Callable[[], Awaitable[None]]
) -> None:
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(send())
            await asyncio.sleep(interval_s)


async def _used(pid: int, work: Awaitable[None]) -> tuple[Usage, float]:
    """Returns what a process uses while something runs, and for how long."""
    before, began = usage(pid), time.monotonic()
    await work
    after = usage(pid)
    return (
        Usage(after.cpu_s - before.cpu_s, after.waits - before.waits),
        time.monotonic() - began,
    )


async def _cost_us(run: Run, idle_share: float, count: int, work) -> float:
    used, elapsed_s = await _used(run.pid, work)
    return (used.cpu_s - idle_share * elapsed_s) / count * 1e6


async def measure(run: Run, rounds: int) -> dict[str, float]:
    """Returns the figures of one instance."""
    idle = [await _used(run.pid, asyncio.sleep(IDLE_S)) for _ in range(rounds)]
    share = min(used.cpu_s / elapsed_s for used, elapsed_s in idle)
    wakes = min(used.waits / elapsed_s for used, elapsed_s in idle)
    requests = Requests(run)
    await requests.plain()
    await requests.stream()
    plain, streams, messages, placements = [], [], [], []
    for _ in range(rounds):
        work = _paced(REQUESTS, PLAIN_INTERVAL_S, requests.plain)
        plain.append(await _cost_us(run, share, REQUESTS, work))
        work = _paced(STREAMS, STREAM_INTERVAL_S, requests.stream)
        streams.append(await _cost_us(run, share, STREAMS, work))
        if run.peers is not None:
            work = _send_messages(run.peers)
            messages.append(await _cost_us(run, share, MESSAGES, work))
            work = _place(run.peers)
            placements.append(await _cost_us(run, share, PLACEMENTS, work))
    found = {
        "idle, % of a core": round(100 * share, 2),
        "wake-ups/s": round(wakes, 1),
        "plain request, ms": round(min(plain) / 1e3, 2),
        f"stream of {EVENTS} events, ms": round(min(streams) / 1e3, 2),
    }
    if messages:
        found["message received, us"] = round(min(messages))
        found["placement as owner, ms"] = round(min(placements) / 1e3, 2)
    return found


async def _send_messages(peers: InstancePeers) -> None:
    for number in range(MESSAGES):
        peers.send_loads(number % 8)
        await asyncio.sleep(MESSAGE_INTERVAL_S)


async def _place(peers: InstancePeers) -> None:
    numbers = itertools.cycle(range(INSTANCES - 1))
    await _paced(
        PLACEMENTS,
        PLACEMENT_INTERVAL_S,
        lambda: peers.place_at_owner(next(numbers)),
    )


async def _profile(profile: str) -> None:
    async with running_instance(INSTANCES, profile) as run:
        await _profiled(run, f"{profile}.idle", asyncio.sleep(2 * IDLE_S))
        requests = Requests(run)
        work = _paced(2 * STREAMS, STREAM_INTERVAL_S, requests.stream)
        await _profiled(run, f"{profile}.streams", work)
        await _profiled(run, f"{profile}.owner", _place(run.peers))
        work = _paced(2 * REQUESTS, PLAIN_INTERVAL_S, requests.plain)
        await _profiled(run, f"{profile}.plain", work)


async def _profiled(run: Run, profile: str, work: Awaitable[None]) -> None:
    os.kill(run.pid, signal.SIGUSR1)
    await work
    os.kill(run.pid, signal.SIGUSR2)
    await asyncio.sleep(PROFILE_WRITE_S)
    os.rename(profile.rpartition(".")[0] + ".new", profile)


async def _measure_cases(rounds: int, only: str | None) -> None:
    rows = []
    for name, instances in (("alone", 1), ("among", INSTANCES)):
        if only not in (None, name):
            continue
        async with running_instance(instances, None) as run:
            rows.append({"case": name, **(await measure(run, rounds))})
    print(tabulate.tabulate(rows, headers="keys", tablefmt="github"))


def main() -> None:
    """Prints the table of costs, or writes a profile."""
    arguments = docopt.docopt(__doc__)
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    if arguments["--profile"]:
        asyncio.run(_profile(arguments["--profile"]))
        return
    asyncio.run(_measure_cases(int(arguments["--rounds"]), arguments["--only"]))


if __name__ == "__main__":
    main()
