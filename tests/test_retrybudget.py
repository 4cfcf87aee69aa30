"""The retries of all instances together, while instances come and go."""

import contextlib
import itertools
import signal
import time
import unittest
import unittest.mock

import anyio
import httpcore

from jasminerelay import membership, peerlink
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase
from tests.retrycount import RetryBounds
from tests.soakparts import InstanceProcess, restart_settings

BOUNDS = RetryBounds(ratio=0.2, allowance=24.0, window_s=3.0)
REQUEST_INTERVAL_S = 0.04
RESTART_S = 0.2
MIN_FURTHER = 10
"""Arrivals beyond the first of their request that a run must have at least, or
it shows nothing."""

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class RetryBudgetCase(PlatformCase):
    """Base of the tests; all servers of a service reject what they get."""

    bounds = BOUNDS

    @property
    def options(self) -> SiteOptions:
        """Composition of the site."""
        return SiteOptions(
            plain=4,
            retry_ratio=self.bounds.ratio,
            retry_allowance=self.bounds.allowance,
            retry_window_s=self.bounds.window_s,
        )

    @contextlib.asynccontextmanager
    async def rejecting(self, count: int):
        """Runs a site whose servers reject, with some instances."""
        async with self.site(count) as (site, instances):
            for server in self.plain_servers(site):
                server.faults.refuse = 1_000_000
            yield site, instances

    def plain_servers(self, site) -> list:
        return [
            server
            for name, server in site.servers.items()
            if name.startswith("plain")
        ]

    async def load(self, addresses, seconds: float) -> list[float]:
        """Sends requests for a time; returns when they were sent.

        Args:
            addresses: Returns the callers' addresses of the instances to use.
            seconds: Time.
        """
        sent: list[float] = []
        numbers = itertools.count()
        ends_at = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            while time.monotonic() < ends_at:
                number = next(numbers)
                known = addresses()
                if known:
                    sent.append(time.monotonic())
                    address = known[number % len(known)]
                    group.start_soon(self.send, address, f"r{number}")
                await anyio.sleep(REQUEST_INTERVAL_S)
        return sent

    async def send(self, address: str, attempt: str) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            fields = {
                "Host": "relay.example",
                "Attempt-Id": attempt,
                "Authorization": "Bearer key-of-elm",
            }
            async with httpcore.AsyncConnectionPool() as pool:
                await pool.request(
                    "GET",
                    f"http://{address}/lookup/slot",
                    headers=list(fields.items()),
                )

    def check(self, site, sent: list[float]) -> None:
        """Checks the arrivals at all servers against the bounds."""
        arrivals = [
            arrival
            for server in self.plain_servers(site)
            for arrival in server.arrivals
        ]
        further = len(arrivals) - len({attempt for _, attempt in arrivals})
        self.assertGreater(further, MIN_FURTHER)
        excess, words = self.bounds.excess(arrivals, sent)
        self.assertLessEqual(excess, 0.0, words)


class StartsInSeriesTest(RetryBudgetCase):
    """Instances that start several times within a window."""

    bounds = RetryBounds(ratio=0.2, allowance=24.0, window_s=8.0)

    async def test_starts_in_series(self) -> None:
        # Guards against a whole new part of the allowance with each start.
        async with (
            self.rejecting(0) as (site, _),
            anyio.create_task_group() as g,
        ):
            paths = [site.settings(f"edge-{n}") for n in range(4)]
            running: list = []

            async def start_all() -> None:
                running[:] = [await self.start_at(g, path) for path in paths]
                for instance in running:
                    await self.until(lambda i=instance: i.ready)

            async def restart() -> None:
                # Only before its first restart an instance retries much.
                await anyio.sleep(0.6)
                for _ in range(6):
                    await anyio.sleep(0.6)
                    for instance in running:
                        self.kill(instance)
                    running.clear()
                    for path in paths:
                        restart_settings(path)
                    await anyio.sleep(RESTART_S)
                    await start_all()

            await start_all()
            await anyio.sleep(self.bounds.window_s)
            g.start_soon(restart)
            sent = await self.load(
                lambda: [instance.callers for instance in running], 8.0
            )
            g.cancel_scope.cancel()
        self.check(site, sent)


class StartTest(RetryBudgetCase):
    """Instances that start once."""

    async def test_start_without_peers(self) -> None:
        # Guards against instances that each take the whole allowance, since
        # they have not met the others.
        async with (
            self.rejecting(0) as (site, _),
            anyio.create_task_group() as g,
        ):
            instances = []
            for number in range(4):
                path = site.settings(f"edge-{number}")
                instance = await self.start_at(g, path)
                instance._peers._send_to = lambda address, data: None
                instances.append(instance)
            for instance in instances:
                await self.until(lambda i=instance: i.ready)
            sent = await self.load(
                lambda: [instance.callers for instance in instances],
                3 * BOUNDS.window_s,
            )
            g.cancel_scope.cancel()
        self.check(site, sent)


class CutTest(RetryBudgetCase):
    """Instances that lose each other."""

    async def test_cut_that_outlasts_what_instances_remember(self) -> None:
        # Guards against a second allowance, once the two sides of a cut have
        # forgotten each other.
        with (
            unittest.mock.patch.object(membership, "FORGET_AFTER_S", 0.5),
            unittest.mock.patch.object(peerlink, "FORGET_AFTER_S", 0.5),
        ):
            async with self.rejecting(4) as (site, instances):
                for instance in instances:
                    await self.until(
                        lambda i=instance: i.live_instance_count == 4
                    )
                for number, instance in enumerate(instances):
                    self.cut_from(instance, instances[(number + 2) % 2 :: 2])
                for instance in instances:
                    await self.until(
                        lambda i=instance: i._peers.known_count == 2
                    )
                sent = await self.load(
                    lambda: [instance.callers for instance in instances],
                    4 * BOUNDS.window_s,
                )
        self.check(site, sent)

    def cut_from(self, instance, kept) -> None:
        """Drops an instance's messages to all but some others."""
        addresses = {item.boot.peers for item in kept}
        send = instance._peers._send_to

        def send_to_kept(address: str, data: bytes) -> None:
            if address in addresses:
                send(address, data)

        instance._peers._send_to = send_to_kept


class FreezeTest(RetryBudgetCase):
    """Instances that are suspended."""

    async def test_instance_that_wakes(self) -> None:
        # Guards against retries that a frozen instance has saved up.
        async with self.rejecting(0) as (site, _):
            processes = [
                InstanceProcess(site.settings(f"edge-{n}"), False)
                for n in range(3)
            ]
            try:
                sent = await self.run_frozen(processes)
            finally:
                for process in processes:
                    process.signal(signal.SIGCONT)
                    process.popen.kill()
                    process.popen.wait()
        self.check(site, sent)

    async def run_frozen(self, processes) -> list[float]:
        """Freezes each process in turn under load."""
        for process in processes:
            process.start()
        # Until they have started and their first window is over.
        await anyio.sleep(4.0 + BOUNDS.window_s)
        sent: list[float] = []

        async def load() -> None:
            sent.extend(
                await self.load(
                    lambda: [item.listen["front"] for item in processes], 10.0
                )
            )

        async with anyio.create_task_group() as group:
            group.start_soon(load)
            for process in processes[:2]:
                await anyio.sleep(1.0)
                process.signal(signal.SIGSTOP)
                await anyio.sleep(1.2 * BOUNDS.window_s)
                process.signal(signal.SIGCONT)
        return sent


if __name__ == "__main__":
    unittest.main()
