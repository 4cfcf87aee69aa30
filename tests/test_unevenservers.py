"""Tests placements on backend servers of different speed."""

import contextlib
import random
import unittest
import unittest.mock
from collections.abc import Iterator

import anyio
import msgspec

from jasminerelay import peermessages, placementclient
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.scheduling.servercapacity import (
    USUAL_SERVER,
    ServerCapacities,
)
from jasminerelay.scheduling.serverspeeds import ServerSpeeds
from jasminerelay.schema.messages import CellUpdate, ServerObservation
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase
from tests.speedworld import EVEN, UNEVEN, PlainWorld, SpeedWorld
from tests.test_cells import SERVICE, Site

RATE = 36.0
"""Requests per second at which the uneven servers are about two thirds busy."""


@contextlib.contextmanager
def without_estimates() -> Iterator[None]:
    """Places requests as if nothing were known about any server."""
    with (
        unittest.mock.patch.object(
            ServerCapacities, "view", lambda *args: USUAL_SERVER
        ),
        unittest.mock.patch.object(ServerSpeeds, "slowness", lambda *args: 1.0),
        unittest.mock.patch.object(ServerSpeeds, "lasting", lambda *args: 1.0),
    ):
        yield


class UnevenServersTest(unittest.TestCase):
    """Placement on servers of different speed, some of them slowed in turn.

    Eight servers of 0.7, 0.7, 1.7 and five times the usual speed; one of them
    is 2.5 times slower for 0.6 s in turn, and all are when nearly full.
    """

    def check(self, instances: int, **options) -> SpeedWorld:
        """Runs the load and compares it with that on equal servers."""
        even = SpeedWorld(EVEN, instances, rate=RATE).run(45.0, 25.0)
        uneven = SpeedWorld(
            UNEVEN, instances, slowed=True, rate=RATE, **options
        ).run(45.0, 25.0)
        self.assertLess(uneven.imbalance(), 1.25)
        self.assertLess(uneven.p95_s(), 1.3 * even.p95_s())
        total = sum(uneven.sent_counts.values())
        self.assertLess(uneven.rejected, 0.01 * total)
        self.assertLess(uneven.refused, 0.01 * total)
        for server in range(len(UNEVEN)):
            self.assertGreater(uneven.sent_counts[f"i-{server:03}"], 0)
        return uneven

    def test_one_owner(self) -> None:
        self.check(1)

    def test_three_instances(self) -> None:
        self.check(3)

    def test_plain_servers(self) -> None:
        # Guards against rejections by plain servers of which three instances
        # know only a part of the load: they were 11 in 100 at 1,000 requests a
        # second, two thirds of the capacity.
        for rate, seconds in ((40.0, 60.0), (1000.0, 16.0)):
            with self.subTest(rate=rate):
                world = PlainWorld(UNEVEN, 3, rate).run(seconds, seconds / 2)
                self.assertLess(world.imbalance(), 1.25)
                total = sum(world.counts.values())
                self.assertLess(world.rejected, 0.01 * total)

    def test_lying_servers(self) -> None:
        # Guards against servers that attract or turn away requests by their
        # statements: here one states to be fast and one to be slow at moments
        # when they are not.
        rng = random.Random(1)
        lies = {0: 0.4, 3: 3.0}

        def states(server: int, slowdown: float) -> float:
            lie = server in lies and rng.random() < 0.5
            return lies[server] if lie else slowdown

        self.check(1, states=states)


class EqualServersTest(unittest.TestCase):
    """Deployments with equal servers keep their placements."""

    def test_same_placements_as_without_estimates(self) -> None:
        # Guards against estimates that change anything where all servers are
        # equally fast.
        for instances in (1, 3):
            with self.subTest(instances=instances):
                found = self.placements(instances)
                with without_estimates():
                    self.assertEqual(found, self.placements(instances))

    def test_same_times_at_plain_servers(self) -> None:
        # Guards against the same at plain services: the times of all answers
        # are equal only if all placements are.
        for rate in (40.0, 300.0):
            with self.subTest(rate=rate):
                found = PlainWorld(EVEN, 3, rate).run(20.0, 1.0)
                self.assertGreater(len(found.total_s), 500)
                with without_estimates():
                    other = PlainWorld(EVEN, 3, rate).run(20.0, 1.0)
                self.assertEqual(found.total_s, other.total_s)

    def placements(self, instances: int) -> list[str]:
        """Returns the servers that the requests get."""
        world = SpeedWorld(EVEN, instances, rate=RATE).run(30.0)
        self.assertGreater(len(world.placements), 900)
        return world.placements


class SiteTest(PlatformCase):
    """Servers of different speed behind real instances."""

    options = SiteOptions(engines=2, plain=3)

    async def send(self, instances, count: int, path: str) -> list[int]:
        """Sends requests, some forty a second; returns the statuses."""
        found = []

        async def one(number: int) -> None:
            answer = await self.ask(
                instances[number % len(instances)],
                path,
                attempt=f"u{number}-{path}",
                body=b"body %d" % number,
                Token_Usage="100,3",
                Prefix_Hash=f"a:60,{number}:40",
            )
            found.append(answer.status)

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(one, number)
                await anyio.sleep(0.025)
        return found

    async def test_slow_plain_server(self) -> None:
        # Guards against a plain service's slow server that gets as many
        # requests as the others, and against one that gets none any more.
        async with self.site(1) as (site, instances):
            slow = site.servers["plain-1"]
            for server in site.servers.values():
                server.faults.states_slowdown = True
            slow.faults.speed = 0.25
            await self.send(instances, 120, "/lookup/x")
            for server in site.servers.values():
                server.journal.clear()
            statuses = await self.send(instances, 200, "/lookup/x")
        self.assertEqual(set(statuses), {200})
        counts = [len(site.servers[f"plain-{n}"].journal) for n in (1, 2, 3)]
        self.assertGreater(counts[0], 0)
        self.assertLess(counts[0], 0.6 * min(counts[1:]))

    async def test_malformed_statements(self) -> None:
        # Guards against a malformed statement that fails a request.
        async with self.site(1) as (site, instances):
            for server in site.servers.values():
                server.faults.load = b"1,0,8,fast"
            statuses = await self.send(instances, 3, "/lookup/x")
            statuses += await self.send(instances, 3, "/chat/c/stream")
            counted = instances[0].counters.snapshot()["speed.malformed"]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(counted, 6)

    async def test_owner_gets_statements(self) -> None:
        # Guards against owners of cells that do not hear what servers state to
        # other instances.
        self.enterContext(
            unittest.mock.patch.object(
                placementclient, "MIN_INSTANCES_FOR_OWNERS", 2
            )
        )
        stated = []
        record = Dispatcher.record_statement

        def recorded(dispatcher, service, server, statement, now) -> None:
            if dispatcher._candidates._caches is not None:
                stated.append((server, statement.slowdown))
            record(dispatcher, service, server, statement, now)

        self.enterContext(
            unittest.mock.patch.object(Dispatcher, "record_statement", recorded)
        )
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(x.live_instance_count == 3 for x in instances)
            )
            for server in site.servers.values():
                server.faults.states_slowdown = True
                server.faults.slowdown = 2.5
            statuses = await self.send(instances, 30, "/chat/c/stream")
        self.assertEqual(set(statuses), {200})
        self.assertEqual({slowdown for _, slowdown in stated}, {2.5})
        self.assertLessEqual(len(stated), 30)


class ObservationTest(unittest.TestCase):
    """What instances pass on to the owner of a cell."""

    def test_previous_version(self) -> None:
        # Guards against an update from an instance of the previous version,
        # which sends no statements.
        node = Site(2, servers=4).nodes["n00"]
        old = {"server": "i-000", "token_us": 0, "step_us": 0, "silent": False}
        data = peermessages.encode(
            CellUpdate("n01", "n01:1", SERVICE, 0, 1, [], [], [], [])
        )
        message = msgspec.convert(old, ServerObservation)
        self.assertEqual(message.slowdown_pct, 0)
        update = msgspec.structs.replace(
            peermessages.decode(data), tokens=[message]
        )
        node.owned.handle_message(update)

    def test_invalid_figures(self) -> None:
        # Guards against figures that no instance of this version sends.
        node = Site(2, servers=4).nodes["n00"]
        for number, (percent, age_ms, waiting, rejected) in enumerate(
            (
                (-5, -5, -5, -5),
                (10**12, 10**12, 10**12, 10**12),
                (250, 0, 0, 0),
            )
        ):
            observation = ServerObservation(
                "i-000", 0, 0, False, percent, age_ms, waiting, rejected
            )
            node.owned.handle_message(
                CellUpdate(
                    "n01",
                    "n01:1",
                    SERVICE,
                    0,
                    number + 1,
                    [],
                    [],
                    [],
                    [observation],
                )
            )


if __name__ == "__main__":
    unittest.main()
