"""How long instances hold an old configuration, and refuse by it.

The programs' own followers, ages and judgements of others run in virtual time,
see `versionworld`.
"""

import dataclasses
import unittest

import anyio

from jasminerelay import followers, following
from tests import virtualtime
from tests.versionworld import (
    OWN_S,
    PROMISED_S,
    World,
    now,
)

SEEDS = range(1, 13)


class StaleVersionsTest(unittest.TestCase):
    """How long an instance may hold an old configuration."""

    def play(self, seeds, count: int) -> None:
        """Plays seeds with so many instances."""
        for seed in seeds:
            with self.subTest(seed=seed, count=count):
                world = World(self, seed, count)
                virtualtime.run(world.run, (following, followers))

    def test_few_instances(self) -> None:
        # A caller is told "not found" for a route that the operator added, or
        # is served by routes that the operator changed. The store falls
        # silent with calls in it and closes nothing; ways to it close, zones
        # part, the leading instance is replaced. Whoever the store answers
        # must know a change in two seconds, by its own call or another's
        # word, and nobody may refuse for good by what is older.
        self.play(SEEDS, 6)

    def test_many_instances(self) -> None:
        # The same where three of each zone follow the store for the others.
        # They may all hang in silent calls and still say that they have it.
        self.play(SEEDS[:3], 30)


class BoundTest(unittest.TestCase):
    """The bound in each case that leaves an instance without news."""

    def play(self, story, count: int = 6) -> None:
        """Plays a story on which every step is checked as above."""
        for seed in SEEDS[:3]:
            with self.subTest(seed=seed):
                world = World(self, seed, count, story)
                virtualtime.run(world.run, (following, followers))

    def assert_known(self, world: World, nodes) -> None:
        """Asserts that instances have the newest configuration."""
        for node in nodes:
            self.assertEqual(node.version, world.store.configuration, node.name)

    def cut(self, world: World, nodes) -> None:
        """Lets instances' ways to the store fall silent."""
        for node in nodes:
            world.silence(node)
            node.refused = False
            node.linked = False

    def test_own_waiting_call_is_silent(self) -> None:
        # One instance's calls hang and none of them fails at first; the
        # store serves the others. Their word must bring it the change in the
        # time that was promised.
        async def story(world: World) -> None:
            for node in list(world.nodes.values()):
                self.cut(world, [node])
                world.store.configure()
                await anyio.sleep(PROMISED_S)
                self.assert_known(world, world.nodes.values())
                node.linked, node.linked_since = True, now()
                await anyio.sleep(OWN_S)

        self.play(story)

    def test_zone_is_cut_off(self) -> None:
        # A zone hears nothing from the others, the leading instance among
        # them, and its waiting calls hang. The store answers new calls, so it
        # must know a change in time by them.
        async def story(world: World) -> None:
            leader = next(n for n in world.nodes.values() if n.followers.leads)
            zones = {n.member.zone for n in world.nodes.values()}
            zone = min(zones - {leader.member.zone})
            part = [n for n in world.nodes.values() if n.member.zone == zone]
            for node in part:
                world.silence(node)
                node.part, node.joined = 1, now()
            world.store.configure()
            await anyio.sleep(PROMISED_S)
            self.assert_known(world, world.nodes.values())

        self.play(story)
        self.play(story, 30)

    def test_zone_is_cut_off_from_all(self) -> None:
        # The zone has neither the store nor the others. It cannot know the
        # change; it must not refuse for good by what it knows.
        async def story(world: World) -> None:
            part = [n for n in world.nodes.values() if n.member.zone == "z1"]
            self.cut(world, part)
            for node in part:
                node.part, node.joined = 1, now()
            await anyio.sleep(PROMISED_S)
            self.assertFalse(any(node.current for node in part))
            world.store.configure()
            await anyio.sleep(PROMISED_S)
            for node in part:
                node.part, node.joined = 0, now()
                node.linked, node.linked_since = True, now()
            await anyio.sleep(OWN_S)
            self.assert_known(world, world.nodes.values())
            self.assertTrue(all(node.current for node in part))

        self.play(story)
        self.play(story, 30)

    def test_followers_hang_silently(self) -> None:
        # The three that follow the store for a zone hang in silent calls and
        # say that they have it, until one of their calls is given up. Those
        # that they tell of changes must know this one in time.
        async def story(world: World) -> None:
            group = [n for n in world.nodes.values() if n.member.zone == "z1"]
            names = followers.followers_of_zone(
                "z1", [node.name for node in group]
            )
            self.cut(world, [world.nodes[name] for name in names])
            world.store.configure()
            await anyio.sleep(PROMISED_S)
            self.assert_known(world, world.nodes.values())

        self.play(story, 30)

    def test_starts_in_the_outage(self) -> None:
        # An instance starts while the store is silent and takes the others'
        # configuration. Like them it must not refuse for good by it, and
        # must know the change that ends the outage in time.
        async def story(world: World) -> None:
            for node in world.nodes.values():
                world.silence(node)
            world.store.up = False
            await anyio.sleep(PROMISED_S)
            fresh = world.start("z1")
            await anyio.sleep(PROMISED_S)
            self.assertTrue(fresh.version)
            self.assertFalse(fresh.current)
            world.store.up, world.store.up_since = True, now()
            world.store.configure()
            await anyio.sleep(OWN_S)
            self.assert_known(world, world.nodes.values())
            self.assertTrue(fresh.current)

        self.play(story)

    def test_thaws_in_the_outage(self) -> None:
        # An instance stands still while the store changes and falls silent.
        # When it goes on it reads what the others sent at the beginning, all
        # of it before it could ask anyone: none of that is proof.
        async def story(world: World) -> None:
            node = next(iter(world.nodes.values()))
            other = list(world.nodes.values())[-1]
            old = dataclasses.replace(other.registry.standing, age_ms=100)
            self.cut(world, [node])
            node.scope.cancel()
            await anyio.sleep(PROMISED_S)
            node.hear(other, old)
            self.assertFalse(node.current)

        self.play(story)


if __name__ == "__main__":
    unittest.main()
