"""Tests ends of answers that are complete and not read yet by their callers."""

import time
import unittest
import unittest.mock

import anyio

from jasminerelay import callerconnection
from jasminerelay.scheduling import heldbytes
from jasminerelay.scheduling.heldbytes import STALLED
from tests.slowcallercase import SlowCallersCase, request_head
from tests.test_callerlimits import limits

SIZE = 1 << 20
PAUSE_S = 2.0


class UnreadEndTest(SlowCallersCase):
    """Callers that are slower than the configuration's idle limit."""

    async def asyncSetUp(self) -> None:
        # Servers are released long before callers have read their answers.
        patch = unittest.mock.patch.object(heldbytes, "MIN_AHEAD_BYTES", SIZE)
        patch.start()
        self.addCleanup(patch.stop)

    async def lower_limit(self, site, instance, idle_s: float) -> None:
        site.write_configuration(limits=limits(idle_s=idle_s))
        await self.until(lambda: instance.version == site.version)
        # Until callers know it.
        await anyio.sleep(3.1)

    async def test_caller_that_pauses(self) -> None:
        # Guards against cutting a complete answer whose caller pauses for
        # longer than a connection may be idle.
        async with self.long_site(body_bytes=SIZE) as (site, instance):
            await self.lower_limit(site, instance, 0.8)
            head = request_head("/confirm/long")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                await self.until(lambda: self.journal(site)[0].ended)
                for _ in range(2):
                    await anyio.sleep(PAUSE_S)
                    await caller.read(65536)
                while caller.received < SIZE:
                    self.assertTrue(await caller.read(65536))

    async def test_caller_that_reads_slowly(self) -> None:
        # Guards against the same with a caller that never pauses, and against
        # an idle limit that begins before its caller has the answer.
        async with self.long_site(body_bytes=SIZE) as (site, instance):
            await self.lower_limit(site, instance, 0.8)
            head = request_head("/confirm/long")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                began = time.monotonic()
                while caller.received < SIZE:
                    self.assertTrue(await caller.read(16384))
                    await anyio.sleep(0.03)
                self.assertGreater(time.monotonic() - began, 1.6)
                for server in site.servers.values():
                    server.faults.body_bytes = 10
                await caller.conn.send(request_head("/confirm/x"))
                await caller.read_head()
                self.assertIn(b" 200 ", caller.head)

    async def test_caller_that_never_reads(self) -> None:
        # Guards against bytes that are held for good, and against an answer
        # that was logged as whole and is lost without a line.
        limit = unittest.mock.patch.object(
            callerconnection, "UNREAD_LIMIT_S", 2.0
        )
        with limit:
            async with self.long_site(body_bytes=SIZE) as (site, instance):
                await self.lower_limit(site, instance, 0.8)
                head = request_head("/confirm/long")
                async with self.caller(instance, head) as caller:
                    await caller.read_head()
                    await self.until(lambda: self.events_named("end_unread"))
                    await self.assert_released(site, instance)
                    while await caller.read(1 << 20):
                        pass
                    self.assertLess(caller.received, SIZE)
            (line,) = self.events_named("end_unread")
            self.assertEqual(line["id"], "a1")
            self.assertIn(STALLED, line["why"])


if __name__ == "__main__":
    unittest.main()
