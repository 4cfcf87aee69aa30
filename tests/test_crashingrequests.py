"""Requests that crash backend servers, at instances with sockets."""

import contextlib
import io
import unittest
import unittest.mock

import anyio

from jasminerelay import cli, crashwatch
from jasminerelay.platform.tables import CRASHES_TABLE
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

FATAL = b"ends each server that runs it"
MAX_CRASHED = 3
"""Servers that one request may crash before it is blocked."""

REPEATS = 8
RETRY_PAUSE_S = 0.4
"""Pause between two retries: every instance then has a record of the crash."""

FINAL_STATUS = 500
"""Status of a blocked request. It promises no later outcome and does not ask
the client to retry."""


class CrashCase(PlatformCase):
    """Base of tests that send one request repeatedly."""

    async def send(
        self,
        instance,
        number,
        body: bytes = FATAL,
        usage: str = "100,5",
        path: str = "/sheet/s1/stream",
    ):
        """Sends a request again, under a new attempt ID."""
        return await self.ask(
            instance,
            path,
            attempt=f"try-{number}",
            body=body,
            Token_Usage=usage,
            Prefix_Hash="a:60,b:40",
        )


class CrashingRequestTest(CrashCase):
    """One request, retried at any instance, crashes server after server."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)

    async def test_retries_crash_three_servers_at_most(self):
        # Guards against retries that are taken for new requests and crash all
        # servers of a service.
        async with self.site(4) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 4 for x in instances)
            )
            answers = []
            for number in range(REPEATS):
                instance = instances[number % len(instances)]
                answers.append(await self.send(instance, number))
                await anyio.sleep(RETRY_PAUSE_S)
        self.assertLessEqual(len(site.ended), MAX_CRASHED)
        self.assertEqual(answers[-1].status, FINAL_STATUS)
        self.assertNotIn("retry-after", answers[-1].headers)

    async def test_blocked_requests_survive_full_restart(self) -> None:
        # Guards against a blocked request that crashes servers again after a
        # restart of all instances.
        async with self.site(1) as (site, instances):
            for number in range(4):
                await self.send(instances[0], number)
                await anyio.sleep(RETRY_PAUSE_S)
            self.assertEqual(len(site.ended), MAX_CRASHED)
            instances[0].stop()
            await self.until(lambda: not instances[0].running)
            async with anyio.create_task_group() as group:
                restarted = await self.start(group, site, "edge-9")
                await self.until(lambda: restarted.ready)
                await anyio.sleep(RETRY_PAUSE_S)
                answer = await self.send(restarted, 9)
                group.cancel_scope.cancel()
        self.assertEqual(answer.status, FINAL_STATUS)
        self.assertEqual(len(site.ended), MAX_CRASHED)

    async def test_innocent_requests_are_served_again(self) -> None:
        # Guards against innocent requests that stay blocked because they were
        # in flight when servers crashed.
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            for number in range(5):
                async with anyio.create_task_group() as group:
                    for innocent in range(6):
                        group.start_soon(
                            self.send, instances[0], f"{number}-{innocent}",
                            b"innocent %d" % innocent, "100,40",
                        )  # fmt: skip
                    await anyio.sleep(0.1)
                    await self.send(instances[1], number)
                await anyio.sleep(RETRY_PAUSE_S)
            ended = len(site.ended)
            answers = [
                await self.send(instances[1], f"x{n}", b"innocent %d" % n)
                for n in range(6)
            ]
        self.assertLessEqual(ended, MAX_CRASHED + 1)
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_same_body_on_another_path_is_served(self) -> None:
        async with self.site(1) as (site, instances):
            for number in range(4):
                await self.send(instances[0], number)
                await anyio.sleep(RETRY_PAUSE_S)
            for server in site.servers.values():
                server.faults.fatal = b""
            other = await self.send(instances[0], 8, path="/sheet/s2/stream")
            retried = await self.send(instances[0], 9)
        self.assertEqual((other.status, retried.status), (200, FINAL_STATUS))


class ReleaseTest(CrashCase):
    """Operators release a blocked request."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)

    async def test_released_request_is_sent_again(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(crashwatch, "READ_INTERVAL_S", 0.1)
        )
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            for number in range(4):
                await self.send(instances[number % 2], number)
                await anyio.sleep(RETRY_PAUSE_S)
            for server in site.servers.values():
                server.faults.fatal = b""
            (name,) = site.store.keys(CRASHES_TABLE)
            arguments = ["platform", "release", name, site.store_address]
            with contextlib.redirect_stdout(io.StringIO()):
                status = await anyio.to_thread.run_sync(cli.main, arguments)
            await anyio.sleep(2 * RETRY_PAUSE_S)
            answers = [await self.send(x, 9) for x in instances]
        self.assertEqual(status, 0)
        self.assertEqual([x.status for x in answers], [200, 200])

    def test_invalid_input_names_the_remedy(self) -> None:
        for arguments, remedy in (
            (["xyz", "127.0.0.1:1"], "32 digits"),
            (["0" * 32, "nowhere"], "IP:PORT"),
            (["0" * 32, "127.0.0.1:1"], "try again"),
        ):
            output = io.StringIO()
            with contextlib.redirect_stderr(output):
                status = cli.main(["platform", "release", *arguments])
            self.assertNotEqual(status, 0)
            self.assertIn(remedy, output.getvalue())


class MidStreamTest(CrashCase):
    """A request that crashes servers after its stream has started."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL, fatal_after=3)

    async def test_started_stream_crashes_three_servers_at_most(self) -> None:
        # Guards against an instance that resumes the stream at the next server
        # by itself and crashes that server, too.
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            for number in range(6):
                answer = await self.send(
                    instances[number % 2], number, FATAL, "100,9",
                    "/chat/c1/stream",
                )  # fmt: skip
                await anyio.sleep(RETRY_PAUSE_S)
        self.assertLessEqual(len(site.ended), MAX_CRASHED)
        self.assertEqual(answer.status, FINAL_STATUS)


class BrokenConnectionTest(CrashCase):
    """Connections that break off while their server keeps running."""

    options = SiteOptions(engines=3, plain=1)

    async def test_broken_streams_are_no_crashes(self) -> None:
        # Guards against requests that are blocked because their connections
        # were reset or a faulty server broke off its responses.
        async with self.site(1) as (site, instances):
            for server in site.servers.values():
                server.faults.break_after = 2
            for number in range(5):
                await self.send(instances[0], number, b"the same")
            for server in site.servers.values():
                server.faults.break_after = 0
            answer = await self.send(instances[0], 9, b"the same")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
