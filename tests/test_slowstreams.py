"""Tests streams whose callers stop reading, and large bodies."""

import unittest

import anyio

from jasminerelay.attempt import MIN_STREAM_TIMEOUT_S
from jasminerelay.scheduling.heldbytes import (
    MEMORY_SHORT,
    STALLED,
    HeldBounds,
)
from standins.platformsite import SiteOptions
from tests.slowcallercase import (
    STALL_S,
    SlowCallersCase,
    request_head,
)


class StreamsTest(SlowCallersCase):
    """Streams whose callers stop or pause."""

    HEAD = request_head("/chat/1/stream", Token_Usage="100,400")
    options = SiteOptions(routes={"chat": {"timeoutMs": 60_000}})

    async def test_reader_that_stops(self) -> None:
        # Guards against a stalled caller that occupies a slot of an engine, is
        # taken for a slow engine, or starts a move.
        async with self.long_site(event_bytes=64_000, tick_s=0.002) as (
            site,
            instance,
        ):
            async with self.caller(instance, self.HEAD) as caller:
                await caller.read_head()
                await self.until(lambda: self.events_named("caller_stalled"))
                await self.assert_released(site, instance)
                while await caller.read(1 << 20):
                    pass
                self.assertNotIn(b"0\r\n\r\n", caller.tail)
            (ran,) = self.journal(site)
            self.assertFalse(ran.ended)
            (line,) = self.events_named("request")
            self.assertIn(STALLED, line["why"])
            self.assertLess(line["pause_s"], STALL_S / 2)
            counts = instance.counters.snapshot()
            self.assertEqual(
                [k for k in counts if k.startswith(("stream.", "crash."))], []
            )

    async def test_end_that_is_not_read(self) -> None:
        # Guards against an engine's slot that is occupied until its caller has
        # read the end of a stream, and against cutting this end off.
        async with self.long_site(event_bytes=64_000, tick_s=0.002) as (
            site,
            instance,
        ):
            head = request_head("/chat/1/stream", Token_Usage="100,6")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                await self.until(lambda: self.events_named("request"))
                (line,) = self.events_named("request")
                self.assertTrue(line["whole"])
                self.assertLess(line["total_s"], STALL_S)
                self.assertFalse(
                    any(item.running for item in site.servers.values())
                )
                self.assertGreater(instance.held.total, 0)
                await anyio.sleep(2 * STALL_S)
                while not caller.tail.endswith(b"0\r\n\r\n"):
                    self.assertTrue(await caller.read(1 << 20))
            self.assertEqual(self.events_named("caller_stalled"), [])

    async def test_pause_of_the_caller(self) -> None:
        # Guards against a caller's pause that counts as one of the server, in
        # the pause, the token times and the moves.
        async with self.long_site(event_bytes=64_000, tick_s=0.002) as (
            _,
            instance,
        ):
            intervals = []
            token_times = instance.dispatcher.token_times
            token_times.observe = lambda _s, count, seconds, _now: (
                intervals.append(seconds / count)
            )
            async with self.caller(instance, self.HEAD) as caller:
                await caller.read_head()
                for _ in range(2):
                    await anyio.sleep(0.7 * STALL_S)
                    for _ in range(100):
                        await caller.read(1 << 16)
                while not caller.tail.endswith(b"0\r\n\r\n"):
                    self.assertTrue(await caller.read(1 << 20))
            await self.until(lambda: self.events_named("request"))
            (line,) = self.events_named("request")
            self.assertTrue(line["whole"])
            self.assertEqual(line["events"], 400)
            self.assertLess(line["pause_s"], STALL_S / 2)
            self.assertLess(max(intervals), STALL_S / 2)
            self.assertEqual(len(line["servers"]), 1)

    async def test_silent_server_after_a_pause_of_the_caller(self) -> None:
        # Guards against a stream that stays at a dark server until its time is
        # over, since its caller had once read slowly.
        async with self.long_site(event_bytes=64_000, tick_s=0.002) as (
            site,
            instance,
        ):
            async with self.caller(instance, self.HEAD) as caller:
                await caller.read_head()
                await self.until(
                    lambda: "held.waited" in instance.counters.snapshot()
                )
                for _ in range(100):
                    await caller.read(1 << 16)
                (server,) = [x for x in site.servers.values() if x.running]
                server.faults.silent = True
                while not caller.tail.endswith(b"0\r\n\r\n"):
                    with anyio.fail_after(2 * MIN_STREAM_TIMEOUT_S):
                        self.assertTrue(await caller.read(1 << 20))
            await self.until(lambda: self.events_named("request"))
            (line,) = self.events_named("request")
            self.assertTrue(line["whole"])
            self.assertEqual(len(line["servers"]), 2)


class LargeBodiesTest(SlowCallersCase):
    """Large bodies while memory is short."""

    async def test_slow_body_while_memory_gets_short(self) -> None:
        # Guards against slow bodies that fill the memory of an instance, and
        # against a refused request that has run.
        async with self.long_site() as (site, instance):
            instance.held.bounds = HeldBounds(1_000_000)
            head = request_head("/confirm/x", 400_000)
            async with self.caller(instance, head) as caller:
                await caller.conn.send(bytes(200_000))
                await self.until(lambda: instance.held.total == 200_000)
                other = instance.held.hold("oak")
                other.set(700_000)
                await caller.conn.send(bytes(10_000))
                await caller.read_head()
                self.assertIn(b" 503 ", caller.head)
                self.assertIn(b"retry-after: ", caller.head)
            self.assertEqual(instance.held.total, 700_000)
            self.assertEqual(self.journal(site), [])
            (line,) = self.events_named("refused")
            self.assertIn(MEMORY_SHORT, line["why"])
            small = await self.ask(instance, "/confirm/x", body=b"x" * 1000)
            self.assertEqual(small.status, 200)
            other.close()
            large = await self.ask(instance, "/confirm/x", body=bytes(400_000))
            self.assertEqual(large.status, 200)
            await self.assert_released(site, instance)

    async def test_large_body_is_refused_by_its_length(self) -> None:
        # Guards against receiving a body for which there is no memory.
        async with self.long_site() as (site, instance):
            instance.held.bounds = HeldBounds(1_000_000)
            other = instance.held.hold("oak")
            other.set(900_000)
            head = request_head("/confirm/x", 70_000, Expect="100-continue")
            async with self.caller(instance, head) as caller:
                await caller.read_head()
                self.assertTrue(caller.head.startswith(b"HTTP/1.1 503 "))
            self.assertEqual(self.journal(site), [])
            self.assertEqual(instance.counters.snapshot()["held.refused"], 1)

    async def test_without_memory_limit_nothing_is_refused(self) -> None:
        # Guards against new refusals in deployments that state no limit.
        async with self.long_site() as (_, instance):
            instance.held.hold("oak").set(1 << 40)
            answer = await self.ask(
                instance, "/confirm/x", body=bytes(1_000_000)
            )
            self.assertEqual(answer.status, 200)

    async def test_caller_that_leaves_within_its_body(self) -> None:
        # Guards against a count that stays after its request.
        async with self.long_site() as (_, instance):
            head = request_head("/confirm/x", 400_000)
            async with self.caller(instance, head) as caller:
                await caller.conn.send(bytes(200_000))
                await self.until(lambda: instance.held.total == 200_000)
            await self.until(lambda: instance.held.total == 0)


if __name__ == "__main__":
    unittest.main()
