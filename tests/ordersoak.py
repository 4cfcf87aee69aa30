"""Randomised run of streams at instances that are out of step.

Usage: python -m tests.ordersoak [--seconds S] [--seed N] [--runs N]
       [--same-ids] [--logs FOLDER]

Instances and model servers are processes. Groups of instances are cut off from
the others, in one or both directions, with or without the store; they stand
still together, in series, and start beside older lists, while servers of new
versions join and others leave, are killed, stand still and start again. Callers
take streams up at any instance, and some name no attempt. Each event that a
caller got is compared with what the servers wrote for its attempt.
"""

import argparse
import collections
import contextlib
import pathlib
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterator

import anyio

from standins.launcher import ROOT, own_address
from standins.platformserver import ServedRequest, ServerFaults, versions_in
from standins.platformsite import MODEL_BACKEND
from standins.platformsite import SiteOptions as Options
from standins.serverprocess import ServerProcess
from tests import streamlife
from tests.platformsoak import (
    GRACE_S,
    READY_S,
    VERSIONS,
    run_seeds,
    seed_options,
)
from tests.soakparts import Disturbance, InstanceProcess, SentRequest
from tests.streamsoak import MAX_EVENT_TOKENS, TICK_S, StreamSoak

INSTANCES = 6
CALLERS = 28
FIRST_ENGINES = 4
TIMEOUT_MS = 1500
"""Time limit of streams. Their instances must have known all servers for twice
as long to go on without a known origin."""

CALM_S = 2 * TIMEOUT_MS / 1e3 + 0.5
"""Time between the start and the first fault."""

OUT_OF_STEP_S = 2.5
"""Time until instances that are cut off from each other know that."""

STREAMS_S = (2.5, 4.0)
"""Time in which streams begin at a new version and are taken up, undisturbed
by more than the cut."""

LEAVING_SHARE = 0.8
LEAVING_AGAIN_SHARE = 0.3
"""Shares of the streams, new and taken up, whose callers lose their own
connection."""

UNNAMED_SHARES = (0.0, 0.0, 0.3)
"""Shares of the callers that name no attempt; the seed draws one."""

KEPT_SHARE = 0.8
"""Share of the times that a caller goes on with all addresses it has had."""

BY_CONNECTION_SHARE = 0.3
MIN_ENGINES = 3


class OrderSoak(StreamSoak):
    """One run."""

    _fault_pauses_s = (0.1, 0.7)
    _concurrent_faults = 5
    _instance_count = INSTANCES
    _caller_count = CALLERS

    _options = Options(
        engines=0,
        plain=2,
        grace_s=GRACE_S,
        links=True,
        retry_ratio=0.5,
        retry_allowance=60.0,
        retry_window_s=4.0,
        starts=True,
        routes={"chat": {"timeoutMs": TIMEOUT_MS}},
    )

    def __init__(
        self,
        seed: int,
        seconds: float,
        logs: pathlib.Path | None = None,
        *,
        same_ids: bool = False,
    ):
        """Creates a run.

        Args:
            seed: Determines the faults and the requests.
            seconds: Time in which faults are injected.
            logs: Folder to keep the instances' logs in if a check has found
                something; None to keep none.
            same_ids: Whether servers also start again under their ids, as
                another version.
        """
        super().__init__(seed, seconds, ROOT, logs)
        self._same_ids = same_ids
        self._unnamed_share = self._rng.choice(UNNAMED_SHARES)
        self._processes: list[ServerProcess] = []
        self._cut = False
        self._joined = anyio.Event()
        self._version = 0

    def _new_instance(self, number: int) -> InstanceProcess:
        instance = super()._new_instance(number)
        instance.networked = True
        return instance

    async def _add_first_servers(self) -> None:
        for _ in range(FIRST_ENGINES):
            await self._add_engine(VERSIONS[0], self._rng)

    async def _add_engine(
        self, version: str, rng: random.Random, address: str = ""
    ) -> ServerProcess:
        """Starts a model server, in a process."""
        self._added_count += 1
        faults = ServerFaults(
            event_tokens=MAX_EVENT_TOKENS,
            tick_s=TICK_S,
            by_connection=not address and rng.random() < BY_CONNECTION_SHARE,
            move_s=rng.choice((0.0, 0.02, 0.2)),
            refuse_moves=rng.choice((0, 0, 2)),
            lose_moves=rng.choice((0, 0, 2)),
        )
        server = ServerProcess(
            f"engine-{self._added_count}",
            version,
            address or own_address(),
            self.instances[0].path.parent,
            faults,
        )
        self._processes.append(server)
        await self.site.add_process(server, MODEL_BACKEND)
        self.counts["server processes"] += 1
        return server

    def _kill_all(self) -> None:
        super()._kill_all()
        for server in self._processes:
            if server.popen is not None:
                server.kill()
                server.read_journals()

    # Callers.

    async def _resolve(self, rng: random.Random) -> list[str]:
        addresses = await super()._resolve(rng)
        if rng.random() < KEPT_SHARE:
            return [item.listen["front"] for item in self.instances]
        return addresses

    def _new_request(self, rng: random.Random) -> SentRequest:
        request = super()._new_request(rng)
        if request.path.startswith("/chat/"):
            request.leaves_after = 0
            if rng.random() < LEAVING_SHARE:
                request.leaves_after = rng.randrange(1, request.events_due)
        return request

    def _take_up(self, rng: random.Random, broken: SentRequest) -> SentRequest:
        request = super()._take_up(rng, broken)
        request.unnamed = rng.random() < self._unnamed_share
        left = request.events_due - request.after
        if left > 1 and rng.random() < LEAVING_AGAIN_SHARE:
            request.leaves_after = request.after + rng.randrange(1, left)
        return request

    # Faults of instances.

    async def _inject_faults(self) -> None:
        await anyio.sleep(CALM_S)
        async with anyio.create_task_group() as group:
            rng = random.Random(self._rng.getrandbits(32))
            group.start_soon(self._cut_first, rng)
            # The other faults may let everyone learn of the version.
            await self._joined.wait()
            await super()._inject_faults()

    async def _cut_first(self, rng: random.Random) -> None:
        """Cuts instances off from the others before there is a new version."""
        await self._cut_off(rng, sizes=(2, 2, 3), ways="both", store="silent")

    async def _cut_off(
        self,
        rng: random.Random,
        sizes: tuple[int, ...] = (1, 2, 2, 3),
        ways: str = "",
        store: str = "",
    ) -> None:
        """Cuts a group of instances off while servers of a version join."""
        if self._cut:
            return
        self._cut = True
        ways = ways or rng.choice(("both", "both", "out", "in"))
        store = store or rng.choice(("silent", "silent", "deaf", ""))
        behind = rng.sample(self.instances, rng.choice(sizes))
        self.counts[
            f"cut {len(behind)} {ways} {store or 'with the store'}"
        ] += 1
        async with contextlib.AsyncExitStack() as stack:
            try:
                await self._cut_group_off(rng, behind, ways, store, stack)
            finally:
                self._cut = False

    async def _cut_group_off(
        self,
        rng: random.Random,
        behind: list[InstanceProcess],
        ways: str,
        store: str,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        others = [x for x in self.instances if x not in behind]
        apart = rng.random() < 0.2
        with self._noting_apart(behind):
            self._cut_peers(behind, others, ways, apart=apart)
            self._cut_store(behind, store, cut=True)
            if rng.random() < 0.3:
                await self._start_again(rng, behind, 1, stack)
            await anyio.sleep(rng.uniform(0.8, 1.2) * OUT_OF_STEP_S)
            before = self._engines()
            joined = await self._join(rng)
            for server in before[1:]:
                self.site.write_server_row(
                    server.name, MODEL_BACKEND, "draining"
                )
            await anyio.sleep(rng.uniform(*STREAMS_S))
            self._joined.set()
            if apart:
                self._cut_peers(behind, others, ways, apart=False)
                await anyio.sleep(0.3)
            if rng.random() < 0.5:
                await self._break(rng, joined)
            if rng.random() < 0.3:
                await self._start_again(rng, behind, 1, stack)
            await anyio.sleep(rng.uniform(1.0, 3.0))
            if rng.random() < 0.3:
                await self._start_again(rng, others, len(others), stack)
            for instance in self.instances:
                instance.cut_peers(())
            await anyio.sleep(rng.choice((0.0, 0.0, 1.0)))
            self._cut_store(behind, store, cut=False)

    @contextlib.contextmanager
    def _noting_apart(self, behind: list[InstanceProcess]) -> Iterator[None]:
        since = time.monotonic()
        spans = {
            x.path.stem: Disturbance(since, float("inf"), x.path.stem)
            for x in behind
        }
        for instance in behind:
            instance.apart.append(spans[instance.path.stem])
        try:
            yield
        finally:
            for instance in behind:
                name = instance.path.stem
                instance.apart.remove(spans[name])
                instance.apart.append(
                    Disturbance(since, time.monotonic(), name)
                )

    def _cut_peers(
        self,
        behind: list[InstanceProcess],
        others: list[InstanceProcess],
        ways: str,
        *,
        apart: bool,
    ) -> None:
        """Cuts instances off from others, and with `apart` from each other."""
        for instance in behind:
            group = [x for x in behind if apart and x is not instance]
            far = others if ways in ("both", "out") else []
            instance.cut_peers([x.ip for x in [*far, *group]])
        for instance in others:
            far = behind if ways in ("both", "in") else []
            instance.cut_peers([x.ip for x in far])

    def _cut_store(
        self, behind: list[InstanceProcess], kind: str, *, cut: bool
    ) -> None:
        for instance in behind if kind else ():
            link = self.site.links[instance.path.stem]
            setattr(link.faults, kind, cut)
            if not cut:
                # Bytes that were dropped are missing from its connections.
                link.reset()

    async def _start_again(
        self,
        rng: random.Random,
        instances: list[InstanceProcess],
        most: int,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        """Kills instances and starts them beside those that they can reach.

        Args:
            rng: Draws them.
            instances: Instances of which some are killed.
            most: Largest number of those.
            stack: Once it closes, those must get ready.
        """
        free = [x for x in instances if not x.busy]
        for instance in rng.sample(free, min(len(free), rng.randint(1, most))):
            self.counts["started in a cut"] += 1
            instance.busy = True
            stack.push_async_callback(self._until_back, instance)
            instance.signal(signal.SIGKILL)
            await instance.ended(READY_S)
            instance.start()

    async def _until_back(self, instance: InstanceProcess) -> None:
        await self._wait_until_ready(instance)
        instance.busy = False

    async def _freeze_together(self, rng: random.Random) -> None:
        """Lets some instances stand still while servers join."""
        with contextlib.ExitStack() as stack:
            reserved = [
                stack.enter_context(self._reserve_instance(rng))
                for _ in range(rng.randint(2, INSTANCES - 2))
            ]
            frozen = [item for item in reserved if item is not None]
            for instance in frozen:
                instance.signal(signal.SIGSTOP)
            until = time.monotonic() + rng.uniform(1.0, 6.0)
            if rng.random() < 0.7:
                joined = await self._join(rng)
                await anyio.sleep(rng.uniform(0.1, 0.6))
                if rng.random() < 0.5:
                    await self._break(rng, joined)
            await anyio.sleep(max(0.0, until - time.monotonic()))
            for instance in frozen:
                instance.signal(signal.SIGCONT)

    async def _freeze_in_series(self, rng: random.Random) -> None:
        with self._reserve_instance(rng) as instance:
            if instance is None:
                return
            for _ in range(rng.randint(3, 6)):
                instance.signal(signal.SIGSTOP)
                await anyio.sleep(rng.uniform(0.1, 1.5))
                instance.signal(signal.SIGCONT)
                await anyio.sleep(rng.uniform(0.0, 0.4))

    # Faults of servers.

    def _engines(self) -> list[ServerProcess]:
        """Returns the model servers that serve."""
        return [
            server
            for server in self._processes
            if not self.site.leaving(server.name)
            and server.name in self.site.store.keys("servers")
        ]

    async def _join(self, rng: random.Random) -> list[ServerProcess]:
        """Lets servers of the next version join."""
        self._version += 1
        version = VERSIONS[self._version % len(VERSIONS)]
        before = len(self._processes)
        async with anyio.create_task_group() as group:
            for _ in range(rng.randint(2, 3)):
                group.start_soon(self._add_engine, version, rng)
        joined = self._processes[before:]
        return [x for x in joined if x.version == version]

    async def _release_in_series(self, rng: random.Random) -> None:
        """Lets servers of new versions join, and old ones drain and leave."""
        for _ in range(rng.randint(1, 2)):
            before = self._engines()
            await self._join(rng)
            await anyio.sleep(rng.uniform(0.2, 1.0))
            for server in before:
                if len(self._engines()) <= MIN_ENGINES:
                    break
                if not self.site.leaving(server.name):
                    await self._drain(rng, server)

    async def _drain(self, rng: random.Random, server: ServerProcess) -> None:
        self.site.write_server_row(server.name, MODEL_BACKEND, "draining")
        await anyio.sleep(rng.uniform(0.0, 1.5))
        # An answer that ends with its connection counts as whole where its
        # server is killed while it shuts down.
        if not server.faults.by_connection:
            self._end(server)
        self.site.store.delete("servers", server.name)

    def _end(self, server: ServerProcess) -> None:
        """Kills a server, if nothing else has done so."""
        if not self._has_ended(server):
            self.site.kill_server(server.name)
            server.kill()

    def _has_ended(self, server: ServerProcess) -> bool:
        return server.popen.poll() is not None

    async def _break(
        self, rng: random.Random, servers: list[ServerProcess]
    ) -> None:
        """Kills some servers, so that their streams break."""
        for server in rng.sample(servers, rng.randint(1, len(servers))):
            self.site.mark_leaving(server.name)
            self._end(server)
            if rng.random() < 0.5:
                self._forget(server)
        await anyio.sleep(0)

    def _forget(self, server: ServerProcess) -> None:
        """Removes a killed server's row.

        An answer that ends with its connection counts as whole where its server
        is not listed any more. An instance that stood still learns of both at
        once, so the rows of servers that answer so stay.
        """
        if not server.faults.by_connection:
            self.site.store.delete("servers", server.name)

    async def _kill_engine(self, rng: random.Random) -> None:
        """Kills a server; another one comes, maybe at once at its address."""
        engines = self._engines()
        if len(engines) <= MIN_ENGINES:
            return
        server = rng.choice(engines)
        self.site.mark_leaving(server.name)
        self._end(server)
        version = rng.choice((server.version, rng.choice(self._versions())))
        if not server.faults.by_connection and rng.random() < 0.5:
            # An answer that ends with its connection counts as whole where its
            # server listens again at once.
            await self._add_engine(version, rng, server.address)
            await anyio.sleep(rng.uniform(0.0, 1.0))
            self._forget(server)
            return
        await anyio.sleep(rng.uniform(0.0, 1.5))
        self._forget(server)
        await self._add_engine(version, rng)

    def _versions(self) -> list[str]:
        return sorted({server.version for server in self._engines()})

    async def _restart_engine(self, rng: random.Random) -> None:
        """Kills a server and starts it under its id as another version."""
        engines = [x for x in self._engines() if not x.faults.by_connection]
        if len(engines) <= MIN_ENGINES:
            return
        server = rng.choice(engines)
        self._end(server)
        server.version = rng.choice(VERSIONS)
        await self.site.add_process(server, MODEL_BACKEND, row=False)
        await anyio.sleep(rng.uniform(0.0, 1.5))
        if not self.site.leaving(server.name):
            self.site.write_server_row(server.name, MODEL_BACKEND)

    async def _freeze_engines(self, rng: random.Random) -> None:
        """Lets servers stand still."""
        engines = self._engines()
        frozen = rng.sample(engines, min(len(engines), rng.randint(1, 2)))
        for _ in range(rng.randint(1, 3)):
            for server in frozen:
                server.suspend()
            await anyio.sleep(rng.uniform(0.2, 2.0))
            for server in frozen:
                server.resume()
            await anyio.sleep(rng.uniform(0.0, 0.3))

    def _faults(self) -> tuple[Callable[..., Awaitable[None]], ...]:
        return _FAULTS + ((OrderSoak._restart_engine,) * 3) * self._same_ids

    # Checks.

    def _check_more(self) -> None:
        """Compares each event of a caller with what servers wrote for it."""
        runs = collections.defaultdict(list)
        for server in self._processes:
            for ran in server.journal:
                runs[ran.attempt].append(ran)
        for request in self._requests:
            if request.status == 200 and request.path.endswith("/stream"):
                self._check_written(request, runs[request.attempt])
        self._count_takes_up()

    def _check_written(
        self, request: SentRequest, runs: list[ServedRequest]
    ) -> None:
        written = {
            (*tokens, ran.version) for ran in runs for tokens in ran.events
        }
        for event in request.events.split(b"\n\n")[:-1]:
            (version,) = versions_in(event + b"\n\n")
            tokens = streamlife.tokens_of(event + b"\n\n")
            if tokens and (tokens[0], tokens[-1], version) in written:
                self.counts["events compared"] += 1
                continue
            self._record_violation(
                f"{request.attempt} of {request.address}: got {event[:60]!r},"
                " which no server has written for it"
            )

    def _count_takes_up(self) -> None:
        for request in self._requests:
            if request.earlier is not None:
                went_on = request.stream != request.earlier.stream
                kind = "unnamed" if request.unnamed else "named"
                self.counts[f"all taken up, {kind}"] += 1
                self.counts[f"all that went on, {kind}"] += went_on


_FAULTS = (
    OrderSoak._cut_off,
    OrderSoak._cut_off,
    OrderSoak._cut_off,
    OrderSoak._freeze_together,
    OrderSoak._freeze_together,
    OrderSoak._freeze_in_series,
    OrderSoak._release_in_series,
    OrderSoak._kill_engine,
    OrderSoak._kill_engine,
    OrderSoak._freeze_engines,
    OrderSoak._kill,
    OrderSoak._start_in_series,
    OrderSoak._stop,
    OrderSoak._cut_from_servers,
    OrderSoak._cut_connections,
    OrderSoak._cut_connections,
    OrderSoak._store_away,
    OrderSoak._configure,
)


def main() -> int:
    """Runs the seeds of the arguments; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    seed_options(parser, 12.0)
    parser.add_argument("--same-ids", action="store_true")
    parser.add_argument("--logs", type=pathlib.Path)
    options = parser.parse_args()
    return run_seeds(
        options,
        lambda seed: OrderSoak(
            seed, options.seconds, options.logs, same_ids=options.same_ids
        ),
    )


if __name__ == "__main__":
    sys.exit(main())
