"""Tests that steps which are meant to help an answer do not end it."""

import time

import anyio

from jasminerelay.attempt import OVERLAP_S
from standins.platformserver import PlatformServer
from standins.platformsite import MODEL_BACKEND, SiteOptions
from tests.midanswercase import EVENTS, MidAnswerCase
from tests.platformcase import Answer, events

SILENT_S = 1.6
"""Longer than the time after which another server is sought."""


MAX_OVERLAP_S = 0.4
"""Longest time for which two servers may work on one request."""


class AnswersKeptCase(MidAnswerCase):
    """Requests in the middle of whose answers something happens."""

    options = SiteOptions(
        routes={"chat": {"timeoutMs": 9000}, "lookup": {"timeoutMs": 9000}}
    )

    async def ask_during(self, instance, path: str, site, change) -> Answer:
        """Requests an answer; calls `change` with its server once it runs."""

        async def change_once_it_runs() -> None:
            await self.until(lambda: self.running(site))
            await anyio.sleep(0.2)
            (server,) = self.running(site)
            await change(server)

        return await self.ask_while(instance, path, change_once_it_runs)

    def running(self, site) -> list[PlatformServer]:
        return [x for x in site.servers.values() if x.running]

    def others(self, site, server: PlatformServer) -> list[PlatformServer]:
        return [
            item
            for name, item in site.servers.items()
            if item is not server
            and name.partition("-")[0] == server.name.partition("-")[0]
        ]

    def runs(self, site) -> int:
        """Returns the number of runs; continued ones count once."""
        return sum(
            not ran.moved for s in site.servers.values() for ran in s.journal
        )

    def count(self, instance, name: str) -> int:
        """Returns the value of one of an instance's counters."""
        return instance.counters.snapshot().get(name, 0)

    def assert_whole(self, answer: Answer) -> None:
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual(answer.body, events(EVENTS))


class SilentServerTest(AnswersKeptCase):
    """Answers whose server sends nothing for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.move_leaving_streams_only()

    async def be_silent(self, server: PlatformServer) -> None:
        server.faults.silent = True
        await anyio.sleep(SILENT_S)
        server.faults.silent = False

    async def test_no_retry_budget(self) -> None:
        # Guards against a stream that leaves its silent server though the retry
        # budget allows no other.
        async with self.site() as (site, (instance,)):
            instance._retry_budget.spend = lambda service, now: False
            answer = await self.ask_during(
                instance, "/chat/1/stream", site, self.be_silent
            )
            self.assert_whole(answer)
            self.assertEqual(self.runs(site), 1)

    async def test_no_place_without_retry_budget(self) -> None:
        # Guards against a stream that takes places at servers, again and again,
        # which the retry budget does not let it use.
        async with self.site() as (site, (instance,)):
            instance._retry_budget.has_any = lambda service, now: False
            instance._retry_budget.spend = lambda service, now: False
            answer = await self.ask_during(
                instance, "/chat/1/stream", site, self.be_silent
            )
            self.assert_whole(answer)
            self.assertGreater(self.count(instance, "silence.noticed"), 0)
            self.assertEqual(self.count(instance, "retry.no_budget"), 0)

    async def test_other_server_rejects(self) -> None:
        # Guards against a stream that leaves its silent server for one that
        # rejects it.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    other.faults.refuse = 100
                await self.be_silent(server)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertEqual(self.runs(site), 1)

    async def test_other_server_rejects_late(self) -> None:
        # Guards against a stream whose new server rejects it after the silent
        # one was left, and that is given up.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    other.faults.refuse = 3
                    other.faults.reject_after_s = 0.4
                await self.be_silent(server)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)

    async def test_other_server_refuses_connections(self) -> None:
        # Guards against a stream that leaves its silent server for one that
        # does not listen.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    site.kill_server(other.name)
                await self.be_silent(server)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertEqual(self.runs(site), 1)

    async def test_no_other_server(self) -> None:
        # Guards against a stream that leaves the only server of its service.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    site.kill_server(other.name)
                    site.store.delete("servers", other.name)
                await self.be_silent(server)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertEqual(self.runs(site), 1)

    async def test_silent_for_good(self) -> None:
        # Guards against waiting for a dark server while another one can go on.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                server.faults.silent = True

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertEqual(
                sum(len(x.journal) for x in site.servers.values()), 2
            )

    async def test_speaks_while_another_is_asked(self) -> None:
        # Guards against events of two servers in one answer, where the silent
        # one goes on just as another one gets the stream.
        for wait_s in (0.95, 1.0, 1.05, 1.1, 1.15, 1.2, 1.3):
            with self.subTest(wait_s=wait_s):
                async with self.site() as (site, (instance,)):

                    async def change(server, wait_s=wait_s) -> None:
                        server.faults.silent = True
                        await anyio.sleep(wait_s)
                        server.faults.silent = False

                    answer = await self.ask_during(
                        instance, "/chat/1/stream", site, change
                    )
                    self.assert_whole(answer)

    async def test_speaks_before_another_accepts(self) -> None:
        # Guards against events of two servers in one answer, where the silent
        # one goes on while the other one has the request, not accepted yet.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                (other,) = self.others(site, server)
                server.faults.silent = other.faults.silent = True
                await self.until(lambda: other.arrivals)
                server.faults.silent = False
                await anyio.sleep(0.1)
                other.faults.silent = False

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertEqual(self.count(instance, "silence.taken_over"), 0)

    async def test_another_is_slow_to_accept(self) -> None:
        # Guards against two servers that work on one stream for longer than
        # another one may take to reject it.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                (other,) = self.others(site, server)
                server.faults.silent = other.faults.silent = True
                await self.until(lambda: other.arrivals)
                began = time.monotonic()
                await self.until(lambda: not server.running)
                overlap_s = time.monotonic() - began
                other.faults.silent = False
                self.assertGreater(overlap_s, 0.5 * OVERLAP_S)
                self.assertLess(overlap_s, MAX_OVERLAP_S)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)

    async def test_drains_while_silent(self) -> None:
        # Guards against a stream that is copied to one server while another one
        # is asked to go on with it.
        async with self.site() as (site, (instance,)):
            for name in ("engine-3", "engine-4"):
                # Servers that have rejected it are no targets of a copy.
                await site.add_server(name, MODEL_BACKEND)
            await self.until(
                lambda: len(instance.registry.servers_of(MODEL_BACKEND)) == 4
            )

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    other.faults.refuse = 100
                server.faults.silent = True
                await self.until(
                    lambda: self.count(instance, "silence.rejected")
                )
                site.write_server_row(server.name, MODEL_BACKEND, "draining")
                await anyio.sleep(0.3)
                self.assertEqual(server.copy_count, 0)
                server.faults.silent = False

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)

    async def test_silent_while_it_is_moved(self) -> None:
        # Guards against a stream that another server starts anew while its run
        # is moved to that server.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                server.faults.move_s = 0.7
                site.write_server_row(server.name, MODEL_BACKEND, "draining")
                await anyio.sleep(0.1)
                await self.be_silent(server)

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            (continued,) = [
                ran
                for server in site.servers.values()
                for ran in server.journal
                if not ran.moved
            ]
            self.assertIn("kv-from", continued.headers)

    async def test_silent_after_it_was_stopped(self) -> None:
        # Guards against a stream whose run was stopped and copied, and that
        # waits for its end from a server which sends nothing any more.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                server.faults.silent = True
                site.write_server_row(server.name, MODEL_BACKEND, "draining")

            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)

    async def test_lookup(self) -> None:
        # Guards against a repeatable request that leaves its silent server for
        # one that rejects it.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.silent = True

            async def change(server: PlatformServer) -> None:
                for other in self.others(site, server):
                    other.faults.refuse = 100
                await self.be_silent(server)

            answer = await self.ask_during(instance, "/lookup/x", site, change)
            self.assertEqual((answer.status, answer.whole), (200, True))


class MoveTest(AnswersKeptCase):
    """Streams that may run once and that leave a draining server."""

    def setUp(self) -> None:
        super().setUp()
        self.move_leaving_streams_only()

    async def moved_stream(
        self, site, instance, prepare, runs: int = 1
    ) -> Answer:
        async def change(server: PlatformServer) -> None:
            prepare(server, self.others(site, server))
            site.write_server_row(server.name, MODEL_BACKEND, "draining")

        for server in site.servers.values():
            server.faults.tick_s = 0.02
        answer = await self.ask_during(
            instance, "/sheet/1/stream", site, change
        )
        self.assertEqual(self.runs(site), runs)
        return answer

    async def test_copy_rejected(self) -> None:
        # Guards against a stream that is stopped for a target which then
        # rejects it.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                for other in others:
                    other.faults.refuse_copies = 100

            self.assert_whole(await self.moved_stream(site, instance, prepare))

    async def test_copy_rejected_everywhere(self) -> None:
        # Guards against a second run of a stream that may run once, whose copy
        # no server takes.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                for item in (server, *others):
                    item.faults.refuse_copies = 100

            answer = await self.moved_stream(site, instance, prepare, runs=0)
            self.assertEqual((answer.status, answer.whole), (200, False))

    async def test_copies_rejected_everywhere(self) -> None:
        # Guards against a resumable stream that ends since neither the target
        # of its move nor its source takes its handle.
        async with self.site() as (site, (instance,)):

            async def change(server: PlatformServer) -> None:
                for item in site.servers.values():
                    item.faults.refuse_copies = 100
                site.write_server_row(server.name, MODEL_BACKEND, "draining")

            for server in site.servers.values():
                server.faults.tick_s = 0.02
            answer = await self.ask_during(
                instance, "/chat/1/stream", site, change
            )
            self.assert_whole(answer)
            self.assertGreater(self.count(instance, "stream.returned"), 0)

    async def test_copy_refused(self) -> None:
        # Guards against a stream that is stopped though its target has no room.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                server.faults.refuse_moves = 100

            self.assert_whole(await self.moved_stream(site, instance, prepare))
            self.assertEqual(
                sum(s.move_count for s in site.servers.values()), 0
            )

    async def test_silent_after_it_was_stopped(self) -> None:
        # Guards against a stopped run with a copy that waits for the end of its
        # stream from a server which sends nothing any more.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                server.faults.silent = True

            self.assert_whole(await self.moved_stream(site, instance, prepare))

    async def test_target_gone(self) -> None:
        # Guards against a stream that is stopped for a target which does not
        # listen.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                for other in others:
                    site.kill_server(other.name)

            self.assert_whole(await self.moved_stream(site, instance, prepare))

    async def test_replies_lost(self) -> None:
        # Guards against a stream that is given up since the reply to the order
        # which stopped it was lost.
        for lost in (1, 2, 100):
            with self.subTest(lost=lost):
                async with self.site() as (site, (instance,)):

                    def prepare(server, others, lost=lost) -> None:
                        server.faults.lose_moves = lost

                    self.assert_whole(
                        await self.moved_stream(site, instance, prepare)
                    )

    async def test_connection_stays_open(self) -> None:
        # Guards against waiting for the end of a connection whose run has been
        # stopped.
        async with self.site() as (site, (instance,)):

            def prepare(server, others) -> None:
                server.faults.silent = True

            self.assert_whole(await self.moved_stream(site, instance, prepare))
