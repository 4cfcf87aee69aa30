"""Tests answers that end with their connection, whole and broken off."""

import asyncio
import contextlib
import time
import unittest
import unittest.mock

import anyio

from jasminerelay import completeness, streammoves
from jasminerelay.backends import AttemptError, ExecutionStatus, ServiceClient
from jasminerelay.completeness import Framing
from jasminerelay.httpclient import HttpClient, HttpRequest
from jasminerelay.schema.manifest import Server
from jasminerelay.serverends import Alive, Ended
from jasminerelay.sse import EventSplitter
from jasminerelay.watchdog import Watchdog
from standins import connectionanswers
from standins.platformserver import Break, ServerFaults
from standins.platformsite import MODEL_BACKEND, PLAIN_BACKEND
from tests.platformcase import Answer, PlatformCase, events
from tests.test_platform import run_raw_server

LISTENS_ON_S = 0.01
"""Time from the end of a server's connections to that of its listener."""

PROMPT = {"Token_Usage": "1200,20", "Prefix_Hash": "aa:1000,bb:200"}


class CompletenessTest(unittest.TestCase):
    """What proves that an answer is complete."""

    def test_framing(self) -> None:
        length = (b"Content-Length", b"5")
        chunked = (b"Transfer-Encoding", b"gzip, Chunked")
        cases = (
            (200, [], True, Framing.CONNECTION),
            (200, [length], True, Framing.LENGTH),
            (200, [chunked, length], True, Framing.CHUNKS),
            (204, [], True, Framing.NO_BODY),
            (200, [length], False, Framing.NO_BODY),
        )
        for status, fields, has_body, expected in cases:
            found = completeness.framing(status, fields, has_body=has_body)
            self.assertIs(found, expected)

    def test_streams(self) -> None:
        event, comment = b"id: 1\ndata: x\n\n", b": still here\n\n"
        cases = (
            (b"", "before the first event"),
            (comment, "before the first event"),
            (event, ""),
            (event + comment, "before the first event"),
            (event[:-1], "within an event"),
            (event + event[:4], "within an event"),
        )
        for data, reason in cases:
            splitter = EventSplitter()
            splitter.feed(data)
            found = completeness.stream_fault(Framing.CONNECTION, splitter)
            self.assertEqual(bool(found), bool(reason), (data, found))
            self.assertIn(reason, found)

    def test_stopped_run(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: x\n\n")
        for ended_by in (Framing.CONNECTION, Framing.CHUNKS):
            fault = completeness.stream_fault(
                ended_by, splitter, may_have_stopped=True
            )
            self.assertEqual(bool(fault), ended_by is Framing.CONNECTION)

    def test_framed_ends_need_no_content(self) -> None:
        for ended_by in (Framing.LENGTH, Framing.CHUNKS):
            splitter = EventSplitter()
            self.assertEqual(completeness.stream_fault(ended_by, splitter), "")
            self.assertEqual(completeness.body_fault(ended_by, 200, 0), "")

    def test_failure_needs_no_body(self) -> None:
        self.assertEqual(
            completeness.body_fault(Framing.CONNECTION, 500, 0), ""
        )


class ServiceAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers of plain services on the project's own interface."""

    async def test_answer_without_a_byte_may_have_run(self) -> None:
        # Guards against an answer that broke off after its head and is
        # recorded as the outcome of a call that may run once.
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            writer.close()

        client = HttpClient(Watchdog())
        services = ServiceClient(client, lambda *_: None)
        async with run_raw_server(serve) as address:
            server = Server("s", address, "z", 1)
            with self.assertRaises(AttemptError) as caught:
                await services.call(server, HttpRequest("POST", "/x"))
        await client.aclose()
        status = caught.exception.execution_status
        self.assertIs(status, ExecutionStatus.MAY_HAVE_RUN)


class ConnectionAnswersTest(PlatformCase):
    """Answers with neither a length nor chunks."""

    @contextlib.asynccontextmanager
    async def answering(self, breaks: int = 0, kind: Break = Break.AFTER_HEAD):
        """Runs a site whose servers answer so; each breaks off some answers."""
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.by_connection = True
                server.faults.breaks = breaks
                server.faults.break_as = kind
            yield site, instance

    def runs(self, site) -> int:
        return sum(len(server.journal) for server in site.servers.values())

    async def test_whole_answers(self) -> None:
        async with self.answering() as (_, instance):
            for path in ("/chat/1/stream", "/sheet/1/stream"):
                answer = await self.ask(instance, path, **PROMPT)
                self.assertEqual(
                    (answer.whole, answer.body), (True, events(20))
                )
            plain = await self.ask(instance, "/confirm/x")
            self.assertEqual((plain.whole, plain.body), (True, b"answer to a1"))

    async def test_server_that_is_killed_between_two_events(self) -> None:
        # Guards against a stream that counts as complete since the kernel ended
        # the connections of a killed server in order.
        await self.kill_between_two_events()

    async def test_server_that_listens_for_a_moment_after_its_end(self) -> None:
        # Guards against a stream that counts as complete since the kernel ended
        # the connections of a killed server before it closed the listener.
        end_port = connectionanswers.end_port

        def end_late(port, *, in_order: bool) -> None:
            for connection in list(port.server_state.connections):
                connection.transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(LISTENS_ON_S, lambda: end_port(port))

        with unittest.mock.patch.object(
            connectionanswers, "end_port", end_late
        ):
            await self.kill_between_two_events()

    async def kill_between_two_events(self) -> None:
        """Kills a server with a stream that can go on, and with another."""
        for path, runs in (("/chat/1/stream", 2), ("/sheet/1/stream", 1)):
            async with self.answering() as (site, instance):
                answers = []

                async def ask(path=path, instance=instance, found=answers):
                    found.append(await self.ask(instance, path, **PROMPT))

                async with anyio.create_task_group() as group:
                    group.start_soon(ask)
                    await self.until(lambda s=site: self.busy(s))
                    name = self.busy(site)
                    server = site.servers[name]
                    ran = server.journal[-1]
                    await self.until(lambda r=ran: r.last_token >= 5)
                    site.kill_server(name, in_order=True)
                (answer,) = answers
                self.assertEqual(self.runs(site), runs)
                if runs > 1:
                    self.assertEqual(
                        (answer.whole, answer.body), (True, events(20))
                    )
                else:
                    self.assertFalse(answer.whole)

    async def test_stream_that_is_cut_off_while_its_instance_stood_still(
        self,
    ) -> None:
        # Guards against a stream that counts as complete since a sound server
        # ended in order what an instance that stood still had left unread.
        for path, runs in (("/chat/1/stream", 2), ("/sheet/1/stream", 1)):
            async with self.answering() as (site, instance):

                async def find_end(server, ask_timeout_s) -> Alive:
                    del server, ask_timeout_s
                    return Alive()

                instance._ends.find = find_end
                answers = []

                async def ask(path=path, instance=instance, found=answers):
                    found.append(await self.ask(instance, path, **PROMPT))

                async with anyio.create_task_group() as group:
                    group.start_soon(ask)
                    await self.until(lambda s=site: self.busy(s))
                    name = self.busy(site)
                    ran = site.servers[name].journal[-1]
                    await self.until(lambda r=ran: r.last_token >= 5)
                    instance._stalls.record(2.0, time.monotonic())
                    site.kill_server(name, in_order=True)
                (answer,) = answers
                self.assertEqual(self.runs(site), runs)
                self.assertEqual(answer.whole, runs > 1)
                if runs > 1:
                    self.assertEqual(answer.body, events(20))

    async def answer_of_killed_server(
        self, size: int, *, row_gone: bool
    ) -> Answer:
        """Returns a plain answer whose server is killed at its end.

        Args:
            size: Its size in bytes, of which its head says nothing.
            row_gone: Whether the server's row goes before.
        """
        listeners: list[asyncio.Server] = []
        async with self.site() as (site, (instance,)):

            async def serve(reader, writer) -> None:
                await reader.readuntil(b"\r\n\r\n")
                head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n\r\n"
                writer.write(head + b"x" * size)
                await writer.drain()
                if row_gone:
                    site.store.delete("servers", "plain-1")
                    await self.until(
                        lambda: instance.registry.server("plain-1") is None
                    )
                listeners[0].close()
                writer.close()

            site.kill_server("plain-2")
            site.store.delete("servers", "plain-2")
            site.kill_server("plain-1")
            await self.until(
                lambda: len(instance.registry.servers_of(PLAIN_BACKEND)) == 1
            )
            await asyncio.sleep(0.1)
            host, _, port = site.addresses["plain-1"].rpartition(":")
            listeners.append(await asyncio.start_server(serve, host, int(port)))
            return await self.ask(instance, "/confirm/x")

    async def test_long_answer_of_a_killed_server(self) -> None:
        # Guards against a long answer that counts as complete since the kernel
        # ended the connections of its killed server in order.
        answer = await self.answer_of_killed_server(300_000, row_gone=False)
        self.assertFalse(answer.whole)

    async def test_killed_server_whose_row_is_gone(self) -> None:
        # Guards against an answer that counts as complete since its server is
        # not listed any more, though it never announced its shutdown.
        answer = await self.answer_of_killed_server(3_000, row_gone=True)
        self.assertEqual(answer.status, 502)

    def busy(self, site) -> str:
        """Returns the name of a server that runs a request; "" for none."""
        return next((n for n, s in site.servers.items() if s.running), "")

    async def test_stream_of_a_server_that_ends_after_it(self) -> None:
        # Guards against a whole stream that counts as broken off, since its
        # server, which shuts down, has exited right after it.
        async with self.answering() as (site, instance):

            async def find_end(server, ask_timeout_s) -> Ended:
                del server, ask_timeout_s
                return Ended("refused")

            instance._ends.find = find_end
            answers = []

            async def ask() -> None:
                path = "/sheet/1/stream"
                answers.append(await self.ask(instance, path, **PROMPT))

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await self.until(lambda: self.busy(site))
                name = self.busy(site)
                # No other server takes its streams.
                for other in site.servers.values():
                    other.faults.refuse_moves = 100
                site.write_server_row(name, MODEL_BACKEND, "draining")
            (answer,) = answers
            self.assertEqual((answer.whole, answer.body), (True, events(20)))

    async def test_stream_broken_off_after_its_head_goes_on(self) -> None:
        # Guards against an empty run of a stream that counts as its end.
        for kind in Break:
            async with self.answering() as (site, instance):
                faults = ServerFaults(
                    by_connection=True, breaks=1, break_as=kind
                )
                for server in site.servers.values():
                    server.faults = faults
                answer = await self.ask(instance, "/chat/1/stream", **PROMPT)
                self.assertEqual(self.runs(site), 2)
                self.assertEqual(
                    (answer.whole, answer.body), (True, events(20))
                )

    async def test_stream_broken_off_twice_is_not_complete(self) -> None:
        # Guards against a continued run without events that completes the
        # events of an earlier run.
        for kind in Break:
            async with self.answering() as (site, instance):
                for server in site.servers.values():
                    server.faults.break_as = kind
                first, second = (
                    site.servers["engine-1"],
                    site.servers["engine-2"],
                )
                first.faults.breaks = second.faults.breaks = 100
                answer = await self.ask(instance, "/chat/1/stream", **PROMPT)
                self.assertEqual(self.runs(site), 2)
                self.assertFalse(answer.whole and answer.status == 200, kind)

    async def test_stream_that_may_run_once_is_not_complete(self) -> None:
        # Guards against an empty answer that counts as a whole stream.
        for kind in Break:
            async with self.answering(100, kind) as (site, instance):
                answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
                self.assertEqual(self.runs(site), 1)
                self.assertFalse(answer.whole and answer.status == 200, kind)

    async def test_plain_answer_without_a_byte_is_not_whole(self) -> None:
        # Guards against an answer that broke off after its head and counts
        # as an empty one.
        for kind in (Break.AFTER_HEAD, Break.RESET_AFTER_HEAD):
            async with self.answering(100, kind) as (site, instance):
                answer = await self.ask(instance, "/confirm/x")
                self.assertEqual((answer.status, self.runs(site)), (502, 1))

    async def test_idempotent_answer_without_a_byte_goes_elsewhere(
        self,
    ) -> None:
        # Guards against an empty answer that ends the search for a whole one.
        async with self.answering() as (site, instance):
            site.servers["plain-1"].faults.breaks = 100
            for number in range(6):
                answer = await self.ask(
                    instance, "/lookup/x", "GET", f"a{number}"
                )
                self.assertEqual(answer.body, b"answer to a%d" % number)

    async def test_stopped_run_is_no_end(self) -> None:
        # Guards against a stream that a server closes since its run was
        # ordered to move, and whose end looks like that of the answer. A stall
        # of this process must not move the stream before the drain.
        self.enterContext(
            unittest.mock.patch.object(
                streammoves, "SLOW_CHECK_INTERVAL_S", 60.0
            )
        )
        async with self.answering() as (site, instance):
            answers = []

            async def ask() -> None:
                answers.append(
                    await self.ask(
                        instance,
                        "/sheet/1/stream",
                        Token_Usage="1200,250",
                        Length_Hint="250",
                        Prefix_Hash="aa:1000,bb:200",
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                await self.until(lambda: self.runs(site) == 1)
                await anyio.sleep(0.2)
                (name,) = [n for n, s in site.servers.items() if s.journal]
                site.write_server_row(name, MODEL_BACKEND, "draining")
            (answer,) = answers
            self.assertEqual(site.servers[name].move_count, 1)
            self.assertEqual((answer.whole, answer.body), (True, events(250)))
