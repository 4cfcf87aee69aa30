"""Broadcasts items to all instances by an epidemic protocol.

Without I/O. An instance that receives an item for the first time forwards it to
a few others in each of the following rounds. The cost of an item grows linearly
with the number of instances, and neither lost messages nor dead instances in
between prevent its spread.
"""

import random
from collections.abc import Sequence

from jasminerelay.schema.messages import Member

FANOUT = 4
"""Instances to which items are sent in one round."""

ROUNDS = 4
"""Rounds in which an item is forwarded. With 195 instances, each receives it
from 16 others on average."""

RESYNC_EVERY_ROUNDS = 10
"""Rounds between two full synchronisations with one other instance, from which
new instances receive the items that they missed."""


class EpidemicBroadcast:
    """Items that one instance still has to forward, by name."""

    def __init__(self, rng: random.Random):
        """Creates a broadcast without items.

        Args:
            rng: Source of random choices.
        """
        self._rng = rng
        self._rounds_left: dict[str, int] = {}
        self._round = 0

    def add(self, name: str, rounds: int = ROUNDS) -> None:
        """Adds an item, to be forwarded in the given number of rounds."""
        self._rounds_left[name] = max(rounds, self._rounds_left.get(name, 0))

    @property
    def pending(self) -> bool:
        """Whether any item is still to be forwarded."""
        return bool(self._rounds_left)

    def next_round(
        self, members: Sequence[Member]
    ) -> tuple[list[Member], list[str]]:
        """Starts a round; returns the instances and the items to send them."""
        names = list(self._rounds_left)
        self._rounds_left = {
            x: rounds_left - 1
            for x, rounds_left in self._rounds_left.items()
            if rounds_left > 1
        }
        if not names:
            return [], []
        return self._rng.sample(members, min(FANOUT, len(members))), names

    def resync_target(self, members: Sequence[Member]) -> Member | None:
        """Returns the instance that is due for a full synchronisation, if any.

        Counts calls; only every `RESYNC_EVERY_ROUNDS`th returns an instance.
        """
        self._round += 1
        if not members or self._round % RESYNC_EVERY_ROUNDS:
            return None
        return self._rng.choice(members)
