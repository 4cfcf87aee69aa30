"""Tests load records, budgets, stops and measurements of servers."""

import random
import unittest

from jasminerelay.outputlengths import OutputLengths
from jasminerelay.responsemonitor import ResponseMonitor
from jasminerelay.scheduling.instancecount import InstanceCount
from jasminerelay.schema.messages import ServerLoad
from jasminerelay.sharedbudget import ALLOWANCE_SHARE, SharedRetryBudget
from jasminerelay.stopping import PlannedShutdown
from jasminerelay.tokentimes import MIN_TIMES, TokenTimes
from jasminerelay.workload import (
    PEER_LOAD_MAX_AGE_S,
    Load,
    Workload,
)


class WorkloadTest(unittest.TestCase):
    """Load records of all instances."""

    def test_sums_all_instances(self) -> None:
        own, other = Workload(), Workload()
        run = own.start("a", 100, 200)
        other.start("a", 50, 60)
        own.apply_report("other", 1, other.own_loads(), 0.0)
        self.assertEqual(own.load("a"), Load(150, 2, 260))
        run.read()
        run.end()
        run.end()
        self.assertEqual(own.load("a"), Load(50, 1, 60))

    def test_older_report_is_ignored(self) -> None:
        own, other = Workload(), Workload()
        first = other.own_loads()
        other.start("a", 50, 60)
        own.apply_report("other", 2, other.own_loads(), 0.0)
        own.apply_report("other", 1, first, 0.0)
        self.assertEqual(own.load("a").running, 1)

    def test_sum_after_many_updates(self) -> None:
        # The sum is updated by differences over many reports of many instances,
        # some of which stop reporting.
        rng = random.Random(9)
        workload = Workload()
        reports: dict[str, tuple[float, dict[str, int]]] = {}
        for number in range(1, 400):
            now = number / 20
            name = f"peer-{rng.randrange(12)}"
            loads = {f"s{rng.randrange(5)}": rng.randrange(1, 9)}
            reports[name] = (now, loads)
            workload.apply_report(
                name,
                number,
                [ServerLoad(s, n, n, n) for s, n in loads.items()],
                now,
            )
            workload.expire(now)
            for server in ("s0", "s1", "s2", "s3", "s4"):
                wanted = sum(
                    held.get(server, 0)
                    for received_at, held in reports.values()
                    if now - received_at <= PEER_LOAD_MAX_AGE_S
                )
                self.assertEqual(workload.load(server).running, wanted)

    def test_dead_instance_is_dropped(self) -> None:
        own, other = Workload(), Workload()
        other.start("a", 50, 60)
        own.apply_report("other", 1, other.own_loads(), 0.0)
        own.expire(PEER_LOAD_MAX_AGE_S + 0.1)
        self.assertEqual(own.load("a").running, 0)


class SharedBudgetTest(unittest.TestCase):
    """Retry budget over all instances."""

    def test_budget_when_every_server_fails(self) -> None:
        # Every server fails for a minute, each request asks for a retry at one
        # of seven instances, and callers come back at once. In no window do the
        # retries of all instances exceed the bound.
        ratio, allowance, window_s = 0.2, 52.0, 10.0
        rng = random.Random(3)
        budgets = [
            SharedRetryBudget(ratio, allowance, window_s, -window_s)
            for _ in range(7)
        ]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        while now < 60.0:
            now += 0.01
            budget = rng.choice(budgets)
            budget.record_instances(7, 7, now)
            budget.record_request("s", now)
            requests.append(now)
            if budget.spend("s", now):
                retries.append(now)
        for end in range(10, 60):
            span = [t for t in retries if end - window_s < t <= end]
            count = len([t for t in requests if end - window_s < t <= end])
            self.assertLessEqual(len(span), ratio * count + allowance)
        self.assertGreater(len(retries), 60)

    def test_keeps_one_window(self) -> None:
        # Guards against unbounded memory: the requests of a whole day must not
        # be kept when no retry is ever asked for.
        budget = SharedRetryBudget(0.2, 52.0, 10.0, -10.0)
        for number in range(100_000):
            budget.record_request("s", number / 100)
        self.assertLessEqual(len(budget._requests["s"]), 1001)

    def test_partition_does_not_double_the_allowance(self) -> None:
        # Half of the instances lose contact with the others. The allowance was
        # divided by the previous number of instances and must not be divided
        # anew at once.
        budget = SharedRetryBudget(0.0, 60.0, 10.0, -10.0)
        budget.record_instances(6, 6, 0.0)
        budget.record_instances(3, 3, 1.0)
        spent = sum(budget.spend("s", 1.0) for _ in range(100))
        self.assertLessEqual(spent, 60 / 6)

    def test_sides_of_a_cut_that_forget_each_other(self) -> None:
        # Guards against a whole allowance for each side of a long cut, however
        # the instances are divided.
        for sizes in ((3, 3), (4, 2), (5, 1), (2, 2, 2), (1, 1, 1, 1, 1, 1)):
            parts = 0.0
            for size in sizes:
                count = InstanceCount(20.0)
                count.record(6, 6, 0.0)
                count.record(size, size, 100.0)
                parts += size / count.divisor
            self.assertLess(parts * ALLOWANCE_SHARE, 1.0, sizes)

    def test_instances_removed_for_good(self) -> None:
        # Guards against parts that stay small after instances were replaced.
        count = InstanceCount(20.0)
        count.record(6, 6, 0.0)
        for at in range(1, 60):
            count.record(6 if at < 30 else 4, 4, float(at))
        self.assertEqual(count.divisor, 4)

    def test_first_window_of_an_instance(self) -> None:
        # Guards against the part of an instance that ran there just before.
        budget = SharedRetryBudget(0.5, 60.0, 10.0, 100.0)
        self.assertFalse(budget.has_any("s", 109.9))
        for _ in range(10):
            budget.record_request("s", 105.0)
        self.assertTrue(budget.has_any("s", 105.0))
        self.assertTrue(budget.has_any("other", 110.0))

    def test_question_spends_nothing(self) -> None:
        # Guards against a question that uses up the retry it asks for, or that
        # promises one which is not there.
        budget = SharedRetryBudget(0.0, 4.0, 10.0, -10.0)
        self.assertTrue(all(budget.has_any("s", 0.0) for _ in range(100)))
        spent = 0
        while budget.has_any("s", 0.0):
            self.assertTrue(budget.spend("s", 0.0))
            spent += 1
        self.assertLessEqual(spent, 4)
        self.assertFalse(budget.spend("s", 0.0))
        self.assertFalse(budget.has_any("s", 9.9))
        self.assertTrue(budget.has_any("other", 9.9))
        self.assertTrue(budget.has_any("s", 10.1))


class StopTest(unittest.TestCase):
    """A planned stop of an instance."""

    def test_accepts_requests_that_can_finish(self) -> None:
        stop = PlannedShutdown(0.0, 8.0)
        self.assertTrue(stop.accepts(15.0, 1.0))
        self.assertFalse(stop.accepts(15.0, 3.8))
        self.assertTrue(stop.accepts(2.0, 4.0))
        self.assertFalse(stop.accepts(2.0, 6.0))

    def test_stops_before_it_is_killed(self) -> None:
        stop = PlannedShutdown(0.0, 8.0)
        self.assertFalse(stop.finished(0, 2.0))
        self.assertTrue(stop.finished(0, 6.5))
        self.assertFalse(stop.finished(3, 6.5))
        self.assertTrue(stop.finished(3, 7.5))


class TokenTimesTest(unittest.TestCase):
    """Times per token measured on streams."""

    def test_follows_changes_and_expires(self) -> None:
        token_times = TokenTimes()
        for step in range(50):
            token_times.observe("a", 5, 0.1, step * 0.1)
        self.assertAlmostEqual(token_times.token_s("a", 5.0), 0.02)
        self.assertIsNone(token_times.token_s("a", 60.0))

    def test_slow_among_peers(self) -> None:
        token_times = TokenTimes()
        for name, seconds in (("a", 0.02), ("b", 0.02), ("c", 0.1)):
            token_times.observe(name, 5, seconds, 0.0)
        self.assertGreater(token_times.slowness("c", "abc", 0.1), 2.0)
        self.assertEqual(token_times.slowness("a", "abc", 0.1), 1.0)

    def test_time_without_prefill(self) -> None:
        # Every third token waits for a chunk of another request's prefill. The
        # other tokens show the engine's own step time.
        token_times = TokenTimes()
        for step in range(30):
            token_times.observe(
                "a", 1, 0.04 if step % 3 == 0 else 0.005, step * 0.1
            )
        self.assertAlmostEqual(token_times.step_time_s("a"), 0.005)
        # No measurements since the last call.
        self.assertIsNone(token_times.step_time_s("a"))

    def test_too_few_tokens(self) -> None:
        token_times = TokenTimes()
        for step in range(MIN_TIMES - 1):
            token_times.observe("a", 1, 0.005, step * 0.1)
        self.assertIsNone(token_times.step_time_s("a"))


class LengthsTest(unittest.TestCase):
    """Expected output lengths."""

    def test_blend_is_better_than_the_hint(self) -> None:
        # The hints are wrong by a random factor whose median is 1.
        rng = random.Random(5)
        lengths = OutputLengths()
        blended_error = hint_error = 0.0
        for _ in range(400):
            actual = max(1, round(rng.lognormvariate(5.5, 0.4)))
            hint = max(1, round(actual * rng.lognormvariate(0.0, 0.8)))
            expected = lengths.expect("k", hint, 5000)
            blended_error += abs(expected - actual) / actual
            hint_error += abs(hint - actual) / actual
            lengths.observe("k", actual)
        self.assertLess(blended_error, 0.6 * hint_error)

    def test_bounds(self) -> None:
        lengths = OutputLengths()
        self.assertEqual(lengths.expect("k", 5000, 100), 100)
        self.assertGreaterEqual(lengths.expect("k", None, 1), 1)


class ResponseMonitorTest(unittest.TestCase):
    """Servers that stop responding without closing connections."""

    def test_server_without_power(self) -> None:
        # Guards against requests lost at a server without power. A server loses
        # power during three streams. Requests already sent there wait in vain;
        # later ones go elsewhere except for one probe at intervals, and after
        # any response all are sent there again.
        monitor = ResponseMonitor()
        monitor.record_request("s", idle=True, now=0.0)
        for at in (0.2, 0.4):
            monitor.record_response("s", at)
            monitor.record_request("s", idle=False, now=at)
        self.assertFalse(monitor.silent("s", 3, 1.1))
        self.assertTrue(monitor.silent("s", 3, 1.3))
        self.assertFalse(monitor.silent("s", 3, 2.5))
        monitor.record_request("s", idle=False, now=2.5)
        self.assertTrue(monitor.silent("s", 4, 2.6))
        monitor.record_response("s", 2.7)
        self.assertFalse(monitor.silent("s", 4, 2.8))

    def test_idle_server_is_not_unresponsive(self) -> None:
        monitor = ResponseMonitor()
        monitor.record_request("s", idle=True, now=0.0)
        monitor.record_response("s", 0.1)
        self.assertFalse(monitor.silent("s", 0, 100.0))
        monitor.record_request("s", idle=True, now=100.0)
        self.assertFalse(monitor.silent("s", 1, 100.5))


if __name__ == "__main__":
    unittest.main()
