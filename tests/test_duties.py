"""Duties that one instance at a time performs, despite faults.

More seeds are simulated by `python -m tests.test_duties SEEDS INSTANCES`, for
example `python -m tests.test_duties 400 6`.
"""

import sys
import unittest

from jasminerelay import duties, fencedcalls, fencing, freshness, leasing
from tests import virtualtime
from tests.dutyworld import DURATION_S, LATE_S, WINDOW_S, DutySimulation

MODULES = (duties, fencedcalls, fencing, freshness, leasing)
SEEDS = 12


def simulate(seed: int, count: int, **options: bool) -> DutySimulation:
    """Simulates one seed; returns the simulation after it."""
    simulation = DutySimulation(seed, count, **options)
    virtualtime.run(simulation.run, MODULES)
    return simulation


def due_windows() -> range:
    """Returns the windows whose reports are due within the simulation."""
    return range(int((DURATION_S - LATE_S) // WINDOW_S))


class DutySimulationTest(unittest.TestCase):
    """One holder at a time, and one report per window."""

    def test_without_faults(self) -> None:
        for count in (6, 30):
            with self.subTest(count=count):
                simulation = simulate(1, count, faults=False)
                self.assertEqual(simulation.checker.violations, [])
                for window in due_windows():
                    self.assertEqual(
                        simulation.checker.reports[window],
                        dict(simulation.truth.get(window, {})),
                    )
                    due = (window + 1) * WINDOW_S + LATE_S
                    self.assertLess(
                        simulation.checker.first_report_times[window], due
                    )

    def test_one_holder_under_faults(self) -> None:
        # Guards against two reports of a window, a fencing token used by two
        # instances, and holders that alternate within the lease. Instances are
        # killed, frozen, partitioned and stopped two at once; calls and writes
        # are executed late; the store is unavailable.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed, 6).checker.violations, [])

    def test_platform_without_fencing(self) -> None:
        # Guards against a lower fencing token after a higher one.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = simulate(seed, 6, checks_fences=False)
                self.assertEqual(simulation.checker.violations, [])

    def test_frozen_holder_does_not_renew(self) -> None:
        # Guards against a holder that was frozen in the middle of its round,
        # and on resuming takes the lease from its successor.
        self.assertEqual(simulate(23, 6).checker.violations, [])

    def test_no_alternation_after_a_restart(self) -> None:
        # Guards against a machine that stops, hands over the lease and takes it
        # back within the time in which holders must not alternate.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = DutySimulation(seed, 6, faults=False)
                virtualtime.run(simulation.run_with_stops, MODULES)
                self.assertEqual(simulation.checker.violations, [])

    def test_no_report_after_loss_of_counts(self) -> None:
        # Guards against a report that lacks what was counted before a power
        # loss of all instances.
        simulation = DutySimulation(3, 6, faults=False)
        virtualtime.run(simulation.run_with_power_loss, MODULES)
        for window, counts in simulation.checker.reports.items():
            self.assertEqual(counts, dict(simulation.truth.get(window, {})))
        missed = set(due_windows()) - simulation.checker.reports.keys()
        self.assertTrue(missed)


def main() -> None:
    """Simulates many seeds; arguments: how many, and how many instances."""
    seeds, count = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    due = missed = wrong = 0
    for seed in range(seeds):
        for checks in (True, False):
            simulation = simulate(seed, count, checks_fences=checks)
            if simulation.checker.violations:
                bad.append((seed, checks, simulation.checker.violations[:2]))
        for window in due_windows():
            due += 1
            reported = simulation.checker.reports.get(window)
            missed += reported is None
            wrong += reported is not None and reported != dict(
                simulation.truth[window]
            )
    print(f"{seeds} seeds, {count} instances: {len(bad)} bad {bad[:5]}")
    print(f"of {due} windows {missed} missed, {wrong} not exact")


if __name__ == "__main__":
    main()
