"""Tests what callers get at the end of a planned stop of a real process."""

import asyncio
import collections
import contextlib
import json
import signal
import socket
import time
import unittest
import unittest.mock

import anyio

from standins.platformsite import SiteOptions
from standins.platformstore import PlatformStore
from tests.processcase import ProcessCase
from tests.slowcallercase import request_head
from tests.test_callerlimits import KeptConnection

GRACE_S = 8.0
ANSWER_S = 0.25
LOSS_SLACK_S = 0.2
"""Time within which a connection may end before its request was read."""

CALLERS = 12
LONG_BYTES = 8 << 20
UNREAD_BYTES = 700_000
"""Less than an instance reads ahead of a caller, and more than the sockets
hold."""

RECEIVE_BUFFER_BYTES = 32 * 1024


class StopEndCase(ProcessCase):
    """Base of tests that end with the instance's exit."""

    async def connect(self) -> KeptConnection:
        return KeptConnection(*await asyncio.open_connection(*self.address))

    async def until_exit(self, process) -> None:
        await self.until(lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0)

    def lines(self, event: str) -> list[dict]:
        """Returns the lines of an event in the instance's log."""
        lines = []
        for text in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(text))
        return [line for line in lines if line.get("event") == event]


class IdleInstanceTest(StopEndCase):
    """An instance that is idle when most of its grace time is over."""

    options = SiteOptions(
        engines=1,
        grace_s=GRACE_S,
        routes={"confirm": {"timeoutMs": 1000}},
    )

    async def test_request_after_the_last_answer(self) -> None:
        # Guards against requests that are accepted once the exit has begun,
        # and lose their answers to it.
        last_calls = []
        transact = PlatformStore.transact

        async def transact_later(store, request):
            body = await request.json()
            if body["remove"]:
                last_calls.append(body)
                # So long may the exit take.
                await anyio.sleep(ANSWER_S / 2)
            return await transact(store, request)

        with unittest.mock.patch.object(
            PlatformStore, "transact", transact_later
        ):
            async with self.process() as (site, process):
                for server in site.servers.values():
                    server.faults.slowdown = 50.0
                callers = [await self.connect() for _ in range(4)]
                ran = sum(len(x.journal) for x in site.servers.values())
                process.send_signal(signal.SIGTERM)
                await self.until(lambda: last_calls)
                for caller in callers:
                    caller.send(request_head("/confirm/x"))
                found = [await caller.status() for caller in callers]
                await self.until_exit(process)
                ran = sum(len(x.journal) for x in site.servers.values()) - ran
            self.assertEqual(found, [503] * len(callers))
            self.assertEqual(ran, 0)


class UnreadEndTest(StopEndCase):
    """A caller that has not read the end of its answer at a stop."""

    options = SiteOptions(engines=1, grace_s=6.0)

    async def test_end_that_is_read_within_the_grace_time(self) -> None:
        # Guards against an exit that takes the end of an answer with it, since
        # it is complete for its server.
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.body_bytes = LONG_BYTES
            raw = socket.socket()
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            raw.setblocking(False)
            await asyncio.get_running_loop().sock_connect(raw, self.address)
            reader, writer = await asyncio.open_connection(
                sock=raw, limit=16 * 1024
            )
            head = request_head("/confirm/long")
            writer.write(head.replace(b"Attempt-Id: a1", b"Attempt-Id: a2"))
            await reader.readuntil(b"\r\n\r\n")
            received = 0
            while received < LONG_BYTES - UNREAD_BYTES:
                received += len(await reader.read(16 * 1024))
            await self.until(
                lambda: any(
                    line["whole"] and line["id"] == "a2"
                    for line in self.lines("request")
                )
            )
            process.send_signal(signal.SIGTERM)
            # Its grace time is not over, but an idle instance would exit.
            await anyio.sleep(4.7)
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1 << 20):
                    received += len(part)
                    if received == LONG_BYTES:
                        break
            writer.close()
            self.assertEqual(received, LONG_BYTES)
            await self.until_exit(process)


class LoadedInstanceTest(StopEndCase):
    """Callers that go on sending until the instance is gone."""

    options = SiteOptions(
        engines=1,
        grace_s=4.0,
        routes={"confirm": {"timeoutMs": 400}, "lookup": {"timeoutMs": 400}},
    )

    async def send_until_gone(
        self, losses: list, path: str, kept: bool
    ) -> None:
        """Sends requests; notes those that ended without an answer."""
        while True:
            try:
                caller = await self.connect()
            except OSError:
                return
            while True:
                began = time.monotonic()
                caller.send(request_head(path))
                status = await caller.status()
                took_s = time.monotonic() - began
                self.statuses[status] += 1
                if status not in (200, 503):
                    losses.append((path, status, round(took_s, 3)))
                    break
                await anyio.sleep(0.005)
                if not kept or caller.closing:
                    break
            caller.close()

    async def test_every_request_that_is_read_is_answered(self) -> None:
        # Guards against callers that are not refused while the process ends,
        # and wait for an answer that nobody gives.
        self.statuses = collections.Counter()
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.slowdown = 10.0
            losses: list[tuple] = []
            async with anyio.create_task_group() as group:
                for number in range(CALLERS):
                    group.start_soon(
                        self.send_until_gone,
                        losses,
                        ("/confirm/x", "/lookup/x")[number % 2],
                        number % 3 > 0,
                    )
                await anyio.sleep(0.5)
                process.send_signal(signal.SIGTERM)
            await self.until_exit(process)
        late = [loss for loss in losses if loss[1] or loss[2] > LOSS_SLACK_S]
        self.assertEqual(late, [])
        self.assertGreater(self.statuses[200], 100)
        self.assertGreater(self.statuses[503], 0)
        # Some may connect just as the port closes.
        self.assertLessEqual(len(losses), CALLERS // 4, losses)


class ReachedGraceTest(StopEndCase):
    """Requests that last longer than the grace time."""

    options = SiteOptions(
        engines=1,
        grace_s=2.0,
        slots=1,
        routes={"confirm": {"timeoutMs": 9000}, "lookup": {"timeoutMs": 9000}},
    )

    async def test_lines_of_ended_answers(self) -> None:
        # Guards against answers that the exit ends and nobody is told of.
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.slowdown = 1000.0
            waiting = await self.connect()
            waiting.send(request_head("/confirm/x"))
            stream = await self.connect()
            stream.send(
                request_head(
                    "/chat/1/stream",
                    Token_Usage="900,150",
                    Length_Hint="150",
                    Prefix_Hash="aa:500,bb:400",
                )
            )
            await anyio.sleep(0.3)
            process.send_signal(signal.SIGTERM)
            statuses = [await waiting.status()]
            await self.until_exit(process)
            self.assertEqual(statuses, [500])
            ended = [x for x in self.lines("request") if not x["whole"]]
            self.assertEqual(len(ended), 2)
            for line in ended:
                self.assertEqual(line["ended_by"], "instance")
                self.assertEqual(line["step"], "stop")
                self.assertEqual(len(line["servers"]), 1)

    async def test_requests_that_still_wait(self) -> None:
        # Guards against requests that no server has, and whose callers are not
        # told that they may send them elsewhere.
        async with self.process() as (site, process):
            for server in site.servers.values():
                server.faults.slowdown = 1000.0
                server.faults.capacity = 1
            callers = [await self.connect() for _ in range(6)]
            for number, caller in enumerate(callers):
                head = request_head("/lookup/x")
                caller.send(head.replace(b"a1", b"a%d" % number))
                await anyio.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            statuses = [await caller.status() for caller in callers]
            await self.until_exit(process)
            waited = [
                int(line["id"][1:])
                for line in self.lines("request")
                if not line["servers"]
            ]
        self.assertGreater(len(waited), 0)
        for number in waited:
            self.assertEqual(statuses[number], 503)


if __name__ == "__main__":
    unittest.main()
