"""Requests that were sent, and whose start at a server is not known yet.

A module of its own, since instances without duties need nothing else of
`usage`.
"""

import contextlib
import itertools
from collections.abc import Iterator


class PendingStarts:
    """Requests sent of which it is not known yet whether a server began them.

    A plain request is counted when its response begins, in the window in which
    it was sent.
    """

    def __init__(self) -> None:
        self._keys = itertools.count()
        self._sent_at: dict[int, float] = {}

    @contextlib.contextmanager
    def track(self, sent_at: float) -> Iterator[None]:
        """Counts a request as pending while the context is open.

        Args:
            sent_at: Monotonic time at which it was sent.
        """
        key = next(self._keys)
        self._sent_at[key] = sent_at
        try:
            yield
        finally:
            del self._sent_at[key]

    def oldest_s(self, now: float) -> float:
        """Returns the age of the oldest pending request; 0 if there is none."""
        # Requests are added in the order in which they are sent.
        sent_at = next(iter(self._sent_at.values()), now)
        return max(0.0, now - sent_at)
