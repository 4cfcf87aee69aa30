"""Requests that servers have begun for each organisation, by window of time.

Pure. Each instance counts its own and tells the counts, not their growth, to
the few that may report them: a word that is lost or comes twice does no harm.
Counts go by the instance's start, so a restarted one adds to what its former
start has told.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from jasminerelay.schema.messages import UsageWindow

KEPT_WINDOWS = 6
"""Windows that are kept: the present one, those whose reports may still be in
time, and one more."""

TOLD_FOR_S = 3.2
"""How long a count is told after its last change. Words come each second, and
three in a row are hardly lost."""


@dataclasses.dataclass(frozen=True)
class Report:
    """The usage of one window.

    Attributes:
        window: Its number.
        counts: Requests that servers began in it, by organisation.
    """

    window: int
    counts: dict[str, int]


@dataclasses.dataclass
class _Window:
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    changed_at: float = -math.inf


class OwnUsage:
    """What servers have begun for the requests of one instance."""

    def __init__(self, window_s: float):
        """Makes an instance's counts.

        Args:
            window_s: Length of a window.
        """
        self._window_s = window_s
        self._windows: dict[int, _Window] = {}

    def window_at(self, true_s: float) -> int:
        """Returns the number of the window of a moment."""
        return int(true_s // self._window_s)

    def began(self, organisation: str, true_s: float, now: float) -> None:
        """Notes that a server has begun a request.

        Args:
            organisation: Whose it is.
            true_s: True time at which it began.
            now: Steady time.
        """
        window = self._windows.setdefault(self.window_at(true_s), _Window())
        window.counts[organisation] += 1
        window.changed_at = now
        newest = max(self._windows)
        for number in [x for x in self._windows if x <= newest - KEPT_WINDOWS]:
            del self._windows[number]

    def told(self, now: float, *, anew: bool) -> list[UsageWindow]:
        """Returns what is to be told now.

        Args:
            now: Steady time.
            anew: Whether the other knows nothing yet.
        """
        return [
            UsageWindow(
                number, list(window.counts), list(window.counts.values())
            )
            for number, window in sorted(self._windows.items())
            if anew or now - window.changed_at < TOLD_FOR_S
        ]


class UsageLedger:
    """What all instances have counted, at one that may report it."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[tuple[str, str], int]] = {}
        self._from = math.inf

    def opens(self, first: int) -> None:
        """Notes the first window of which it will have heard everything."""
        self._from = min(self._from, first)

    def closes(self) -> None:
        """Notes that it is not told everything any more."""
        self._from = math.inf

    def complete(self, number: int) -> bool:
        """Returns whether what is known of a window may be all of it."""
        return number >= self._from

    def hear(self, sender: str, usage: Iterable[UsageWindow]) -> None:
        """Takes an instance's counts.

        Args:
            sender: The instance, with its start.
            usage: Its windows.
        """
        for item in usage:
            window = self._windows.setdefault(item.number, {})
            for name, count in zip(
                item.organisations, item.counts, strict=True
            ):
                key = (sender, name)
                window[key] = max(window.get(key, 0), count)

    def counts(self, number: int) -> dict[str, int]:
        """Returns the requests of each organisation in a window."""
        total: collections.Counter[str] = collections.Counter()
        for (_, name), count in self._windows.get(number, {}).items():
            total[name] += count
        return dict(sorted(total.items()))

    def expire(self, present: int) -> None:
        """Drops windows that are too old.

        Args:
            present: Number of the present window.
        """
        for number in list(self._windows):
            # One far ahead is a wrong clock's.
            if not present - KEPT_WINDOWS < number <= present + KEPT_WINDOWS:
                del self._windows[number]
