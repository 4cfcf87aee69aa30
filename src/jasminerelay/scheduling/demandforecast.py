"""Forecasts the demand of the next second from the arrivals of the last ones.

Load handled: requests of one kind come at several times their usual rate for a
few seconds, while the servers are assigned to kinds by an average that takes
about as long to follow.

Pure. The forecast is the rate of a short window, used only where it exceeds the
average by more than chance explains and the servers cannot do all of the work.
Without overload a split that changes by chance costs caches and gains little;
steady demand therefore has its average as its forecast.
"""

import collections
import dataclasses
import math
from collections.abc import Sequence

import msgspec

from jasminerelay.schema.messages import RouteDemand

WINDOW_S = 0.3
"""Window whose arrivals are counted. At 60 requests/s a rise to 2.8 times the
usual rate stands out within this time; a longer window would mix in the time
before the rise."""

BUCKET_S = 0.05
"""Resolution of the window."""

MAX_AGE_S = 1.0
"""Age up to which the recent arrivals at another instance are used. The average
of its demand is used for longer, since it describes a longer time."""

RISE = 2.0
CLEAR_RISE = 3.5
"""Standard deviations by which the arrivals must exceed the usual ones, where
there is too much work already, and where there would only be with the rise. A
split that changes by chance costs caches; under overload that costs less than
a burst of urgent requests that is followed late."""

CLEAR_RISE_MARGIN = 2.0
"""Requests by which they must exceed them, too, where there is not yet too much
work. Few requests vary by more than their standard deviation says."""


class RecentArrivals:
    """Counts the arrivals of one kind in the window before now."""

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()

    def record(self, now: float) -> None:
        """Records an arrival."""
        bucket = int(now / BUCKET_S)
        count = 0
        if self._buckets and self._buckets[-1][0] == bucket:
            _, count = self._buckets.pop()
        self._buckets.append((bucket, count + 1))
        self._expire(now)

    def count(self, now: float) -> int:
        """Returns the number of arrivals in the window."""
        self._expire(now)
        return sum(count for _, count in self._buckets)

    def _expire(self, now: float) -> None:
        oldest = int((now - WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


@dataclasses.dataclass(frozen=True)
class DemandForecast:
    """Expected demand on one service in the next second.

    Attributes:
        demand: Expected demand by kind.
        rising: Kinds whose forecast exceeds their average.
        overloaded: Whether it needs more servers than there are.
    """

    demand: tuple[RouteDemand, ...] = ()
    rising: frozenset[str] = frozenset()
    overloaded: bool = False


def forecast(
    measured: Sequence[RouteDemand], capacity: float
) -> DemandForecast:
    """Returns the expected demand.

    Args:
        measured: Average and recent demand by kind, of all instances.
        capacity: Work that the servers can do, in servers of usual speed.
    """
    clear = [
        _expected_work(item, CLEAR_RISE, CLEAR_RISE_MARGIN) for item in measured
    ]
    if sum(clear) <= capacity:
        return DemandForecast(tuple(measured))
    expected = [_expected_work(item, RISE) for item in measured]
    found = tuple(
        item if work == item.work else msgspec.structs.replace(item, work=work)
        for item, work in zip(measured, expected, strict=True)
    )
    rising = frozenset(
        item.kind
        for item, work in zip(measured, expected, strict=True)
        if work > item.work
    )
    return DemandForecast(found, rising, overloaded=True)


def _expected_work(
    item: RouteDemand, rise: float, margin: float = 0.0
) -> float:
    """Returns the work of the recent requests if it has risen, or the average.

    Args:
        item: Demand of one kind.
        rise: Standard deviations by which the requests must exceed the usual.
        margin: Requests by which they must exceed them in addition.
    """
    if item.recent <= item.work:
        return item.work
    usual = item.requests * item.work / item.recent
    if item.requests - usual <= rise * math.sqrt(usual) + margin:
        return item.work
    return item.recent
