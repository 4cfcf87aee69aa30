"""The true time of day, as an instance holds it against steps of its clock.

Pure. A machine's time of day may jump by seconds and back again. So it is taken
once at the start and goes on with the machine's own seconds; it follows the
time of day only where that drifts, or stays where it has jumped to. A clock
that was wrong at the start shows by the others', of which the middle one holds.
"""

import statistics
from collections.abc import Collection

DRIFT_S = 0.05
"""Difference up to which the time of day is followed as it drifts."""

DRIFT_WEIGHT = 0.05
"""Part of such a difference that is taken over at each look."""

STEP_KEPT_S = 120.0
"""Time after which a jump of the time of day is taken for a correction."""

LEAST_CLOCKS = 3
"""Clocks that it takes to say which one is wrong."""

SKEW_S = 0.5
"""Difference from the others' clocks that is corrected; less may be their
words' time on the way, and moves few requests into another window."""


class TrueClock:
    """One instance's true time.

    Example:
        >>> clock = TrueClock(boot_s=10.0, wall_s=1000.0)
        >>> clock.look(boot_s=11.0, wall_s=1003.0)
        >>> clock.at(11.0)
        1001.0
    """

    def __init__(self, boot_s: float, wall_s: float):
        """Makes the clock.

        Args:
            boot_s: Seconds of a clock that never jumps and goes on while the
                machine is suspended.
            wall_s: The time of day at that moment, in seconds since 1970.
        """
        self._ahead_s = wall_s - boot_s
        self._jumped_at: float | None = None

    def at(self, boot_s: float) -> float:
        """Returns the true time at a moment, in seconds since 1970."""
        return boot_s + self._ahead_s

    def look(self, boot_s: float, wall_s: float) -> None:
        """Takes the time of day at a moment."""
        gap_s = wall_s - self.at(boot_s)
        if abs(gap_s) <= DRIFT_S:
            self._ahead_s += gap_s * DRIFT_WEIGHT
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = boot_s
        elif boot_s - self._jumped_at >= STEP_KEPT_S:
            self._ahead_s += gap_s
            self._jumped_at = None

    def correct(self, skew_s: float) -> None:
        """Moves the clock back by what it is ahead of the others'."""
        self._ahead_s -= skew_s
        self._jumped_at = None


def middle_skew_s(skews_s: Collection[float]) -> float:
    """Returns by how much most clocks are ahead of the own one.

    Args:
        skews_s: By how much each is, the own one's zero among them.
    """
    if len(skews_s) < LEAST_CLOCKS:
        return 0.0
    middle = statistics.median(skews_s)
    return middle if abs(middle) > SKEW_S else 0.0
