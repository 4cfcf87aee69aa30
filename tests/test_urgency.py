"""Tests which requests a full engine preempts, given their urgency levels.

Pattern: a burst of chats of all organisations at engines with sixteen slots,
which also run long studies that were moved there.
"""

import itertools
import random
import unittest
from collections.abc import Callable

from jasminerelay.catalog import (
    Catalog,
    KeyHolder,
    RepeatPolicy,
    RequestLimits,
    Route,
    ServiceShare,
)

SLOTS = 16
BURST = 400
CHAT, CHECK, STUDY = (
    Route(
        name, "h", f"/{name}/", RepeatPolicy.ONCE, True, 15.0, 1.0, 0.3, rank,
        (ServiceShare("engines", 1.0),), 1, False, True,
    )
    for rank, name in enumerate(("chat", "check", "study"))
)  # fmt: skip
CATALOG = Catalog(
    1,
    (CHAT, CHECK, STUDY),
    {},
    {str(rank): KeyHolder(f"o{rank}", rank) for rank in (0, 1)},
    True,
    RequestLimits(),
)


class Engine:
    """Runs urgent requests first; preempts the newest of the least urgent."""

    def __init__(self, level: Callable[[int, Route], int]):
        self._level = level
        self._running: list[tuple[int, int, Route]] = []
        self._numbers = itertools.count()
        self.wrong_preemptions = 0

    def start(self, rank: int, route: Route) -> None:
        """Starts a request if there is a slot or one can be preempted."""
        if len(self._running) >= SLOTS and not self._preempt(rank, route):
            return
        self._running.append((next(self._numbers), rank, route))

    def end(self, rng: random.Random) -> None:
        """Ends one of the running requests at random."""
        if self._running:
            self._running.remove(rng.choice(self._running))

    def _preempt(self, rank: int, route: Route) -> bool:
        new = self._level(rank, route)
        less_urgent = [x for x in self._running if self._level(*x[1:]) > new]
        if not less_urgent:
            return False
        victim = max(less_urgent, key=lambda x: (self._level(*x[1:]), x[0]))
        self._running.remove(victim)
        self.wrong_preemptions += any(
            x[2].rank > victim[2].rank for x in self._running
        )
        return True


def wrong_preemptions(level: Callable[[int, Route], int], seed: int) -> int:
    """Returns how often a request is preempted while a less urgent one runs."""
    rng = random.Random(seed)
    engine = Engine(level)
    for _ in range(3):
        engine.start(rng.choice((0, 1)), STUDY)
    for _ in range(BURST):
        route = rng.choices((CHAT, CHECK, STUDY), (30, 1, 1))[0]
        engine.start(rng.choice((0, 1)), route)
        if rng.random() < 0.8:
            engine.end(rng)
    return engine.wrong_preemptions


class FullEngineTest(unittest.TestCase):
    """A burst at a full engine."""

    def test_one_level_for_each_route(self) -> None:
        # Guards against requests that are preempted while less urgent ones run.
        for seed in range(20):
            with self.subTest(seed=seed):
                self.assertEqual(wrong_preemptions(CATALOG.urgency_of, seed), 0)

    def test_levels_of_organisations_are_worse(self) -> None:
        # Shows that the pattern can detect the fault.
        found = [
            wrong_preemptions(CATALOG.priority_level_of, seed)
            for seed in range(20)
        ]
        self.assertGreater(max(found), 10)


if __name__ == "__main__":
    unittest.main()
