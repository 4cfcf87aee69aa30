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


LEVEL_TIME_CONSTANT_S = 1.5
"""Time constant of the level of demand by which overload is recognised. At two
thirds of the capacity, with a few dozen requests a second, a shorter one would
exceed the capacity by chance."""

BURST_HOLD_S = 1.0
"""Time for which a burst of an urgent kind counts as overload. By then either
the average has risen or the burst is over."""

SETTLING_TIME_S = 3.0
"""Time for which the average of a new kind only approaches its rate, so that
its recent arrivals are not compared with it."""

UNLOADED_SHARE = 0.85
"""Share of the capacity below which overload has ended."""


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
        overloaded: Whether all kinds together, or an urgent one in a burst,
            need more servers than they have.
    """

    demand: tuple[RouteDemand, ...] = ()
    rising: frozenset[str] = frozenset()
    overloaded: bool = False


class DemandForecaster:
    """Forecasts the demand on one service.

    Whether there is too much work is decided by a level that follows the recent
    arrivals in both directions alike. The average rises faster than it falls,
    so with random arrivals it is higher than the demand.
    """

    def __init__(self) -> None:
        self._levels: dict[str, float] = {}
        self._settled_at: dict[str, float] = {}
        self._updated_at = self._burst_at = -math.inf
        self._started_at = math.inf
        self._overloaded = False

    def update(
        self, measured: Sequence[RouteDemand], capacity: float, now: float
    ) -> DemandForecast:
        """Returns the expected demand.

        Args:
            measured: Average and recent demand by kind, of all instances.
            capacity: Work that the servers can do, in servers of usual speed.
            now: Monotonic time.
        """
        self._started_at = min(self._started_at, now)
        self._follow(measured, now)
        settled = [x for x in measured if now >= self._settled_at[x.kind]]
        clear = sum(self._levels.values()) + sum(
            item.recent - self._levels[item.kind]
            for item in settled
            if _has_risen(item, CLEAR_RISE, CLEAR_RISE_MARGIN)
        )
        if _urgent_burst(settled):
            self._burst_at = now
        limit = capacity * (UNLOADED_SHARE if self._overloaded else 1.0)
        self._overloaded = clear > limit or now - self._burst_at <= BURST_HOLD_S
        if not self._overloaded:
            return DemandForecast(tuple(measured))
        rising = frozenset(x.kind for x in settled if _has_risen(x, RISE))
        expected = tuple(
            msgspec.structs.replace(
                item,
                work=item.recent
                if item.kind in rising
                else max(item.work, self._levels[item.kind]),
            )
            for item in measured
        )
        return DemandForecast(expected, rising, overloaded=True)

    def _follow(self, measured: Sequence[RouteDemand], now: float) -> None:
        # From nothing: the first window alone shows a start as overload.
        span_s = now - max(self._updated_at, self._started_at)
        self._updated_at = now
        weight = 1 - math.exp(-max(0.0, span_s) / LEVEL_TIME_CONSTANT_S)
        levels = {}
        for item in measured:
            level = self._levels.get(item.kind, 0.0)
            levels[item.kind] = level + weight * (item.recent - level)
            self._settled_at.setdefault(item.kind, now + SETTLING_TIME_S)
        self._levels = levels


def _urgent_burst(measured: Sequence[RouteDemand]) -> bool:
    """Returns whether a kind that is not the last by rank has risen and waits.

    Its servers are then overloaded, whether or not all servers are.
    """
    last = max((item.rank for item in measured), default=0)
    return any(
        item.rank < last and item.waiting and _has_risen(item, RISE)
        for item in measured
    )


def _has_risen(item: RouteDemand, rise: float, margin: float = 0.0) -> bool:
    """Returns whether recent requests exceed the usual ones not by chance.

    Args:
        item: Demand of one kind.
        rise: Standard deviations by which the requests must exceed the usual.
        margin: Requests by which they must exceed them in addition.
    """
    if item.recent <= item.work:
        return False
    usual = item.requests * item.work / item.recent
    return item.requests - usual > rise * math.sqrt(usual) + margin
