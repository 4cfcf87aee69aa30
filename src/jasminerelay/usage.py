"""Requests that servers started for each organisation, by time window.

Without I/O. Each instance counts its own requests and sends totals, not
increments, to the few instances that may report them to the platform, so that
lost and duplicate messages do no harm. Totals are kept per start of an
instance: those of a restarted instance add to those of its previous start.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable, Iterator

from jasminerelay.pendingstarts import PendingStarts
from jasminerelay.schema.messages import UsageWindow

KEPT_WINDOWS = 6
"""Windows kept: the current one, those whose reports may still be in time, and
one more."""

RESEND_FOR_S = 3.2
"""How long a total is sent again after its last change. Messages are sent every
second, and three losses in a row are unlikely."""


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """Usage in one window, as reported to the platform.

    Attributes:
        window: Number of the window.
        counts: Requests that servers started in it, by organisation.
    """

    window: int
    counts: dict[str, int]


@dataclasses.dataclass
class _WindowCounts:
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    changed_at: float = -math.inf


class LocalUsage:
    """Requests that servers started for one instance.

    Attributes:
        pending: Requests that may still have to be counted.
    """

    def __init__(self, window_s: float):
        """Creates empty counts.

        Args:
            window_s: Length of a window.
        """
        self._window_s = window_s
        self._windows: dict[int, _WindowCounts] = {}
        self.pending = PendingStarts()

    @property
    def window_s(self) -> float:
        """Length of a window."""
        return self._window_s

    def window_at(self, true_s: float) -> int:
        """Returns the number of the window that contains a time."""
        return int(true_s // self._window_s)

    def record_start(
        self, organisation: str, true_s: float, now: float
    ) -> None:
        """Counts a request that a server started.

        Args:
            organisation: Organisation to charge.
            true_s: True time at which the request started.
            now: Monotonic time.
        """
        window = self._windows.setdefault(
            self.window_at(true_s), _WindowCounts()
        )
        window.counts[organisation] += 1
        window.changed_at = now
        newest = max(self._windows)
        for number in [x for x in self._windows if x <= newest - KEPT_WINDOWS]:
            del self._windows[number]

    def windows_to_send(self, now: float, *, full: bool) -> list[UsageWindow]:
        """Returns the totals to send now.

        Args:
            now: Monotonic time.
            full: Whether to include totals that have not changed recently, for
                a receiver that may have none.
        """
        return [
            UsageWindow(
                number, list(window.counts), list(window.counts.values())
            )
            for number, window in sorted(self._windows.items())
            if full or now - window.changed_at < RESEND_FOR_S
        ]


class UsageLedger:
    """Totals of all instances, at an instance that may report them."""

    def __init__(self) -> None:
        # Counts by window, sender and organisation.
        self._windows: dict[int, dict[str, dict[str, int]]] = {}
        self._complete_from = math.inf

    def mark_complete_from(self, first: int) -> None:
        """Marks windows from the given one on as completely received."""
        self._complete_from = min(self._complete_from, first)

    def mark_incomplete(self) -> None:
        """Marks all windows as incomplete: totals are no longer received."""
        self._complete_from = math.inf

    @property
    def complete_from(self) -> float:
        """First window of which the totals are complete; infinity if none."""
        return self._complete_from

    def complete(self, number: int) -> bool:
        """Returns whether the totals of a window may be complete."""
        return number >= self._complete_from

    def merge(self, sender: str, usage: Iterable[UsageWindow]) -> None:
        """Merges the totals of an instance.

        Args:
            sender: The instance, including its incarnation.
            usage: Totals by window.
        """
        for item in usage:
            window = self._windows.setdefault(item.number, {})
            counts = window.setdefault(sender, {})
            for name, count in zip(
                item.organisations, item.counts, strict=True
            ):
                counts[name] = max(counts.get(name, 0), count)

    def totals_after(
        self, after: tuple[int, str], first: int, last: int
    ) -> Iterator[tuple[str, UsageWindow]]:
        """Yields the totals of each instance, by window and instance.

        Args:
            after: Window and instance after which to begin.
            first: First window.
            last: Last window.
        """
        for number in sorted(x for x in self._windows if first <= x <= last):
            for sender, counts in sorted(self._windows[number].items()):
                if (number, sender) > after:
                    yield (
                        sender,
                        UsageWindow(
                            number, list(counts), list(counts.values())
                        ),
                    )

    def counts(self, number: int) -> dict[str, int]:
        """Returns the requests of each organisation in a window."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._windows.get(number, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def expire(self, current: int) -> None:
        """Drops windows that are too old.

        Args:
            current: Number of the current window.
        """
        for number in list(self._windows):
            # Windows far in the future come from a wrong clock.
            if not current - KEPT_WINDOWS < number <= current + KEPT_WINDOWS:
                del self._windows[number]
