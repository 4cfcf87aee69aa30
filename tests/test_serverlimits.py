"""Limits that servers name, as instances keep them together.

Run with more seeds by hand: `python -m tests.test_serverlimits 200 6`.
"""

import random
import sys
import unittest
import unittest.mock

from jasminerelay import limitwatch, rendezvous, serverlimits
from jasminerelay.platform.headers import PlatformDialect
from jasminerelay.schema.messages import (
    LimitAsk,
    LimitWord,
    Member,
    NamedLimit,
)
from jasminerelay.serverlimits import NO_LIMIT, Allowance, Lender
from tests import virtualtime
from tests.instanceworld import Quiet
from tests.limitworld import SPAN_S, World

SEEDS = 8
RATES = (1.0, 2.4, 3.7, 20.0)
USED_SHARE = 0.7
"""Part of a limit that must be used while there is work for all of it."""


class AllowanceTest(unittest.TestCase):
    """What one instance knows, and may send."""

    def setUp(self) -> None:
        self.allowance = Allowance()

    def test_grant_is_for_one_request_and_a_moment(self) -> None:
        self.allowance.named("s", 2.0, 0.0)
        self.allowance.lend("s", 1, trial=False, now=1.0)
        self.assertTrue(self.allowance.may_send("s", 1.1))
        self.allowance.spend("s", 1.1)
        self.assertFalse(self.allowance.may_send("s", 1.1))
        self.allowance.lend("s", 1, trial=False, now=2.0)
        late = 2.0 + serverlimits.GRANT_LIFE_S
        self.assertFalse(self.allowance.may_send("s", late))

    def test_older_word_changes_nothing(self) -> None:
        # Guards against a late word that brings back a limit which has ended,
        # or ends one.
        self.allowance.named("s", 2.0, 5.0)
        self.assertFalse(self.allowance.named("s", NO_LIMIT, 4.0))
        self.assertTrue(self.allowance.limited("s"))
        self.assertTrue(self.allowance.named("s", NO_LIMIT, 6.0))
        self.assertFalse(self.allowance.named("s", 2.0, 5.5))
        self.assertFalse(self.allowance.limited("s"))

    def test_same_limit_is_no_news(self) -> None:
        # Guards against a word to all for each answer.
        self.assertTrue(self.allowance.named("s", 2.0, 1.0))
        self.assertFalse(self.allowance.named("s", 2.0, 2.0))
        self.assertFalse(self.allowance.named("other", NO_LIMIT, 2.0))

    def test_new_start_has_none(self) -> None:
        self.allowance.named("s", 2.0, 1.0)
        self.allowance.forget("s")
        self.assertTrue(self.allowance.may_send("s", 1.0))


class LenderTest(unittest.TestCase):
    """A server's home."""

    def lent(self, lender: Lender, rate: float, seconds: float) -> int:
        """Returns what is lent while someone always asks."""
        count = 0
        for step in range(int(seconds / 0.05)):
            now = step * 0.05
            lender.ask("n", 0, 5, now)
            lender.refill(rate, now)
            count += sum(lender.grants(now).values())
        return count

    def test_new_home_has_nothing_to_lend(self) -> None:
        # Guards against twice the rate where a home follows another.
        lender = Lender(0.0)
        lender.ask("n", 0, 5, 0.0)
        lender.refill(5.0, 0.0)
        self.assertEqual(lender.grants(0.0), {})

    def test_lends_at_the_rate(self) -> None:
        for rate in RATES:
            lent = self.lent(Lender(0.0), rate, 20.0)
            self.assertLessEqual(lent, rate * 20.0)
            self.assertGreater(lent, 0.9 * rate * 20.0 - 1)

    def test_nothing_is_saved_up(self) -> None:
        lender = Lender(0.0)
        lender.refill(4.0, 60.0)
        lender.ask("n", 0, 50, 60.0)
        self.assertEqual(sum(lender.grants(60.0).values()), 1)

    def test_first_rank_first_then_in_turn(self) -> None:
        lender = Lender(0.0)
        got = []
        for second in (1.0, 2.0, 3.0):
            lender.ask("late", 2, 1, second)
            lender.ask("b", 1, 1, second)
            lender.ask("a", 1, 1, second)
            lender.refill(1.0, second)
            got += lender.grants(second)
        self.assertEqual(sorted(got[:2]), ["a", "b"])
        self.assertNotIn("late", got)

    def test_zero_lends_nothing_but_a_late_trial(self) -> None:
        lender = Lender(0.0)
        self.assertEqual(self.lent(lender, 0.0, 10.0), 0)
        self.assertFalse(lender.trial_due(serverlimits.TRIAL_AFTER_S))
        self.assertTrue(lender.trial_due(serverlimits.TRIAL_AT_LAST_S))


class ShareTest(unittest.TestCase):
    """What homes lend that cannot reach each other."""

    RATE = 20.0
    SECONDS = 8.0

    def test_two_sides_of_a_cut(self) -> None:
        # Guards against two homes, one on each side, that both lend all.
        names = [f"n{number}" for number in range(8)]
        lent = 0
        for side in (names[:5], names[5:]):
            lent += self.lent_on(side, names)
        self.assertLessEqual(lent, self.RATE * self.SECONDS + 2)
        self.assertGreater(lent, 0.8 * self.RATE * self.SECONDS)

    def lent_on(self, side: list[str], names: list[str]) -> int:
        """Returns what the home of one side lends to who asks there."""
        home = rendezvous.owner("s", side)
        watch = limitwatch.LimitWatch(
            home, lambda server: True, Quiet(), Quiet(), random.Random(1)
        )
        granted = []
        watch.send = lambda to, word: granted.extend(word.grants)
        watch.allowance.named("s", self.RATE, 0.0)
        asker = next(name for name in side if name != home)
        members = [
            Member(name, "", "", "", "", name, "alive", 0) for name in side
        ]
        for step in range(int(self.SECONDS / limitwatch.TICK_S)):
            now = step * limitwatch.TICK_S
            watch.saw_instances(members, len(names), now)
            watch.tick(now)
            word = LimitWord(asker, [], [LimitAsk("s", 0, 3)], [])
            with unittest.mock.patch.object(
                limitwatch.time, "monotonic", lambda now=now: now
            ):
                watch.hear(word)
        return sum(grant.count for grant in granted)


class HomeTest(unittest.TestCase):
    """Which instance lends a server's grants."""

    def test_leaving_instance_lends_nothing(self) -> None:
        # Guards against twice the rate while an instance is stopped: the
        # others take the next one for the home.
        watch = limitwatch.LimitWatch(
            "n0", lambda server: True, Quiet(), Quiet(), random.Random(1)
        )
        others = [
            Member(name, "", "", "", "", name, "alive", 0)
            for name in ("n1", "n2")
        ]
        sent = []
        watch.send = lambda to, word: sent.extend(word.grants)
        for number in range(8):
            watch.allowance.named(f"s{number}", 100.0, 0.0)
        for step in range(40):
            now = step * limitwatch.TICK_S
            watch.saw_instances(others, 3, now)
            for number in range(8):
                watch.allowance.want(f"s{number}", 0, now)
            watch.tick(now)
        self.assertEqual(sent, [])
        for number in range(8):
            self.assertFalse(watch.allowance.may_send(f"s{number}", 2.0))


class GoneTest(unittest.TestCase):
    """Servers that have ended."""

    def test_late_word_brings_no_limit_back(self) -> None:
        # Guards against limits of ended servers that instances tell each
        # other for good.
        servers = {"s"}
        watch = limitwatch.LimitWatch(
            "n", servers.__contains__, Quiet(), Quiet(), random.Random(1)
        )
        word = LimitWord("other", [NamedLimit("s", 2.0, 10)], [], [])
        watch.hear(word)
        self.assertTrue(watch.allowance)
        servers.clear()
        watch.gone("s")
        watch.hear(word)
        self.assertFalse(watch.allowance)


class FieldTest(unittest.TestCase):
    """The field in which a server names its limit."""

    def head(self, *values: bytes):
        """Returns the head of an answer with the field."""
        fields = [(b"Server-Limit", value) for value in values]
        return PlatformDialect().head(200, fields)

    def test_read_and_not_passed_back(self) -> None:
        head = self.head(b"2.4")
        self.assertEqual((head.limit, head.limit_fault), (2.4, ""))
        self.assertEqual(head.headers, ())
        self.assertIsNone(self.head().limit)

    def test_bad_values_are_no_limit_and_named(self) -> None:
        for value in (b"-1", b"nan", b"inf", b"1e99", b"many", b""):
            head = self.head(value)
            self.assertIsNone(head.limit, value)
            if value:
                self.assertEqual(head.limit_fault, value.decode())


class LimitModelTest(unittest.TestCase):
    """More work than the limits allow, at 6 and at 195 instances."""

    def play(self, seed: int, instances: int, **options) -> World:
        """Plays one seed and asserts what must hold whatever it is."""
        world = World(seed, instances, RATES, **options)
        virtualtime.run(world.run, (limitwatch,))
        for server in world.rates:
            self.assertLessEqual(world.most(server), world.allowed(server))
        self.assertEqual(world.limited_at_end, 0)
        return world

    def test_calm_day(self) -> None:
        for instances in (6, 30):
            with self.subTest(instances=instances):
                world = self.play(1, instances, faults=False)
                for server, rate in world.rates.items():
                    self.assertGreater(
                        world.most(server), USED_SHARE * rate * SPAN_S - 1
                    )

    def test_six_instances(self) -> None:
        # Guards against more than the limit while words are lost, and homes
        # are killed, cut off or start: two homes lend at once then.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(seed, 6)

    def test_195_instances(self) -> None:
        self.play(2, 195, ended_at=9.0)


def main() -> None:
    """Plays many seeds: the count, then how many instances."""
    seeds, instances = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    most: dict[str, int] = {}
    for seed in range(seeds):
        world = World(seed, instances, RATES)
        virtualtime.run(world.run, (limitwatch,))
        for server in world.rates:
            most[server] = max(most.get(server, 0), world.most(server))
            if world.most(server) > world.allowed(server):
                bad.append((seed, server, world.most(server)))
        if world.limited_at_end:
            bad.append((seed, "limited at the end", world.limited_at_end))
    allowed = {server: world.allowed(server) for server in world.rates}
    print(f"{seeds} seeds, {instances} instances: {len(bad)} bad {bad[:8]}")
    print(f"most in {SPAN_S} s {most}, allowed {allowed}")


if __name__ == "__main__":
    main()
