"""Number of instances among which a limit is divided.

Pure. Each instance uses its part of a limit without asking the others. The
parts add up to the limit only if no instance divides by too small a number:
one that has not met the others yet would take all of it, and so would each
side of a cut that lasts until the sides have forgotten each other.
"""

import collections


class InstanceCount:
    """One instance's number of instances, which falls with a majority only.

    Of two sides of a cut at most one has more than half of the instances. Only
    that side divides by fewer than before, so that all parts together stay
    below twice the limit less the part of the smaller side.

    Example:
        >>> count = InstanceCount(window_s=20.0)
        >>> count.record(6, 6, now=0.0)
        >>> count.record(2, 2, now=30.0)
        >>> count.divisor
        6
        >>> count.record(4, 4, now=60.0)
        >>> count.divisor
        4
    """

    def __init__(self, window_s: float):
        """Creates the count of an instance that knows only itself.

        Args:
            window_s: Time for which the highest number counts in any case.
        """
        self._window_s = window_s
        self._recent: collections.deque[tuple[float, int]] = collections.deque()
        self._divisor = 1

    @property
    def divisor(self) -> int:
        """The number by which to divide a limit."""
        return self._divisor

    def record(self, known: int, live: int, now: float) -> None:
        """Records what this instance knows at present.

        Args:
            known: Known instances, also failed ones and those not met yet.
            live: Instances among them that are alive, including this one.
            now: Monotonic time.
        """
        while self._recent and self._recent[-1][1] <= known:
            self._recent.pop()
        self._recent.append((now, known))
        while self._recent[0][0] < now - self._window_s:
            self._recent.popleft()
        highest = max(1, self._recent[0][1])
        if highest >= self._divisor or 2 * live > self._divisor:
            self._divisor = highest
