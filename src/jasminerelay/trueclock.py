"""Estimates the true time of day despite steps of the machine's clock.

Without I/O. A machine's time of day may jump by seconds and back. It is read
once at the start and continued with a clock that never jumps. Afterwards it is
followed only while it drifts, or if it stays at the value to which it jumped. A
clock that was wrong at the start is detected by comparison with the clocks of
other instances, of which the median is taken.
"""

import statistics
from collections.abc import Collection

MAX_DRIFT_S = 0.05
"""Difference up to which the time of day is followed as drift."""

DRIFT_WEIGHT = 0.05
"""Fraction of such a difference that each update applies."""

STEP_CONFIRM_S = 120.0
"""Time after which a jump of the time of day is taken for a correction."""

MIN_CLOCKS = 3
"""Clocks needed to decide which one is wrong."""

MAX_SKEW_S = 0.5
"""Difference from the other clocks above which a clock is corrected. Smaller
ones may be due to network delay, and move few requests to another window."""


class TrueClock:
    """True time of one instance.

    Example:
        >>> clock = TrueClock(boot_s=10.0, wall_s=1000.0)
        >>> clock.update(boot_s=11.0, wall_s=1003.0)
        >>> clock.at(11.0)
        1001.0
    """

    def __init__(self, boot_s: float, wall_s: float):
        """Creates a clock.

        Args:
            boot_s: Seconds of a clock that never jumps and goes on while the
                machine is suspended.
            wall_s: Time of day at that moment, in seconds since 1970.
        """
        self._offset_s = wall_s - boot_s
        self._stepped_at: float | None = None

    def at(self, boot_s: float) -> float:
        """Returns the true time at a moment, in seconds since 1970."""
        return boot_s + self._offset_s

    def update(self, boot_s: float, wall_s: float) -> None:
        """Updates the estimate with the time of day at a moment."""
        gap_s = wall_s - self.at(boot_s)
        if abs(gap_s) <= MAX_DRIFT_S:
            self._offset_s += gap_s * DRIFT_WEIGHT
            self._stepped_at = None
        elif self._stepped_at is None:
            self._stepped_at = boot_s
        elif boot_s - self._stepped_at >= STEP_CONFIRM_S:
            self._offset_s += gap_s
            self._stepped_at = None

    def correct(self, skew_s: float) -> None:
        """Sets the clock back by the time that it is ahead of the others."""
        self._offset_s -= skew_s
        self._stepped_at = None


def median_skew_s(skews_s: Collection[float]) -> float:
    """Returns by how much the median clock is ahead of the own one.

    Args:
        skews_s: By how much each clock is ahead, including zero for the own.

    Returns:
        The skew; 0 if it is tolerable or there are too few clocks.
    """
    if len(skews_s) < MIN_CLOCKS:
        return 0.0
    median_s = statistics.median(skews_s)
    return median_s if abs(median_s) > MAX_SKEW_S else 0.0
