"""A randomised run on the platform's interface, with faults from outside.

Usage: python -m tests.platformsoak [--seconds S] [--seed N] [--runs N]

Instances are processes of their own, as deployed; the store and the servers
are stand-ins behind links that can be delayed, silenced, cut one way and
reset. Processes are killed, frozen, stopped and started in series and at the
same time. The seed fixes which faults come and what callers send; timing is
not fixed, so what is checked holds at any timing: what callers were told is
compared with what the servers ran.
"""

import argparse
import collections
import contextlib
import dataclasses
import json
import logging
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator

import anyio
import httpcore

from standins.launcher import ROOT
from standins.platformsite import HOST, KEY, MODEL, PLAIN, PlatformSite
from standins.platformsite import SiteOptions as Options

INSTANCES = 4
CALLERS = 16
GRACE_S = 4.0
READY_S = 30.0
OUTCOME_S = 12.0
"""Longest time limit of the site's routes, and as much again."""

AT_ONCE = 3
HEAL_S = 6.0
GOOD_SHARE = 0.9
"""Part of the requests that must be served once all faults are healed."""

FATAL = b"ends each engine that runs it"
FATAL_TRIES = 7
FATAL_PAUSE_S = 0.6
MOST_ENDED = 3
"""Engines that one request may end, sent again and again at all instances."""

LIMIT = 3.0
LIMIT_KNOWN_S = 2.0
LIMIT_SPAN_S = 4.0
MOST_IN_SPAN = 1.5 * LIMIT * LIMIT_SPAN_S + 5
"""Requests that an engine may get from all instances in the span, once it has
named its limit."""

EXIT_IN_ORDER = 0
REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""

_NO_ANSWER = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass
class Told:
    """What a caller sent and what it was told.

    Attributes:
        attempt: Id of the attempt.
        path: Path.
        body: Body that only this request has.
        status: Status of the answer; 0 without one.
        signature: The server's mark on the answer.
        content: Bytes of the answer.
        whole: Whether the answer came to its proper end.
    """

    attempt: str
    path: str
    body: bytes
    status: int = 0
    signature: str = ""
    content: bytes = b""
    whole: bool = False

    @property
    def once(self) -> bool:
        """Whether it may run once only."""
        return self.path.startswith(("/confirm/", "/sheet/"))


class InstanceProcess:
    """One instance, over all its starts."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.log = path.with_suffix(".log")
        self.listen = tomllib.loads(path.read_text())["listenAddrs"]
        self.popen: subprocess.Popen | None = None
        self.busy = False

    def start(self) -> None:
        """Starts it; its log goes on in the same file."""
        environ = {**os.environ, "JASMINERELAY_BOOT": str(self.path)}
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy/instance.py")],
                env=environ,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Sends it a signal."""
        self.popen.send_signal(number)

    async def ended(self, timeout_s: float) -> int | None:
        """Waits for its end; returns its status, or None."""
        with anyio.move_on_after(timeout_s):
            while self.popen.poll() is None:
                await anyio.sleep(0.02)
        return self.popen.poll()


class PlatformSoak:
    """One run."""

    def __init__(self, seed: int, seconds: float):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._told: list[Told] = []
        self._stopping = False
        self._number = 0

    async def run(self) -> None:
        """Runs load and faults, heals everything, checks the journals."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
        options = Options(
            engines=3,
            plain=3,
            grace_s=GRACE_S,
            links=True,
            fatal=FATAL,
            duties=True,
        )
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            self.site = PlatformSite(options, pathlib.Path(folder))
            async with self.site.running():
                self.instances = [
                    InstanceProcess(self.site.settings(f"edge-{number + 1}"))
                    for number in range(INSTANCES)
                ]
                try:
                    for instance in self.instances:
                        instance.start()
                    await self._play()
                finally:
                    self._end_all()
                self._check_logs()
        self._check_answers()
        self._check_runs()
        self._check_duties()

    async def _play(self) -> None:
        for instance in self.instances:
            await self._until_ready(instance)
        async with anyio.create_task_group() as callers:
            for _ in range(CALLERS):
                callers.start_soon(self._caller, self._rng.getrandbits(32))
            await self._faults()
            await anyio.sleep(HEAL_S)
            for instance in self.instances:
                await self._until_ready(instance)
            before = len(self._told)
            await anyio.sleep(HEAL_S / 2)
            healed = self._told[before:]
            await self._named_limit()
            await self._fatal_request()
            self._stopping = True
            callers.cancel_scope.deadline = anyio.current_time() + OUTCOME_S
        self._check_recovered(healed)

    async def _faults(self) -> None:
        until = time.monotonic() + self._seconds
        limiter = anyio.CapacityLimiter(AT_ONCE)

        async def strike(fault: Callable[..., Awaitable[None]]) -> None:
            async with limiter:
                await fault(self, random.Random(self._rng.getrandbits(32)))

        async with anyio.create_task_group() as group:
            while time.monotonic() < until:
                fault = self._rng.choice(_FAULTS)
                self.counts[f"fault {fault.__name__.strip('_')}"] += 1
                group.start_soon(strike, fault)
                await anyio.sleep(self._rng.uniform(0.2, 1.5))

    # Faults of instances.

    @contextlib.contextmanager
    def _taken(self, rng: random.Random) -> Iterator[InstanceProcess | None]:
        """Gives an instance that no other fault has; None keeps the last."""
        free = [item for item in self.instances if not item.busy]
        if len(free) < 2:
            yield None
            return
        instance = rng.choice(free)
        instance.busy = True
        try:
            yield instance
        finally:
            instance.busy = False

    async def _kill(self, rng: random.Random) -> None:
        with self._taken(rng) as instance:
            if instance is None:
                return
            instance.signal(signal.SIGKILL)
            await instance.ended(READY_S)
            await anyio.sleep(rng.uniform(0.0, 2.0))
            instance.start()
            await self._until_ready(instance)

    async def _freeze(self, rng: random.Random) -> None:
        with self._taken(rng) as instance:
            if instance is None:
                return
            instance.signal(signal.SIGSTOP)
            await anyio.sleep(rng.uniform(0.3, 4.0))
            instance.signal(signal.SIGCONT)

    async def _stop(self, rng: random.Random) -> None:
        with self._taken(rng) as instance:
            if instance is None:
                return
            instance.signal(signal.SIGTERM)
            if rng.random() < 0.3:
                await anyio.sleep(0.2)
                instance.signal(signal.SIGTERM)
            status = await instance.ended(GRACE_S + 2.0)
            if status != EXIT_IN_ORDER:
                self._violate(f"a planned stop ended with {status}")
                instance.signal(signal.SIGKILL)
                await instance.ended(READY_S)
            instance.start()
            await self._until_ready(instance)

    async def _reload(self, rng: random.Random) -> None:
        with self._taken(rng) as instance:
            if instance is None:
                return
            text = instance.path.read_text()
            if "ttl_max_s" not in text:
                changed = text.replace("[bounds]", "[bounds]\nttl_max_s = 2", 1)
                instance.path.write_text(changed)
            instance.signal(signal.SIGHUP)

    # Faults of the store, the servers and the links.

    async def _store_away(self, rng: random.Random) -> None:
        faults = self.site.store.faults
        kind = rng.choice(("down", "hang", "slow_s", "lose_acks"))
        if kind in ("down", "hang"):
            setattr(faults, kind, True)
            await anyio.sleep(rng.uniform(0.5, 4.0))
            setattr(faults, kind, False)
        elif kind == "slow_s":
            faults.slow_s = 0.4
            await anyio.sleep(rng.uniform(0.5, 4.0))
            faults.slow_s = 0.0
        else:
            faults.lose_acks += 2

    async def _store_forgets(self, rng: random.Random) -> None:
        del rng
        self.site.store.forget()

    async def _link(self, rng: random.Random) -> None:
        link = rng.choice(list(self.site.links.values()))
        kind = rng.choice(("silent", "deaf", "delay_s", "reset"))
        if kind == "reset":
            link.reset()
            return
        setattr(link.faults, kind, 0.1 if kind == "delay_s" else True)
        await anyio.sleep(rng.uniform(0.3, 3.0))
        setattr(link.faults, kind, 0.0 if kind == "delay_s" else False)
        # A cut that heals leaves connections with bytes missing; a network
        # would not give them back either.
        if kind != "delay_s":
            link.reset()

    async def _server_fails(self, rng: random.Random) -> None:
        server = rng.choice(list(self.site.servers.values()))
        kind = rng.choice(
            ("refuse", "fail", "mute", "cross", "break_after", "tear_after")
        )
        setattr(server.faults, kind, rng.randint(1, 4))
        await anyio.sleep(rng.uniform(0.3, 2.0))
        setattr(server.faults, kind, 0)

    async def _server_gone(self, rng: random.Random) -> None:
        name = self._spare_server(rng)
        if name is None:
            return
        service = MODEL if name.startswith("engine") else PLAIN
        if rng.random() < 0.5:
            self.site.register(name, service, "draining")
            await anyio.sleep(2.5)
        self.site.kill_server(name)
        await anyio.sleep(rng.uniform(0.0, 2.0))
        self.site.store.drop("servers", name)
        await self._add_server(name, service)

    def _spare_server(self, rng: random.Random) -> str | None:
        names = [
            name
            for name in self.site.store.keys("servers")
            if name in self.site.servers and not self.site.leaving(name)
        ]
        for service in ("engine", "plain"):
            if sum(name.startswith(service) for name in names) < 3:
                names = [n for n in names if not n.startswith(service)]
        return rng.choice(names) if names else None

    async def _add_server(self, name: str, service: str) -> None:
        self._number += 1
        kind = name.partition("-")[0]
        await self.site.add_server(f"{kind}-x{self._number}", service)

    async def _configure(self, rng: random.Random) -> None:
        del rng
        self.site.configure()

    # What must hold among instances that all have just been through faults.

    async def _named_limit(self) -> None:
        """Has an engine name a limit, and counts what it gets."""
        names = [
            name
            for name in self.site.store.keys("servers")
            if name.startswith("engine") and not self.site.leaving(name)
        ]
        server = self.site.servers[self._rng.choice(names)]
        server.faults.limit = b"%.1f" % LIMIT
        await anyio.sleep(LIMIT_KNOWN_S)
        since = time.monotonic()
        await anyio.sleep(LIMIT_SPAN_S)
        server.faults.limit = b""
        got = sum(at >= since for at in server.arrivals)
        self.counts["at a limit"] = got
        if got > MOST_IN_SPAN:
            self._violate(f"{server.name} got {got} requests beside its limit")

    async def _fatal_request(self) -> None:
        """Sends a request again and again that ends each engine."""
        pool = httpcore.AsyncConnectionPool()
        ended = len(self.site.ended)
        for _ in range(FATAL_TRIES):
            attempt = f"{self._rng.getrandbits(64):016x}"
            told = Told(attempt, "/sheet/0/stream", FATAL)
            self._told.append(told)
            instance = self._rng.choice(self.instances)
            with contextlib.suppress(*_NO_ANSWER), anyio.move_on_after(5.0):
                await self._ask(pool, instance.listen["front"], told)
            await anyio.sleep(FATAL_PAUSE_S)
        await pool.aclose()
        ended = len(self.site.ended) - ended
        self.counts["ended by one request"] = ended
        if ended > MOST_ENDED:
            self._violate(f"{ended} engines ended by one request")

    # Callers.

    async def _caller(self, seed: int) -> None:
        rng = random.Random(seed)
        pool = httpcore.AsyncConnectionPool(keepalive_expiry=5.0)
        addresses: list[str] = []
        asked = float("-inf")
        while not self._stopping:
            if not addresses or time.monotonic() - asked > 2.0:
                asked = time.monotonic()
                addresses = await self._entries(rng) or addresses
            if not addresses:
                await anyio.sleep(0.1)
                continue
            told = self._request(rng)
            self._told.append(told)
            try:
                with anyio.move_on_after(OUTCOME_S):
                    await self._ask(pool, rng.choice(addresses), told)
            except _NO_ANSWER:
                self.counts["no answer"] += 1
                addresses = []
            except BaseException:
                await pool.aclose()
                raise
            self.counts[f"answer {told.status}"] += 1
            await anyio.sleep(rng.uniform(0.0, 0.1))
        await pool.aclose()

    async def _entries(self, rng: random.Random) -> list[str]:
        instance = rng.choice(self.instances)
        url = f"http://{instance.listen['registry']}/-/resolve?name={HOST}"
        with anyio.move_on_after(1.0), contextlib.suppress(*_NO_ANSWER):
            async with httpcore.AsyncConnectionPool() as pool:
                reply = await pool.request("GET", url)
            if reply.status == 200:
                return json.loads(reply.content)["addresses"]
        return []

    def _request(self, rng: random.Random) -> Told:
        path = rng.choice(
            (
                "/confirm/slot",
                "/lookup/slot",
                f"/chat/{rng.randrange(9)}/stream",
                f"/sheet/{rng.randrange(9)}/stream",
            )
        )
        attempt = f"{rng.getrandbits(64):016x}"
        return Told(attempt, path, f"body of {attempt}".encode())

    async def _ask(self, pool, address: str, told: Told) -> None:
        fields = {
            "Host": HOST,
            "Attempt-Id": told.attempt,
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(len(told.body)),
            "Token-Usage": "900,30",
            "Prefix-Hash": "aa:500,bb:400",
            "Deadline-Ms": "3000",
        }
        async with pool.stream(
            "POST",
            f"http://{address}{told.path}",
            headers=list(fields.items()),
            content=told.body,
        ) as reply:
            headers = {k.lower(): v for k, v in reply.headers}
            told.status = reply.status
            told.signature = headers.get(b"server-signature", b"").decode()
            async for part in reply.aiter_stream():
                told.content += part
            told.whole = True

    # Checks.

    def _violate(self, text: str) -> None:
        self.violations.append(text)

    async def _until_ready(self, instance: InstanceProcess) -> None:
        url = f"http://{instance.listen['readiness']}/-/readyz"
        with anyio.move_on_after(READY_S):
            while True:
                with anyio.move_on_after(1.0), contextlib.suppress(*_NO_ANSWER):
                    async with httpcore.AsyncConnectionPool() as pool:
                        if (await pool.request("GET", url)).status == 200:
                            return
                if instance.popen.poll() is not None:
                    self._violate(f"{instance.path.stem} ended by itself")
                    instance.start()
                await anyio.sleep(0.05)
        self._violate(f"{instance.path.stem} is not ready in {READY_S} s")

    def _check_recovered(self, told: list[Told]) -> None:
        good = sum(item.status == 200 and item.whole for item in told)
        self.counts["after healing"] = len(told)
        if not told or good < GOOD_SHARE * len(told):
            self._violate(f"served after healing: {good} of {len(told)}")

    def _check_logs(self) -> None:
        for instance in self.instances:
            for line in instance.log.read_text().splitlines():
                if '"event":"fault"' in line or line.startswith("Traceback"):
                    self._violate(f"{instance.path.stem}: {line[:2000]}")

    def _check_answers(self) -> None:
        for told in self._told:
            if told.status != 200:
                continue
            if not told.signature.endswith(f".{told.attempt}"):
                self._violate(f"{told.attempt}: signed {told.signature!r}")
            if told.path.endswith("/stream"):
                self._check_stream(told)
            elif told.whole and told.content != _plain(told.attempt):
                self._violate(f"{told.attempt}: got {told.content!r}")

    def _check_stream(self, told: Told) -> None:
        wanted = _events(30)
        if told.whole and told.content != wanted:
            self._violate(f"{told.attempt}: whole, but {len(told.content)} B")
        if not wanted.startswith(told.content):
            self._violate(f"{told.attempt}: {told.content[-200:]!r}")

    def _check_duties(self) -> None:
        judge = self.site.duties.judge
        for broken in judge.broken:
            self._violate(f"duties: {broken}")
        self.counts["windows reported"] = len(judge.reports)

    def _check_runs(self) -> None:
        sent = {told.attempt: told for told in self._told}
        runs: collections.Counter[str] = collections.Counter()
        for server in self.site.servers.values():
            for ran in server.journal:
                told = sent.get(ran.attempt)
                if told is None:
                    self._violate(f"{server.name} ran unasked {ran.attempt}")
                elif ran.body != told.body:
                    self._violate(
                        f"{server.name} ran {ran.attempt} with another body,"
                        f" {len(ran.body)} of {len(told.body)} B:"
                        f" {ran.body[:80]!r}"
                    )
                elif ran.target != told.path:
                    self._violate(f"{ran.attempt}: ran as {ran.target}")
                elif ran.headers.get("tenant") != "elm":
                    self._violate(f"{ran.attempt}: organisation is wrong")
                # A run that was moved goes on elsewhere as the same run.
                runs[ran.attempt] += not ran.moved
        for told in self._told:
            if told.once and runs[told.attempt] > 1:
                self._violate(f"{told.attempt}: ran {runs[told.attempt]} times")
            refused = told.status in REFUSALS and not told.signature
            if told.once and refused and runs[told.attempt]:
                self._violate(f"{told.attempt}: ran, told {told.status}")

    def _end_all(self) -> None:
        for instance in self.instances:
            if instance.popen is not None and instance.popen.poll() is None:
                instance.signal(signal.SIGCONT)
                instance.popen.kill()
                instance.popen.wait()


_FAULTS = (
    PlatformSoak._kill,
    PlatformSoak._freeze,
    PlatformSoak._stop,
    PlatformSoak._reload,
    PlatformSoak._store_away,
    PlatformSoak._store_forgets,
    PlatformSoak._link,
    PlatformSoak._link,
    PlatformSoak._server_fails,
    PlatformSoak._server_gone,
    PlatformSoak._configure,
)


def _plain(attempt: str) -> bytes:
    return b"answer to " + attempt.encode()


def _events(last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(1, last + 1)
    )


def main() -> int:
    """Runs seeds one after another; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    red = 0
    for seed in range(options.seed, options.seed + options.runs):
        soak = PlatformSoak(seed, options.seconds)
        anyio.run(soak.run)
        print(f"seed {seed}:", dict(sorted(soak.counts.items())))
        for violation in soak.violations:
            print(f"seed {seed}: VIOLATION {violation}")
        red += bool(soak.violations)
    print(f"{options.runs - red} of {options.runs} runs without a violation")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
