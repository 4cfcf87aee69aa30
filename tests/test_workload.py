"""What is under way, and what servers are known to do."""

import random
import unittest

from jasminerelay.lengths import Lengths
from jasminerelay.pace import LEAST_TIMES, PaceBook
from jasminerelay.schema.messages import ServerLoad
from jasminerelay.sharedbudget import SharedBudget
from jasminerelay.silences import Silences
from jasminerelay.stopping import Stop
from jasminerelay.workload import (
    PEER_WORD_LIFE_S,
    Load,
    Workload,
)


class WorkloadTest(unittest.TestCase):
    """The ledger of what is under way."""

    def test_sums_all_instances(self) -> None:
        own, other = Workload(), Workload()
        run = own.start("a", 100, 200)
        other.start("a", 50, 60)
        own.hear("other", 1, other.own(), 0.0)
        self.assertEqual(own.load("a"), Load(150, 2, 260))
        run.read()
        run.end()
        run.end()
        self.assertEqual(own.load("a"), Load(50, 1, 60))

    def test_late_word_is_passed_over(self) -> None:
        own, other = Workload(), Workload()
        first = other.own()
        other.start("a", 50, 60)
        own.hear("other", 2, other.own(), 0.0)
        own.hear("other", 1, first, 0.0)
        self.assertEqual(own.load("a").running, 1)

    def test_sum_stays_right(self) -> None:
        # The sum is kept up by differences over many words of many
        # instances, some of which fall silent.
        rng = random.Random(9)
        workload = Workload()
        words: dict[str, tuple[float, dict[str, int]]] = {}
        for number in range(1, 400):
            now = number / 20
            name = f"peer-{rng.randrange(12)}"
            loads = {f"s{rng.randrange(5)}": rng.randrange(1, 9)}
            words[name] = (now, loads)
            workload.hear(
                name,
                number,
                [ServerLoad(s, n, n, n) for s, n in loads.items()],
                now,
            )
            workload.expire(now)
            for server in ("s0", "s1", "s2", "s3", "s4"):
                wanted = sum(
                    held.get(server, 0)
                    for heard, held in words.values()
                    if now - heard <= PEER_WORD_LIFE_S
                )
                self.assertEqual(workload.load(server).running, wanted)

    def test_dead_instance_is_forgotten(self) -> None:
        own, other = Workload(), Workload()
        other.start("a", 50, 60)
        own.hear("other", 1, other.own(), 0.0)
        own.expire(PEER_WORD_LIFE_S + 0.1)
        self.assertEqual(own.load("a").running, 0)


class SharedBudgetTest(unittest.TestCase):
    """Repeats over all instances."""

    def test_every_server_fails(self) -> None:
        # Each request asks for a repeat at each of seven instances, for a
        # minute and with callers that come back at once. In no span do the
        # repeats of all instances exceed the bound.
        ratio, allowance, window_s = 0.2, 52.0, 10.0
        rng = random.Random(3)
        budgets = [SharedBudget(ratio, allowance, window_s) for _ in range(7)]
        requests: list[float] = []
        repeats: list[float] = []
        now = 0.0
        while now < 60.0:
            now += 0.01
            budget = rng.choice(budgets)
            budget.saw_instances(7, now)
            budget.requested("s", now)
            requests.append(now)
            if budget.spend("s", now):
                repeats.append(now)
        for end in range(10, 60):
            span = [t for t in repeats if end - window_s < t <= end]
            count = len([t for t in requests if end - window_s < t <= end])
            self.assertLessEqual(len(span), ratio * count + allowance)
        self.assertGreater(len(repeats), 60)

    def test_remembers_one_window(self) -> None:
        # Requests of a whole day are not kept where no repeat is ever asked.
        budget = SharedBudget(0.2, 52.0, 10.0)
        for number in range(100_000):
            budget.requested("s", number / 100)
        self.assertLessEqual(len(budget._requests["s"]), 1001)

    def test_partition_does_not_double_it(self) -> None:
        # Half of the instances lose sight of the others. The allowance was
        # dealt by the number known before and is not dealt anew at once.
        budget = SharedBudget(0.0, 60.0, 10.0)
        budget.saw_instances(6, 0.0)
        budget.saw_instances(3, 1.0)
        spent = sum(budget.spend("s", 1.0) for _ in range(100))
        self.assertLessEqual(spent, 60 / 6)


class StopTest(unittest.TestCase):
    """The course of a planned stop."""

    def test_takes_what_can_end(self) -> None:
        stop = Stop(0.0, 8.0)
        self.assertTrue(stop.takes(15.0, 1.0))
        self.assertFalse(stop.takes(15.0, 3.8))
        self.assertTrue(stop.takes(2.0, 4.0))
        self.assertFalse(stop.takes(2.0, 6.0))

    def test_ends_before_it_is_killed(self) -> None:
        stop = Stop(0.0, 8.0)
        self.assertFalse(stop.over(0, 2.0))
        self.assertTrue(stop.over(0, 6.5))
        self.assertFalse(stop.over(3, 6.5))
        self.assertTrue(stop.over(3, 7.5))


class PaceTest(unittest.TestCase):
    """Engines' paces as seen in passing streams."""

    def test_follows_and_forgets(self) -> None:
        book = PaceBook()
        for step in range(50):
            book.observe("a", 5, 0.1, step * 0.1)
        self.assertAlmostEqual(book.token_s("a", 5.0), 0.02)
        self.assertIsNone(book.token_s("a", 60.0))

    def test_slow_among_alike(self) -> None:
        book = PaceBook()
        for name, seconds in (("a", 0.02), ("b", 0.02), ("c", 0.1)):
            book.observe(name, 5, seconds, 0.0)
        self.assertGreater(book.slowness("c", "abc", 0.1), 2.0)
        self.assertEqual(book.slowness("a", "abc", 0.1), 1.0)

    def test_undisturbed(self) -> None:
        # Every third token waits for a chunk of somebody's prompt. What the
        # engine needs for a token itself shows in the others.
        book = PaceBook()
        for step in range(30):
            book.observe("a", 1, 0.04 if step % 3 == 0 else 0.005, step * 0.1)
        self.assertAlmostEqual(book.undisturbed_s("a"), 0.005)
        # Asked again, it has seen nothing since.
        self.assertIsNone(book.undisturbed_s("a"))

    def test_few_tokens_tell_nothing(self) -> None:
        book = PaceBook()
        for step in range(LEAST_TIMES - 1):
            book.observe("a", 1, 0.005, step * 0.1)
        self.assertIsNone(book.undisturbed_s("a"))


class LengthsTest(unittest.TestCase):
    """Expected lengths of answers."""

    def test_blend_beats_the_guess(self) -> None:
        # Guesses are off by a factor that is right at the median.
        rng = random.Random(5)
        lengths = Lengths()
        blended = alone = 0.0
        for _ in range(400):
            real = max(1, round(rng.lognormvariate(5.5, 0.4)))
            guess = max(1, round(real * rng.lognormvariate(0.0, 0.8)))
            expected = lengths.expect("k", guess, 5000)
            blended += abs(expected - real) / real
            alone += abs(guess - real) / real
            lengths.observe("k", real)
        self.assertLess(blended, 0.6 * alone)

    def test_bounds(self) -> None:
        lengths = Lengths()
        self.assertEqual(lengths.expect("k", 5000, 100), 100)
        self.assertGreaterEqual(lengths.expect("k", None, 1), 1)


class SilencesTest(unittest.TestCase):
    """Servers that fall silent without a reset."""

    def test_dark_server(self) -> None:
        # A server loses power in the middle of three streams. Requests that
        # were sent there wait in vain; those that come later go elsewhere
        # but for one in a while, and after a word all go there again.
        silences = Silences()
        silences.sent("s", idle=True, now=0.0)
        for at in (0.2, 0.4):
            silences.heard("s", at)
            silences.sent("s", idle=False, now=at)
        self.assertFalse(silences.silent("s", 3, 1.1))
        self.assertTrue(silences.silent("s", 3, 1.3))
        self.assertFalse(silences.silent("s", 3, 2.5))
        silences.sent("s", idle=False, now=2.5)
        self.assertTrue(silences.silent("s", 4, 2.6))
        silences.heard("s", 2.7)
        self.assertFalse(silences.silent("s", 4, 2.8))

    def test_idle_server_is_not_silent(self) -> None:
        silences = Silences()
        silences.sent("s", idle=True, now=0.0)
        silences.heard("s", 0.1)
        self.assertFalse(silences.silent("s", 0, 100.0))
        silences.sent("s", idle=True, now=100.0)
        self.assertFalse(silences.silent("s", 1, 100.5))


if __name__ == "__main__":
    unittest.main()
