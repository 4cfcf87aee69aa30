"""Counts of usage, and the clock that says in which window they fall."""

import unittest

from jasminerelay.trueclock import (
    STEP_KEPT_S,
    TrueClock,
    middle_skew_s,
)
from jasminerelay.usage import KEPT_WINDOWS, TOLD_FOR_S, OwnUsage, UsageLedger

WINDOW_S = 5.0


class OwnUsageTest(unittest.TestCase):
    """What one instance counts and tells."""

    def setUp(self) -> None:
        self.usage = OwnUsage(WINDOW_S)

    def test_windows_by_true_time(self) -> None:
        self.usage.began("elm", 9.99, 0.0)
        self.usage.began("elm", 10.0, 0.0)
        told = self.usage.told(0.0, anew=True)
        found = [(item.number, item.counts) for item in told]
        self.assertEqual(found, [(1, [1]), (2, [1])])

    def test_tells_what_changed_and_all_to_a_new_home(self) -> None:
        self.usage.began("elm", 1.0, 0.0)
        self.assertEqual(self.usage.told(TOLD_FOR_S, anew=False), [])
        self.assertEqual(len(self.usage.told(TOLD_FOR_S, anew=True)), 1)

    def test_old_windows_go(self) -> None:
        for number in range(20):
            self.usage.began("elm", number * WINDOW_S, 0.0)
        told = self.usage.told(0.0, anew=True)
        self.assertEqual(len(told), KEPT_WINDOWS)


class UsageLedgerTest(unittest.TestCase):
    """What all instances have counted."""

    def setUp(self) -> None:
        self.ledger = UsageLedger()
        self.usage = OwnUsage(WINDOW_S)

    def test_words_that_come_twice_or_late_count_once(self) -> None:
        self.usage.began("elm", 1.0, 0.0)
        early = self.usage.told(0.0, anew=True)
        self.usage.began("elm", 1.0, 0.0)
        late = self.usage.told(0.0, anew=True)
        for words in (late, early, late):
            self.ledger.hear("a/1", words)
        self.assertEqual(self.ledger.counts(0), {"elm": 2})

    def test_a_restarted_instance_adds_to_its_former_start(self) -> None:
        self.usage.began("elm", 1.0, 0.0)
        words = self.usage.told(0.0, anew=True)
        self.ledger.hear("a/1", words)
        self.ledger.hear("a/2", words)
        self.assertEqual(self.ledger.counts(0), {"elm": 2})

    def test_only_windows_that_were_heard_whole_are_complete(self) -> None:
        # Guards against a report without what instances counted that died
        # before this one was told of anything.
        self.assertFalse(self.ledger.complete(7))
        self.ledger.opens(7)
        self.assertFalse(self.ledger.complete(6))
        self.assertTrue(self.ledger.complete(7))
        self.ledger.closes()
        self.assertFalse(self.ledger.complete(8))

    def test_windows_of_a_wrong_clock_go(self) -> None:
        # Guards against memory that grows by a clock far ahead.
        self.usage.began("elm", 5000.0, 0.0)
        self.ledger.hear("a/1", self.usage.told(0.0, anew=True))
        self.ledger.expire(2)
        self.assertEqual(self.ledger.counts(1000), {})


class TrueClockTest(unittest.TestCase):
    """The time of day, whatever one machine's clock says."""

    def setUp(self) -> None:
        self.clock = TrueClock(100.0, 5000.0)

    def test_a_jump_and_back_moves_nothing(self) -> None:
        # Guards against requests counted in another window by a clock that
        # jumps ahead for some seconds.
        for second in range(1, 9):
            self.clock.look(100.0 + second, 5002.0 + second)
        self.clock.look(110.0, 5010.0)
        self.assertAlmostEqual(self.clock.at(111.0), 5011.0)

    def test_drift_is_followed(self) -> None:
        for second in range(1, 2000):
            self.clock.look(100.0 + second, 5000.0 + second * 1.0001)
        self.assertAlmostEqual(
            self.clock.at(2100.0), 5000.0 + 2000 * 1.0001, delta=0.02
        )

    def test_a_jump_that_stays_is_taken_over(self) -> None:
        for second in range(1, int(STEP_KEPT_S) + 3):
            self.clock.look(100.0 + second, 5060.0 + second)
        self.assertAlmostEqual(self.clock.at(300.0), 5260.0)

    def test_most_clocks_hold(self) -> None:
        # Guards against a machine whose clock was wrong as it started.
        self.assertEqual(middle_skew_s([0.0, 0.01, -0.02, 2.0]), 0.0)
        skew = middle_skew_s([0.0, -2.0, -2.01, -1.99])
        self.clock.correct(-skew)
        self.assertAlmostEqual(self.clock.at(100.0), 4998.0, delta=0.02)

    def test_two_clocks_settle_nothing(self) -> None:
        self.assertEqual(middle_skew_s([0.0, 2.0]), 0.0)


if __name__ == "__main__":
    unittest.main()
