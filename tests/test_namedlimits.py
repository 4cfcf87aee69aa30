"""Servers that name how many requests a second they take."""

import time
import unittest
import unittest.mock

import anyio

from jasminerelay import asking
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

SPAN_S = 4.0
KNOWN_S = 1.0
"""Time after the first answer with a limit in which all instances know it."""

MOST_SHARE = 1.5
MOST_BESIDE = 5
"""Requests beside 1.5 times what the limit allows that a server may get in any
four seconds."""

PAUSE_S = 0.03

ENDS_S = 8.0
"""Time in which the end of a limit must be known."""


class NamedLimitCase(PlatformCase):
    """Base of tests that send many requests at all instances."""

    async def send_for(self, instances, seconds: float, path: str) -> list:
        """Sends requests at all instances in turn; returns the answers."""
        answers = []
        until = time.monotonic() + seconds
        number = 0

        async def send(instance, number: int) -> None:
            answers.append(
                await self.ask(
                    instance,
                    path,
                    attempt=f"r{number}",
                    body=b"body %d" % number,
                    Token_Usage="100,3",
                    Prefix_Hash=f"a:60,{number}:40",
                )
            )

        async with anyio.create_task_group() as group:
            while time.monotonic() < until:
                number += 1
                group.start_soon(
                    send, instances[number % len(instances)], number
                )
                await anyio.sleep(PAUSE_S)
        return answers

    def assert_kept(self, server, since: float, limit: float) -> None:
        """Asserts that a server got what it takes, in any span."""
        times = [at for at in server.arrivals if at >= since]
        most = max(
            (sum(at <= x < at + SPAN_S for x in times) for at in times),
            default=0,
        )
        self.assertLessEqual(
            most, MOST_SHARE * SPAN_S * limit + MOST_BESIDE, server.name
        )


class NamedLimitTest(NamedLimitCase):
    """Several instances and model servers, some of which name a limit."""

    options = SiteOptions(engines=3, plain=2)

    async def test_all_instances_together_keep_to_it(self) -> None:
        # Guards against a limit that nobody reads, or that each instance
        # keeps to alone.
        async with self.site(4) as (site, instances):
            await self.until(lambda: all(x.peers_live == 4 for x in instances))
            limited = [site.servers["engine-1"], site.servers["engine-2"]]
            for server in limited:
                server.faults.limit = b"2.0"
            await self.send_for(instances, KNOWN_S, "/chat/c/stream")
            since = time.monotonic()
            answers = await self.send_for(instances, 6.0, "/chat/c/stream")
        for server in limited:
            self.assert_kept(server, since, 2.0)
        served = sum(answer.status == 200 for answer in answers)
        self.assertGreater(served, 0.9 * len(answers))

    async def test_plain_servers(self) -> None:
        # Guards against limits that hold for model servers only.
        async with self.site(4) as (site, instances):
            await self.until(lambda: all(x.peers_live == 4 for x in instances))
            limited = site.servers["plain-1"]
            limited.faults.limit = b"2.0"
            await self.send_for(instances, KNOWN_S, "/lookup/x")
            since = time.monotonic()
            await self.send_for(instances, 5.0, "/lookup/x")
        self.assert_kept(limited, since, 2.0)

    async def test_owners_keep_to_it(self) -> None:
        # Guards against requests that a cell's owner places by itself.
        self.enterContext(unittest.mock.patch.object(asking, "OWNERS_FROM", 2))
        await self.test_all_instances_together_keep_to_it()

    async def test_limit_that_ends(self) -> None:
        # Guards against a server that is left out for good, since so little
        # is sent there that no answer tells of the end.
        async with self.site(2) as (site, instances):
            await self.until(lambda: all(x.peers_live == 2 for x in instances))
            server = site.servers["plain-1"]
            server.faults.limit = b"0.4"
            await self.send_for(instances, KNOWN_S, "/lookup/x")
            server.faults.limit = b""
            await self.send_for(instances, ENDS_S, "/lookup/x")
            before = len(server.arrivals)
            answers = await self.send_for(instances, 1.0, "/lookup/x")
            got = len(server.arrivals) - before
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(got, len(answers) / 4)


class AllLimitedTest(NamedLimitCase):
    """All servers of a service name a limit."""

    options = SiteOptions(engines=2, plain=1)

    async def test_refused_in_time_and_truly(self) -> None:
        # Guards against requests that wait in vain until their time is over,
        # or are refused though they have run.
        async with self.site(2) as (site, instances):
            await self.until(lambda: all(x.peers_live == 2 for x in instances))
            server = site.servers["plain-1"]
            server.faults.limit = b"2.0"
            await self.send_for(instances, KNOWN_S, "/lookup/x")
            before = len(server.journal)
            since = time.monotonic()
            answers = await self.send_for(instances, 5.0, "/confirm/x")
        self.assert_kept(server, since, 2.0)
        by_status = {
            status: [x for x in answers if x.status == status]
            for status in (200, 503)
        }
        self.assertEqual(sum(map(len, by_status.values())), len(answers))
        self.assertEqual(len(server.journal) - before, len(by_status[200]))
        self.assertGreaterEqual(len(by_status[200]), 6)
        for answer in by_status[503]:
            self.assertIn("retry-after", answer.headers)
        for answer in answers:
            self.assertNotIn("server-limit", answer.headers)


if __name__ == "__main__":
    unittest.main()
