"""Duties that one instance at a time does, whoever dies, freezes or is cut off.

Run with more seeds by hand: `python -m tests.test_duties 400 6`.
"""

import sys
import unittest

from jasminerelay import duties, dutydesk, fencing, freshness, leasing
from tests import virtualtime
from tests.dutyworld import DAY_S, LATE_S, WINDOW_S, DutyWorld

MODULES = (duties, dutydesk, fencing, freshness, leasing)
SEEDS = 12


def play(seed: int, count: int, **options: bool) -> DutyWorld:
    """Plays one seed; returns the world after it."""
    world = DutyWorld(seed, count, **options)
    virtualtime.run(world.run, MODULES)
    return world


def due_windows() -> range:
    """Returns the windows whose reports are due within the day."""
    return range(int((DAY_S - LATE_S) // WINDOW_S))


class DutyModelTest(unittest.TestCase):
    """One holder at a time, and one report a window."""

    def test_calm_day(self) -> None:
        for count in (6, 30):
            with self.subTest(count=count):
                world = play(1, count, faults=False)
                self.assertEqual(world.judge.broken, [])
                for window in due_windows():
                    self.assertEqual(
                        world.judge.reports[window],
                        dict(world.truth.get(window, {})),
                    )
                    due = (window + 1) * WINDOW_S + LATE_S
                    self.assertLess(world.judge.reported_at[window], due)

    def test_one_holder_whatever_fails(self) -> None:
        # Guards against two reports of a window, a number that two instances
        # use and instances that act in turns: killed, frozen, cut off, stopped
        # two at once, calls and writes done late, the store away.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed, 6).judge.broken, [])

    def test_platform_that_checks_no_numbers(self) -> None:
        # Guards against a lower number after a higher one.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = play(seed, 6, checks_fences=False)
                self.assertEqual(world.judge.broken, [])

    def test_stale_holder_renews_nothing(self) -> None:
        # Guards against a holder that was frozen in the middle of its round,
        # and takes the lease from its next holder as it goes on.
        self.assertEqual(play(23, 6).judge.broken, [])

    def test_no_turns_after_a_restart(self) -> None:
        # Guards against a machine that stops, hands the duty on and has it
        # back within the time in which two may not act in turns.
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                world = DutyWorld(seed, 6, faults=False)
                virtualtime.run(world.run_with_stops, MODULES)
                self.assertEqual(world.judge.broken, [])

    def test_no_report_without_what_was_lost(self) -> None:
        # Guards against a report that lacks all that was counted before all
        # instances lost power at once.
        world = DutyWorld(3, 6, faults=False)
        virtualtime.run(world.run_with_power_loss, MODULES)
        for window, counts in world.judge.reports.items():
            self.assertEqual(counts, dict(world.truth.get(window, {})))
        self.assertLess(len(world.judge.reports), len(due_windows()))


def main() -> None:
    """Plays many seeds: the count, then how many instances."""
    seeds, count = int(sys.argv[1]), int(sys.argv[2])
    bad = []
    due = missed = wrong = 0
    for seed in range(seeds):
        for checks in (True, False):
            world = play(seed, count, checks_fences=checks)
            if world.judge.broken:
                bad.append((seed, checks, world.judge.broken[:2]))
        for window in due_windows():
            due += 1
            told = world.judge.reports.get(window)
            missed += told is None
            wrong += told is not None and told != dict(world.truth[window])
    print(f"{seeds} seeds, {count} instances: {len(bad)} bad {bad[:5]}")
    print(f"of {due} windows {missed} missed, {wrong} not exact")


if __name__ == "__main__":
    main()
