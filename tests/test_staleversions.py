"""Tests of how long instances use an old configuration and refuse by it.

The real followers, ages and reports run in virtual time, see `versionworld`. A
final refusal is an answer such as "not found" that tells the caller not to
retry.
"""

import unittest

import anyio
import msgspec

from jasminerelay import followerroles, storefollowing
from tests import virtualtime
from tests.versionworld import (
    MAX_CHANGE_DELAY_S,
    MAX_DELAY_AFTER_RETURN_S,
    World,
    now,
)

SEEDS = range(1, 13)


class StaleVersionsTest(unittest.TestCase):
    """How long an instance may use an old configuration."""

    def simulate(self, seeds, count: int) -> None:
        """Simulates seeds with a number of instances."""
        for seed in seeds:
            with self.subTest(seed=seed, count=count):
                world = World(self, seed, count)
                virtualtime.run(world.run, (storefollowing, followerroles))

    def test_few_instances(self) -> None:
        # Guards against callers that get "not found" for a route that the
        # operator added, or are served by routes that the operator changed. The
        # store becomes unresponsive with calls in flight and closes no
        # connection; connections to it are cut, availability zones are
        # partitioned, the leading instance is replaced. An instance that the
        # store answers must have a change within two seconds, by its own call
        # or through another instance, and no instance may base a final refusal
        # on older data.
        self.simulate(SEEDS, 6)

    def test_many_instances(self) -> None:
        # The same where three instances of each zone follow the store for the
        # others. All three may hang in unanswered calls and still report that
        # they reach it.
        self.simulate(SEEDS[:3], 30)


class RestoredStoreTest(unittest.TestCase):
    """The same, where the store also comes back from older copies."""

    def simulate(self, seeds, count: int) -> None:
        """Simulates seeds with a number of instances."""
        for seed in seeds:
            with self.subTest(seed=seed, count=count):
                world = World(self, seed, count, restores=True)
                virtualtime.run(world.run, (storefollowing, followerroles))

    def test_few_instances(self) -> None:
        # Guards against changes that are passed over since their versions were
        # given out before, and against data of before the return that counts
        # as newer or as confirmed, at any instance and on any way.
        self.simulate(SEEDS, 6)

    def test_many_instances(self) -> None:
        # The same where most instances hear of the return from others.
        self.simulate(SEEDS[:2], 30)
        self.simulate(SEEDS[:1], 200)


class BoundTest(unittest.TestCase):
    """The bound in each case that leaves an instance without updates."""

    def simulate(self, scenario, count: int = 6) -> None:
        """Runs a scenario, with the checks above at every step."""
        for seed in SEEDS[:3]:
            with self.subTest(seed=seed):
                world = World(self, seed, count, scenario)
                virtualtime.run(world.run, (storefollowing, followerroles))

    def assert_newest_configuration(self, world: World, nodes) -> None:
        """Asserts that instances have the newest configuration."""
        for node in nodes:
            self.assertEqual(node.version, world.store.configuration, node.name)

    def disconnect(self, world: World, nodes) -> None:
        """Makes the instances' connections to the store unresponsive."""
        for node in nodes:
            world.leave_calls_unanswered(node)
            node.refused = False
            node.linked = False

    def test_own_waiting_call_is_unanswered(self) -> None:
        # One instance's calls hang and none of them fails at first; the store
        # serves the others. Their messages must bring it the change within the
        # guaranteed time.
        async def scenario(world: World) -> None:
            for node in list(world.nodes.values()):
                self.disconnect(world, [node])
                world.store.write_configuration()
                await anyio.sleep(MAX_CHANGE_DELAY_S)
                self.assert_newest_configuration(world, world.nodes.values())
                node.linked, node.linked_since = True, now()
                await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)

        self.simulate(scenario)

    def test_zone_is_cut_off(self) -> None:
        # A zone receives nothing from the others, including the leading
        # instance, and its waiting calls hang. The store answers new calls, so
        # the zone must get a change in time through them.
        async def scenario(world: World) -> None:
            leader = next(
                n for n in world.nodes.values() if n.followers.is_leader
            )
            zones = {n.member.zone for n in world.nodes.values()}
            zone = min(zones - {leader.member.zone})
            part = [n for n in world.nodes.values() if n.member.zone == zone]
            for node in part:
                world.leave_calls_unanswered(node)
                node.part, node.joined_at = 1, now()
            world.store.write_configuration()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            self.assert_newest_configuration(world, world.nodes.values())

        self.simulate(scenario)
        self.simulate(scenario, 30)

    def test_zone_is_cut_off_from_all(self) -> None:
        # The zone reaches neither the store nor the others. It cannot learn of
        # the change, so it must not base a final refusal on its data.
        async def scenario(world: World) -> None:
            part = [n for n in world.nodes.values() if n.member.zone == "z1"]
            self.disconnect(world, part)
            for node in part:
                node.part, node.joined_at = 1, now()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            self.assertFalse(any(node.configuration_confirmed for node in part))
            world.store.write_configuration()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            for node in part:
                node.part, node.joined_at = 0, now()
                node.linked, node.linked_since = True, now()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            self.assert_newest_configuration(world, world.nodes.values())
            self.assertTrue(all(node.configuration_confirmed for node in part))

        self.simulate(scenario)
        self.simulate(scenario, 30)

    def test_followers_hang_in_unanswered_calls(self) -> None:
        # The three followers of a zone hang in unanswered calls and report that
        # they reach the store, until one of their calls is aborted. The
        # instances to which they forward changes must get this one in time.
        async def scenario(world: World) -> None:
            group = [n for n in world.nodes.values() if n.member.zone == "z1"]
            names = followerroles.followers_of_zone(
                "z1", [node.name for node in group]
            )
            self.disconnect(world, [world.nodes[name] for name in names])
            world.store.write_configuration()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            self.assert_newest_configuration(world, world.nodes.values())

        self.simulate(scenario, 30)

    def test_starts_during_the_outage(self) -> None:
        # An instance starts while the store is unresponsive and fetches the
        # others' configuration. Like them it must not base a final refusal on
        # it, and must get the change that ends the outage in time.
        async def scenario(world: World) -> None:
            for node in world.nodes.values():
                world.leave_calls_unanswered(node)
            world.store.up = False
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            started_node = world.start("z1")
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            self.assertTrue(started_node.version)
            self.assertFalse(started_node.configuration_confirmed)
            world.store.up, world.store.up_since = True, now()
            world.store.write_configuration()
            await anyio.sleep(MAX_DELAY_AFTER_RETURN_S)
            self.assert_newest_configuration(world, world.nodes.values())
            self.assertTrue(started_node.configuration_confirmed)

        self.simulate(scenario)

    def test_resumes_during_the_outage(self) -> None:
        # An instance is stalled while the store changes and becomes
        # unresponsive. When it resumes it reads what the others sent at the
        # beginning, before it could ask any of them: none of those messages
        # confirms that its data is recent.
        async def scenario(world: World) -> None:
            node = next(iter(world.nodes.values()))
            other = list(world.nodes.values())[-1]
            old = msgspec.structs.replace(other.registry.standing, age_ms=100)
            self.disconnect(world, [node])
            node.scope.cancel()
            await anyio.sleep(MAX_CHANGE_DELAY_S)
            node.process_message(other, old)
            self.assertFalse(node.configuration_confirmed)

        self.simulate(scenario)


if __name__ == "__main__":
    unittest.main()
