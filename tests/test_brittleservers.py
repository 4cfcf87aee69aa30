"""Tests servers that crash if they have to reject many requests."""

import time
import unittest

import anyio

from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.scheduling.brittleservers import (
    MIN_REST_S,
    RESTING_LIMIT,
    VALID_S,
    BrittleServers,
    InstanceUse,
)
from jasminerelay.schema.messages import CellUpdate, ServerObservation
from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase
from tests.test_cells import SERVICE, Site

SERVERS = 3
SLOTS = 6
BRITTLE = 4
WARNING_S = 3.0
"""Time for which servers say that they are brittle before they accept less."""

CALLERS = 20
SPAN_S = 6.0
MAX_CRASHES = 2 + SERVERS // 10


class BrittleStateTest(unittest.TestCase):
    """What a brittle server is given."""

    def test_statement_holds_for_the_service(self) -> None:
        # Guards against servers that have not answered since the others said
        # that they are brittle.
        brittle = BrittleServers()
        brittle.record_statement("s1", 4, 0.0)
        self.assertEqual(brittle.limit("s2", 10, 1.0), 8)
        self.assertEqual(brittle.limit("s2", 10, VALID_S), 0)
        self.assertFalse(brittle)

    def test_answer_without_the_field_ends_it(self) -> None:
        brittle = BrittleServers()
        brittle.record_statement("s1", 4, 0.0)
        brittle.record_statement("s1", 0, 0.1)
        self.assertEqual(brittle.limit("s1", 10, 0.2), 0)

    def test_rest_is_shared_by_the_instances(self) -> None:
        # Guards against rests that each instance keeps, and which together
        # allow more rejections than a server bears.
        for instances, rejections in ((1, 20), (6, 3), (200, 10)):
            brittle = BrittleServers()
            brittle.record_statement("s1", rejections, 0.0)
            brittle.record_rejection("s1", instances, 0.0)
            rest_s = max(MIN_REST_S, instances / rejections)
            brittle.record_statement("s1", rejections, rest_s)
            limit = brittle.limit("s1", 10, rest_s - 0.01)
            self.assertEqual(limit, RESTING_LIMIT)
            self.assertEqual(brittle.limit("s1", 10, rest_s + 0.01), 8)

    def test_each_instance_uses_its_share(self) -> None:
        # Guards against instances that all find the same slots free.
        brittle = BrittleServers()
        brittle.record_statement("s1", 4, 0.0)
        for own, everyone, instances, expected in (
            (0, 0, 3, 8),
            (2, 2, 3, 8),
            (3, 3, 3, 3),
            (3, 7, 3, 7),
            (3, 9, 3, 8),
            (7, 7, 1, 8),
            (0, 0, 200, 8),
            (1, 1, 200, 1),
        ):
            use = InstanceUse(own, everyone, instances)
            limit = brittle.instance_limit("s1", 10, use, 0.1)
            self.assertEqual(limit, expected, use)

    def test_usual_servers_have_no_rest(self) -> None:
        brittle = BrittleServers()
        brittle.record_rejection("s1", 6, 0.0)
        brittle.record_statement("s1", 4, 0.1)
        self.assertEqual(brittle.limit("s1", 10, 0.2), 8)

    def test_field(self) -> None:
        dialect = PlatformDialect()
        for value, expected in (
            (b"7", (7, "")),
            (b"0", (0, "")),
            (b"-1", (0, "-1")),
            (b"many", (0, "many")),
            (b"1" * 9, (0, "1" * 9)),
        ):
            head = dialect.head(200, [(b"Server-Brittle", value)])
            self.assertEqual((head.brittle, head.brittle_fault), expected)
            self.assertEqual(head.headers, ())


class OwnerTest(unittest.TestCase):
    """Owners of cells, which get no answers of servers themselves."""

    def test_owner_learns_of_brittle_servers(self) -> None:
        # Guards against an owner that fills the brittle servers of its cell.
        node = Site(2, servers=4).nodes["n00"]
        for number, rejected in ((1, 0), (2, 1)):
            observation = ServerObservation(
                "i-000", 0, 0, False, rejected=rejected, brittle=3
            )
            node.owned.handle_message(
                CellUpdate(
                    "n01",
                    "n01:1",
                    SERVICE,
                    0,
                    number,
                    [],
                    [],
                    [],
                    [observation],
                )
            )
            (owner,) = node.owned._cells.values()
            brittle = owner._dispatcher.capacities.of(SERVICE).brittle
            limit = brittle.limit("i-000", 10, time.monotonic())
            self.assertEqual(limit, RESTING_LIMIT if rejected else 8)


class BrittleServersTest(PlatformCase):
    """Several instances before servers of which each would crash."""

    options = SiteOptions(
        plain=SERVERS, slots=SLOTS, restart_s=2.0, routes={"lookup": {}}
    )

    async def test_brittle_servers_are_not_overloaded(self) -> None:
        # Guards against instances that each fill servers up to rejections,
        # which together make the servers crash.
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            for server in site.servers.values():
                server.faults.brittle = BRITTLE
                server.faults.slowdown = 15
            stop_at = time.monotonic() + WARNING_S + SPAN_S
            answers: list[int] = []
            async with anyio.create_task_group() as group:
                for number, instance in enumerate(instances):
                    for caller in range(CALLERS):
                        group.start_soon(
                            self.call_often,
                            instance,
                            f"{number}-{caller}",
                            stop_at,
                            answers,
                        )
                await anyio.sleep(WARNING_S)
                for server in site.servers.values():
                    server.faults.capacity = SLOTS
            self.assertLessEqual(len(site.ended), MAX_CRASHES, site.ended)
            self.assertGreater(answers.count(200), 100)

    async def call_often(
        self, instance, name: str, stop_at: float, answers: list[int]
    ) -> None:
        """Sends requests one after another until a time."""
        number = 0
        while time.monotonic() < stop_at:
            number += 1
            answer = await self.ask(
                instance,
                "/confirm/x",
                attempt=f"{name}-{number}",
                Deadline_Ms="1500",
            )
            answers.append(answer.status)
            if answer.status != 200:
                await anyio.sleep(0.3)
