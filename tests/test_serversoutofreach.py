"""Tests instances that reach no server while callers and peers reach them."""

import contextlib

import anyio

from standins.platformsite import SiteOptions
from standins.servernetwork import Cut
from tests.platformcase import PlatformCase, events

CONTACT_S = 3.0
"""Time from the beginning of a cut after which callers must be served."""

SHARE = 2 / 3
ZONES = ("north", "east", "west")
REQUESTS = 24
PATHS = ("/confirm/x", "/lookup/x", "/chat/{}/stream", "/sheet/{}/stream")


class ServersOutOfReachTest(PlatformCase):
    """Callers of an instance that is cut off from all servers."""

    options = SiteOptions(engines=3, plain=3)
    networks = True

    @contextlib.asynccontextmanager
    async def instances_under_load(self, count: int):
        """Runs instances whose connections to servers are in use."""
        async with self.site(count) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == count for i in instances)
            )
            for number, instance in enumerate(instances):
                await self.first_tries(instance, f"w{number}", 8)
            yield site, instances

    async def first_tries(self, instance, name: str, count: int) -> int:
        """Sends requests of all kinds; returns how many are served whole."""
        served = 0

        async def ask(number: int) -> None:
            nonlocal served
            path = PATHS[number % len(PATHS)].format(number)
            with anyio.move_on_after(3.0):
                answer = await self.ask(
                    instance,
                    path,
                    attempt=f"{name}-{number}",
                    Token_Usage="600,10",
                    Prefix_Hash=f"aa:500,{number:x}:100",
                    Deadline_Ms="3000",
                )
                good = events(10)
                if not path.endswith("/stream"):
                    good = b"answer to " + f"{name}-{number}".encode()
                served += answer.status == 200 and answer.body == good

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(ask, number)
                await anyio.sleep(0.02)
        return served

    async def served_during(
        self, kind: Cut, cut_count: int, count: int
    ) -> list:
        """Cuts instances off; returns what each serves from CONTACT_S on."""
        served = []
        async with self.instances_under_load(count) as (_, instances):
            for instance in instances[:cut_count]:
                self.network_of[instance.boot.name].cut(kind)
            async with anyio.create_task_group() as group:
                for instance in instances:
                    group.start_soon(self.first_tries, instance, "b", REQUESTS)
                await anyio.sleep(CONTACT_S)
            for instance in instances:
                served.append(await self.first_tries(instance, "c", REQUESTS))
        return served

    async def test_callers_are_served_while_connections_hang(self) -> None:
        # Guards against an instance that has no way to a server but its own.
        served = await self.served_during(Cut.HANG, 1, 3)
        self.assertGreaterEqual(served[0], SHARE * REQUESTS, served)

    async def test_callers_are_served_while_connections_are_reset(self) -> None:
        # Guards against refused connections that end the search for a way.
        served = await self.served_during(Cut.RESET, 1, 3)
        self.assertGreaterEqual(served[0], SHARE * REQUESTS, served)

    async def test_callers_are_served_while_only_new_connections_hang(
        self,
    ) -> None:
        # Guards against open connections that hide that no new one opens.
        served = await self.served_during(Cut.NEW_HANG, 1, 3)
        self.assertGreaterEqual(served[0], SHARE * REQUESTS, served)

    async def test_one_instance_serves_the_callers_of_all(self) -> None:
        # Guards against instances that try only ones that are cut off too.
        served = await self.served_during(Cut.HANG, 4, 5)
        for count in served[:4]:
            self.assertGreaterEqual(count, SHARE * REQUESTS, served)

    async def check_zones(self, kind: Cut, cut_zones: int) -> None:
        """Cuts whole zones of three, and checks what all instances serve."""
        self.zones = ZONES
        async with self.instances_under_load(6) as (_, instances):
            cut = [x for x in instances if x.boot.zone in ZONES[:cut_zones]]
            for instance in cut:
                self.network_of[instance.boot.name].cut(kind)
            await anyio.sleep(CONTACT_S)
            served = [
                await self.first_tries(instance, "c", REQUESTS)
                for instance in instances
            ]
        for count in served:
            self.assertGreaterEqual(count, SHARE * REQUESTS, served)

    async def test_zone_whose_connections_hang(self) -> None:
        # Guards against instances of a zone that ask only each other for a way.
        await self.check_zones(Cut.HANG, 1)

    async def test_zone_whose_connections_are_reset(self) -> None:
        # Guards against the word of instances that share a cut.
        await self.check_zones(Cut.RESET, 1)

    async def test_zone_that_opens_no_connections(self) -> None:
        # Guards against a zone whose open connections hide that no new one
        # opens.
        await self.check_zones(Cut.NEW_REFUSED, 1)

    async def test_two_zones_of_three(self) -> None:
        # Guards against cuts that most instances share.
        await self.check_zones(Cut.HANG, 2)

    async def test_direct_again_after_the_cut(self) -> None:
        # Guards against relaying for long after the links are back.
        async with self.instances_under_load(2) as (_, (first, _second)):
            network = self.network_of[first.boot.name]
            network.cut(Cut.HANG)
            await self.first_tries(first, "b", REQUESTS)
            network.heal()
            await anyio.sleep(CONTACT_S)
            opened = network.opened
            served = await self.first_tries(first, "c", REQUESTS)
            self.assertEqual(served, REQUESTS)
            self.assertGreater(network.opened, opened)
