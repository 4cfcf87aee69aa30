"""Servers that announce in their answers that they shut down."""

import unittest
import unittest.mock

import anyio
import msgspec

from jasminerelay import peermessages, placementclient
from jasminerelay.drainwatch import DrainWatch
from jasminerelay.exchange import ResponseHead
from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.registry import MAX_HISTORY
from jasminerelay.schema.messages import DrainMessage, PeerMessage, ServerRow
from standins.platformsite import SiteOptions
from tests import virtualtime
from tests.instanceworld import InstanceWorld, Quiet
from tests.platformcase import PlatformCase
from tests.test_serverrows import POOL, START, registry, row

MAX_REQUESTS = 60
"""Requests after which each instance has had an answer of every server."""


class AnnouncedDrainCase(PlatformCase):
    """Base of tests in which the store does not answer."""

    options = SiteOptions(engines=2, plain=2)

    def announce(self, site, *names: str) -> None:
        """Lets the store hang and servers announce that they shut down."""
        site.store.faults.hang = True
        for name in names:
            site.servers[name].faults.leaving = True

    async def send(self, instance, path: str, count: int) -> list:
        """Sends requests one after another; returns the answers."""
        return [await self.ask_new_prompt(instance, path) for _ in range(count)]

    async def find_server(self, site, instance, path: str):
        """Returns a server that gets requests of a path."""
        before = {x: len(x.journal) for x in site.servers.values()}
        await self.send(instance, path, 3)
        return max(before, key=lambda x: len(x.journal) - before[x])

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
            for path in ("/lookup/x", "/chat/c/stream"):
                server = await self.find_server(site, instance, path)
                name = server.name
                self.announce(site, name)
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
            server = await self.find_server(
                site, instances[0], "/chat/c/stream"
            )
            self.announce(site, server.name)
            for instance in instances:
                before = len(server.arrival_times)
                answers = await self.send(instance, "/chat/c/stream", 20)
                self.assertEqual({answer.status for answer in answers}, {200})
                # The first of them may be the one whose answer says so.
                self.assertLessEqual(len(server.arrival_times), before + 1)


class AnnouncedDrainRowsTest(unittest.TestCase):
    """Announcements and rows, in any order."""

    def setUp(self) -> None:
        self.registry = registry()
        self.registry.apply_full_read([row(1), row(2, "b")], 2)
        (self.server, _) = self.registry.servers_of(POOL)

    def usable(self) -> set[str]:
        """Returns the ids of the servers that get requests."""
        return set(self.registry.server_ids_of(POOL))

    def test_row_that_says_ready_does_not_revive_it(self) -> None:
        # Guards against a row written before the announcement that arrives
        # after it.
        change = self.registry.announce_drain(self.server.id)
        self.assertTrue(change.after.draining)
        self.registry.apply_changes([row(3, slotCount=9)], 3)
        self.registry.apply_full_read([row(4), row(2, "b")], 4)
        self.assertNotIn(self.server.id, self.usable())
        self.assertTrue(self.registry.server(self.server.id).draining)

    def test_restart_under_the_same_name_is_used(self) -> None:
        # Guards against a server that gets nothing since its predecessor left.
        self.registry.announce_drain(self.server.id)
        self.registry.apply_changes([row(3, born=START + 1)], 3)
        self.assertIn(f"a@{START + 1}", self.usable())

    def test_announced_before_its_row(self) -> None:
        # Guards against an announcement of a server that is not known yet.
        self.assertIsNone(self.registry.announce_drain(f"c@{START}"))
        self.registry.apply_changes([row(3, "c")], 3)
        self.assertNotIn(f"c@{START}", self.usable())

    def test_row_that_lapses_in_an_outage_ends_it(self) -> None:
        # Guards against a server that left and is kept for one that could not
        # renew its row.
        self.registry.mark_store_unreachable()
        self.registry.announce_drain(self.server.id)
        (change,) = self.registry.apply_changes([ServerRow("a", 3, None)], 3)
        self.assertIsNone(change.after)

    def test_announcements_kept_are_bounded(self) -> None:
        for number in range(MAX_HISTORY + 1):
            self.registry.announce_drain(str(number))
        self.assertFalse(self.registry.has_announced_drain("0"))
        self.assertTrue(self.registry.has_announced_drain("1"))


class AnnouncementFieldTest(unittest.TestCase):
    """The header in which a server announces its shutdown."""

    def test_read_and_not_forwarded(self) -> None:
        for value, leaving in ((b"1", True), (b"0", False), (b"", False)):
            head = PlatformDialect().head(200, [(b"Server-Leaving", value)])
            self.assertEqual(head.leaving, leaving, value)
            self.assertEqual(head.headers, ())
        self.assertFalse(PlatformDialect().head(200, []).leaving)

    def test_instance_before_this_message_ignores_it(self) -> None:
        # Guards against a datagram that stops the receiver of the version
        # before, which reads any unknown kind as the periodic message.
        data = peermessages.encode(DrainMessage("n1", ["a"]))
        self.assertEqual(peermessages.decode(data).servers, ["a"])
        with self.assertRaises(ValueError):
            msgspec.msgpack.decode(data, type=PeerMessage)


class AnnouncementSimulation(InstanceWorld):
    """Instances of which one hears an announcement; messages may be lost."""

    def make(self, name: str) -> DrainWatch:
        """Returns the watch of a new instance."""
        servers = registry()
        servers.apply_full_read([row(1)], 1)
        watch = DrainWatch(name, servers, Quiet(), Quiet(), self.rng)
        watch.servers = servers
        watch.members = lambda: self.members(self.nodes[0])
        return watch

    async def live(self, node) -> None:
        """Runs an instance until it is cancelled."""
        await node.watch.run()

    async def run(self) -> None:
        """Announces a shutdown to one instance and waits for a second."""
        async with anyio.create_task_group() as group:
            self.group = group
            for _ in range(self.count):
                self.start_node()
            await anyio.sleep(0.2)
            head = ResponseHead(200, (), False, "", False, None, leaving=True)
            self.nodes[0].watch.on_response(f"a@{START}", head)
            await anyio.sleep(1.0)
            group.cancel_scope.cancel()

    def _send(self, node, to, message) -> None:
        self.sent += 1
        super()._send(node, to, message)

    sent = 0


class AnnouncementBroadcastTest(unittest.TestCase):
    """Broadcasts among few and many instances."""

    def test_all_instances_know_within_a_second(self) -> None:
        # Guards against an announcement that stays where it was received, and
        # against messages that grow with the square of the instances.
        for count in (8, 200):
            for seed in range(5):
                world = AnnouncementSimulation(seed, count, faults=False)
                world.loss = 0.05
                virtualtime.run(world.run, ())
                unaware = [
                    node.name
                    for node in world.nodes
                    if node.watch.servers.servers_of(POOL)
                ]
                self.assertEqual(unaware, [], (count, seed))
                self.assertLess(world.sent, 20 * count)


if __name__ == "__main__":
    unittest.main()
