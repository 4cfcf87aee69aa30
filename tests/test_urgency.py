"""Which requests a full engine puts back, by the grades that it is given.

Pattern: a burst of chats of all organisations at engines of sixteen places,
among which long studies go on that were moved there.
"""

import itertools
import random
import unittest
from collections.abc import Callable

from jasminerelay.catalog import Bounds, Catalog, Holder, Repeat, Route, Share

SLOTS = 16
BURST = 400
CHAT, CHECK, STUDY = (
    Route(
        name, "h", f"/{name}/", Repeat.ONCE, True, 15.0, 1.0, 0.3, rank,
        (Share("engines", 1.0),), 1, False, True,
    )
    for rank, name in enumerate(("chat", "check", "study"))
)  # fmt: skip
CATALOG = Catalog(
    1,
    (CHAT, CHECK, STUDY),
    {},
    {str(rank): Holder(f"o{rank}", rank) for rank in (0, 1)},
    True,
    Bounds(),
)


class Engine:
    """Takes the more urgent first, and puts back the newest of the others."""

    def __init__(self, grade: Callable[[int, Route], int]):
        self._grade = grade
        self._running: list[tuple[int, int, Route]] = []
        self._numbers = itertools.count()
        self.wrong = 0

    def come(self, rank: int, route: Route) -> None:
        """Takes a request, if it finds a place."""
        if len(self._running) >= SLOTS and not self._put_back(rank, route):
            return
        self._running.append((next(self._numbers), rank, route))

    def end(self, rng: random.Random) -> None:
        """Ends one of the requests."""
        if self._running:
            self._running.remove(rng.choice(self._running))

    def _put_back(self, rank: int, route: Route) -> bool:
        new = self._grade(rank, route)
        below = [x for x in self._running if self._grade(*x[1:]) > new]
        if not below:
            return False
        victim = max(below)
        self._running.remove(victim)
        self.wrong += any(x[2].rank > victim[2].rank for x in self._running)
        return True


def wrong(grade: Callable[[int, Route], int], seed: int) -> int:
    """Returns how often one is put back while a less urgent one runs on."""
    rng = random.Random(seed)
    engine = Engine(grade)
    for _ in range(3):
        engine.come(rng.choice((0, 1)), STUDY)
    for _ in range(BURST):
        route = rng.choices((CHAT, CHECK, STUDY), (30, 1, 1))[0]
        engine.come(rng.choice((0, 1)), route)
        if rng.random() < 0.8:
            engine.end(rng)
    return engine.wrong


class FullEngineTest(unittest.TestCase):
    """A burst at a full engine."""

    def test_two_grades(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                found = wrong(lambda *x: not CATALOG.urgent(*x), seed)
                self.assertLess(found, 10)

    def test_a_grade_for_each_rank_is_worse(self) -> None:
        # Says that the pattern is one: with all ranks told it breaks.
        found = [wrong(CATALOG.level_of, seed) for seed in range(20)]
        self.assertGreater(max(found), 10)


if __name__ == "__main__":
    unittest.main()
