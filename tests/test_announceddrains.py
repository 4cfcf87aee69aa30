"""Servers that announce in their answers that they shut down."""

import itertools
import unittest
import unittest.mock

import anyio

from jasminerelay import placementclient
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

MAX_REQUESTS = 60
"""Requests after which each instance has had an answer of every server."""


class AnnouncedDrainCase(PlatformCase):
    """Base of tests in which the store does not answer."""

    options = SiteOptions(engines=2, plain=2)

    def setUp(self) -> None:
        super().setUp()
        self.prompts = itertools.count(1)

    def announce(self, site, *names: str) -> None:
        """Lets the store hang and servers announce that they shut down."""
        site.store.faults.hang = True
        for name in names:
            site.servers[name].faults.leaving = True

    async def send(self, instance, path: str, count: int) -> list:
        """Sends requests one after another; returns the answers."""
        return [
            await self.ask(
                instance,
                path,
                attempt=f"r{number}",
                Token_Usage="100,3",
                Prefix_Hash=f"{next(self.prompts):x}:60,b:40",
            )
            for number in range(count)
        ]

    async def send_until_answered(self, instance, path: str, server) -> None:
        """Sends requests until an instance has an answer of a server."""
        before = len(server.journal)
        for _ in range(MAX_REQUESTS):
            await self.send(instance, path, 1)
            if len(server.journal) > before:
                return
        self.fail(f"{server.name} got no request")


class AnnouncedDrainTest(AnnouncedDrainCase):
    """One instance, or several that hear of it from each other."""

    async def test_no_request_after_the_announcement(self) -> None:
        # Guards against requests to a server whose answer said that it leaves,
        # while the store can't say so.
        async with self.site() as (site, (instance,)):
            self.announce(site, "plain-1", "engine-1")
            for name, path in (
                ("plain-1", "/lookup/x"),
                ("engine-1", "/chat/c/stream"),
            ):
                server = site.servers[name]
                await self.send_until_answered(instance, path, server)
                before = len(server.arrival_times)
                answers = await self.send(instance, path, 20)
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertEqual(len(server.arrival_times), before, name)
                for answer in answers:
                    self.assertNotIn("server-leaving", answer.headers)

    async def test_announcement_on_a_rejection(self) -> None:
        # Guards against an announcement that is read from good answers only.
        async with self.site() as (site, (instance,)):
            self.announce(site, "plain-1")
            server = site.servers["plain-1"]
            server.faults.refuse = 1000
            for _ in range(MAX_REQUESTS):
                await self.send(instance, "/confirm/x", 1)
                if server.arrival_times:
                    break
            before = len(server.arrival_times)
            self.assertGreater(before, 0)
            await self.send(instance, "/confirm/x", 20)
            self.assertEqual(len(server.arrival_times), before)

    async def test_other_instances_hear_of_it(self) -> None:
        # Guards against each instance losing a request to learn of it.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 3 for x in instances)
            )
            self.announce(site, "plain-1")
            server = site.servers["plain-1"]
            await self.send_until_answered(instances[0], "/lookup/x", server)
            await anyio.sleep(1.0)
            before = len(server.arrival_times)
            for instance in instances:
                await self.send(instance, "/lookup/x", 10)
            self.assertEqual(len(server.arrival_times), before)

    async def test_last_server_leaves(self) -> None:
        # Guards against a caller that waits, or gets no time to come back,
        # where all servers of a service leave.
        async with self.site() as (site, (instance,)):
            self.announce(site, "plain-1", "plain-2")
            for name in ("plain-1", "plain-2"):
                await self.send_until_answered(
                    instance, "/lookup/x", site.servers[name]
                )
            with anyio.fail_after(2.0):
                answer = await self.ask(instance, "/confirm/x")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)


class OwnerWithoutAnnouncementTest(AnnouncedDrainCase):
    """The owner of a cell has not heard what the sender has."""

    async def test_sender_does_not_follow_the_owner(self) -> None:
        # Guards against a request that goes to a leaving server since the
        # owner of its cell, perhaps of an older version, has placed it there.
        self.enterContext(
            unittest.mock.patch.object(
                placementclient, "MIN_INSTANCES_FOR_OWNERS", 2
            )
        )
        async with self.site(2) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 2 for x in instances)
            )
            for instance in instances:
                instance._peers.on_drains = lambda message: None
            self.announce(site, "engine-1")
            server = site.servers["engine-1"]
            for instance in instances:
                await self.send_until_answered(
                    instance, "/chat/c/stream", server
                )
            before = len(server.arrival_times)
            for instance in instances:
                answers = await self.send(instance, "/chat/c/stream", 20)
                self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual(len(server.arrival_times), before)


if __name__ == "__main__":
    unittest.main()
