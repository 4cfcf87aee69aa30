"""Requests under which backend servers end."""

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
MOST_ENDED = 3
"""Servers that one request may end before it is not sent any more."""

REPEATS = 8
PAUSE_S = 0.4
"""Between two repeats: word of a server's end has then reached everyone."""

FINAL = 500
"""Status that promises no other outcome later and asks nobody to come back."""


class CrashCase(PlatformCase):
    """Base of tests that send one request again and again."""

    async def send(
        self,
        instance,
        number,
        body: bytes = FATAL,
        usage: str = "100,5",
        path: str = "/sheet/s1/stream",
    ):
        """Sends a request once more, under a new id."""
        return await self.ask(
            instance,
            path,
            attempt=f"try-{number}",
            body=body,
            Token_Usage=usage,
            Prefix_Hash="a:60,b:40",
        )


class CrashingRequestTest(CrashCase):
    """One request crashes server after server, sent again at any instance."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)

    async def test_repeats_at_all_instances_end_three_servers_at_most(self):
        # Guards against repeats that are taken for requests never seen before
        # and end all servers of a service.
        async with self.site(4) as (site, instances):
            await self.until(lambda: all(x.peers_live == 4 for x in instances))
            answers = []
            for number in range(REPEATS):
                instance = instances[number % len(instances)]
                answers.append(await self.send(instance, number))
                await anyio.sleep(PAUSE_S)
        self.assertLessEqual(len(site.ended), MOST_ENDED)
        self.assertEqual(answers[-1].status, FINAL)
        self.assertNotIn("retry-after", answers[-1].headers)

    async def test_start_of_all_at_once_forgets_nothing(self) -> None:
        # Guards against a blocked request that ends servers again once no
        # instance is left that knows it.
        async with self.site(1) as (site, instances):
            for number in range(4):
                await self.send(instances[0], number)
                await anyio.sleep(PAUSE_S)
            self.assertEqual(len(site.ended), MOST_ENDED)
            instances[0].stop()
            await self.until(lambda: not instances[0].running)
            async with anyio.create_task_group() as group:
                later = await self.start(group, site, "edge-9")
                await self.until(lambda: later.ready)
                await anyio.sleep(PAUSE_S)
                answer = await self.send(later, 9)
                group.cancel_scope.cancel()
        self.assertEqual(answer.status, FINAL)
        self.assertEqual(len(site.ended), MOST_ENDED)

    async def test_those_beside_it_are_served_again(self) -> None:
        # Guards against innocent requests that are refused for good since
        # servers ended while they ran, too.
        async with self.site(2) as (site, instances):
            await self.until(lambda: all(x.peers_live == 2 for x in instances))
            for number in range(5):
                async with anyio.create_task_group() as group:
                    for other in range(6):
                        group.start_soon(
                            self.send, instances[0], f"{number}-{other}",
                            b"innocent %d" % other, "100,40",
                        )  # fmt: skip
                    await anyio.sleep(0.1)
                    await self.send(instances[1], number)
                await anyio.sleep(PAUSE_S)
            ended = len(site.ended)
            answers = [
                await self.send(instances[1], f"x{n}", b"innocent %d" % n)
                for n in range(6)
            ]
        self.assertLessEqual(ended, MOST_ENDED + 1)
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_same_body_on_another_path_is_served(self) -> None:
        async with self.site(1) as (site, instances):
            for number in range(4):
                await self.send(instances[0], number)
                await anyio.sleep(PAUSE_S)
            for server in site.servers.values():
                server.faults.fatal = b""
            other = await self.send(instances[0], 8, path="/sheet/s2/stream")
            same = await self.send(instances[0], 9)
        self.assertEqual((other.status, same.status), (200, FINAL))


class ReleaseTest(CrashCase):
    """The operators' way to let a blocked request be sent again."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL)

    async def test_released_request_is_sent_again(self) -> None:
        self.enterContext(
            unittest.mock.patch.object(crashwatch, "READ_EVERY_S", 0.1)
        )
        async with self.site(2) as (site, instances):
            await self.until(lambda: all(x.peers_live == 2 for x in instances))
            for number in range(4):
                await self.send(instances[number % 2], number)
                await anyio.sleep(PAUSE_S)
            for server in site.servers.values():
                server.faults.fatal = b""
            (name,) = site.store.keys(CRASHES_TABLE)
            arguments = ["platform", "release", name, site.store_address]
            with contextlib.redirect_stdout(io.StringIO()):
                status = await anyio.to_thread.run_sync(cli.main, arguments)
            await anyio.sleep(2 * PAUSE_S)
            answers = [await self.send(x, 9) for x in instances]
        self.assertEqual(status, 0)
        self.assertEqual([x.status for x in answers], [200, 200])

    def test_bad_input_names_its_remedy(self) -> None:
        for words, remedy in (
            (["xyz", "127.0.0.1:1"], "32 digits"),
            (["0" * 32, "nowhere"], "IP:PORT"),
            (["0" * 32, "127.0.0.1:1"], "try again"),
        ):
            shown = io.StringIO()
            with contextlib.redirect_stderr(shown):
                status = cli.main(["platform", "release", *words])
            self.assertNotEqual(status, 0)
            self.assertIn(remedy, shown.getvalue())


class MidwayTest(CrashCase):
    """A request under which servers end once its stream has begun."""

    options = SiteOptions(engines=4, plain=1, fatal=FATAL, fatal_after=3)

    async def test_begun_stream_ends_three_servers_at_most(self) -> None:
        # Guards against repeats by an instance itself, which resumes the
        # stream at the next server and ends that, too.
        async with self.site(2) as (site, instances):
            await self.until(lambda: all(x.peers_live == 2 for x in instances))
            for number in range(6):
                answer = await self.send(
                    instances[number % 2], number, FATAL, "100,9",
                    "/chat/c1/stream",
                )  # fmt: skip
                await anyio.sleep(PAUSE_S)
        self.assertLessEqual(len(site.ended), MOST_ENDED)
        self.assertEqual(answer.status, FINAL)


class LivingServerTest(CrashCase):
    """Connections that break off while their server lives on."""

    options = SiteOptions(engines=3, plain=1)

    async def test_broken_streams_are_no_ends(self) -> None:
        # Guards against a request refused since its connections were reset,
        # or a faulty server broke off its answers.
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
