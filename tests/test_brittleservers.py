"""Tests servers that crash if they have to reject many requests."""

import time

import anyio

from standins.platformsite import SiteOptions
from tests.platformcase import PlatformCase

SERVERS = 3
SLOTS = 6
BRITTLE = 4
WARNING_S = 3.0
"""Time for which servers say that they are brittle before they accept less."""

CALLERS = 20
SPAN_S = 6.0
MAX_CRASHES = 2 + SERVERS // 10


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
