"""A budget of repeats that holds over all instances together.

When every server of a service fails, each request would be sent twice and
the service would see its load double just then. The sum over all instances
must stay under a share of the requests plus a fixed allowance in any span.
Instances do not ask each other: each takes the share for its own requests
and its part of the allowance, by the most instances known of late, so that
a partition of the instances cannot make the parts add up to more than one.
"""

import collections

ALLOWANCE_SHARE = 0.6
"""Part of the allowance that is handed out. The rest covers instances that
started or were replaced within one span and count from nothing."""

RATIO_SHARE = 0.8
"""Part of the share of requests that is used: requests are counted where
they were read, repeats where they arrive, at the edges of the span both
differ."""


class SharedBudget:
    """Repeats that this instance may send, by service."""

    def __init__(self, ratio: float, allowance: float, window_s: float):
        """Makes a budget.

        Args:
            ratio: Repeats per request, over all instances.
            allowance: Repeats in a window beside that, over all instances.
            window_s: The window.
        """
        self._ratio = ratio * RATIO_SHARE
        self._allowance = allowance * ALLOWANCE_SHARE
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}
        self._sizes: collections.deque[tuple[float, int]] = collections.deque()

    def saw_instances(self, count: int, now: float) -> None:
        """Notes how many instances are known now."""
        self._sizes.append((now, max(1, count)))
        while self._sizes[0][0] < now - 2 * self._window_s:
            self._sizes.popleft()

    def requested(self, service: str, now: float) -> None:
        """Notes a request for a service."""
        requests = self._requests.setdefault(service, collections.deque())
        _trim(requests, now - self._window_s)
        requests.append(now)

    def spend(self, service: str, now: float) -> bool:
        """Takes one repeat; returns whether there was one left."""
        repeats = self._repeats.setdefault(service, collections.deque())
        requests = self._requests.setdefault(service, collections.deque())
        _trim(repeats, now - self._window_s)
        _trim(requests, now - self._window_s)
        most = max((size for _, size in self._sizes), default=1)
        left = (
            self._ratio * len(requests) + self._allowance / most - len(repeats)
        )
        if left < 1:
            return False
        repeats.append(now)
        return True


def _trim(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
