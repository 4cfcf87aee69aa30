"""Tests long plain responses and callers that read them slowly."""

import dataclasses
import socket
import struct
import time
import unittest
import unittest.mock

import anyio
from anyio.abc import SocketAttribute

from jasminerelay import callerconnection
from jasminerelay.scheduling import heldbytes
from jasminerelay.scheduling.heldbytes import (
    MEMORY_SHORT,
    SMALL_BYTES,
    STALLED,
    HeldBounds,
)
from tests.slowcallercase import (
    LONG_BYTES,
    STALL_S,
    SlowCallersCase,
    request_head,
)


class PlainResponsesTest(SlowCallersCase):
    """Long plain responses."""

    async def test_long_responses_are_whole(self) -> None:
        # Guards against lost or doubled pieces, and against a length that is
        # not passed on.
        async with self.long_site() as (site, instance):
            for size in (1, SMALL_BYTES, SMALL_BYTES + 1, 3_000_001):
                for framed in (True, False):
                    for server in site.servers.values():
                        server.faults.body_bytes = size
                        server.faults.framed = framed
                    answer = await self.ask(instance, "/confirm/long")
                    self.assertEqual(answer.status, 200)
                    self.assertTrue(answer.whole)
                    self.assertEqual(len(answer.body), size)
                    if framed or size <= SMALL_BYTES:
                        length = answer.headers["content-length"]
                        self.assertEqual(length, str(size))
            await self.assert_released(site, instance)

    async def test_short_responses_are_not_paced(self) -> None:
        # Guards against a cost for the responses that most callers get.
        async with self.long_site(body_bytes=SMALL_BYTES) as (_, instance):
            await self.ask(instance, "/confirm/long")
            counts = instance.counters.snapshot()
            self.assertFalse([k for k in counts if k.startswith("held.")])

    async def test_reader_that_stops(self) -> None:
        # Guards against a response of any size that is read into memory, and a
        # server that is held up until it cuts the response off.
        async with self.long_site(body_bytes=LONG_BYTES) as (site, instance):
            head = request_head("/lookup/long")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                self.assertIn(b"content-length: %d" % LONG_BYTES, caller.head)
                peak = 0
                began = time.monotonic()
                while not self.events_named("caller_stalled"):
                    peak = max(peak, instance.held.total)
                    self.assertLess(time.monotonic() - began, 4 * STALL_S)
                    await anyio.sleep(0.01)
                self.assertLess(peak, 1 << 20)
                await self.assert_released(site, instance)
                while await caller.read(1 << 20):
                    pass
                self.assertLess(caller.received, LONG_BYTES)
            # Neither a second attempt nor a bad verdict.
            self.assertEqual(len(self.journal(site)), 1)
            self.assert_no_bad_verdict(instance)
            (line,) = self.events_named("caller_stalled")
            self.assertGreaterEqual(line["stalled_s"], STALL_S)
            (line,) = self.events_named("request")
            self.assertIn(STALLED, line["why"])
            self.assertFalse(line["whole"])

    def assert_no_bad_verdict(self, instance) -> None:
        for service in ("bookings", "engines"):
            health = instance.dispatcher.health(service)
            for server in instance.registry.servers_of(service):
                self.assertFalse(health.probing(server.id))
        self.assertEqual(instance.counters.snapshot().get("crash.seen", 0), 0)

    async def test_pipelined_requests_of_a_reader_that_stops(self) -> None:
        # Guards against a response without a time limit behind one that is
        # not read: both are given up.
        async with self.long_site(body_bytes=600_000) as (site, instance):
            head = request_head("/confirm/long")
            async with self.caller(instance, 4 * head) as caller:
                await caller.read_head()
                await self.until(lambda: self.events_named("caller_stalled"))
                await self.assert_released(site, instance)
                while await caller.read(1 << 20):
                    pass
                self.assertLess(caller.received, 4 * 600_000)

    async def test_slow_reader_goes_on(self) -> None:
        # Guards against a limit on a transfer's time or rate: this caller
        # needs longer than the request's time limit and than a stall takes.
        routes = {"confirm": {"timeoutMs": 1000}}
        self.options = dataclasses.replace(self.options, routes=routes)
        size = 6 << 20
        async with self.long_site(body_bytes=size) as (site, instance):
            head = request_head("/confirm/long")
            async with self.caller(instance, head) as caller:
                began = time.monotonic()
                await caller.read_head()
                while caller.received < size:
                    until = (caller.received // (1 << 20) + 1) << 20
                    while caller.received < min(until, size):
                        self.assertTrue(await caller.read(1 << 16))
                    await anyio.sleep(STALL_S / 2)
                self.assertGreater(time.monotonic() - began, 2 * STALL_S)
            self.assertEqual(self.events_named("caller_stalled"), [])
            (line,) = self.events_named("request")
            self.assertTrue(line["whole"])
            await self.assert_released(site, instance)

    async def test_server_that_breaks_off(self) -> None:
        # Guards against a truncated response that looks complete, and against
        # a second attempt after a part of the first was sent.
        for framed in (True, False):
            async with self.long_site(
                body_bytes=LONG_BYTES, cut_after=2 << 20, framed=framed
            ) as (site, instance):
                answer = await self.ask(instance, "/lookup/long")
                self.assertEqual(answer.status, 200)
                self.assertFalse(answer.whole)
                self.assertGreater(len(answer.body), SMALL_BYTES)
                self.assertEqual(len(self.journal(site)), 1)
                await self.until(lambda: self.events_named("request"))
                (line,) = self.events_named("request")
                self.assertIn("broke off", line["why"])
                await self.assert_released(site, instance)
            self.lines.clear()

    async def test_short_response_that_breaks_off_is_retried(self) -> None:
        # Guards against giving up what can still go to another server.
        async with self.long_site(body_bytes=SMALL_BYTES) as (site, instance):
            for server in site.servers.values():
                server.faults.cut_after = 1000
            site.servers["plain-2"].faults.cut_after = 0
            for number in range(4):
                answer = await self.ask(
                    instance, "/lookup/long", attempt=f"a{number}"
                )
                self.assertEqual(len(answer.body), SMALL_BYTES)

    async def test_caller_leaves(self) -> None:
        # Guards against a server that is read for nobody.
        async with self.long_site(body_bytes=LONG_BYTES) as (site, instance):
            head = request_head("/confirm/long")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                raw = caller.conn.extra(SocketAttribute.raw_socket)
                linger = struct.pack("ii", 1, 0)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await self.assert_released(site, instance)
            self.assertEqual(self.events_named("caller_stalled"), [])
            self.assertEqual(len(self.journal(site)), 1)

    async def test_store_unavailable(self) -> None:
        # Guards against a dependence of the transfers on the store.
        async with self.long_site(body_bytes=3 << 20) as (site, instance):
            site.kill_server("store")
            answer = await self.ask(instance, "/confirm/long")
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertEqual(len(answer.body), 3 << 20)
            await self.assert_released(site, instance)

    async def test_end_that_is_not_read(self) -> None:
        # Guards against bytes of a response that is complete for its server
        # and stays in memory for good, since its caller never reads.
        ahead = unittest.mock.patch.object(
            heldbytes, "MIN_AHEAD_BYTES", LONG_BYTES
        )
        stall = unittest.mock.patch.object(callerconnection, "STALL_S", 0.3)
        with ahead, stall:
            async with self.long_site(body_bytes=1 << 20) as (site, instance):
                head = request_head("/confirm/long")
                async with self.caller(instance, head) as caller:
                    await caller.read_head()
                    await self.until(lambda: self.journal(site)[0].ended)
                    await self.until(lambda: instance.held.total > 0)
                    # Not ended while there is memory.
                    await anyio.sleep(1.2)
                    self.assertGreater(instance.held.total, 0)
                    instance.held.bounds = HeldBounds(1000)
                    await self.until(lambda: instance.held.total == 0)
                    while await caller.read(1 << 20):
                        pass
                    self.assertLess(caller.received, 1 << 20)
                counts = instance.counters.snapshot()
                self.assertEqual(counts["held.unread"], 1)
                (line,) = self.events_named("end_unread")
                self.assertEqual(line["id"], "a1")
                self.assertIn(MEMORY_SHORT, line["why"])


if __name__ == "__main__":
    unittest.main()
