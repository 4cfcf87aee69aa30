"""Tells all instances what is new, each telling a few others.

Pure. Whoever hears news for the first time passes it on for some rounds, so the
cost of one piece of news grows with the instances and not with their square,
and lost words and dead instances in between do not matter.
"""

import random
from collections.abc import Sequence

from jasminerelay.schema.messages import Member

FANOUT = 4
ROUNDS = 4
"""Others that are told in a round, and rounds: with 195 instances each hears
it from 16 others on average."""

REMIND_EVERY = 10
"""Rounds between two words of all that is known to one other instance, by which
new instances learn what they missed."""


class Epidemic:
    """News of one instance, by name, and who is told of them."""

    def __init__(self, rng: random.Random):
        """Makes an instance's part without news.

        Args:
            rng: Source of random choices.
        """
        self._rng = rng
        self._left: dict[str, int] = {}
        self._rounds = 0

    def add(self, name: str, rounds: int = ROUNDS) -> None:
        """Notes news; they are told for so many rounds more."""
        self._left[name] = max(rounds, self._left.get(name, 0))

    def news(self, others: Sequence[Member]) -> tuple[list[Member], list[str]]:
        """Returns whom to tell now, and of what; counts as a round."""
        names = list(self._left)
        self._left = {x: left - 1 for x, left in self._left.items() if left > 1}
        if not names:
            return [], []
        return self._rng.sample(others, min(FANOUT, len(others))), names

    def reminder(self, others: Sequence[Member]) -> Member | None:
        """Returns whom to tell of all that is known; mostly nobody."""
        self._rounds += 1
        if not others or self._rounds % REMIND_EVERY:
            return None
        return self._rng.choice(others)
