"""Usage counts, and the clock that assigns them to windows."""

import unittest

from jasminerelay.trueclock import (
    STEP_CONFIRM_S,
    TrueClock,
    median_skew_s,
)
from jasminerelay.usage import (
    KEPT_WINDOWS,
    RESEND_FOR_S,
    LocalUsage,
    UsageLedger,
)

WINDOW_S = 5.0


class OwnUsageTest(unittest.TestCase):
    """Totals that one instance counts and sends."""

    def setUp(self) -> None:
        self.usage = LocalUsage(WINDOW_S)

    def test_windows_by_true_time(self) -> None:
        self.usage.record_start("elm", 9.99, 0.0)
        self.usage.record_start("elm", 10.0, 0.0)
        windows = self.usage.windows_to_send(0.0, full=True)
        found = [(item.number, item.counts) for item in windows]
        self.assertEqual(found, [(1, [1]), (2, [1])])

    def test_sends_recent_changes_or_everything(self) -> None:
        self.usage.record_start("elm", 1.0, 0.0)
        self.assertEqual(
            self.usage.windows_to_send(RESEND_FOR_S, full=False), []
        )
        self.assertEqual(
            len(self.usage.windows_to_send(RESEND_FOR_S, full=True)), 1
        )

    def test_old_windows_are_dropped(self) -> None:
        for number in range(20):
            self.usage.record_start("elm", number * WINDOW_S, 0.0)
        windows = self.usage.windows_to_send(0.0, full=True)
        self.assertEqual(len(windows), KEPT_WINDOWS)


class UsageLedgerTest(unittest.TestCase):
    """Totals of all instances."""

    def setUp(self) -> None:
        self.ledger = UsageLedger()
        self.usage = LocalUsage(WINDOW_S)

    def test_duplicate_and_late_totals_count_once(self) -> None:
        self.usage.record_start("elm", 1.0, 0.0)
        earlier = self.usage.windows_to_send(0.0, full=True)
        self.usage.record_start("elm", 1.0, 0.0)
        late = self.usage.windows_to_send(0.0, full=True)
        for windows in (late, earlier, late):
            self.ledger.merge("a/1", windows)
        self.assertEqual(self.ledger.counts(0), {"elm": 2})

    def test_totals_of_a_restarted_instance_are_added(self) -> None:
        self.usage.record_start("elm", 1.0, 0.0)
        windows = self.usage.windows_to_send(0.0, full=True)
        self.ledger.merge("a/1", windows)
        self.ledger.merge("a/2", windows)
        self.assertEqual(self.ledger.counts(0), {"elm": 2})

    def test_only_completely_received_windows_are_complete(self) -> None:
        # Guards against a report without the counts of instances that died
        # before this one received any of them.
        self.assertFalse(self.ledger.complete(7))
        self.ledger.mark_complete_from(7)
        self.assertFalse(self.ledger.complete(6))
        self.assertTrue(self.ledger.complete(7))
        self.ledger.mark_incomplete()
        self.assertFalse(self.ledger.complete(8))

    def test_windows_in_the_future_are_dropped(self) -> None:
        # Guards against memory that grows because of a clock far ahead.
        self.usage.record_start("elm", 5000.0, 0.0)
        self.ledger.merge("a/1", self.usage.windows_to_send(0.0, full=True))
        self.ledger.expire(2)
        self.assertEqual(self.ledger.counts(1000), {})


class TrueClockTest(unittest.TestCase):
    """True time despite faults of the machine's clock."""

    def setUp(self) -> None:
        self.clock = TrueClock(100.0, 5000.0)

    def test_temporary_jump_is_ignored(self) -> None:
        # Guards against requests counted in another window while the clock is
        # ahead for some seconds.
        for second in range(1, 9):
            self.clock.update(100.0 + second, 5002.0 + second)
        self.clock.update(110.0, 5010.0)
        self.assertAlmostEqual(self.clock.at(111.0), 5011.0)

    def test_drift_is_followed(self) -> None:
        for second in range(1, 2000):
            self.clock.update(100.0 + second, 5000.0 + second * 1.0001)
        self.assertAlmostEqual(
            self.clock.at(2100.0), 5000.0 + 2000 * 1.0001, delta=0.02
        )

    def test_permanent_jump_is_followed(self) -> None:
        for second in range(1, int(STEP_CONFIRM_S) + 3):
            self.clock.update(100.0 + second, 5060.0 + second)
        self.assertAlmostEqual(self.clock.at(300.0), 5260.0)

    def test_median_clock_decides(self) -> None:
        # Guards against a machine whose clock was wrong at the start.
        self.assertEqual(median_skew_s([0.0, 0.01, -0.02, 2.0]), 0.0)
        skew = median_skew_s([0.0, -2.0, -2.01, -1.99])
        self.clock.correct(-skew)
        self.assertAlmostEqual(self.clock.at(100.0), 4998.0, delta=0.02)

    def test_two_clocks_decide_nothing(self) -> None:
        self.assertEqual(median_skew_s([0.0, 2.0]), 0.0)


if __name__ == "__main__":
    unittest.main()
