"""Requests under which servers end, as instances learn of them together.

Run with more seeds by hand: `python -m tests.test_crashes 400 6`.
"""

import itertools
import random
import sys
import types
import unittest

import anyio
import hypothesis
import hypothesis.strategies as st

from jasminerelay import crashes, crashwatch
from jasminerelay.catalog import BackendServer
from jasminerelay.crashes import BLOCKED_ENDS, MAX_RECORDS, CrashLedger
from jasminerelay.crashwatch import CrashWatch
from tests import virtualtime
from tests.crashworld import SERVICE, World, call
from tests.instanceworld import Quiet

SEEDS = 12
MOST_LATE = 3
"""Sends that instances in touch may make after the third end at most, later
than word of it takes to reach them."""

SERVERS = ("s1", "s2", "s3", "s4", "s5")


class CrashLedgerTest(unittest.TestCase):
    """What ends say of requests."""

    def setUp(self) -> None:
        self.ledger = CrashLedger()

    def end(self, server: str, *requests: str, at: float = 0.0) -> None:
        """Ends a server under some requests."""
        for name in requests:
            self.ledger.ended(name, server, at)

    def test_third_end_blocks(self) -> None:
        self.end("s1", "guilty")
        self.end("s2", "guilty")
        self.assertFalse(self.ledger.blocked("guilty"))
        self.end("s3", "guilty")
        self.assertTrue(self.ledger.blocked("guilty"))

    def test_one_end_counts_once_however_often_it_is_told(self) -> None:
        for _ in range(BLOCKED_ENDS + 1):
            self.end("s1", "innocent")
        self.assertFalse(self.ledger.suspect("innocent"))

    def test_whole_run_clears(self) -> None:
        for server in SERVERS[:3]:
            self.end(server, "popular", at=1.0)
        self.ledger.survived("popular", 2.0)
        self.assertFalse(self.ledger.blocked("popular"))

    def test_whole_run_before_an_end_clears_nothing_later(self) -> None:
        self.ledger.survived("guilty", 1.0)
        for server in SERVERS[:3]:
            self.end(server, "guilty", at=2.0)
        self.assertTrue(self.ledger.blocked("guilty"))

    def test_ends_that_the_guilty_one_explains_are_let_go(self) -> None:
        # Guards against innocent requests refused for good since they ran
        # beside the guilty one, again after each repeat.
        self.end("s1", "guilty", "first", "second")
        self.end("s2", "guilty", "first", "third")
        self.end("s3", "guilty", "first", "second", "third")
        self.end("s4", "guilty", "second", "third")
        self.assertEqual(self.ledger.all_blocked, {"guilty"})

    def test_two_guilty_ones(self) -> None:
        for server in SERVERS[:3]:
            self.end(server, "guilty")
        for server in SERVERS[2:]:
            self.end(server, "other")
        self.assertEqual(self.ledger.all_blocked, {"guilty", "other"})
        # One that has ended more servers lets none of the two go.
        self.end("s6", "other")
        self.assertEqual(self.ledger.all_blocked, {"guilty", "other"})

    def test_ends_of_another_day_count_no_more(self) -> None:
        for server in SERVERS[:3]:
            self.end(server, "guilty")
        self.ledger.expire(crashes.KEEP_S)
        self.assertFalse(self.ledger.blocked("guilty"))
        self.assertEqual(len(self.ledger), 0)

    def test_many_different_requests_take_bounded_memory(self) -> None:
        # Guards against a caller who makes the table grow without end, or
        # pushes a blocked request out of it.
        for server in SERVERS[:3]:
            self.end(server, "guilty")
        for number in range(MAX_RECORDS + 100):
            self.end("s9", f"r{number}")
        self.assertLessEqual(len(self.ledger), MAX_RECORDS)
        self.assertTrue(self.ledger.blocked("guilty"))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(("a", "b", "c")), st.sampled_from(SERVERS)
            ),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_and_repeats_of_words_change_nothing(self, ends, rng):
        words = []
        for name, server in ends:
            source = CrashLedger()
            source.ended(name, server, 1.0)
            words.append(source.word(name, 2.0))
        told = [*words, *words]
        rng.shuffle(told)
        other = CrashLedger()
        for word in words:
            self.ledger.hear(word, 2.0)
        for word in told:
            other.hear(word, 2.0)
        self.assertEqual(self.ledger.all_blocked, other.all_blocked)
        self.ledger = CrashLedger()

    @hypothesis.given(
        st.lists(
            st.sets(st.sampled_from([f"i{n}" for n in range(8)])),
            min_size=4,
            max_size=4,
        )
    )
    def test_one_more_end_settles_a_tie(self, beside) -> None:
        # Whoever ran beside the guilty one at its first three ends, it is
        # blocked with the fourth, and no other request is but one that was
        # there at all four.
        ledger = CrashLedger()
        for server, names in zip(SERVERS, beside, strict=False):
            for name in (*sorted(names), "guilty"):
                ledger.ended(name, server, 0.0)
        always = set.intersection(*beside)
        self.assertLessEqual(ledger.all_blocked, always | {"guilty"})
        if not always:
            self.assertEqual(ledger.all_blocked, {"guilty"})


class ProbeTest(unittest.TestCase):
    """How an instance finds that a server has ended."""

    def look(self, refuses_at: float | None) -> CrashWatch:
        """Loses a run; returns the watch a second later.

        Args:
            refuses_at: Time from which on the server refuses connections;
                None for never.
        """
        server = BackendServer("s", SERVICE, "s", "", 8, draining=False)
        registry = types.SimpleNamespace(server=lambda name: server)
        quiet = Quiet()

        async def refuses(address: str) -> bool:
            return refuses_at is not None and (
                anyio.current_time() >= refuses_at
            )

        watch = CrashWatch(
            "n", registry, quiet, quiet, random.Random(1), refuses
        )

        async def play() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(watch.run, no_rows, no_rows, lambda: False)
                await anyio.sleep(0.001)
                await watch.lost(call(b"x"), server)
                self.assertLess(anyio.current_time(), 0.05)
                await anyio.sleep(1.0)
                group.cancel_scope.cancel()

        virtualtime.run(play, (crashwatch,))
        return watch

    def test_refuses_at_once(self) -> None:
        self.assertEqual(len(self.look(0.0).ledger), 1)

    def test_refuses_a_moment_later(self) -> None:
        # Guards against ends that go unseen, since a server drops what it has
        # before it stops listening.
        self.assertEqual(len(self.look(0.03).ledger), 1)

    def test_lives_on(self) -> None:
        # A living server's request is repeated at once, and counts no end.
        self.assertEqual(len(self.look(None).ledger), 0)


async def no_rows(*words: object) -> list:
    """Stands for a store without rows."""
    return []


class CrashModelTest(unittest.TestCase):
    """One guilty request beside many others, at 6 and at 195 instances."""

    def play(self, seed: int, instances: int, *, faults: bool = True) -> World:
        """Plays one seed; returns the world after it."""
        world = World(seed, instances, faults=faults)
        virtualtime.run(world.run, (crashwatch,))
        return world

    def check(self, world: World) -> None:
        """Asserts what must hold whatever the seed."""
        self.assertGreaterEqual(len(world.ends), BLOCKED_ENDS)
        self.assertLessEqual(len(world.late), MOST_LATE)
        self.assertEqual(world.blocked_innocents, set())

    def test_calm_day(self) -> None:
        for instances, seed in itertools.product((6, 30), range(4)):
            with self.subTest(instances=instances, seed=seed):
                world = self.play(seed, instances, faults=False)
                self.check(world)
                self.assertEqual(world.late, [])

    def test_six_instances(self) -> None:
        # Guards against a third end that some never hear of: words lost,
        # homes killed or cut off, instances that start, all of them at once.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.check(self.play(seed, 6))

    def test_one_that_was_beside_the_guilty_one_at_each_run(self) -> None:
        # Guards against an innocent request that is blocked for a day: all of
        # its four runs were beside the guilty one, whose first two ends went
        # with the instances that had seen them.
        self.check(self.play(282, 6))

    def test_195_instances(self) -> None:
        self.check(self.play(1, 195))


def main() -> None:
    """Plays many seeds: the count, then how many instances."""
    seeds, instances = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    ends = []
    refused = 0
    for seed in range(seeds):
        world = World(seed, instances)
        virtualtime.run(world.run, (crashwatch,))
        ends.append(len(world.ends))
        refused += world.refused
        if len(world.late) > MOST_LATE or world.blocked_innocents:
            bad.append((seed, world.ends, world.late, world.blocked_innocents))
    print(f"{seeds} seeds, {instances} instances: {len(bad)} bad {bad[:5]}")
    print(f"ends {sorted(ends)}, innocents refused {refused}")


if __name__ == "__main__":
    main()
