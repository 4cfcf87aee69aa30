"""Tests the limits of concurrent requests at backend servers."""

import random
import unittest

from jasminerelay.scheduling.concurrencylimit import (
    MIN_SHARE,
    ConcurrencyLimit,
)

SLOTS = 40


class ConcurrencyLimitTest(unittest.TestCase):
    """Load: a server that gets 2.5 times slower above 30 of its 40 slots."""

    def setUp(self) -> None:
        self.limits = ConcurrencyLimit()
        self.now = 0.0
        self.rng = random.Random(1)

    def run_full(self, seconds: float, knee: int = 30) -> None:
        """Keeps the server at its limit."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.2
            running = self.limits.limit("s", SLOTS, self.now)
            self.respond(running, 3.0 if running > knee else 1.0)

    def respond(self, running: int, seconds: float) -> None:
        """Records a response."""
        scatter = self.rng.lognormvariate(0.0, 0.2)
        self.limits.record_response(
            "s", "first", SLOTS, running, seconds * scatter, self.now
        )

    def test_follows_the_gradient(self) -> None:
        for _ in range(20):
            self.respond(10, 1.0)
        self.run_full(20.0)
        found = []
        for _ in range(50):
            self.run_full(0.2)
            found.append(self.limits.limit("s", SLOTS, self.now))
        self.assertLess(sum(found) / len(found), 34)
        self.assertGreater(min(found), 20)

    def test_bounds(self) -> None:
        for _ in range(20):
            self.respond(10, 1.0)
        for _ in range(200):
            self.respond(SLOTS, 50.0)
            found = self.limits.limit("s", SLOTS, self.now)
            self.assertLessEqual(found, SLOTS)
            self.assertGreaterEqual(found, MIN_SHARE * SLOTS)

    def test_scatter_is_no_gradient(self) -> None:
        # Guards against limits at servers whose times only scatter.
        for _ in range(500):
            self.now += 0.2
            self.respond(SLOTS, 1.0)
            self.assertEqual(self.limits.limit("s", SLOTS, self.now), SLOTS)

    def test_slow_while_almost_idle(self) -> None:
        # Guards against a limit for slowness with another cause than load.
        for _ in range(20):
            self.respond(10, 1.0)
        for _ in range(50):
            self.respond(4, 4.0)
        self.assertEqual(self.limits.limit("s", SLOTS, self.now), SLOTS)

    def test_rejection_lowers_and_time_raises(self) -> None:
        self.limits.record_rejection("s", SLOTS, 30, 0.0)
        self.assertEqual(self.limits.limit("s", SLOTS, 0.0), 27)
        self.assertGreater(self.limits.limit("s", SLOTS, 5.0), 27)
        self.assertEqual(self.limits.limit("s", SLOTS, 60.0), SLOTS)

    def test_queue_at_the_server(self) -> None:
        self.limits.record_waiting("s", 30, 10, 0.0)
        limit = self.limits.limit("s", SLOTS, 0.0)
        self.assertLess(limit, SLOTS)
        # Each response states the same queue again.
        self.limits.record_waiting("s", 30, 10, 0.1)
        self.assertGreaterEqual(self.limits.limit("s", SLOTS, 0.1), limit)

    def test_short_queue_at_the_server(self) -> None:
        self.limits.record_waiting("s", 30, 3, 0.0)
        self.assertEqual(self.limits.limit("s", SLOTS, 0.0), SLOTS)

    def test_restart_under_the_same_name(self) -> None:
        # Guards against a server that starts again with a limit that its former
        # life deserved.
        self.limits.record_rejection("s", SLOTS, 20, 0.0)
        self.limits.forget("s")
        self.assertEqual(self.limits.limit("s", SLOTS, 0.0), SLOTS)

    def test_single_slot(self) -> None:
        self.limits.record_rejection("s", 1, 1, 0.0)
        self.assertEqual(self.limits.limit("s", 1, 0.0), 1)


if __name__ == "__main__":
    unittest.main()
