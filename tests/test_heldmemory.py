"""Tests the memory of a real instance process with callers that never read."""

import asyncio
import random
import socket
import statistics
import unittest

import anyio

from jasminerelay.scheduling.heldbytes import STALL_S
from standins.platformsite import SiteOptions
from tests.processcase import ProcessCase, resident_mb
from tests.slowcallercase import request_head

MEMORY_MB = 160
MAX_RESIDENT_MB = 80
LONG_BYTES = 96 << 20
IDLE_CALLERS = 200
RECEIVE_BUFFER_BYTES = 64 * 1024
READING_CALLERS = 12
SLOWDOWN = 5.0
"""Makes the servers answer in 50 ms; usual plain services need that or more."""

RESET_POLL_S = 0.2
QUIET_S = 2.0
LOADED_S = 2.5
MAX_LATENCY_FACTOR = 1.2
"""Bound on the 95th percentile of other callers' latency, relative to that
without callers that never read."""


class HeldMemoryTest(ProcessCase):
    """An instance of 160 MB."""

    options = SiteOptions(engines=1, slots=400, memory_mb=MEMORY_MB)

    async def never_read(self, rng: random.Random) -> None:
        """Requests long responses, one after another, and reads none."""
        loop = asyncio.get_running_loop()
        while True:
            raw = socket.socket()
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            raw.setblocking(False)
            with raw:
                await loop.sock_connect(raw, self.address)
                await loop.sock_sendall(raw, request_head("/confirm/long"))
                await anyio.sleep(STALL_S)
                while not raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    await anyio.sleep(RESET_POLL_S)
            # All of them begin at once, and then come independently.
            await anyio.sleep(rng.uniform(0.0, STALL_S))

    async def measure(self, seconds: float) -> None:
        """Adds the latencies of callers that read their responses."""
        found = await asyncio.gather(
            *(
                self.latencies(seconds, address)
                for address in (None, self.server)
                for _ in range(READING_CALLERS)
            )
        )
        for index, times in enumerate(found):
            self.times[index // READING_CALLERS].extend(times)

    def percentiles(self) -> list[float]:
        """Returns the 95th percentiles, by the instance and without it."""
        found = [statistics.quantiles(part, n=20)[-1] for part in self.times]
        self.times = ([], [])
        return found

    async def test_callers_that_never_read(self) -> None:
        # Guards against an instance that is killed for its memory by callers
        # that do not read, and against others that suffer from them.
        rng = random.Random(1)
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.body_bytes = LONG_BYTES
                server.faults.slowdown = SLOWDOWN
            host, _, port = site.addresses["plain-1"].rpartition(":")
            self.server = (host, int(port))
            self.times = ([], [])
            idle_mb = resident_mb(process, "VmRSS")
            async with anyio.create_task_group() as group:
                for _ in range(IDLE_CALLERS):
                    group.start_soon(self.never_read, rng)
                await anyio.sleep(STALL_S + 0.5)
                await self.measure(LOADED_S)
                group.cancel_scope.cancel()
            beside, beside_direct = self.percentiles()
            await anyio.sleep(QUIET_S / 2)
            await self.measure(QUIET_S)
            before, before_direct = self.percentiles()
            peak_mb = resident_mb(process)
            served = sum(
                "long" in ran.target
                for server in site.servers.values()
                for ran in server.journal
            )
            print(
                f"resident {idle_mb:.1f} MB, peak {peak_mb:.1f} MB; 95th"
                f" percentile {1e3 * before:.1f} ms, {1e3 * beside:.1f} ms"
                f" beside {served} long responses; without the instance"
                f" {1e3 * before_direct:.1f} and {1e3 * beside_direct:.1f} ms"
            )
            # The servers and the callers of the test share one process, which
            # the long responses delay as well.
            harness = max(0.0, beside_direct - before_direct)
            self.assertGreater(served, 1.5 * IDLE_CALLERS)
            self.assertLess(peak_mb, MAX_RESIDENT_MB)
            self.assertLess(beside, MAX_LATENCY_FACTOR * before + harness)
            text = self.log.read_text()
            self.assertIn('"event":"caller_stalled"', text)
            self.assertNotIn('"event":"fault"', text)


if __name__ == "__main__":
    unittest.main()
