"""The store comes back from a copy of its data that is some seconds old."""

import unittest

import anyio
import msgspec

from jasminerelay import storeversion
from jasminerelay.platform import decoding
from jasminerelay.registry import (
    RESTORED_ROW_GRACE_S,
    RETURN_GRACE_S,
    Registry,
)
from jasminerelay.schema.messages import ServerRow
from standins.platformsite import PLAIN_BACKEND, SiteOptions
from tests.platformcase import PlatformCase
from tests.test_serverrows import POOL, registry, row

CHANGE_S = 2.0
"""Time within which a change must be in force."""

LOST_CHANGES = 6
"""Versions that the store gives out again."""


class RestoredStoreCase(PlatformCase):
    """Base of tests in which the store loses what it has accepted."""

    options = SiteOptions(engines=2, plain=2)

    async def lose_changes(self, site, instances):
        """Lets instances apply changes that the store then loses.

        Returns:
            The copy from which the store comes back.
        """
        copy = site.store.copy()
        for _ in range(LOST_CHANGES):
            site.write_configuration()
        for instance in instances:
            await self.until(lambda i=instance: i.version == site.version)
        return copy

    async def restore(self, site, copy, rewritten=("op", "servers")) -> None:
        """Lets the store be away for a moment and come back from a copy."""
        site.store.faults.down = True
        await anyio.sleep(0.3)
        site.store.restore(copy, rewritten)
        site.store.faults.down = False

    async def assert_applied(self, site, instances) -> None:
        """Asserts that a version is in force everywhere in time."""
        with anyio.fail_after(CHANGE_S):
            for instance in instances:
                while instance.version != site.version:
                    await anyio.sleep(0.01)


class RestoredStoreTest(RestoredStoreCase):
    """Configuration and servers at two instances."""

    async def test_change_with_a_version_given_out_again(self) -> None:
        # Guards against changes that are passed over until the store's version
        # exceeds the highest one seen before it came back.
        async with self.site(2) as (site, instances):
            copy = await self.lose_changes(site, instances)
            await self.restore(site, copy, rewritten=("servers",))
            for _ in range(2):
                site.write_configuration()
                await self.assert_applied(site, instances)

    async def test_second_return_at_once(self) -> None:
        async with self.site(2) as (site, instances):
            first = await self.lose_changes(site, instances)
            await self.restore(site, first, rewritten=())
            await self.restore(site, first, rewritten=())
            site.write_configuration()
            await self.assert_applied(site, instances)

    async def test_waiting_calls_across_the_return(self) -> None:
        # Guards against a call that waited since before the return and asks
        # on from a version that means another one now.
        async with self.site(2) as (site, instances):
            copy = await self.lose_changes(site, instances)
            site.store.restore(copy, rewritten=())
            for _ in range(LOST_CHANGES + 2):
                site.write_configuration()
            await self.assert_applied(site, instances)

    async def test_older_configuration_does_not_come_back(self) -> None:
        # Guards against a revoked key that is accepted again, and a route that
        # is gone, until the operator has written again.
        async with self.site(2) as (site, instances):
            copy = site.store.copy()
            site.write_configuration(
                tenants=[{"name": "elm", "apiKeys": ["new"]}]
            )
            for instance in instances:
                await self.until(lambda i=instance: i.version == site.version)
            await self.restore(site, copy, rewritten=())
            await anyio.sleep(1.0)
            for instance in instances:
                answer = await self.ask(instance, "/confirm/x")
                self.assertNotEqual(answer.status, 200)

    async def test_instance_that_starts_gets_the_newer_configuration(
        self,
    ) -> None:
        # Guards against an old configuration at an instance that starts after
        # the return, while the others hold the one that the store has lost.
        async with self.site(1) as (site, (first,)):
            copy = await self.lose_changes(site, [first])
            await self.restore(site, copy, rewritten=())
            await self.until(lambda: not first._store_state.lost)
            async with anyio.create_task_group() as group:
                second = await self.start(group, site, "edge-2")
                second.add_peer_address(first.boot.peers)
                await self.until(lambda: second.ready)
                await self.assert_applied(site, [second])
                group.cancel_scope.cancel()

    async def test_servers_after_the_return(self) -> None:
        # Guards against servers that are not used, or used on, since their
        # rows have versions that were given out before.
        async with self.site(2) as (site, instances):
            copy = await self.lose_changes(site, instances)
            await self.restore(site, copy)
            await site.add_server("plain-3", PLAIN_BACKEND)
            site.write_server_row("plain-1", PLAIN_BACKEND, "draining")
            for instance in instances:
                with anyio.fail_after(CHANGE_S):
                    while set(
                        instance.registry.server_ids_of(PLAIN_BACKEND)
                    ) != {
                        "plain-2",
                        "plain-3",
                    }:
                        await anyio.sleep(0.01)

    async def test_server_that_left_in_the_lost_seconds(self) -> None:
        # Guards against requests to a server that said it leaves, since the
        # store came back with its row of before.
        async with self.site(2) as (site, instances):
            copy = site.store.copy()
            site.write_server_row("plain-1", PLAIN_BACKEND, "draining")
            for instance in instances:
                await self.until(
                    lambda i=instance: (
                        i.registry.server_ids_of(PLAIN_BACKEND) == ("plain-2",)
                    )
                )
            await self.restore(site, copy, rewritten=())
            before = len(site.servers["plain-1"].arrival_times)
            for number in range(20):
                for instance in instances:
                    await self.ask(instance, "/confirm/x", attempt=f"r{number}")
                await anyio.sleep(0.1)
            self.assertEqual(len(site.servers["plain-1"].arrival_times), before)

    async def test_server_whose_row_was_lost_stays_in_use(self) -> None:
        # Guards against an empty service while servers write their rows again.
        async with self.site(2) as (site, instances):
            copy = site.store.copy()
            await site.add_server("plain-3", PLAIN_BACKEND)
            for instance in instances:
                await self.until(
                    lambda i=instance: (
                        "plain-3" in i.registry.server_ids_of(PLAIN_BACKEND)
                    )
                )
            await self.restore(site, copy, rewritten=())
            with anyio.move_on_after(1.0):
                while True:
                    for instance in instances:
                        self.assertIn(
                            "plain-3",
                            instance.registry.server_ids_of(PLAIN_BACKEND),
                        )
                    await anyio.sleep(0.05)

    async def test_instances_write_their_rows_again(self) -> None:
        # Guards against instances that a new one does not find.
        async with self.site(2) as (site, instances):
            table = "jasminerelay_instances"
            await self.until(lambda: len(site.store.keys(table)) == 2)
            site.store.delete(table, instances[0].boot.ip)
            copy = site.store.copy()
            await self.restore(site, copy)
            await self.until(lambda: len(site.store.keys(table)) == 2)


class RestoredRowsTest(unittest.TestCase):
    """Servers' rows after the store has come back, without I/O."""

    def setUp(self) -> None:
        self.registry = registry()
        self.registry.apply_full_read([row(1), row(2, "b")], 2)
        self.registry.mark_store_reachable(0.0)
        self.registry.expire(100.0)

    def return_with(self, *rows: ServerRow) -> list:
        """Applies a full read in a new era, whose versions start again."""
        version = storeversion.make(1, 2)
        return self.registry.apply_full_read(
            [
                msgspec.structs.replace(
                    item, version=storeversion.make(1, item.version)
                )
                for item in rows
            ],
            version,
        )

    def usable(self) -> set[str]:
        """Returns the names of the servers that get requests."""
        return {server.name for server in self.registry.servers_of(POOL)}

    def test_missing_row_is_kept(self) -> None:
        # Guards against an empty service until living servers write again.
        self.return_with(row(1))
        self.assertEqual(self.usable(), {"a", "b"})
        self.registry.expire(100.0)
        self.registry.expire(100.0 + RETURN_GRACE_S + 0.1)
        self.assertEqual(self.usable(), {"a"})

    def test_row_of_a_server_that_was_gone(self) -> None:
        # Guards against requests to a server that left in the lost seconds.
        self.registry.apply_changes([ServerRow("b", 3, None)], 3)
        self.return_with(row(1), row(2, "b"))
        self.assertEqual(self.usable(), {"a"})
        self.registry.expire(100.0)
        self.registry.expire(100.0 + RESTORED_ROW_GRACE_S + 0.1)
        self.assertEqual(self.usable(), {"a", "b"})

    def test_row_written_again_is_used_at_once(self) -> None:
        self.registry.apply_changes([ServerRow("b", 3, None)], 3)
        self.return_with(row(1), row(2, "b"))
        version = storeversion.make(1, 3)
        self.registry.apply_changes([row(version, "b")], version)
        self.assertEqual(self.usable(), {"a", "b"})

    def test_late_answer_of_the_former_era(self) -> None:
        # Guards against rows of before the return that arrive after it.
        self.return_with(row(1), row(2, "b"))
        self.registry.apply_changes([row(9, "c"), ServerRow("b", 9, None)], 9)
        self.assertEqual(self.usable(), {"a", "b"})

    def test_instances_of_the_version_before(self) -> None:
        # Guards against an instance without eras whose versions of before the
        # return count as newer than all that the store accepts for a while.
        former = Registry(decoding.catalog, decoding.server)
        former.apply_full_read([row(1), row(40, "gone")], 40)
        self.return_with(row(1), row(2, "b"))
        without_eras = {"era": -1, "catalog": -1}
        standing = msgspec.structs.replace(former.standing, **without_eras)
        self.assertFalse(self.registry.is_behind(standing))
        self.assertFalse(self.registry.shares_era_with(standing))
        snapshot = msgspec.structs.replace(
            former.export_snapshot(), servers_era=-1, configuration_era=-1
        )
        self.registry.merge_snapshot(snapshot)
        self.assertEqual(self.usable(), {"a", "b"})

    def test_both_versions_agree_until_the_store_returns(self) -> None:
        # Guards against instances that ignore each other in a rolling update.
        other = Registry(decoding.catalog, decoding.server)
        other.apply_full_read([row(1), row(3, "c")], 3)
        standing = msgspec.structs.replace(other.standing, era=-1, catalog=-1)
        self.assertTrue(self.registry.is_behind(standing))
        snapshot = msgspec.structs.replace(
            other.export_snapshot(), servers_era=-1, configuration_era=-1
        )
        self.registry.merge_snapshot(snapshot)
        self.assertIn("c", self.usable())
        self.assertEqual(self.registry.standing.servers_version, 3)


if __name__ == "__main__":
    unittest.main()
