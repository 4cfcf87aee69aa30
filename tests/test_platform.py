"""The whole path on the platform's interface, against its stand-ins."""

import asyncio
import contextlib
import json
import re
import unittest
import unittest.mock

import anyio

from jasminerelay import stragglers
from standins.platformserver import ServerFaults
from standins.platformsite import HOST, KEY, MODEL, PLAIN
from tests.platformcase import PlatformCase, events, fetch

PROMPT = {"Token_Usage": "1200,20", "Prefix_Hash": "aa:1000,bb:200"}


class RequestsTest(PlatformCase):
    """Requests of every kind from end to end."""

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
            # The signature is the server's; the bytes are passed unchanged.
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
            self.assertEqual(ran.headers["request-urgency"], "5")

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
            await self.until(lambda: first.peers_live == 2)
            url = f"http://{first.entries}/-/resolve?name={HOST}&zone=north"
            answer = await fetch(url)
            found = json.loads(answer.body)
            self.assertEqual(
                set(found["addresses"]), {i.callers for i in instances}
            )
            ready = await fetch(f"http://{first.readiness}/-/readyz")
            self.assertEqual(ready.status, 200)
            # A row for each, under its own address.
            self.assertEqual(len(site.store.keys("jasminerelay_instances")), 2)

    async def test_new_configuration_in_force(self) -> None:
        async with self.site() as (site, (instance,)):
            site.configure(tenants=[{"name": "elm", "apiKeys": ["new"]}])
            await self.until(lambda: instance.version == site.version)
            old = await self.ask(instance, "/confirm/x")
            new = await self.ask(instance, "/confirm/x", key="new")
            self.assertEqual((old.status, new.status), (401, 200))


class FailuresTest(PlatformCase):
    """Servers that fail in the ways that the platform's pages name."""

    def arm(self, site, service: str, **faults) -> None:
        prefix = "engine" if service == MODEL else "plain"
        for name, server in site.servers.items():
            if name.startswith(prefix):
                for fault, value in faults.items():
                    setattr(server.faults, fault, value)

    def runs(self, site) -> int:
        return sum(len(server.journal) for server in site.servers.values())

    async def test_rejected_goes_elsewhere(self) -> None:
        # A server rejects a request that may run once. It has not run, so
        # another server gets it and the caller sees one good answer.
        async with self.site() as (site, (instance,)):
            site.servers["plain-1"].faults.refuse = 1
            site.servers["plain-2"].faults.refuse = 1
            answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(self.runs(site), 0)

    async def test_server_started_again_under_another_name(self) -> None:
        # A crashed server is back at its address as another one, and its old
        # row stands for some seconds. It sends all requests for the old one
        # away at once, so it always looks idle. One such answer must be
        # enough; the others go where they are served.
        self.enterContext(
            unittest.mock.patch.object(stragglers, "FAILURE_BACKOFF_S", 60.0)
        )
        async with self.site() as (site, (instance,)):
            await self.ask(instance, "/confirm/first")
            (server,) = [x for x in site.servers.values() if x.journal]
            server.name = "plain-9"
            sent_away = []
            reject = server._reject

            async def counted(send, status, attempt) -> None:
                sent_away.append(status)
                await reject(send, status, attempt)

            server._reject = counted
            for number in range(12):
                answer = await self.ask(instance, f"/confirm/{number}")
                self.assertEqual(answer.status, 200)
            self.assertEqual(sent_away, [421])

    async def test_once_is_not_repeated(self) -> None:
        # The server takes a request that may run once and closes without an
        # answer. It may have run, so the caller is told 502 and no other
        # server gets it.
        async with self.site() as (site, (instance,)):
            self.arm(site, PLAIN, mute=1)
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
            self.arm(site, PLAIN, fail=1)
            site.servers["plain-2"].faults.fail = 0
            answers = [
                await self.ask(instance, "/lookup/x", "GET", f"a{number}")
                for number in range(8)
            ]
            self.assertEqual([a.status for a in answers], [200] * 8)
            self.assertEqual(self.runs(site), 9)

    async def test_stream_goes_on_at_second_server(self) -> None:
        # A server stops inside an event of a stream that may be resumed. The
        # caller sees every event once and the first server's signature.
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
        # The same with a stream that may not be repeated: what came is passed
        # on, and its end is not a proper one.
        async with self.site() as (site, (instance,)):
            self.arm(site, MODEL, break_after=7, torn=True)
            answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
            self.assertFalse(answer.whole)
            self.assertEqual(answer.body, events(7))
            self.assertEqual(self.runs(site), 1)

    async def test_torn_event_is_no_end(self) -> None:
        # A server ends its answer in order, but inside an event. That is not
        # an answer's end, and the caller must not take it for one.
        async with self.site() as (site, (instance,)):
            self.arm(site, MODEL, tear_after=7)
            answer = await self.ask(instance, "/sheet/1/stream", **PROMPT)
            self.assertFalse(answer.whole)
            self.assertEqual(answer.body, events(7))

    async def test_crossed_answer_is_dropped(self) -> None:
        # A server answers with the id of another request. The caller must not
        # get it; a request that may be repeated goes to the other server.
        async with self.site() as (site, (instance,)):
            site.servers["plain-1"].faults.cross = 1
            site.servers["plain-2"].faults.cross = 0
            for number in range(8):
                answer = await self.ask(
                    instance, "/lookup/x", "GET", f"a{number}"
                )
                self.assertEqual(answer.body, b"answer to a%d" % number)

    async def test_stale_answer_without_id(self) -> None:
        # A faulty server sends a second answer to an old request, just where
        # the answer to the next one on that connection is expected, and it
        # names no request. Played in a hunt (Teixeira scale-2, seed
        # 412546946666): the caller got another request's answer as its own.
        async with self.site() as (site, (instance,)):
            for name in ("plain-1", "plain-2"):
                site.kill_server(name)
                site.store.drop("servers", name)
            async with raw_server(stale_second_answer) as address:
                site.addresses["raw"] = address
                site.register("raw", PLAIN)
                await self.until(
                    lambda: len(instance.registry.servers_of(PLAIN)) == 1
                )
                for number in range(4):
                    answer = await self.ask(
                        instance, "/lookup/x", "GET", f"a{number}"
                    )
                    if answer.status == 200:
                        self.assertEqual(answer.body, b"a%d" % number)
                    await anyio.sleep(0.05)

    async def test_caller_leaves(self) -> None:
        # A caller closes its connection in the middle of a stream; the server
        # must stop within half a second.
        async with self.site() as (site, (instance,)):
            host, _, port = instance.callers.rpartition(":")
            head = (
                f"POST /sheet/1/stream HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: a1\r\nAuthorization: Bearer {KEY}\r\n"
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
        # A server dies and its row is still there. Its port refuses
        # connections, so nothing has run and another server serves.
        async with self.site() as (site, (instance,)):
            site.kill_server("plain-1")
            for number in range(4):
                answer = await self.ask(
                    instance, "/confirm/x", attempt=f"a{number}"
                )
                self.assertEqual(answer.status, 200)

    async def ask_long(self, instance, answers: list) -> None:
        """Asks for a stream of 250 events that may run once."""
        answers.append(
            await self.ask(
                instance,
                "/sheet/1/stream",
                Token_Usage="1200,250",
                Length_Hint="250",
                Prefix_Hash="aa:1000,bb:200",
            )
        )

    async def move_away(self, site, instance, before_leaving) -> tuple:
        """Lets a server leave in mid-stream; gives its name and the answer."""
        answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(self.ask_long, instance, answers)
            await self.until(lambda: self.runs(site) == 1)
            (name,) = [n for n, s in site.servers.items() if s.journal]
            await anyio.sleep(0.2)
            before_leaving()
            site.register(name, MODEL, "draining")
        return name, answers[0]

    async def test_stream_is_moved_from_leaving_server(self) -> None:
        # A server says that it leaves, in the middle of a stream that may run
        # once and would go on for longer than the server. Its run is stopped,
        # the other server goes on from its memory, and the caller sees every
        # event once.
        async with self.site() as (site, (instance,)):
            name, answer = await self.move_away(site, instance, lambda: None)
            self.assertEqual(answer.body, events(250))
            self.assertTrue(answer.whole)
            self.assertEqual(site.servers[name].moves, 1)
            (other,) = [
                server
                for key, server in site.servers.items()
                if server.journal and key != name
            ]
            came_from = other.journal[0].headers["kv-from"]
            self.assertEqual(came_from, f"{site.addresses[name]}/h1")

    async def test_answer_that_cannot_end_goes_on_elsewhere(self) -> None:
        # An engine reads prompts without a break and makes a token in a tenth
        # of a second; at that pace the answer would end at its time limit
        # with two thirds of it made in vain. The other engine is quick. The
        # run is stopped in time and goes on there.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.tick_s = 0.1
            answers = []
            async with anyio.create_task_group() as group:
                group.start_soon(self.ask_long, instance, answers)
                await self.until(lambda: self.runs(site) == 1)
                for server in site.servers.values():
                    if not server.journal:
                        server.faults.tick_s = 0.01
            self.assertEqual(answers[0].body, events(250))
            self.assertTrue(answers[0].whole)
            moves = sum(server.moves for server in site.servers.values())
            self.assertEqual(moves, 1)

    async def test_refused_move_is_no_second_run(self) -> None:
        # The same, but the other server rejects the moved run. The request
        # has run once; sending it without the memory would run it again, so
        # the caller gets an answer without an end.
        async with self.site() as (site, (instance,)):
            await site.add_server("engine-3", MODEL)
            await self.until(
                lambda: len(instance.registry.servers_of(MODEL)) == 3
            )

            def refuse() -> None:
                # Whichever is chosen rejects it; the one after that would not.
                once = ServerFaults(refuse=1)
                for server in site.servers.values():
                    if not server.journal:
                        server.faults = once

            _, answer = await self.move_away(site, instance, refuse)
            self.assertFalse(answer.whole)
            self.assertEqual(self.runs(site), 1)

    async def test_draining_server_gets_nothing(self) -> None:
        async with self.site() as (site, (instance,)):
            site.register("plain-1", PLAIN, "draining")
            await self.until(
                lambda: len(instance.registry.servers_of(PLAIN)) == 1
            )
            for number in range(6):
                await self.ask(instance, "/confirm/x", attempt=f"a{number}")
            self.assertEqual(site.servers["plain-1"].journal, [])


@contextlib.asynccontextmanager
async def raw_server(serve):
    """Runs a server that writes bytes as told; gives its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


async def stale_second_answer(reader, writer) -> None:
    """Answers the second request on a connection with a stale answer first."""
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
