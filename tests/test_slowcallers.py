"""Tests callers that read slowly or stop reading, and large bodies."""

import contextlib
import dataclasses
import socket
import struct
import time
import unittest
import unittest.mock

import anyio
from anyio.abc import SocketAttribute

from jasminerelay import callerconnection, callerpace
from jasminerelay.platform.root import Instance
from jasminerelay.scheduling import heldbytes
from jasminerelay.scheduling.heldbytes import (
    MEMORY_SHORT,
    SMALL_BYTES,
    STALLED,
    HeldBounds,
)
from standins.platformsite import API_KEY, HOST, SiteOptions
from tests.platformcase import PlatformCase

STALL_S = 0.6
CHECK_INTERVAL_S = 0.1
"""Time after which a stalled caller is given up in these tests, and interval of
the checks."""

LONG_BYTES = 24 << 20
"""More than the sockets between server, instance and caller can hold."""

RECEIVE_BUFFER_BYTES = 32 * 1024


def request_head(path: str, body_bytes: int = 0, **fields: str) -> bytes:
    """Returns the head of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "Attempt-Id: a1",
        f"Authorization: Bearer {API_KEY}",
        f"Content-Length: {body_bytes}",
        *(f"{k.replace('_', '-')}: {v}" for k, v in fields.items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclasses.dataclass
class Caller:
    """A caller with a small receive buffer.

    Attributes:
        conn: Its connection.
        head: Head of the response, once it is read.
        received: Bytes of the response's body.
        tail: The last bytes of it.
        was_reset: Whether the connection was reset.
    """

    conn: anyio.abc.SocketStream
    head: bytes = b""
    received: int = 0
    tail: bytes = b""
    was_reset: bool = False

    async def read_head(self) -> None:
        """Reads up to the end of the head."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self.conn.receive(4096)
        self.head, _, rest = data.partition(b"\r\n\r\n")
        self._take(rest)

    async def read(self, count: int) -> bool:
        """Reads some bytes; returns False at the end of the connection."""
        try:
            self._take(await self.conn.receive(count))
        except anyio.EndOfStream:
            return False
        except anyio.BrokenResourceError:
            self.was_reset = True
            return False
        return True

    def _take(self, data: bytes) -> None:
        self.received += len(data)
        self.tail = (self.tail + data)[-16:]


class SlowCallersCase(PlatformCase):
    """Base of the tests with one instance and two servers for each service."""

    def setUp(self) -> None:
        super().setUp()
        patch = unittest.mock.patch.multiple(
            callerpace, STALL_S=STALL_S, CHECK_INTERVAL_S=CHECK_INTERVAL_S
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.lines: list[tuple[str, dict]] = []

    @contextlib.asynccontextmanager
    async def long_site(self, **faults):
        """Runs a site whose plain servers send long responses."""
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                for name, value in faults.items():
                    setattr(server.faults, name, value)
            instance.log.warn = instance.log.info = self.record
            yield site, instance

    def record(self, event: str, **fields) -> None:
        self.lines.append((event, fields))

    def events_named(self, name: str) -> list[dict]:
        return [fields for event, fields in self.lines if event == name]

    @contextlib.asynccontextmanager
    async def caller(self, instance: Instance, head: bytes):
        """Connects, sends a request and yields the caller."""
        host, _, port = instance.callers.rpartition(":")
        raw = socket.socket()
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        raw.connect((host, int(port)))
        raw.setblocking(False)
        async with await anyio.abc.SocketStream.from_socket(raw) as conn:
            await conn.send(head)
            yield Caller(conn)

    def journal(self, site) -> list:
        return [ran for item in site.servers.values() for ran in item.journal]

    async def assert_released(self, site, instance) -> None:
        """Waits until neither servers nor the instance hold anything."""
        await self.until(
            lambda: not any(item.running for item in site.servers.values())
        )
        await self.until(lambda: instance.held.total == 0)
        for name in site.servers:
            for server in instance.registry.servers_of("bookings"):
                load = instance.dispatcher.workload.load(server.id)
                self.assertEqual(load.running, 0, name)


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
