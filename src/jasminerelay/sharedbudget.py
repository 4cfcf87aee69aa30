"""Retry budget shared by all instances.

When all servers of a service fail, each request would be sent twice, which
doubles the load just then. The retries of all instances together must stay
below a share of the requests plus a fixed allowance in any window. Instances
don't coordinate: each uses the share for its own requests and an equal part of
the allowance. `InstanceCount` keeps the parts from exceeding the allowance when
instances are partitioned or have not met.

An instance that has just started may follow one that has used up its part. It
therefore has no part of the allowance for one window, only the share of the
requests that it has received itself.
"""

import collections

from jasminerelay.scheduling.instancecount import InstanceCount

ALLOWANCE_SHARE = 0.6
"""Share of the allowance that is used. The rest covers cuts, in which a
minority keeps its parts while the others divide the allowance anew."""

RATIO_SHARE = 0.8
"""Share of the allowed ratio that is used. Requests count when they are
received and retries when they reach a server; the two differ at the edges of
the window."""


class SharedRetryBudget:
    """Retries that this instance may send, by service."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        started_at: float,
    ):
        """Creates a budget.

        Args:
            ratio: Retries per request, over all instances.
            allowance: Further retries per window, over all instances.
            window_s: Length of the window.
            started_at: Monotonic time at which this instance started.
        """
        self._ratio = ratio * RATIO_SHARE
        self._allowance = allowance * ALLOWANCE_SHARE
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}
        self._allowance_from = started_at + window_s
        self._instances = InstanceCount(2 * window_s)

    def record_instances(self, known: int, live: int, now: float) -> None:
        """Records the known instances, see `InstanceCount.record`."""
        self._instances.record(known, live, now)

    def record_request(self, service: str, now: float) -> None:
        """Records a request for a service."""
        requests = self._requests.setdefault(service, collections.deque())
        _drop_older(requests, now - self._window_s)
        requests.append(now)

    def has_any(self, service: str, now: float) -> bool:
        """Returns whether a retry is left."""
        return self.available(service, now) >= 1

    def spend(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if none is left."""
        if not self.has_any(service, now):
            return False
        self._retries[service].append(now)
        return True

    def available(self, service: str, now: float) -> float:
        """Returns how many retries are left, perhaps a fraction of one."""
        retries = self._retries.setdefault(service, collections.deque())
        requests = self._requests.setdefault(service, collections.deque())
        _drop_older(retries, now - self._window_s)
        _drop_older(requests, now - self._window_s)
        part = 0.0
        if now >= self._allowance_from:
            part = self._allowance / self._instances.divisor
        return self._ratio * len(requests) + part - len(retries)


def _drop_older(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
