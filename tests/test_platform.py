"""Tests the whole request path on the platform against stand-in servers."""

import asyncio
import contextlib
import json
import re
import unittest
import unittest.mock

import anyio

from jasminerelay import stragglers, streammoves, tokentimes
from standins.platformserver import ServerFaults
from standins.platformsite import API_KEY, HOST, MODEL_BACKEND, PLAIN_BACKEND
from tests.platformcase import PlatformCase, events, fetch

PROMPT = {"Token_Usage": "1200,20", "Prefix_Hash": "aa:1000,bb:200"}


class RequestsTest(PlatformCase):
    """End-to-end requests of every kind."""

    async def test_plain_request(self) -> None:
        async with self.site() as (site, (instance,)):
            answer = await self.ask(
                instance,
                "/confirm/slot?x=%20y",
                body=b"a couch",
                Deadline_Ms="2000",
                Tenant="another",
                Hold="x",
                Kv_From="x",
                Request_Urgency="0",
                Connection="x-mine",
                X_Mine="1",
                X_Other="2",
            )
            self.assertEqual((answer.status, answer.whole), (200, True))
            (server,) = [s for s in site.servers.values() if s.journal]
            (ran,) = server.journal
            # The server's signature and the bytes are forwarded unchanged.
            self.assertEqual(
                answer.headers["server-signature"], f"{server.name}.a1"
            )
            self.assertEqual(answer.body, b"answer to a1")
            self.assertEqual(ran.target, "/confirm/slot?x=%20y")
            self.assertEqual(ran.body, b"a couch")
            self.assertEqual(ran.headers["tenant"], "elm")
            self.assertEqual(ran.headers["expect-instance"], server.name)
            self.assertEqual(ran.headers["x-other"], "2")
            self.assertEqual(ran.headers["host"], HOST)
            left_ms = int(ran.headers["deadline-ms"])
            self.assertTrue(1500 < left_ms <= 2000, left_ms)
            for name in ("hold", "kv-from", "authorization", "x-mine"):
                self.assertNotIn(name, ran.headers)

    async def test_stream(self) -> None:
        async with self.site() as (site, (instance,)):
            answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertEqual(answer.body, events(20))
            (ran,) = [r for s in site.servers.values() for r in s.journal]
            self.assertEqual(ran.headers["prefix-hash"], "aa:1000,bb:200")
            self.assertEqual(ran.headers["request-urgency"], "1")

    async def test_refusals(self) -> None:
        async with self.site() as (site, (instance,)):
            wrong_key = await self.ask(instance, "/confirm/x", key="no")
            no_route = await self.ask(instance, "/other/x")
            bad = await self.ask(
                instance, "/sheet/1/stream", Token_Usage="many,3"
            )
            self.assertEqual(wrong_key.status, 401)
            self.assertEqual(no_route.status, 404)
            self.assertEqual(bad.status, 400)
            ran = [r for s in site.servers.values() for r in s.journal]
            self.assertEqual(ran, [])

    async def test_entries_and_readiness(self) -> None:
        async with self.site(2) as (site, instances):
            first = instances[0]
            await self.until(lambda: first.live_instance_count == 2)
            url = f"http://{first.entries}/-/resolve?name={HOST}&zone=north"
            answer = await fetch(url)
            found = json.loads(answer.body)
            self.assertEqual(
                set(found["addresses"]), {i.callers for i in instances}
            )
            ready = await fetch(f"http://{first.readiness}/-/readyz")
            self.assertEqual(ready.status, 200)
            # Each instance has a row under its own address.
            self.assertEqual(len(site.store.keys("jasminerelay_instances")), 2)

    async def test_new_configuration_in_force(self) -> None:
        async with self.site() as (site, (instance,)):
            site.write_configuration(
                tenants=[{"name": "elm", "apiKeys": ["new"]}]
            )
            await self.until(lambda: instance.version == site.version)
            old = await self.ask(instance, "/confirm/x")
            new = await self.ask(instance, "/confirm/x", key="new")
            self.assertEqual((old.status, new.status), (401, 200))


class FailuresTest(PlatformCase):
    """Server failures that the platform specifies."""

    def set_faults(self, site, service: str, **faults) -> None:
        prefix = "engine" if service == MODEL_BACKEND else "plain"
        for name, server in site.servers.items():
            if name.startswith(prefix):
                for fault, value in faults.items():
                    setattr(server.faults, fault, value)

    def runs(self, site) -> int:
        return sum(len(server.journal) for server in site.servers.values())

    async def test_rejected_goes_elsewhere(self) -> None:
        # Both servers reject a request that must run at most once. Neither ran
        # it, so the caller gets 503 and may retry.
        async with self.site() as (site, (instance,)):
            site.servers["plain-1"].faults.refuse = 1
            site.servers["plain-2"].faults.refuse = 1
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(self.runs(site), 0)

    async def test_server_started_again_under_another_name(self) -> None:
        # A crashed server restarts at its address under another name, and its
        # old row remains for some seconds. It rejects all requests for the old
        # name at once, so it always looks idle. After one such response,
        # requests must go to other servers.
        self.enterContext(
            unittest.mock.patch.object(stragglers, "FAILURE_BACKOFF_S", 60.0)
        )
        async with self.site() as (site, (instance,)):
            await self.ask(instance, "/confirm/first")
            (server,) = [x for x in site.servers.values() if x.journal]
            server.name = "plain-9"
            rejections = []
            reject = server._reject

            async def count_rejection(send, status, attempt) -> None:
                rejections.append(status)
                await reject(send, status, attempt)

            server._reject = count_rejection
            for number in range(12):
                answer = await self.ask(instance, f"/confirm/{number}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(rejections, [421])

    async def test_once_is_not_repeated(self) -> None:
        # The server receives a request that must run at most once and closes
        # the connection without a response. It may have run the request, so
        # the caller gets 502 and no other server gets the request.
        async with self.site() as (site, (instance,)):
            self.set_faults(site, PLAIN_BACKEND, mute=1)
            async with anyio.create_task_group() as group:
                answers = []

                async def ask() -> None:
                    answers.append(await self.ask(instance, "/confirm/x"))

                group.start_soon(ask)
                await self.until(lambda: self.runs(site) == 1)
                (name,) = [n for n, s in site.servers.items() if s.journal]
                site.kill_server(name)
            self.assertEqual(answers[0].status, 502)
            self.assertEqual(self.runs(site), 1)

    async def test_idempotent_goes_to_second_server(self) -> None:
        async with self.site() as (site, (instance,)):
            self.set_faults(site, PLAIN_BACKEND, fail=1)
            site.servers["plain-2"].faults.fail = 0
            answers = [
                await self.ask(instance, "/lookup/x", "GET", f"a{number}")
                for number in range(8)
            ]
            self.assertEqual([a.status for a in answers], [200] * 8)
            self.assertEqual(self.runs(site), 9)

    async def test_stream_goes_on_at_second_server(self) -> None:
        # A server fails within an event of a resumable stream. The caller must
        # receive every event once, with the first server's signature.
        async with self.site() as (site, (instance,)):
            site.servers["engine-1"].faults.break_after = 7
            site.servers["engine-1"].faults.torn = True
            site.servers["engine-2"].faults.break_after = 0
            for number in range(3):
                answer = await self.ask(
                    instance,
                    f"/chat/{number}/stream",
                    attempt=f"a{number}",
                    **PROMPT,
                )
                self.assertEqual(answer.body, events(20))
                self.assertTrue(answer.whole)

    async def test_broken_stream_never_looks_complete(self) -> None:
        # A server fails within an event of a stream that must run at most
        # once. The events received are forwarded, and the response must not
        # end as if it were complete.
        async with self.site() as (site, (instance,)):
            self.set_faults(site, MODEL_BACKEND, break_after=7, torn=True)
            answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
            self.assertFalse(answer.whole)
            self.assertEqual(answer.body, events(7))
            self.assertEqual(self.runs(site), 1)

    async def test_torn_event_is_no_end(self) -> None:
        # A server ends its response properly at the HTTP level, but within an
        # event. The caller must not see a complete response.
        async with self.site() as (site, (instance,)):
            self.set_faults(site, MODEL_BACKEND, tear_after=7)
            answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
            self.assertFalse(answer.whole)
            self.assertEqual(answer.body, events(7))

    async def test_crossed_answer_is_dropped(self) -> None:
        # A server's response carries the id of another request. The caller
        # must not get it; an idempotent request goes to the other server.
        async with self.site() as (site, (instance,)):
            site.servers["plain-1"].faults.cross = 1
            site.servers["plain-2"].faults.cross = 0
            for number in range(8):
                answer = await self.ask(
                    instance, "/lookup/x", "GET", f"a{number}"
                )
                self.assertEqual(answer.body, b"answer to a%d" % number)

    async def test_stale_answer_without_id(self) -> None:
        # A faulty server sends a second response to an old request, without an
        # id, where the response to the next request on that connection is
        # expected. The caller got another request's response (found on
        # Teixeira scale-2, seed 412546946666).
        async with self.site() as (site, (instance,)):
            for name in ("plain-1", "plain-2"):
                site.kill_server(name)
                site.store.delete("servers", name)
            async with run_raw_server(stale_second_answer) as address:
                site.addresses["raw"] = address
                site.write_server_row("raw", PLAIN_BACKEND)
                await self.until(
                    lambda: (
                        len(instance.registry.servers_of(PLAIN_BACKEND)) == 1
                    )
                )
                for number in range(4):
                    answer = await self.ask(
                        instance, "/lookup/x", "GET", f"a{number}"
                    )
                    if answer.status == 200:
                        self.assertEqual(answer.body, b"a%d" % number)
                    await anyio.sleep(0.05)

    async def test_caller_leaves(self) -> None:
        # A caller closes its connection in the middle of a stream. The server
        # must stop generating within half a second.
        async with self.site() as (site, (instance,)):
            host, _, port = instance.callers.rpartition(":")
            head = (
                f"POST /sheet/1/stream HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: a1\r\nAuthorization: Bearer {API_KEY}\r\n"
                "Token-Usage: 100,400\r\nContent-Length: 0\r\n\r\n"
            )
            async with await anyio.connect_tcp(host, int(port)) as conn:
                await conn.send(head.encode())
                await conn.receive()
            (ran,) = [r for s in site.servers.values() for r in s.journal]
            engines = [s for s in site.servers.values() if s.journal]
            await self.until(lambda: engines[0].running == 0)
            self.assertFalse(ran.ended)

    async def test_dead_server_costs_no_request(self) -> None:
        # A server has crashed and its row still exists. Its port refuses
        # connections, so no request ran there and another server serves it.
        async with self.site() as (site, (instance,)):
            site.kill_server("plain-1")
            for number in range(4):
                answer = await self.ask(
                    instance, "/confirm/x", attempt=f"a{number}"
                )
                self.assertEqual(answer.status, 200)

    async def ask_long_stream(self, instance, answers: list) -> None:
        """Requests a stream of 250 events that must run at most once."""
        answers.append(
            await self.ask(
                instance,
                "/sheet/1/stream",
                Token_Usage="1200,250",
                Length_Hint="250",
                Prefix_Hash="aa:1000,bb:200",
            )
        )

    async def drain_during_stream(
        self, site, instance, before_draining
    ) -> tuple:
        """Drains a stream's server; returns its name and the response."""
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask_long_stream, instance, answers)
            await self.until(lambda: self.runs(site) == 1)
            (name,) = [n for n, s in site.servers.items() if s.journal]
            await anyio.sleep(0.2)
            before_draining()
            site.write_server_row(name, MODEL_BACKEND, "draining")
        return name, answers[0]

    async def test_stream_is_moved_from_leaving_server(self) -> None:
        # A server starts to drain in the middle of a stream that must run at
        # most once and would outlast the server. The request must be stopped
        # there and resumed from its KV cache at the other server, and the
        # caller must receive every event once.
        async with self.site() as (site, (instance,)):
            name, answer = await self.drain_during_stream(
                site, instance, lambda: None
            )
            self.assertEqual(answer.body, events(250))
            self.assertTrue(answer.whole)
            self.assertEqual(site.servers[name].move_count, 1)
            (other,) = [
                server
                for key, server in site.servers.items()
                if server.journal and key != name
            ]
            came_from = other.journal[0].headers["kv-from"]
            self.assertEqual(came_from, f"{site.addresses[name]}/h1")

    async def test_answer_that_cannot_end_goes_on_elsewhere(self) -> None:
        # An engine prefills without a break and takes 0.1 s per token. At that
        # speed the response would hit its time limit with two thirds of it
        # generated in vain. The other engine is fast, so the request must be
        # moved there in time.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.tick_s = 0.1
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(self.ask_long_stream, instance, answers)
                await self.until(lambda: self.runs(site) == 1)
                for server in site.servers.values():
                    if not server.journal:
                        server.faults.tick_s = 0.01
            self.assertEqual(answers[0].body, events(250))
            self.assertTrue(answers[0].whole)
            moves = sum(server.move_count for server in site.servers.values())
            self.assertEqual(moves, 1)

    async def test_stream_does_not_return_to_a_slow_server(self) -> None:
        # A stream has left a slow engine before its time per token was known.
        # Then its new engine becomes too slow as well. Guards against a move
        # back to the first one, which would be taken for faster than any.
        self.enterContext(
            unittest.mock.patch.object(tokentimes, "MAX_AGE_S", 0.0)
        )
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.tick_s = 0.1
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(self.ask_long_stream, instance, answers)
                await self.until(lambda: self.runs(site) == 2)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()
            self.assertEqual(self.runs(site), 2)

    async def test_refused_move_is_no_second_run(self) -> None:
        # A server drains during a stream that must run at most once, and the
        # other server rejects the moved request. Sending it without the KV
        # cache to any server would run it a second time, so it must go on
        # where it was stopped. A stall of this process must not make the stream
        # look too slow for its server: it would move before the drain.
        self.enterContext(
            unittest.mock.patch.object(
                streammoves, "SLOW_CHECK_INTERVAL_S", 60.0
            )
        )
        async with self.site() as (site, (instance,)):
            await site.add_server("engine-3", MODEL_BACKEND)
            await self.until(
                lambda: len(instance.registry.servers_of(MODEL_BACKEND)) == 3
            )

            def refuse() -> None:
                # The first server chosen rejects it; a second one would not.
                once = ServerFaults(refuse=1)
                for server in site.servers.values():
                    if not server.journal:
                        server.faults = once

            name, answer = await self.drain_during_stream(
                site, instance, refuse
            )
            self.assertEqual(answer.body, events(250))
            self.assertTrue(answer.whole)
            stopped, continued = site.servers[name].journal
            self.assertTrue(stopped.moved)
            came_from = continued.headers["kv-from"]
            self.assertEqual(came_from, f"{site.addresses[name]}/h1")
            self.assertEqual(self.runs(site), 2)

    async def test_draining_server_gets_nothing(self) -> None:
        async with self.site() as (site, (instance,)):
            site.write_server_row("plain-1", PLAIN_BACKEND, "draining")
            await self.until(
                lambda: len(instance.registry.servers_of(PLAIN_BACKEND)) == 1
            )
            for number in range(6):
                await self.ask(instance, "/confirm/x", attempt=f"a{number}")
            self.assertEqual(site.servers["plain-1"].journal, [])


@contextlib.asynccontextmanager
async def run_raw_server(serve):
    """Runs a TCP server with a connection handler and yields its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


async def stale_second_answer(reader, writer) -> None:
    """Sends a stale response before each response except the first one."""
    served = 0
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        attempt = re.search(rb"(?i)attempt-id: (\S+)", head).group(1)
        if served:
            writer.write(
                b"HTTP/1.1 200 OK\r\nServer-Signature: x\r\n"
                b"Content-Length: 5\r\n\r\nstale"
            )
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Signature: x\r\nAttempt-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (attempt, len(attempt), attempt)
        )
        await writer.drain()
        served += 1


if __name__ == "__main__":
    unittest.main()
