"""Servers that state how many requests per second they accept."""

import time
import unittest
import unittest.mock

import anyio

from jasminerelay import placementclient
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

WINDOW_S = 4.0
PROPAGATION_S = 1.0
"""Time after the first response with a limit by which all instances have it."""

MAX_RATE_FACTOR = 1.5
MAX_EXCESS = 5
"""Requests beyond 1.5 times the limit that a server may get in any window."""

SEND_INTERVAL_S = 0.03

CLEARED_AFTER_S = 8.0
"""Time in which the end of a limit must be noticed."""


class NamedLimitCase(PlatformCase):
    """Base of tests that send many requests at all instances."""

    async def send_for(self, instances, seconds: float, path: str) -> list:
        """Sends requests at all instances in turn; returns the responses."""
        answers = []
        deadline = time.monotonic() + seconds
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
            while time.monotonic() < deadline:
                number += 1
                group.start_soon(
                    send, instances[number % len(instances)], number
                )
                await anyio.sleep(SEND_INTERVAL_S)
        return answers

    def assert_limit_kept(self, server, since: float, limit: float) -> None:
        """Asserts that a server's limit was kept in any window."""
        times = [at for at in server.arrival_times if at >= since]
        highest = max(
            (sum(at <= x < at + WINDOW_S for x in times) for at in times),
            default=0,
        )
        self.assertLessEqual(
            highest,
            MAX_RATE_FACTOR * WINDOW_S * limit + MAX_EXCESS,
            server.name,
        )


class NamedLimitTest(NamedLimitCase):
    """Several instances and model servers, some with a limit."""

    options = SiteOptions(engines=3, plain=2)

    async def test_limit_holds_over_all_instances(self) -> None:
        # Guards against a limit that is ignored, or that each instance applies
        # on its own.
        async with self.site(4) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 4 for x in instances)
            )
            limited = [site.servers["engine-1"], site.servers["engine-2"]]
            for server in limited:
                server.faults.limit = b"2.0"
            await self.send_for(instances, PROPAGATION_S, "/chat/c/stream")
            since = time.monotonic()
            answers = await self.send_for(instances, 6.0, "/chat/c/stream")
        for server in limited:
            self.assert_limit_kept(server, since, 2.0)
        served = sum(answer.status == 200 for answer in answers)
        self.assertGreater(served, 0.9 * len(answers))

    async def test_plain_servers(self) -> None:
        # Guards against limits that are enforced for model servers only.
        async with self.site(4) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 4 for x in instances)
            )
            limited = site.servers["plain-1"]
            limited.faults.limit = b"2.0"
            await self.send_for(instances, PROPAGATION_S, "/lookup/x")
            since = time.monotonic()
            await self.send_for(instances, 5.0, "/lookup/x")
        self.assert_limit_kept(limited, since, 2.0)

    async def test_limit_holds_for_cell_owners(self) -> None:
        # Guards against requests that a cell owner places without a grant.
        self.enterContext(
            unittest.mock.patch.object(
                placementclient, "MIN_INSTANCES_FOR_OWNERS", 2
            )
        )
        await self.test_limit_holds_over_all_instances()

    async def test_limit_that_ends(self) -> None:
        # Guards against a server that gets so few requests that no response
        # shows the end of its limit.
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            server = site.servers["plain-1"]
            server.faults.limit = b"0.4"
            await self.send_for(instances, PROPAGATION_S, "/lookup/x")
            server.faults.limit = b""
            await self.send_for(instances, CLEARED_AFTER_S, "/lookup/x")
            count_before = len(server.arrival_times)
            answers = await self.send_for(instances, 1.0, "/lookup/x")
            sent = len(server.arrival_times) - count_before
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertGreater(sent, len(answers) / 4)


class AllLimitedTest(NamedLimitCase):
    """All servers of a service state a limit."""

    options = SiteOptions(engines=2, plain=1)

    async def test_refused_in_time_and_not_run(self) -> None:
        # Guards against requests that are queued until their deadline, or are
        # refused although they have run.
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            server = site.servers["plain-1"]
            server.faults.limit = b"2.0"
            await self.send_for(instances, PROPAGATION_S, "/lookup/x")
            count_before = len(server.journal)
            since = time.monotonic()
            answers = await self.send_for(instances, 5.0, "/confirm/x")
        self.assert_limit_kept(server, since, 2.0)
        by_status = {
            status: [x for x in answers if x.status == status]
            for status in (200, 503)
        }
        self.assertEqual(sum(map(len, by_status.values())), len(answers))
        self.assertEqual(
            len(server.journal) - count_before, len(by_status[200])
        )
        self.assertGreaterEqual(len(by_status[200]), 6)
        for answer in by_status[503]:
            self.assertIn("retry-after", answer.headers)
        for answer in answers:
            self.assertNotIn("server-limit", answer.headers)


if __name__ == "__main__":
    unittest.main()
