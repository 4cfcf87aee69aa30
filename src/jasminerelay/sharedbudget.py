"""Retry budget shared by all instances.

When all servers of a service fail, each request would be sent twice, which
doubles the load just then. The retries of all instances together must stay
below a share of the requests plus a fixed allowance in any window. Instances
don't coordinate: each uses the share for its own requests and an equal part of
the allowance. That part is computed from the highest recent instance count, so
that the parts don't exceed the allowance when instances are partitioned.
"""

import collections

ALLOWANCE_SHARE = 0.6
"""Share of the allowance that is used. The rest covers instances that were
started or replaced within one window and whose counts start at zero."""

RATIO_SHARE = 0.8
"""Share of the allowed ratio that is used. Requests count when they are
received and retries when they reach a server; the two differ at the edges of
the window."""


class SharedRetryBudget:
    """Retries that this instance may send, by service."""

    def __init__(self, ratio: float, allowance: float, window_s: float):
        """Creates a budget.

        Args:
            ratio: Retries per request, over all instances.
            allowance: Further retries per window, over all instances.
            window_s: Length of the window.
        """
        self._ratio = ratio * RATIO_SHARE
        self._allowance = allowance * ALLOWANCE_SHARE
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}
        self._instance_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record_instance_count(self, count: int, now: float) -> None:
        """Records the current number of known instances."""
        self._instance_counts.append((now, max(1, count)))
        while self._instance_counts[0][0] < now - 2 * self._window_s:
            self._instance_counts.popleft()

    def record_request(self, service: str, now: float) -> None:
        """Records a request for a service."""
        requests = self._requests.setdefault(service, collections.deque())
        _drop_older(requests, now - self._window_s)
        requests.append(now)

    def has_any(self, service: str, now: float) -> bool:
        """Returns whether a retry is left."""
        return self._available(service, now) >= 1

    def spend(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if none is left."""
        if not self.has_any(service, now):
            return False
        self._retries[service].append(now)
        return True

    def _available(self, service: str, now: float) -> float:
        retries = self._retries.setdefault(service, collections.deque())
        requests = self._requests.setdefault(service, collections.deque())
        _drop_older(retries, now - self._window_s)
        _drop_older(requests, now - self._window_s)
        divisor = max((size for _, size in self._instance_counts), default=1)
        return (
            self._ratio * len(requests)
            + self._allowance / divisor
            - len(retries)
        )


def _drop_older(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
