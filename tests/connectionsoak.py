"""Randomised run of raw connections, compared with the servers' journals.

Usage: python -m tests.connectionsoak [--seconds S] [--seed N] [--runs N]

Callers send several requests on each connection, proper and improper ones, one
behind the other or each after the answer before it, in pieces of any size.
Their bodies, trailers and targets look like requests. Servers answer in bytes
of any shape. Meanwhile the configuration changes, and instances are replaced by
planned stops while their callers go on. Checked are what each server got, byte
by byte, and that each answer is that of its request, whole, with nothing
between or behind.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import logging
import pathlib
import random
import sys
import tempfile
import time

import anyio

from jasminerelay.platform import bootfile
from jasminerelay.platform.root import Instance
from standins.platformsite import (
    API_KEY,
    HOST,
    PLAIN_BACKEND,
    PlatformSite,
    SiteOptions,
)
from standins.rawserver import FAULTY, RawServer, body_of
from tests.platformsoak import run_seeds, seed_options
from tests.rawbytes import RawAnswer, parse_answers

WORKERS = 6
SERVERS = 4
MAX_REQUESTS = 6
FAULTY_SHARE = 0.1
ANSWER_S = 6.0
"""Time for all answers on a connection."""

EXCESS_S = 0.05
"""Time in which bytes may follow that belong to no answer."""

READY_S = 10.0
MAX_CONFIGURATION_PAUSE_S = 0.6
REPLACE_S = (1.0, 3.0)
"""Times after which an instance is replaced."""

EVENTS = 12
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
TAILS = ("", "?", "?a=b?c#d", "#f", "/%2e%2E/%0d%0a", "//x/../y", "?x=%20&y")
HOP_FIELDS = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "host", "expect",
    "authorization", "deadline-ms",
}  # fmt: skip
ADDED_FIELDS = {
    b"host", b"deadline-ms", b"expect-instance", b"tenant", b"content-length",
    b"request-urgency", b"last-event-id", b"kv-fetch",
}  # fmt: skip
"""Fields of a caller that its server does not get, and those that it gets from
an instance."""


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request, or bytes in its place.

    Attributes:
        attempt: Id of the attempt.
        data: What is sent.
        method: Method.
        target: Target that its server gets.
        fields: Fields that its server gets.
        body: Its body.
        proper: Whether it is a request that is served.
        ends: Whether the connection ends after its answer.
        is_stream: Whether its answer is a stream.
    """

    attempt: str
    data: bytes
    method: str
    target: str
    fields: list[tuple[bytes, bytes]]
    body: bytes
    proper: bool
    ends: bool
    is_stream: bool = False


class Draw:
    """Draws what callers send."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._count = 0

    def connection(self) -> list[Sent]:
        """Draws the requests of one connection, the last of which ends it."""
        found = []
        for _ in range(self._rng.randint(2, MAX_REQUESTS)):
            found.append(self._request())
            if found[-1].ends and self._rng.random() < 0.5:
                break
        return found

    def _request(self) -> Sent:
        rng = self._rng
        self._count += 1
        attempt = f"c{self._count}"
        is_stream = rng.random() < 0.25
        version = "HTTP/1.0" if rng.random() < 0.05 else "HTTP/1.1"
        method = "POST" if is_stream else rng.choice(METHODS)
        route = "/chat/stream" if is_stream else self._path()
        fields = self._fields(attempt, is_stream=is_stream)
        body = self._body(attempt)
        sent_body, framing = body, [("Content-Length", str(len(body)))]
        if version == "HTTP/1.1" and rng.random() < 0.4:
            framing = [
                ("Transfer-Encoding", rng.choice(("chunked", "Chunked")))
            ]
            sent_body = self._chunks(attempt, body)
        options = self._options()
        ends = version == "HTTP/1.0" or "close" in options
        extra = [("Connection", ", ".join(options))] if options else []
        if "Upgrade" in options:
            extra += [("Upgrade", "h2c"), ("HTTP2-Settings", "AAMAAABk")]
        if "X-Hop" in options:
            extra.append(("x-hop", "1"))
        if rng.random() < 0.1:
            extra.append(("Expect", "100-continue"))
        target = route
        if not is_stream and rng.random() < 0.1:
            target = f"http://{HOST}{route}"
        all_fields = [("Host", HOST), *fields, *framing, *extra]
        lines = [f"{method} {target} {version}"]
        lines += [
            f"{k}:{rng.choice(('', ' ', '  '))}{v}" for k, v in all_fields
        ]
        before = b"\r\n" * (rng.random() < 0.1)
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        dropped = HOP_FIELDS | {x.strip().lower() for x in options}
        request = Sent(
            attempt,
            before + head + sent_body,
            method,
            route,
            [
                (k.lower().encode(), v.encode())
                for k, v in [*fields, *extra]
                if k.lower() not in dropped
            ],
            body,
            True,
            ends,
            is_stream,
        )
        if rng.random() < 0.15:
            return self._spoilt(request, head, sent_body)
        return request

    def _path(self) -> str:
        route = self._rng.choice(("/confirm/", "/lookup/"))
        return f"{route}x{self._rng.choice(TAILS)}"

    def _fields(self, attempt: str, *, is_stream: bool) -> list:
        fields = [
            ("Attempt-Id", attempt),
            ("Authorization", f"Bearer {API_KEY}"),
        ]
        if is_stream:
            fields += [("Model", "m"), ("Token-Usage", f"10,{EVENTS}")]
            fields.append(("Prefix-Hash", f"{self._count:x}:6,b:4"))
        for n in range(self._rng.randint(0, 3)):
            value = self._rng.choice(("1", 'a, "b;c"', "x" * 300, "e: f", ""))
            fields.append((f"X-{n % 2}", value))
        self._rng.shuffle(fields)
        return fields

    def _options(self) -> list[str]:
        found = []
        if self._rng.random() < 0.2:
            found += ["Upgrade", "HTTP2-Settings"]
        if self._rng.random() < 0.1:
            found.append("X-Hop")
        if self._rng.random() < 0.1:
            found.append(self._rng.choice(("close", "keep-alive")))
        return found

    def _body(self, attempt: str) -> bytes:
        """Draws a body, perhaps one that looks like requests."""
        quoted = (
            f"POST /confirm/q HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {API_KEY}\r\n"
            f"Attempt-Id: quoted-{attempt}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        choices = (b"", quoted, b"\r\n\r\n" + quoted, b"0\r\n\r\n" + quoted)
        size = self._rng.choice((0, 3, 300, 9000))
        return self._rng.choice(choices) + self._rng.randbytes(size)

    def _chunks(self, attempt: str, body: bytes) -> bytes:
        sent = b""
        while body:
            size = self._rng.randint(1, min(len(body), 4000))
            extension = self._rng.choice((b"", b";a=b", b' ; a="b;c"'))
            sent += b"%x%b\r\n%b\r\n" % (size, extension, body[:size])
            body = body[size:]
        trailers = self._rng.choice(
            (
                b"",
                b"X-Late: 1\r\n",
                f"Attempt-Id: trailer-{attempt}\r\nTenant: x\r\n".encode(),
                b"Connection: close\r\nContent-Length: 9\r\n",
                b"Transfer-Encoding: gzip\r\nHost: other\r\n",
            )
        )
        return sent + b"0\r\n" + trailers + b"\r\n"

    def _spoilt(self, request: Sent, head: bytes, body: bytes) -> Sent:
        """Returns what is no proper request, in place of one."""
        end = b"\r\n\r\n"
        name = self._rng.choice(
            (b"Attempt-Id: two", b"Host: two", b"Authorization: Bearer two")
        )
        at = self._rng.choice((1, head.index(b" ") + 1, len(head) - 5))
        data = self._rng.choice(
            (
                head.replace(end, b"\r\n" + name + end) + body,
                head.replace(end, b"\r\nConnection: Attempt-Id" + end) + body,
                head.replace(end, b"\r\nContent-Length: 1, 1" + end) + body,
                head.replace(end, b"\r\nTransfer-Encoding: gzip" + end) + body,
                head.replace(b" HTTP/1.", b" HTTP/2.", 1) + body,
                head.replace(b"\r\nHost", b"\nHost", 1) + body,
                head.replace(b"Host:", b"Host :", 1) + body,
                head.replace(end, b"\r\n folded" + end) + body,
                head[:at] + b"\x00" + head[at:] + body,
                b"CONNECT a:1 HTTP/1.1\r\nHost: a:1" + end + request.data,
            )
        )
        return dataclasses.replace(request, data=data, proper=False, ends=True)


@dataclasses.dataclass(frozen=True)
class Received:
    """What came back on a connection.

    Attributes:
        data: The bytes.
        closed: Whether the other side has ended it.
        in_order: Whether it was not reset, if so.
    """

    data: bytes
    closed: bool
    in_order: bool


class ConnectionSoak:
    """One run.

    Attributes:
        violations: What was wrong.
        counts: What was seen, by its name.
    """

    def __init__(self, seed: int, seconds: float):
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._draw = Draw(self._rng)
        self._sent: dict[str, Sent] = {}
        self._answers: dict[str, RawAnswer] = {}
        self._servers: list[RawServer] = []
        self._instance: Instance | None = None
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Runs the site, the callers and the checks."""
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)
        logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
        options = SiteOptions(engines=2, plain=0, retry_allowance=1000.0)
        with tempfile.TemporaryDirectory(prefix="jasminerelay-") as folder:
            site = PlatformSite(options, pathlib.Path(folder))
            async with site.running(), anyio.create_task_group() as group:
                for n in range(SERVERS):
                    await self._add_server(site, f"raw-{n}")
                self._instance = await self._start(group, site, 0)
                until = time.monotonic() + self._seconds
                async with anyio.create_task_group() as changes:
                    changes.start_soon(self._replace, group, site)
                    changes.start_soon(self._configure, site)
                    async with anyio.create_task_group() as callers:
                        for _ in range(WORKERS):
                            callers.start_soon(self._call, until)
                    changes.cancel_scope.cancel()
                await anyio.sleep(0.2)
                self._check_runs(site)
                group.cancel_scope.cancel()
        for server in self._servers:
            server.stop()

    async def _add_server(self, site: PlatformSite, name: str) -> None:
        server = RawServer(self._rng, FAULTY_SHARE)
        await server.start()
        site.addresses[name] = server.address
        site.write_server_row(name, PLAIN_BACKEND)
        self._servers.append(server)

    async def _start(self, group, site: PlatformSite, number: int) -> Instance:
        """Starts an instance; returns it once it is ready."""
        path = site.settings(f"edge-{number}")
        instance = Instance(bootfile.load(path).unwrap(), path)
        instance.log.info = instance.log.warn = lambda *a, **k: None

        async def serve() -> None:
            await instance.run(signals=False)

        group.start_soon(serve)
        with anyio.fail_after(READY_S):
            while not instance.ready:
                await anyio.sleep(0.01)
        return instance

    async def _replace(self, group, site: PlatformSite) -> None:
        """Replaces the instance, again and again; its callers go on."""
        while True:
            await anyio.sleep(self._rng.uniform(*REPLACE_S))
            self.counts["replaced"] += 1
            successor = await self._start(group, site, self.counts["replaced"])
            former, self._instance = self._instance, successor
            former.stop()

    async def _configure(self, site: PlatformSite) -> None:
        while True:
            await anyio.sleep(self._rng.random() * MAX_CONFIGURATION_PAUSE_S)
            site.write_configuration()
            self.counts["configurations"] += 1

    async def _call(self, until: float) -> None:
        while time.monotonic() < until:
            sent = self._draw.connection()
            self._sent.update((item.attempt, item) for item in sent)
            received = await self._exchange(self._instance.callers, sent)
            self._check_answers(sent, received)
            self.counts["connections"] += 1

    def _pieces(self, data: bytes) -> list[bytes]:
        """Cuts data at random places."""
        rng = self._rng
        size = rng.choice((1, 7, 100, 5000, 1 << 20))
        if len(data) > 3000:
            size = max(size, 100)
        found = []
        while data:
            count = rng.randint(1, size)
            found.append(data[:count])
            data = data[count:]
        return found

    async def _exchange(self, address: str, sent: list[Sent]) -> Received:
        """Sends requests; returns what came back."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        received = bytearray()
        arrived = anyio.Event()

        async def read() -> bool:
            nonlocal arrived
            try:
                while data := await reader.read(65536):
                    received.extend(data)
                    arrived.set()
                    arrived = anyio.Event()
                return True
            except OSError:
                return False
            finally:
                arrived.set()

        reading = asyncio.create_task(read())
        methods = _methods(sent)
        one_by_one = self._rng.random() < 0.4

        async def wait_for(count: int) -> None:
            with anyio.move_on_after(ANSWER_S):
                while not reading.done():
                    now = arrived
                    answers, _ = parse_answers(
                        bytes(received), methods, closed=False
                    )
                    if sum(a.whole for a in answers) >= count:
                        return
                    await now.wait()

        try:
            with contextlib.suppress(OSError):
                for n, item in enumerate(sent):
                    for piece in self._pieces(item.data):
                        writer.write(piece)
                        if self._rng.random() < 0.2:
                            await asyncio.sleep(self._rng.random() * 0.004)
                    if one_by_one:
                        await wait_for(n + 1)
            await wait_for(len(sent))
            await asyncio.wait({reading}, timeout=EXCESS_S)
            closed = reading.done()
            return Received(
                bytes(received), closed, closed and reading.result()
            )
        finally:
            reading.cancel()
            writer.close()

    def _check_answers(self, sent: list[Sent], received: Received) -> None:
        """Compares the answers on a connection with its requests."""
        closed = received.closed
        # An answer is broken off with its connection.
        answers, rest = parse_answers(
            received.data, _methods(sent), closed=received.in_order
        )
        broken = bool(answers) and not answers[-1].whole
        if rest and not broken:
            self._report(sent, f"bytes of no answer: {rest[:200]!r}")
        for n, item in enumerate(sent):
            if n >= len(answers):
                if not closed:
                    self._report(sent, f"no answer to {item.attempt}")
                break
            self._check_answer(sent, item, answers[n])
            if item.ends:
                if len(answers) > n + 1 or not closed:
                    self._report(sent, f"goes on after {item.attempt}")
                break

    def _check_answer(
        self, sent: list[Sent], item: Sent, answer: RawAnswer
    ) -> None:
        self.counts[f"answer {answer.status}"] += 1
        if not item.proper:
            if answer.status != 400 or not answer.whole:
                self._report(sent, f"{item.attempt} is improper: {answer}")
            return
        self._answers[item.attempt] = answer
        if answer.fields.get(b"attempt-id", b"").decode() != item.attempt:
            self._report(sent, f"other answer to {item.attempt}: {answer}")
        if answer.fields.keys() & {b"x-hop", b"x-late", b"x-early"}:
            self._report(sent, f"field of a connection: {answer}")
        if answer.status == 400:
            self._report(sent, f"{item.attempt} is proper: {answer}")
        if answer.status != 200:
            return
        if item.is_stream:
            if answer.whole and answer.body.count(b"data:") != EVENTS:
                self._report(sent, f"stream of {item.attempt}: {answer}")
            return
        attempt = item.attempt.encode()
        body = b"" if item.method == "HEAD" else body_of(attempt)
        if answer.body != body:
            self._report(sent, f"body of {item.attempt}: {answer}")

    def _check_runs(self, site: PlatformSite) -> None:
        """Compares what the servers got with what was sent."""
        faulty: dict[str, bool] = {}
        counts: collections.Counter[str] = collections.Counter()
        for server in self._servers:
            self.violations += server.faults
            for ran in server.journal:
                attempt = ran.attempt.decode("latin-1")
                self._check_run(
                    attempt,
                    ran.method.decode(),
                    ran.target.decode(),
                    ran.fields,
                    ran.body,
                )
                counts[attempt] += 1
                faulty[attempt] = ran.answer in FAULTY or faulty.get(
                    attempt, False
                )
                self.counts[f"run: {ran.answer}"] += 1
        for server in site.servers.values():
            for ran in server.journal:
                fields = [(k.lower(), v) for k, v in ran.fields]
                self._check_run(
                    ran.attempt, ran.method, ran.target, fields, ran.body
                )
                counts[ran.attempt] += 1
        for attempt, count in counts.items():
            item = self._sent.get(attempt)
            if count > 1 and item and item.target.startswith("/confirm/"):
                self.violations.append(f"{attempt} ran {count} times")
        for attempt, answer in self._answers.items():
            if answer.status == 200 and not counts[attempt]:
                self.violations.append(f"{attempt} did not run: {answer}")
            if answer.status in (408, 421, 429, 503) and counts[attempt]:
                self.violations.append(f"{attempt} ran: {answer}")
            if (
                answer.status >= 500
                and counts[attempt]
                and not faulty.get(attempt, False)
            ):
                self.violations.append(f"{attempt} was answered: {answer}")

    def _check_run(self, attempt, method, target, fields, body) -> None:
        item = self._sent.get(attempt)
        if item is None or not item.proper:
            self.violations.append(f"ran unasked: {attempt} {target}")
            return
        kept = [x for x in fields if x[0] not in ADDED_FIELDS]
        got = (method, target, kept, body)
        expected = (item.method, item.target, item.fields, item.body)
        if got != expected:
            self.violations.append(f"{attempt} ran as {got}, not {expected}")

    def _report(self, sent: list[Sent], what: str) -> None:
        shown = b"".join(item.data for item in sent)[:1500]
        self.violations.append(f"{what}; sent: {shown!r}")


def _methods(sent: list[Sent]) -> list[str]:
    """Returns the methods as far as they decide whether answers have bodies."""
    return [
        "HEAD" if item.data.lstrip(b"\r\n").startswith(b"HEAD ") else ""
        for item in sent
    ]


def main() -> int:
    """Runs the seeds of the arguments; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    seed_options(parser, 12.0)
    options = parser.parse_args()
    return run_seeds(
        options, lambda seed: ConnectionSoak(seed, options.seconds)
    )


if __name__ == "__main__":
    sys.exit(main())
