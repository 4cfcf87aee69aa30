"""Answers on the project's own interface are not given up by steps of ours."""

import asyncio
import contextlib
import json
import random
import re
import signal
import socket
import time
import unittest
from collections.abc import AsyncIterator

import anyio

from jasminerelay import burn, manifest
from jasminerelay.answercontext import AnswerContext, RequestPolicy
from jasminerelay.answers import Answer
from jasminerelay.backends import (
    AttemptError,
    Chunk,
    EngineAttempt,
    EngineClient,
    ExecutionStatus,
)
from jasminerelay.brokerhost import BrokerHost
from jasminerelay.errors import RelayError
from jasminerelay.httpclient import HttpClient, HttpResponse
from jasminerelay.lengthestimate import LengthEstimator
from jasminerelay.metrics import Counters, InvariantHandler
from jasminerelay.modelrequests import TEXT_PATH, parse_request
from jasminerelay.permitclient import PermitClient
from jasminerelay.resume import Signer
from jasminerelay.retry import RetryBudget
from jasminerelay.schema.messages import HeldPermit, Member, PermitRevocation
from jasminerelay.schema.settings import Statsd, Timing
from jasminerelay.serverpauses import ServerPauses
from jasminerelay.servicecalls import ServiceCalls, ServiceRequest
from jasminerelay.watchdog import Watchdog
from standins.launcher import Options
from tests.fakes import release
from tests.support import KEY, Streamed, SystemCase, answer_to, stream

BASE = """
[[classes]]
name = "c"
rank = 1
target_s = 1.0
max_wait_s = 0.4
preemptible = true
[[organisations]]
name = "o"
key_digests = []
[[request_types]]
name = "t"
class_name = "c"
models = ["m"]
"""
SERVER = """
[[pools.servers]]
name = "{name}"
address = "{address}"
zone = "a"
slots = 1
resume = {resume}
"""
SERVICE = """
[[services]]
name = "svc"
[[services.calls]]
method = "GET"
path = "/"
class_name = "c"
"""
NOWHERE = "127.0.0.1:1"
TOKENS = 12
STEP_S = 0.02


def manifest_text(
    *names: str,
    pool: str = "pool",
    address: str = NOWHERE,
    resume: bool = True,
) -> str:
    """Returns a manifest with one pool and a service of the same servers."""
    pools = f'[[pools]]\nname = "{pool}"\nmodels = ["m"]\n'
    servers = "".join(
        SERVER.format(
            name=name, address=address, resume="true" if resume else "false"
        )
        for name in names
    )
    service_servers = "".join(
        SERVER.format(name=f"v-{name}", address=address, resume="false")
        for name in names
    ).replace("[[pools.servers]]", "[[services.servers]]")
    return BASE + pools + servers + SERVICE + service_servers


class Engines:
    """Engines in this process; each token is "tN " by its index.

    Attributes:
        servers: Names of the servers that were sent an attempt, in order.
        cuts: Numbers of frames after which the next connections are cut.
        refusals: Number of upcoming attempts that are refused as not run.
        rejections: Number of upcoming attempts that are rejected as invalid.
        prefill_s: Time in seconds until the first token.
    """

    def __init__(self) -> None:
        self.servers: list[str] = []
        self.cuts: list[int] = []
        self.refusals = 0
        self.rejections = 0
        self.prefill_s = 0.0
        self._cancelled: set[str] = set()

    def run(self, attempt: EngineAttempt) -> AsyncIterator[Chunk]:
        """Starts an attempt."""
        self.servers.append(attempt.server.name)
        return self._frames(attempt, 0)

    def resume(
        self, attempt: EngineAttempt, offset: int
    ) -> AsyncIterator[Chunk]:
        """Resumes an attempt."""
        return self._frames(attempt, offset)

    async def cancel(self, server, attempt_id: str) -> None:
        """Cancels an attempt."""
        del server
        self._cancelled.add(attempt_id)

    async def _frames(
        self, attempt: EngineAttempt, offset: int
    ) -> AsyncIterator[Chunk]:
        if self.refusals:
            self.refusals -= 1
            raise AttemptError("refused", ExecutionStatus.NOT_RUN)
        if self.rejections:
            self.rejections -= 1
            raise AttemptError(
                "rejected",
                ExecutionStatus.NOT_RUN,
                rejection=HttpResponse(404, {}, b""),
            )
        await anyio.sleep(self.prefill_s)
        cut = self.cuts.pop(0) if self.cuts else TOKENS
        body = json.loads(attempt.body)
        base = len(body["prompt"].split()) - 1
        for sent in range(TOKENS - base - offset):
            if attempt.id in self._cancelled or sent == cut:
                raise AttemptError("cut", ExecutionStatus.MAY_HAVE_RUN)
            await anyio.sleep(STEP_S)
            offset += 1
            last = base + offset == TOKENS
            choice = {
                "text": f" t{base + offset}",
                "finish_reason": "stop" if last else None,
            }
            yield Chunk(offset, {"id": attempt.id, "choices": [choice]})


EXPECTED = "".join(f" t{number + 1}" for number in range(TOKENS))


class OwnInstance:
    """One instance with its broker, in this process."""

    def __init__(self, text: str, engines, *, retries: float = 10.0):
        self.counters = Counters(Statsd())
        invariants = InvariantHandler(self.counters, fatal=True)
        self.directory = manifest.parse(text, "m").unwrap()
        own = Member("a", "1", "z", "", "", "", "alive", 1)
        self.host = BrokerHost(
            lambda: self.directory, self.counters, invariants
        )
        self.client = PermitClient(
            own,
            lambda: [own],
            lambda: self.directory,
            lambda _, frame: self.host.on_frame(frame),
            self.counters,
            invariants,
            30.0,
            ServerPauses(
                self.counters, lambda *_, **__: None, random.Random(1)
            ),
        )
        self.host.connect("a", lambda frame: self.client.on_frame("a", frame))
        self.retries = RetryBudget(reserve=retries)
        self.group: anyio.abc.TaskGroup | None = None
        self.context = AnswerContext(
            self.client,
            engines,
            Signer("secret"),
            burn.BurnRecorder(),
            self.counters,
            invariants,
            Timing(first_byte_timeout_s=1.0, token_timeout_s=0.3),
            LengthEstimator(),
            self.retries,
            lambda action, *args: self.group.start_soon(action, *args),
        )
        self.calls = ServiceCalls(
            self.client,
            engines,
            None,
            burn.BurnRecorder(),
            self.counters,
            invariants,
            lambda action, *args: self.group.start_soon(action, *args),
            lambda *_: "",
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["OwnInstance"]:
        """Runs the broker and the permit client."""
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.client.run)
            group.start_soon(self.host.run)
            yield self
            group.cancel_scope.cancel()

    def apply(self, text: str) -> None:
        """Puts a manifest in force."""
        self.directory = manifest.parse(text, "m").unwrap()
        self.host.on_manifest_changed()
        self.client.on_manifest_changed()

    def leave(self, *servers: str) -> None:
        """Sets the leaving servers."""
        self.host.set_leaving_servers(set(servers))
        self.client.set_leaving_servers(set(servers))

    def occupy(self, ask_id: str, cell: str, server: str) -> None:
        """Occupies a slot with a permit that can't be revoked."""
        self.client.take_over(HeldPermit(ask_id, cell, server, 1, False))

    def preempt(self) -> None:
        """Revokes the permits of the answers under way."""
        for ask_id, permit in self.client._held_permits.items():
            if permit.held.preemptible:
                self.client._handle(PermitRevocation(ask_id), "a")

    def call(self) -> ServiceRequest:
        """Returns a repeatable call of the service."""
        organisation = self.directory.organisations["o"]
        service, call = self.directory.find_call(
            organisation, "svc", "GET", "/x"
        )
        return ServiceRequest(
            organisation,
            service,
            call,
            self.directory.classes["c"],
            "GET",
            "/x",
            {},
            b"",
            "",
            0.0,
        )

    def answer(self) -> Answer:
        """Returns the answer to a request."""
        body = json.dumps({"model": "m", "prompt": "p", "max_tokens": 99})
        organisation = self.directory.organisations["o"]
        kind = self.directory.request_type(organisation, "m", "")
        return Answer(
            self.context,
            parse_request(TEXT_PATH, body.encode(), "digest"),
            RequestPolicy(
                organisation,
                kind,
                self.directory.classes["c"],
                self.directory.pool_of("m"),
                0.0,
            ),
        )


class AnswerCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that read an answer while something happens to it."""

    async def read(self, answer: Answer, at: int = 0, then=None) -> str:
        """Returns the answer's text, or what ended it.

        Args:
            answer: The answer.
            at: Number of the event after which to call `then`.
            then: Called once.
        """
        text = ""
        number = 0
        try:
            with anyio.fail_after(8):
                async for event in answer.events():
                    for choice in event.data["choices"]:
                        text += choice["text"]
                    number += 1
                    if number == at:
                        then()
        except (RelayError, KeyError, TimeoutError) as exc:
            return f"{text} ended by {exc!r}"
        return text


class ChangedManifestTest(AnswerCase):
    """A manifest comes into force while requests are under way."""

    async def test_server_added(self) -> None:
        # Guards against an answer that is ended by a grant for a server that
        # was added after its request had arrived.
        async with OwnInstance(manifest_text("s1"), Engines()).running() as own:
            own.occupy("x", "pool/0", "s1")
            with anyio.move_on_after(5):
                async with anyio.create_task_group() as group:

                    async def change() -> None:
                        await anyio.sleep(0.1)
                        own.apply(manifest_text("s1", "s2"))

                    group.start_soon(change)
                    self.assertEqual(await self.read(own.answer()), EXPECTED)
            self.assertEqual(own.client.held, 1)

    async def test_server_added_for_calls(self) -> None:
        # Guards against a plain call that is ended by a grant for a server
        # that was added after the call had arrived.
        class Services:
            async def call(self, server, request) -> HttpResponse:
                del request
                return HttpResponse(200, {}, server.name.encode())

        own = OwnInstance(manifest_text("s1"), Services())
        async with own.running():
            own.occupy("x", "svc/0", "v-s1")

            async def change() -> None:
                await anyio.sleep(0.1)
                own.apply(manifest_text("s1", "s2"))

            own.group.start_soon(change)
            body = b""
            with contextlib.suppress(RelayError):
                body = (await own.calls.serve(own.call())).body
            self.assertEqual(body, b"v-s2")
            self.assertEqual(own.client.held, 1)

    async def test_server_removed(self) -> None:
        # Guards against an answer that leaves its engine, or is not resumed
        # there, since a manifest has removed it.
        engines = Engines()
        engines.cuts = [8]
        own = OwnInstance(manifest_text("s1"), engines, retries=0.0)
        async with own.running():
            text = await self.read(
                own.answer(), 4, lambda: own.apply(manifest_text("s2"))
            )
            self.assertEqual(text, EXPECTED)
            self.assertEqual(engines.servers, ["s1"])
            self.assertEqual(own.client.held, 0)

    async def test_older_broker(self) -> None:
        # Guards against an answer that is sent to a server which the manifest
        # in force has removed, or ended since its broker has the older one.
        engines = Engines()
        own = OwnInstance(manifest_text("s1", "s2"), engines)
        async with own.running():
            own.directory = manifest.parse(manifest_text("s2"), "m").unwrap()
            own.occupy("x", "pool/0", "s2")
            own.host.on_manifest_changed()
            older = manifest.parse(manifest_text("s1", "s2"), "m").unwrap()
            own.host._hosted["pool/0"].broker.update_cell(older.cells["pool/0"])

            async def change() -> None:
                await anyio.sleep(0.2)
                own.host.on_manifest_changed()
                own.client.release(release("x"))

            own.group.start_soon(change)
            self.assertEqual(await self.read(own.answer()), EXPECTED)
            self.assertEqual(engines.servers, ["s2"])
            self.assertEqual(own.client.held, 0)

    async def test_model_moves(self) -> None:
        # Guards against an answer that is ended since its model moved to
        # another pool while it made way.
        engines = Engines()
        async with OwnInstance(manifest_text("s1"), engines).running() as own:

            def move() -> None:
                own.preempt()
                own.apply(manifest_text("s2", pool="other"))

            text = await self.read(own.answer(), 4, move)
            self.assertEqual(text, EXPECTED)
            self.assertEqual(engines.servers, ["s1", "s2"])


class PreemptedAnswerTest(AnswerCase):
    """Answers that were taken from their engine for others."""

    async def test_class_maximum_wait(self) -> None:
        # Guards against a preempted answer that is ended since the slots stay
        # occupied for longer than new requests of its class may wait.
        async with OwnInstance(manifest_text("s1"), Engines()).running() as own:

            def occupy() -> None:
                own.occupy("x", "pool/0", "s1")
                own.preempt()
                own.group.start_soon(free)

            async def free() -> None:
                await anyio.sleep(1.0)
                own.client.release(release("x"))

            text = await self.read(own.answer(), 4, occupy)
            self.assertEqual(text, EXPECTED)

    async def test_no_server_for_a_while(self) -> None:
        # Guards against a preempted answer that is ended since no server
        # accepts requests at that moment.
        async with OwnInstance(manifest_text("s1"), Engines()).running() as own:

            def leave() -> None:
                own.preempt()
                own.leave("s1")
                own.group.start_soon(come_back)

            async def come_back() -> None:
                await anyio.sleep(1.0)
                own.leave()

            text = await self.read(own.answer(), 4, leave)
            self.assertEqual(text, EXPECTED)

    async def test_refused_without_retries(self) -> None:
        # Guards against a preempted answer that is ended since an engine
        # refuses it while the retry budget is used up.
        engines = Engines()
        own = OwnInstance(manifest_text("s1", "s2"), engines, retries=0.0)
        async with own.running():

            def refuse() -> None:
                engines.refusals = 1
                own.preempt()
                own.group.start_soon(earn)

            async def earn() -> None:
                await anyio.sleep(0.5)
                for _ in range(11):
                    own.retries.succeeded()

            text = await self.read(own.answer(), 4, refuse)
            self.assertEqual(text, EXPECTED)
            self.assertFalse(own.retries.spend())

    async def test_rejected(self) -> None:
        # Guards against a preempted answer that is ended as invalid since
        # another engine rejects what the first one had accepted.
        engines = Engines()
        own = OwnInstance(manifest_text("s1", "s2"), engines)
        async with own.running():

            def reject() -> None:
                engines.rejections = 1
                own.preempt()

            text = await self.read(own.answer(), 4, reject)
            self.assertEqual(text, EXPECTED)


class RetriedAnswerTest(AnswerCase):
    """Answers whose engine broke before the first token."""

    async def test_free_slot_elsewhere(self) -> None:
        # Guards against a request that is refused after its engine has broken,
        # although another one has a free slot, since its wait for the first
        # permit and its time at the engine were taken together.
        engines = Engines()
        engines.prefill_s = 0.6
        engines.cuts = [0]
        text = manifest_text("s1", "s2", resume=False)
        async with OwnInstance(text, engines).running() as own:
            self.assertEqual(await self.read(own.answer()), EXPECTED)

    async def test_free_slot_for_calls(self) -> None:
        # Guards against a repeatable call that is refused in the same way.
        class Services:
            async def call(self, server, request) -> HttpResponse:
                del request
                if not names:
                    names.append(server.name)
                    await anyio.sleep(0.6)
                    raise AttemptError("broken", ExecutionStatus.MAY_HAVE_RUN)
                return HttpResponse(200, {}, server.name.encode())

        names: list[str] = []
        own = OwnInstance(manifest_text("s1", "s2"), Services())
        body = b""
        async with own.running():
            with contextlib.suppress(RelayError):
                body = (await own.calls.serve(own.call())).body
        self.assertNotIn(body.decode(), ["", *names])


class ResumedStreamTest(AnswerCase):
    """Streams whose connections break while their engines go on."""

    async def test_breaks_often(self) -> None:
        # Guards against an answer that leaves a sound engine since its
        # connection has broken some times during a long life.
        engines = Engines()
        engines.cuts = [2] * 5
        own = OwnInstance(manifest_text("s1"), engines, retries=0.0)
        async with own.running():
            self.assertEqual(await self.read(own.answer()), EXPECTED)
        self.assertEqual(engines.servers, ["s1"])


class SilentEngineTest(AnswerCase):
    """An engine sends nothing for longer than the time limit, then goes on."""

    async def read_from_silent(
        self, *names: str, retries: float, busy: str = ""
    ) -> str:
        """Returns the text of an answer whose engine pauses for 1.5 s.

        Args:
            names: Servers of the pool.
            retries: Retries that the budget holds.
            busy: Server whose slot is occupied.
        """
        watchdog = Watchdog()
        client = HttpClient(watchdog)
        engines = EngineClient(client, lambda *_: None)
        self.requests = 0
        over = anyio.Event()

        async def serve(reader, writer) -> None:
            with contextlib.suppress(ConnectionError):
                await respond(reader, writer)

        async def respond(reader, writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"POST"):
                writer.write(b"HTTP/1.1 404 N\r\ncontent-length: 0\r\n\r\n")
                return
            self.requests += 1
            fields = dict(
                line.split(b": ", 1)
                for line in head.split(b"\r\n")[1:]
                if b": " in line
            )
            body = json.loads(
                await reader.readexactly(int(fields[b"content-length"]))
            )
            attempt = fields[b"x-request-id"].decode()
            base = len(body["prompt"].split()) - 1
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
            for offset in range(1, TOKENS - base + 1):
                last = base + offset == TOKENS
                data = {
                    "id": attempt,
                    "choices": [
                        {
                            "text": f" t{base + offset}",
                            "finish_reason": "stop" if last else None,
                        }
                    ],
                }
                writer.write(
                    f"id: {offset}\ndata: {json.dumps(data)}\n\n".encode()
                )
                await writer.drain()
                if base + offset == 5 and self.requests == 1:
                    with anyio.move_on_after(1.5):
                        await over.wait()
            writer.write(b"data: [DONE]\n\n")
            writer.close()

        async def watch_retries() -> None:
            while True:
                await anyio.sleep(0.05)
                self.retries_while_silent = min(
                    self.retries_while_silent, own.retries._tokens
                )

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        text = manifest_text(*names, address=f"127.0.0.1:{port}", resume=False)
        own = OwnInstance(text, engines, retries=retries)
        async with own.running():
            own.group.start_soon(watchdog.run)
            self.retries_while_silent = retries
            if busy:
                own.occupy("x", "pool/0", busy)
                own.group.start_soon(watch_retries)
            text = await self.read(own.answer())
            self.assertEqual(own.client.held, 1 if busy else 0)
            self.assertEqual(own.client.waiting, 0)
        self.retries = sum(own.retries.spend() for _ in range(100))
        over.set()
        await client.aclose()
        server.close()
        return text

    async def test_no_retry_left(self) -> None:
        # Guards against an answer that leaves its silent engine although the
        # retry budget is used up.
        text = await self.read_from_silent("s1", "s2", retries=0.0)
        self.assertEqual(text, EXPECTED)
        self.assertEqual(self.requests, 1)

    async def test_no_other_server(self) -> None:
        # Guards against an answer that leaves its silent engine although
        # there is no other one.
        text = await self.read_from_silent("s1", retries=10.0)
        self.assertEqual(text, EXPECTED)
        self.assertEqual(self.requests, 1)

    async def test_no_slot(self) -> None:
        # Guards against an answer that leaves its silent engine although no
        # other one has a free slot.
        text = await self.read_from_silent("s1", "s2", retries=10.0, busy="s2")
        self.assertEqual(text, EXPECTED)
        self.assertEqual(self.requests, 1)
        self.assertEqual(self.retries, 10)
        self.assertEqual(self.retries_while_silent, 10)

    async def test_other_server(self) -> None:
        # Guards against an answer that waits for a silent engine although
        # another one may go on with it.
        text = await self.read_from_silent("s1", "s2", retries=10.0)
        self.assertEqual(text, EXPECTED)
        self.assertEqual(self.requests, 2)
        self.assertEqual(self.retries, 9)


class SignalTest(SystemCase):
    """Signals to an instance while callers still read their replies."""

    options = Options(
        daemons=1,
        max_engines=1,
        max_services=1,
        settings={
            "timing": {"entry_ttl_s": 0.5},
            "bounds": {"max_body_bytes": 1 << 25},
        },
    )

    def test_hangup_signal(self) -> None:
        # Guards against streams that are broken off by SIGHUP, which asks other
        # daemons for a reload.
        daemon = self.system.daemons[0]

        def hang_up(streamed: Streamed) -> None:
            if len(streamed.ids) == 3:
                daemon.popen.send_signal(signal.SIGHUP)

        prompt = "hang up [len=40]"
        streamed = stream(daemon, prompt, on_event=hang_up)
        self.assertTrue(streamed.whole, streamed.error)
        self.assertEqual(streamed.text, answer_to(prompt))

    def test_reply_is_read_to_its_end(self) -> None:
        # Guards against a reply that is cut by a planned stop since its caller
        # has not read it to the end when its call is no longer counted.
        daemon = self.system.daemons[0]
        host, _, port = daemon.address.rpartition(":")
        size = 3 << 23
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((host, int(port)))
            sock.sendall(
                f"POST /services/bookings/slots/confirm HTTP/1.1\r\nhost: x\r\n"
                f"authorization: Bearer {KEY}\r\n"
                f"content-length: {size}\r\n\r\n".encode()
            )
            sock.sendall(b"x" * size)
            head = b""
            while b"\r\n\r\n" not in head:
                head += sock.recv(1)
            self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
            self.end(daemon)
            daemon.terminate()
            time.sleep(2.0)
            length = int(re.search(rb"content-length: (\d+)", head).group(1))
            got = 0
            while part := sock.recv(1 << 20):
                got += len(part)
                if got == length:
                    break
        self.assertEqual(got, length)
        self.assertEqual(daemon.wait(), 0)


if __name__ == "__main__":
    unittest.main()
