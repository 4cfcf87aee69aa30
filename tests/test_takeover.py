"""Tests of two servers under way for one request."""

import asyncio
import socket
import unittest.mock

import anyio

from jasminerelay import attempt
from jasminerelay.addresses import split_address
from jasminerelay.httpclient import NotSentError
from standins.platformserver import PlatformServer
from standins.platformsite import API_KEY, HOST, MODEL_BACKEND, SiteOptions
from tests.midanswercase import EVENTS, MidAnswerCase
from tests.platformcase import events


class Budget:
    """A retry budget of few retries.

    Attributes:
        left: Retries left.
    """

    def __init__(self, instance, left: int) -> None:
        self.left = left
        instance._retry_budget.spend = self.spend
        instance._retry_budget.has_any = lambda service, now: self.left > 0

    def spend(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if none is left."""
        if not self.left:
            return False
        self.left -= 1
        return True


class TakeoverTest(MidAnswerCase):
    """Requests of a silent server that another one is asked for."""

    options = SiteOptions(
        engines=3,
        plain=3,
        routes={"chat": {"timeoutMs": 6000}, "lookup": {"timeoutMs": 4000}},
    )

    def setUp(self) -> None:
        super().setUp()
        self.move_leaving_streams_only()

    def let_first_reject_late(self, site) -> None:
        """Lets servers reject a request once another one is being asked."""
        for server in site.servers.values():
            server.faults.refuse = 1
            server.faults.reject_after_s = 1.8

    async def silence_after_first_arrival(self, site) -> None:
        """Lets the servers that are asked later take requests in silence."""
        await self.until(lambda: len(self.arrivals(site)) == 1)
        for server in site.servers.values():
            server.faults.refuse = 0
            server.faults.silent = True

    def arrivals(self, site) -> list[PlatformServer]:
        """Returns the server of each arrival, in order."""
        found = [(at, s) for s in site.servers.values() for at, _ in s.arrivals]
        return [server for _, server in sorted(found, key=lambda x: x[0])]

    async def second_arrival(self, site) -> list[PlatformServer]:
        await self.until(lambda: len(self.arrivals(site)) > 1)
        return self.arrivals(site)

    async def test_rejected_late_without_budget(self) -> None:
        # Guards against arrivals that are not taken from the retry budget, of a
        # stream that has left its silent server and is rejected.
        async with self.site() as (site, (instance,)):
            Budget(instance, 1)

            async def change() -> None:
                await self.until(lambda: len(self.arrivals(site)) == 1)
                await anyio.sleep(0.2)
                (first,) = self.arrivals(site)
                for server in site.servers.values():
                    server.faults.refuse = 100
                    server.faults.reject_after_s = 0.4
                first.faults.silent = True

            answer = await self.ask_while(instance, "/chat/1/stream", change)
            self.assertFalse(answer.whole)
            self.assertEqual(len(self.arrivals(site)), 2)

    async def test_fails_while_another_is_asked(self) -> None:
        # Guards against a third server for a request that two may run, where
        # the silent one fails while the other one runs it.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.silent = True

            async def change() -> None:
                first, _ = await self.second_arrival(site)
                first.faults.fail = 1
                first.faults.silent = False
                await anyio.sleep(0.5)
                for server in site.servers.values():
                    server.faults.silent = False

            await self.ask_while(instance, "/lookup/x", change)
            self.assertEqual(len(self.arrivals(site)), 2)

    async def test_rejects_while_another_is_asked(self) -> None:
        # Guards against "not run" for a request that the second server may run,
        # where the silent one rejects it meanwhile.
        self.enterContext(unittest.mock.patch.object(attempt, "OVERLAP_S", 3.0))
        async with self.site() as (site, (instance,)):
            Budget(instance, 1)
            self.let_first_reject_late(site)

            answer = await self.ask_while(
                instance,
                "/chat/1/stream",
                lambda: self.silence_after_first_arrival(site),
            )
            self.assertNotEqual(answer.status, 503)

    async def test_goes_on_after_rejection(self) -> None:
        # Guards against leaving the server that was asked, for a silent one
        # that rejects the request.
        self.enterContext(unittest.mock.patch.object(attempt, "OVERLAP_S", 3.0))
        async with self.site() as (site, (instance,)):
            Budget(instance, 1)
            self.let_first_reject_late(site)

            async def change() -> None:
                await self.silence_after_first_arrival(site)
                await anyio.sleep(2.2)
                for server in site.servers.values():
                    server.faults.silent = False

            answer = await self.ask_while(instance, "/chat/1/stream", change)
            self.assertEqual(answer.body, events(EVENTS))
            self.assertEqual(len(self.arrivals(site)), 2)

    async def test_breaks_off_while_connecting(self) -> None:
        # Guards against leaving the server that was asked, since the silent
        # one breaks off while the connection is being opened.
        async with self.site() as (site, (instance,)):
            Budget(instance, 1)
            acquire = instance._channels.acquire
            asked: list[str] = []
            opening = anyio.Event()

            async def acquire_slowly(server):
                asked.append(server.id)
                if len(asked) == 2:
                    opening.set()
                    await anyio.sleep(0.3)
                return await acquire(server)

            instance._channels.acquire = acquire_slowly

            async def change() -> None:
                await self.until(lambda: len(self.arrivals(site)) == 1)
                await anyio.sleep(0.2)
                (first,) = self.arrivals(site)
                first.faults.silent = True
                await opening.wait()
                first.faults.break_after = 1
                first.faults.silent = False

            answer = await self.ask_while(instance, "/chat/1/stream", change)
            self.assertEqual(answer.body, events(EVENTS))
            self.assertEqual([x.name for x in self.arrivals(site)], asked)

    async def test_long_failure(self) -> None:
        # Guards against a long failure of another server that is sent to the
        # caller while the silent one still has the answer.
        self.enterContext(unittest.mock.patch.object(attempt, "OVERLAP_S", 3.0))
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.silent = True

            async def change() -> None:
                first, second = await self.second_arrival(site)
                body = bytes(attempt.MAX_AHEAD_BYTES + (1 << 20))

                second.faults.fail = 1
                second.faults.failure = body
                second.faults.silent = False
                await anyio.sleep(0.3)
                first.faults.silent = False

            answer = await self.ask_while(instance, "/lookup/x", change)
            self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_copies_out_of_reach_without_budget(self) -> None:
        # Guards against a run that starts anew, since neither server with its
        # copy is reached, and is not taken from the retry budget.
        async with self.site() as (site, (instance,)):
            budget = Budget(instance, 0)
            acquire = instance._channels.acquire
            asked: list[str] = []

            async def acquire_or_fail(server):
                asked.append(server.id)
                if 1 < len(asked) <= 5:
                    raise NotSentError("not reached")
                return await acquire(server)

            instance._channels.acquire = acquire_or_fail
            for server in site.servers.values():
                server.faults.tick_s = 0.02

            async def change() -> None:
                await self.until(lambda: len(self.arrivals(site)) == 1)
                await anyio.sleep(0.2)
                (first,) = self.arrivals(site)
                site.write_server_row(first.name, MODEL_BACKEND, "draining")
                await self.until(lambda: len(asked) >= 5)
                await anyio.sleep(1.0)
                self.assertEqual(len(self.arrivals(site)), 1)
                budget.left = 1

            answer = await self.ask_while(instance, "/chat/1/stream", change)
            self.assertEqual(answer.body, events(EVENTS))
            self.assertEqual(len(self.arrivals(site)), 2)

    async def test_caller_was_slow(self) -> None:
        # Guards against waiting for a dark server until the time limit, since
        # the caller of the stream once read slowly.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.event_bytes = 4000
            host, port = split_address(instance.callers)
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, (host, port))
                head = (
                    "POST /chat/1/stream HTTP/1.1\r\n"
                    f"Host: {HOST}\r\nAttempt-Id: a1\r\n"
                    f"Authorization: Bearer {API_KEY}\r\n"
                    f"Token-Usage: 900,{EVENTS}\r\nContent-Length: 0\r\n"
                    "Prefix-Hash: aa:500,bb:400\r\n\r\n"
                )
                await loop.sock_sendall(caller, head.encode())
                await anyio.sleep(1.0)
                (first,) = self.arrivals(site)
                first.faults.silent = True
                received = b""
                with anyio.move_on_after(4.0):
                    while b"id: %d\n" % EVENTS not in received:
                        received += await loop.sock_recv(caller, 65536)
            self.assertIn(b"id: %d\n" % EVENTS, received)

    async def test_caller_leaves(self) -> None:
        # Guards against servers that work on, and places that stay reserved,
        # where a caller leaves while two servers have its request.
        self.enterContext(unittest.mock.patch.object(attempt, "OVERLAP_S", 3.0))
        for path in ("/chat/1/stream", "/lookup/x"):
            with self.subTest(path=path):
                async with self.site() as (site, (instance,)):
                    for server in site.servers.values():
                        server.faults.silent = True
                    with anyio.CancelScope() as caller:

                        async def change(site=site, caller=caller) -> None:
                            servers = await self.second_arrival(site)
                            self.assertEqual(
                                [s.running for s in servers], [1, 1]
                            )
                            caller.cancel()

                        await self.ask_while(instance, path, change)
                    await anyio.sleep(0.2)
                    running = sum(s.running for s in site.servers.values())
                    self.assertEqual(running, 0)
                    self.assertEqual(instance.dispatcher.workload.runs, {})
                    self.assertEqual(len(self.arrivals(site)), 2)

    async def test_time_limit(self) -> None:
        # Guards against the same at the end of a request's time.
        self.enterContext(unittest.mock.patch.object(attempt, "OVERLAP_S", 9.0))
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.silent = True

            async def change() -> None:
                await self.second_arrival(site)

            answer = await self.ask_while(instance, "/lookup/x", change)
            self.assertEqual(answer.status, 504)
            await anyio.sleep(0.2)
            running = sum(s.running for s in site.servers.values())
            self.assertEqual(running, 0)
            self.assertEqual(instance.dispatcher.workload.runs, {})
