"""Windows of usage that are decided before half of the time until due."""

import types
import unittest

import anyio

from jasminerelay.metrics import Counters
from jasminerelay.pendingstarts import PendingStarts
from jasminerelay.scheduling.reportprogress import ReportProgress
from jasminerelay.trueclock import MAX_SKEW_S
from jasminerelay.usage import RESEND_FOR_S, UsageLedger
from jasminerelay.usagereports import (
    EARLIEST_S,
    MISS_AFTER_SHARE,
    UsageReporter,
)
from tests import virtualtime
from tests.dutyworld import DURATION_S, LATE_S, WINDOW_S, DutySimulation
from tests.instanceworld import Quiet
from tests.test_duties import MODULES, due_windows

WINDOW = 4
START = WINDOW * WINDOW_S
END = START + WINDOW_S


class ReportProgressTest(unittest.TestCase):
    """Which instances a window still waits for."""

    def setUp(self) -> None:
        self.progress = ReportProgress(WINDOW_S, 0.0)
        self.progress.update_live(["a", "b"], 0.0)
        self.report("a", END + 1.0)

    def report(self, sender: str, made_at: float, **options) -> None:
        """Records reports, each second up to the given time."""
        now = options.pop("now", made_at)
        pending_s = options.pop("pending_s", 0.0)
        for ago_s in (4.0, 3.0, 2.0, 1.0, 0.0):
            self.progress.record_report(
                sender, made_at - ago_s, pending_s, now - ago_s, **options
            )

    def test_waits_for_a_report_after_the_end(self) -> None:
        # Guards against a window decided without the last second of counts.
        self.report("b", END - 0.1)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])
        # The sender's clock may be ahead by almost as much.
        self.report("b", END + MAX_SKEW_S - 0.1)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])
        self.report("b", END + MAX_SKEW_S)
        self.assertEqual(self.progress.missing(WINDOW), [])

    def test_live_instance_that_never_reported(self) -> None:
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_plain_request_in_flight(self) -> None:
        # Guards against a plain request that was sent in the window and is
        # counted in it once its response begins, after the report.
        self.report("b", END + 1.0, pending_s=1.1)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])
        self.report("b", END + 2.0, pending_s=1.9)
        self.assertEqual(self.progress.missing(WINDOW), [])

    def test_clock_ahead(self) -> None:
        # Guards against requests that a sender counts in the next window, and
        # in this one once its clock is corrected.
        self.report("b", END + 2.0, now=END - 1.0)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_clock_behind(self) -> None:
        self.report("b", END - 0.5, now=END + 1.0)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_lost_reports(self) -> None:
        # Guards against totals that were sent only in reports that were lost.
        self.report("b", START)
        self.progress.record_report(
            "b", END + 1.0, 0.0, START + RESEND_FOR_S + 3.0
        )
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_instance_died_in_the_window(self) -> None:
        self.report("b", START + 1.0)
        self.progress.update_live(["a"], START + 2.0)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_instance_cut_off_before_the_window(self) -> None:
        # Guards against a window without the counts of an instance that others
        # consider failed, and that goes on serving its callers.
        self.progress.update_live(["a"], START - 1.0)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])

    def test_instance_gone_long_ago(self) -> None:
        self.progress.update_live(["a"], START - WINDOW_S - 0.1)
        self.assertEqual(self.progress.missing(WINDOW), [])

    def test_leaving_instance_goes_on_reporting(self) -> None:
        # Guards against a stop that delays windows: an instance that leaves
        # still serves requests and reports them.
        self.progress.update_live(["a"], START - 1.0)
        self.report("b", START + 3.0)
        self.assertEqual(self.progress.missing(WINDOW), ["b"])
        self.report("b", END + 1.0)
        self.assertEqual(self.progress.missing(WINDOW), [])

    def test_final_report(self) -> None:
        self.report("b", START + 3.0, final=True)
        self.progress.update_live(["a"], START + 3.0)
        self.assertEqual(self.progress.missing(WINDOW), [])

    def test_window_before_this_instance_started(self) -> None:
        progress = ReportProgress(WINDOW_S, START + 1.0)
        self.assertTrue(progress.missing(WINDOW))
        self.assertFalse(progress.missing(WINDOW + 1))

    def test_old_instances_are_forgotten(self) -> None:
        # Guards against memory that grows with each restart of an instance.
        self.report("b", START + 3.0)
        self.progress.update_live(["a"], START + 3.0)
        self.progress.expire(START + 100.0)
        self.assertEqual(list(self.progress._instances), ["a"])


class PendingStartsTest(unittest.TestCase):
    """Requests whose start is not known yet."""

    def test_oldest(self) -> None:
        pending = PendingStarts()
        with pending.track(1.0), pending.track(2.0):
            self.assertEqual(pending.oldest_s(5.0), 4.0)
        self.assertEqual(pending.oldest_s(5.0), 0.0)

    def test_request_given_up(self) -> None:
        # Guards against a cancelled request that delays all later windows.
        pending = PendingStarts()
        with self.assertRaises(ValueError), pending.track(1.0):
            raise ValueError
        self.assertEqual(pending.oldest_s(5.0), 0.0)


class EarlyDecisionTest(unittest.TestCase):
    """When the holder decides a window."""

    def setUp(self) -> None:
        self.now = END
        self.absent: list[str] = []
        self.decided: list[int] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.sent: list[int] = []
        self.ledger = UsageLedger()
        self.ledger.mark_complete_from(WINDOW)
        self.reporter = UsageReporter(
            types.SimpleNamespace(
                decide=self.decide, report=self.send, fence=1
            ),
            types.SimpleNamespace(reports=self.reports),
            self.ledger,
            WINDOW_S,
            LATE_S,
            lambda: self.now,
            Quiet(),
            Quiet(),
        )
        self.reporter.missing = lambda window: self.absent

    async def decide(self, report) -> bool:
        """Records a decision."""
        self.decided.append(report.window)
        self.reports[report.window] = report.counts
        return True

    async def send(self, report) -> bool:
        """Records a report."""
        self.sent.append(report.window)
        return True

    def serve_at(self, now: float) -> list[int]:
        """Returns the windows that were decided by a time."""
        self.now = now
        anyio.run(self.reporter.serve)
        return self.decided

    def test_decided_early(self) -> None:
        self.assertEqual(self.serve_at(END + EARLIEST_S - 0.1), [])
        self.assertEqual(self.serve_at(END + EARLIEST_S + 0.1), [WINDOW])
        self.assertEqual(self.sent, [WINDOW])

    def test_waits_for_missing_reports(self) -> None:
        self.absent = ["b"]
        self.assertEqual(self.serve_at(END + LATE_S / 2 - 0.1), [])
        self.assertEqual(self.serve_at(END + LATE_S / 2 + 0.1), [WINDOW])

    def test_incomplete_window_is_not_decided_early(self) -> None:
        self.ledger.mark_incomplete()
        self.assertEqual(self.serve_at(END + LATE_S), [])

    def test_totals_that_are_handed_over_late(self) -> None:
        # Guards against a window that is recorded as missed, and then decided.
        counters = self.reporter._counters = Counters()
        self.ledger.mark_incomplete()
        self.serve_at(END + LATE_S * 0.6)
        self.assertEqual(counters.snapshot().get("usage.missed", 0), 0)
        self.ledger.mark_complete_from(WINDOW)
        self.assertEqual(self.serve_at(END + LATE_S * 0.65)[0], WINDOW)

    def test_totals_that_are_never_handed_over(self) -> None:
        counters = self.reporter._counters = Counters()
        self.ledger.mark_incomplete()
        self.serve_at(END + LATE_S * MISS_AFTER_SHARE + 0.1)
        self.assertEqual(counters.snapshot()["usage.missed"], 1)

    def test_restored_store(self) -> None:
        # Guards against a second report of a window with other counts: the
        # store has lost the early decision of another holder.
        self.now = END + EARLIEST_S + 0.1
        self.reporter.on_store_restored()
        self.assertEqual(self.serve_at(END + LATE_S - 0.1), [])

    def test_successor_sends_what_was_decided_early(self) -> None:
        self.absent = ["b"]
        self.reports[WINDOW] = {"elm": 1}
        self.serve_at(END + EARLIEST_S + 0.1)
        self.assertEqual((self.decided, self.sent), ([], [WINDOW]))


class EarlySimulationTest(unittest.TestCase):
    """Real tasks of several instances in virtual time."""

    def test_without_faults(self) -> None:
        # Guards against windows that wait for the deadline although all
        # instances have reported, and against counts that come too late.
        for seed in range(3):
            simulation = DutySimulation(seed, 6, faults=False)
            virtualtime.run(simulation.run, MODULES)
            for window in list(due_windows())[1:]:
                at = simulation.checker.first_report_times[window]
                self.assertLess(at - (window + 1) * WINDOW_S, 3.0)
                self.assertEqual(
                    simulation.checker.reports[window],
                    dict(simulation.truth[window]),
                )

    def test_store_is_down_past_the_deadline(self) -> None:
        # Guards against the loss of a window that ended 3 s before the store
        # failed: it was to be decided while the store was down.
        simulation = DutySimulation(1, 6, faults=False)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(simulation.run)
                await anyio.sleep(18.0)
                simulation.store.down = True
                await anyio.sleep(8.0)
                simulation.store.down = False
                await anyio.sleep(DURATION_S - 26.0)

        virtualtime.run(run, MODULES)
        for window in due_windows():
            self.assertEqual(
                simulation.checker.reports.get(window),
                dict(simulation.truth[window]),
            )
        self.assertEqual(simulation.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
