"""Bytes on callers' connections: each belongs to one part of one request."""

import asyncio
import unittest
from itertools import product

import anyio

from standins.platformsite import API_KEY, HOST, SiteOptions
from tests.platformcase import PlatformCase
from tests.rawbytes import exchange, parse_answers

STREAM = {"Token-Usage": "100,40", "Model": "m"}
LIMITS = {
    "maxHeaderBytes": 2000,
    "maxBodyBytes": 1000,
    "headerTimeoutMs": 300,
    "idleTimeoutMs": 300,
}
HEADS_IN_A_PACKET = 700


def head(
    attempt: str,
    *fields: str,
    path: str = "/confirm/x",
    method: str = "POST",
    version: str = "HTTP/1.1",
) -> bytes:
    """Returns the head of a request."""
    lines = [
        f"{method} {path} {version}",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Authorization: Bearer {API_KEY}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole(attempt: str, body: bytes = b"", *fields: str, **more) -> bytes:
    """Returns a request whose body has a length."""
    return head(attempt, f"Content-Length: {len(body)}", *fields, **more) + body


class RequestBytesCase(PlatformCase):
    """Base of tests that send bytes to one instance."""

    def runs(self, site) -> list:
        """Returns all runs."""
        return [r for s in site.servers.values() for r in s.journal]

    async def refused(self, site, instance, sent: bytes) -> None:
        """Checks that bytes are refused, and that nothing runs."""
        data, closed = await exchange(instance.callers, [sent])
        answers, rest = parse_answers(data)
        self.assertEqual([a.status for a in answers], [400], data)
        self.assertEqual(rest, b"")
        self.assertTrue(closed)
        self.assertIn(b". ", answers[0].body)
        self.assertEqual(self.runs(site), [])

    async def served(self, site, instance, sent: list[bytes]):
        """Checks that one request is answered; returns its run."""
        data, _ = await exchange(instance.callers, sent, pause_s=0.02)
        answers, rest = parse_answers(data)
        self.assertEqual([a.status for a in answers], [200], data)
        self.assertEqual(rest, b"")
        (ran,) = self.runs(site)
        for server in site.servers.values():
            server.journal.clear()
        return ran


class HeadTest(RequestBytesCase):
    """Heads of requests."""

    async def test_fields_that_stand_twice(self) -> None:
        # Guards against an instance that believes one of two fields while a
        # server gets, or believes, the other.
        async with self.site() as (site, (instance,)):
            for field in (
                "Attempt-Id: other",
                "Host: other.example",
                "Authorization: Bearer other",
                "Deadline-Ms: 1000\r\nDeadline-Ms: 2000",
                "Model: a\r\nModel: b",
                "Token-Usage: 1,1\r\nToken-Usage: 2,2",
                "Last-Event-Id: 1\r\nLast-Event-Id: 2",
                "Content-Length: 0",
            ):
                with self.subTest(field):
                    await self.refused(site, instance, whole("a1", b"", field))

    async def test_fields_that_connection_names(self) -> None:
        # Guards against a request without its id, or with another model, since
        # Connection named the field.
        async with self.site() as (site, (instance,)):
            for name in ("Attempt-Id", "Host", "Model", "Content-Length"):
                with self.subTest(name):
                    sent = whole("a1", b"x", "Model: m", f"Connection: {name}")
                    await self.refused(site, instance, sent)
            sent = whole("a1", b"x", "X-Hop: 1", "Connection: x-hop ,\tTE")
            ran = await self.served(site, instance, [sent])
            self.assertNotIn("x-hop", ran.headers)

    async def test_versions(self) -> None:
        # Guards against requests of other protocols that run as HTTP/1.1.
        async with self.site() as (site, (instance,)):
            for method, version in (
                ("POST", "HTTP/2.0"),
                ("POST", "HTTP/0.9"),
                ("POST", "RTSP/1.0"),
                ("SOURCE", "ICE/1.0"),
                ("CONNECT", "HTTP/1.1"),
                ("PRI", "HTTP/2.0"),
            ):
                with self.subTest(version):
                    sent = head("a1", method=method, version=version)
                    await self.refused(site, instance, sent)

    async def test_target_is_passed_on_whole(self) -> None:
        # Guards against targets that lose an empty query or what follows "#".
        async with self.site() as (site, (instance,)):
            for path in (
                "/confirm/x?",
                "/confirm/x?a=b?c",
                "/confirm/x#f",
                "/confirm/x?q#f",
                "/confirm/%2e%2E/a%20b;c=d",
                "/confirm//x/../y",
            ):
                with self.subTest(path):
                    ran = await self.served(
                        site, instance, [whole("a1", path=path)]
                    )
                    self.assertEqual(ran.target, path)

    async def test_target_with_a_host(self) -> None:
        # Guards against a request that one host's route serves though its
        # target names another.
        async with self.site() as (site, (instance,)):
            sent = whole("a1", path=f"http://{HOST}/confirm/x?")
            ran = await self.served(site, instance, [sent])
            self.assertEqual(ran.target, "/confirm/x?")
            sent = whole("a1", path="http://other.example/confirm/x")
            await self.refused(site, instance, sent)

    async def test_fields_arrive_as_sent(self) -> None:
        # Guards against fields that are lost, joined or changed.
        async with self.site() as (site, (instance,)):
            fields = ["X-A: 1", "X-A:  2 ,3\t", "x-b:", 'X-C: \xe9;q="\\"']
            sent = whole("a1", b"", *fields).decode().encode("latin-1")
            ran = await self.served(site, instance, [sent])
            found = [f for f in ran.fields if f[0].lower().startswith(b"x-")]
            self.assertEqual(
                found,
                [
                    (b"x-a", b"1"),
                    (b"x-a", b"2 ,3"),
                    (b"x-b", b""),
                    (b"x-c", b'\xe9;q="\\"'),
                ],
            )

    async def test_many_heads_in_a_packet(self) -> None:
        # Guards against answers in another order than their requests.
        wish = ("Connection: Upgrade", "Upgrade: h2c")
        async with self.site() as (site, (instance,)):
            ids = [f"a{n}" for n in range(60)]
            sent = b"".join(
                head(x, *(wish if n % 2 else ()), method="GET")
                for n, x in enumerate(ids)
            )
            data, _ = await exchange(instance.callers, [sent], quiet_s=2.0)
            answers, rest = parse_answers(data)
            self.assertEqual(rest, b"")
            found = [a.fields[b"attempt-id"].decode() for a in answers]
            self.assertEqual(found, ids)
            self.assertEqual({a.status for a in answers}, {200})
            self.assertEqual(len(self.runs(site)), len(ids))

    async def test_hundreds_of_wishes_in_a_packet(self) -> None:
        # Guards against a recursion as deep as there are heads in a packet.
        async with self.site() as (_, (instance,)):
            sent = (
                b"GET /confirm/x HTTP/1.1\r\nHost: %b\r\n"
                b"Connection: Upgrade\r\nUpgrade: x\r\n\r\n"
            ) % HOST.encode()
            data, _ = await exchange(
                instance.callers, [HEADS_IN_A_PACKET * sent], quiet_s=2.0
            )
            answers, rest = parse_answers(data)
            self.assertEqual(rest, b"")
            statuses = [a.status for a in answers]
            self.assertEqual(statuses, HEADS_IN_A_PACKET * [401])

    async def test_refused_head_request(self) -> None:
        # Guards against a refusal with a body where its caller expects none.
        async with self.site() as (_, (instance,)):
            sent = whole("a1", b"", "Host: two", method="HEAD")
            data, closed = await exchange(instance.callers, [sent])
            answers, rest = parse_answers(data, ["HEAD"])
            self.assertEqual([a.status for a in answers], [400])
            self.assertEqual((rest, closed), (b"", True))


class BodyTest(RequestBytesCase):
    """Bodies, their lengths, chunks and trailers."""

    async def test_trailers_are_not_believed(self) -> None:
        # Guards against trailer fields that are taken for those of the head,
        # so that a request runs under another id, or for another server.
        trailers = (
            b"Attempt-Id: other\r\nTenant: other\r\nX-Late: 1\r\n"
            b"Deadline-Ms: 1\r\nConnection: close\r\nTransfer-Encoding: x\r\n"
        )
        async with self.site() as (site, (instance,)):
            first = head("a1", "Transfer-Encoding: chunked")
            rest = b"3;ext=1\r\nabc\r\n0\r\n" + trailers + b"\r\n"
            for parts in (
                [first + rest],
                [first, rest],
                [first, *_bytes(rest)],
            ):
                ran = await self.served(site, instance, parts)
                self.assertEqual((ran.attempt, ran.body), ("a1", b"abc"))
                self.assertNotIn("x-late", ran.headers)
            data, _ = await exchange(
                instance.callers, [first + rest + whole("a2")]
            )
            answers, _ = parse_answers(data)
            self.assertEqual([a.status for a in answers], [200, 200])

    async def test_codings(self) -> None:
        # Guards against a body that reaches its server in a coding of which
        # the server is not told.
        async with self.site() as (site, (instance,)):
            for coding in (
                "gzip, chunked",
                "gzip\r\nTransfer-Encoding: chunked",
                "chunked, chunked",
                "identity",
                "xchunked",
                "chunked\r\nContent-Length: 3",
            ):
                with self.subTest(coding):
                    sent = head("a1", f"Transfer-Encoding: {coding}")
                    await self.refused(
                        site, instance, sent + b"3\r\nabc\r\n0\r\n\r\n"
                    )

    async def test_malformed_chunks(self) -> None:
        # Guards against a body whose end two parsers see at two places.
        async with self.site() as (site, (instance,)):
            sent = head("a1", "Transfer-Encoding: chunked")
            for chunks in (
                b"3\nabc\r\n0\r\n\r\n",
                b"3\r\nabcd\r\n0\r\n\r\n",
                b"3\r\nabcXX0\r\n\r\n",
                b"0x3\r\nabc\r\n0\r\n\r\n",
                b"+3\r\nabc\r\n0\r\n\r\n",
                b"3 \r\nabc\r\n0\r\n\r\n",
                b"3;a\nb\r\nabc\r\n0\r\n\r\n",
                b"\r\n3\r\nabc\r\n0\r\n\r\n",
                b"3\r\nabc\r\n0\r\nno field\r\n\r\n",
            ):
                with self.subTest(chunks):
                    await self.refused(site, instance, sent + chunks)

    async def test_body_that_ends_early(self) -> None:
        # Guards against a request that runs with a part of its body.
        async with self.site() as (site, (instance,)):
            for sent in (
                whole("a1", b"abcdef")[:-1],
                head("a1", "Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n",
                head("a1", "Transfer-Encoding: chunked") + b"5\r\nabc",
            ):
                host, _, port = instance.callers.rpartition(":")
                for end in ("close", "write_eof"):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(sent)
                    await writer.drain()
                    getattr(writer, end)()
                    await asyncio.sleep(0.1)
                    writer.close()
            self.assertEqual(self.runs(site), [])

    async def test_body_that_waits_for_an_interim_answer(self) -> None:
        # Guards against callers that wait for good to be told to send a body.
        async with self.site() as (site, (instance,)):
            sent = head("a1", "Expect: 100-continue", "Content-Length: 3")
            data, _ = await exchange(
                instance.callers, [sent, b"abc"], pause_s=0.2
            )
            self.assertTrue(data.startswith(b"HTTP/1.1 100 Continue\r\n\r\n"))
            (ran,) = self.runs(site)
            self.assertEqual(ran.body, b"abc")

    async def test_refusal_before_the_interim_answer(self) -> None:
        # Guards against a fault of an application that asks for a body which
        # was refused before it began.
        events = []
        async with self.site() as (site, (instance,)):
            instance.log.warn = lambda event, **_: events.append(event)
            sent = head(
                "a1", "Expect: 100-continue", "Transfer-Encoding: chunked"
            )
            await self.refused(site, instance, sent + b"x\r\n")
        self.assertEqual(events, ["malformed"])

    async def test_http_1_0(self) -> None:
        # Guards against answers in chunks, interim answers and further requests
        # for callers in HTTP/1.0, which know none of these.
        async with self.site() as (site, (instance,)):
            sent = whole("a1", b"x", "Expect: 100-continue", version="HTTP/1.0")
            data, closed = await exchange(instance.callers, [sent + sent])
            answers, rest = parse_answers(data)
            self.assertEqual([a.status for a in answers], [200])
            self.assertEqual((rest, closed), (b"", True))
            fields = [f"{k}: {v}" for k, v in STREAM.items()]
            sent = whole(
                "a2", b"", *fields, path="/chat/stream", version="HTTP/1.0"
            )
            data, closed = await exchange(instance.callers, [sent], quiet_s=2.0)
            answers, _ = parse_answers(data)
            self.assertNotIn(b"transfer-encoding", answers[0].fields)
            self.assertTrue(answers[0].body.startswith(b"id: "), data)
            self.assertTrue(closed)
            sent = head("a3", "Transfer-Encoding: chunked", version="HTTP/1.0")
            for server in site.servers.values():
                server.journal.clear()
            await self.refused(site, instance, sent + b"0\r\n\r\n")


class FollowingBytesTest(RequestBytesCase):
    """Bytes that follow a request while its answer is under way."""

    # With two engines a stream may be moved, and then has two runs.
    options = SiteOptions(engines=1)

    def stream(self, attempt: str = "a1") -> bytes:
        """Returns a request whose answer takes a while."""
        fields = [f"{k}: {v}" for k, v in STREAM.items()]
        return whole(attempt, b"", *fields, path="/chat/stream")

    async def test_answer_is_whole_whatever_follows(self) -> None:
        # Guards against a refusal that is written into an answer under way, and
        # against answers that end because of what follows them.
        async with self.site() as (site, (instance,)):
            following = (
                b"\x00garbage\r\n\r\n",
                b"GET / HTTP/3.0\r\n\r\n",
                b"\r\n\r\n\r\n",
                head("a2", "X: " + "x" * 40_000),
                b"POST /confirm/x HT",
                head("a2", "Transfer-Encoding: gzip"),
            )
            for sent in following:
                with self.subTest(sent=sent[:30]):
                    data, _ = await exchange(
                        instance.callers,
                        [self.stream(), sent],
                        pause_s=0.1,
                        quiet_s=1.0,
                    )
                    answers, rest = parse_answers(data)
                    self.assertEqual(answers[0].status, 200)
                    self.assertTrue(answers[0].whole, data)
                    self.assertEqual(answers[0].body.count(b"data:"), 40)
                    self.assertIn([a.status for a in answers[1:]], ([], [400]))
                    self.assertEqual(rest, b"")
            self.assertEqual(len(self.runs(site)), len(following))

    async def test_caller_that_leaves_with_a_request_ahead(self) -> None:
        # Guards against servers that work on for a caller that has left, since
        # only its next request was told.
        async with self.site() as (site, (instance,)):
            host, _, port = instance.callers.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            fields = {**STREAM, "Token-Usage": "100,400"}
            lines = [f"{k}: {v}" for k, v in fields.items()]
            long = whole("a1", b"", *lines, path="/chat/stream")
            writer.write(long + whole("a2"))
            await self.until(lambda: self.runs(site))
            await asyncio.sleep(0.1)
            writer.transport.abort()
            (ran,) = self.runs(site)
            began = asyncio.get_running_loop().time()
            await self.until(lambda: ran.stopped_at < float("inf"))
            self.assertLess(ran.stopped_at - began, 0.5)
            self.assertFalse(ran.ended)

    async def test_requests_ahead_are_bounded(self) -> None:
        # Guards against a caller that fills the memory with requests ahead.
        async with self.site() as (site, (instance,)):
            for server in site.servers.values():
                server.faults.tick_s = 0.1
            host, _, port = instance.callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(self.stream())
            await reader.readuntil(b"data:")
            # More than the sockets between them hold.
            writer.write(whole("a2") * 100_000)
            await asyncio.sleep(1.0)
            self.assertGreater(writer.transport.get_write_buffer_size(), 0)
            writer.transport.abort()
            self.assertEqual(len(self.runs(site)), 1)

    async def test_last_answer_is_read_beside_what_follows(self) -> None:
        # Guards against a last answer that is lost with a reset, since its
        # caller goes on to send.
        async with self.site() as (_, (instance,)):
            for sent in (whole("a1", b"", "Connection: close"), b"x\r\n\r\n"):
                host, _, port = instance.callers.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(sent)
                for _ in range(20):
                    writer.write(b"more")
                    await asyncio.sleep(0.01)
                data = await reader.read()
                writer.close()
                answers, rest = parse_answers(data)
                self.assertEqual(len(answers), 1, data)
                self.assertTrue(answers[0].whole)
                self.assertEqual(rest, b"")

    async def test_pieces_of_any_size(self) -> None:
        # Guards against bytes that are lost or doubled between two packets.
        async with self.site() as (site, (instance,)):
            chunked = head("a2", "Transfer-Encoding: chunked")
            sent = (
                whole("a1", b"one")
                + chunked
                + b"1\r\nt\r\n2;x=y\r\nwo\r\n0\r\nA: b\r\n\r\n"
                + whole("a3", b"three", "Connection: Upgrade", "Upgrade: x")
            )
            for size in (1, 2, 3, 7, 64, 1000):
                pieces = [sent[n : n + size] for n in range(0, len(sent), size)]
                data, _ = await exchange(instance.callers, pieces)
                answers, rest = parse_answers(data)
                self.assertEqual([a.status for a in answers], [200] * 3)
                self.assertEqual(rest, b"")
                found = {ran.attempt: ran.body for ran in self.runs(site)}
                expected = {"a1": b"one", "a2": b"two", "a3": b"three"}
                self.assertEqual(found, expected)
                self.assertEqual(len(self.runs(site)), 3)
                for server in site.servers.values():
                    server.journal.clear()


class EarlyRequestTest(RequestBytesCase):
    """Requests that wait for the first configuration."""

    async def test_bytes_before_the_configuration(self) -> None:
        # Guards against rules that hold only once an instance is ready.
        chunks = b"3\r\nabc\r\n0\r\nAttempt-Id: other\r\nX-Late: 1\r\n\r\n"
        first = head("a1", "Transfer-Encoding: chunked", path="/confirm/x?")
        twice = whole("a2", b"", "Attempt-Id: other")
        async with (
            self.site(0) as (site, _),
            anyio.create_task_group() as group,
        ):
            site.store.faults.down = True
            instance = await self.start(group, site, "edge-1")
            await self.until(lambda: instance.listening)
            sending = asyncio.create_task(
                exchange(
                    instance.callers, [first + chunks + twice], quiet_s=2.0
                )
            )
            await asyncio.sleep(0.2)
            site.store.faults.down = False
            data, _ = await sending
            answers, rest = parse_answers(data)
            self.assertEqual([a.status for a in answers], [200, 400], data)
            self.assertEqual(rest, b"")
            (ran,) = self.runs(site)
            self.assertEqual(
                (ran.attempt, ran.target, ran.body),
                ("a1", "/confirm/x?", b"abc"),
            )
            self.assertNotIn("x-late", ran.headers)
            group.cancel_scope.cancel()


class ConnectionTimeTest(RequestBytesCase):
    """Times for which connections stay open."""

    async def test_empty_lines_do_not_hold_a_connection(self) -> None:
        # Guards against connections without any limit, which hold a descriptor
        # each, after a byte that begins no request.
        async with (
            self.site(0) as (site, _),
            anyio.create_task_group() as group,
        ):
            site.write_configuration(limits=LIMITS)
            instance = await self.start(group, site, "edge-1")
            await self.until(lambda: instance.ready)
            for before, empty in product((b"", whole("a1")), (b"\r\n", b"")):
                with self.subTest(before=before[:4], empty=empty):
                    _, closed = await exchange(
                        instance.callers, [before + empty], quiet_s=3.0
                    )
                    self.assertTrue(closed)
            group.cancel_scope.cancel()


def _bytes(data: bytes) -> list[bytes]:
    return [data[n : n + 1] for n in range(len(data))]


if __name__ == "__main__":
    unittest.main()
