"""Tests what proves that a backend server has ended."""

import contextlib

import anyio

from standins.platformsite import SiteOptions
from standins.servernetwork import Cut
from tests.platformcase import PlatformCase

BROKEN = 24
"""Requests whose answers break off; three servers lose several of them."""

SETTLED_S = 1.0
"""Time after which the probes of servers that lost a connection have ended,
and their reports have reached the other instances."""

INNOCENT = 12
SHARED_PREFIX = "aa:500"


class SoundServersTest(PlatformCase):
    """Servers that break answers off, at an instance cut off from them."""

    options = SiteOptions(
        engines=3, plain=3, retry_allowance=200.0, retry_ratio=1.0
    )
    networks = True

    @contextlib.asynccontextmanager
    async def cut_off(self, kind: Cut):
        """Runs three instances, the first of which is cut off from servers."""
        async with self.site(3) as (site, instances):
            await self.until(
                lambda: all(i.live_instance_count == 3 for i in instances)
            )
            for number, instance in enumerate(instances):
                await self.send(instance, f"w{number}", 6)
            self.network_of[instances[0].boot.name].cut(kind)
            yield site, instances

    async def send(self, instance, name: str, count: int) -> list[int]:
        """Sends streams with a shared part; returns their statuses."""
        statuses = []

        async def ask(number: int) -> None:
            kind = ("chat", "sheet")[number % 2]
            with anyio.move_on_after(5.0):
                answer = await self.ask(
                    instance,
                    f"/{kind}/{number}/stream",
                    attempt=f"{name}-{number}",
                    body=b"%d" % number,
                    Token_Usage="600,10",
                    Prefix_Hash=f"{SHARED_PREFIX},{number:x}:100",
                    Deadline_Ms="5000",
                )
                statuses.append(answer.status)

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(ask, number)
                await anyio.sleep(0.02)
        return statuses

    async def check_sound(self, kind: Cut, *, by_connection: bool) -> None:
        """Breaks answers off, then checks that nobody takes a server for dead.

        Args:
            kind: How the first instance is cut off.
            by_connection: Whether the answers end with their connections.
        """
        async with self.cut_off(kind) as (site, instances):
            for server in site.servers.values():
                server.faults.by_connection = by_connection
                server.faults.break_after = 3
            await self.send(instances[0], "b", BROKEN)
            await anyio.sleep(SETTLED_S)
            for server in site.servers.values():
                server.faults.by_connection = False
                server.faults.break_after = 0
            for number, instance in enumerate(instances):
                statuses = await self.send(instance, f"i{number}", INNOCENT)
                self.assertNotIn(500, statuses, (kind, number))
            for instance in instances:
                counts = instance.counters.snapshot()
                found = {
                    name: counts[name]
                    for name in (
                        "crash.server_ended",
                        "crash.blocked",
                        "crash.told",
                        "crash.heard",
                    )
                    if counts.get(name)
                }
                self.assertEqual(found, {}, (kind, instance.boot.name))
                self.assertEqual(
                    instance._crashes.ledger.all_blocked, frozenset()
                )
            for instance in instances[1:]:
                for server in instance.registry.servers():
                    health = instance.dispatcher.health(server.service)
                    self.assertFalse(health.unavailable(server.id))

    async def test_new_connections_are_refused(self) -> None:
        # Guards against requests blocked for the cut of one instance.
        await self.check_sound(Cut.NEW_REFUSED, by_connection=False)

    async def test_connections_are_reset(self) -> None:
        # Guards against a reset by the network that counts as a crash.
        await self.check_sound(Cut.RESET, by_connection=False)

    async def test_answers_by_connection(self) -> None:
        # Guards against answers without a length that end at a cut.
        await self.check_sound(Cut.NEW_REFUSED, by_connection=True)
