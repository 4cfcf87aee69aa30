"""Counters and latency histograms in the Prometheus text format.

The library that writes the format is imported at the first request for metrics:
importing it takes a noticeable part of the start of an instance.
"""

import bisect
import itertools
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from jasminerelay.metrics import Counters

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRIC_PREFIX = "jasminerelay"
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
"""Upper bounds of the histogram buckets. They range from the latency of a
call to a plain service to the longest time limit that callers set."""


class Telemetry:
    """An instance's metrics."""

    def __init__(self, counters: Counters):
        """Initializes the metrics.

        Args:
            counters: Event counters, read at each scrape.
        """
        self._counters = counters
        self._first = _Histogram("first_event_seconds", "first event")
        self._total = _Histogram("answer_seconds", "end of the answer")

    def record_latencies(
        self, rank: int, first_s: float | None, total_s: float
    ) -> None:
        """Records the latencies of a finished request.

        Args:
            rank: Rank of the request.
            first_s: Time to the first event; None if there was none.
            total_s: Time to the end of the request.
        """
        if first_s is not None:
            self._first.observe(rank, first_s)
        self._total.observe(rank, total_s)

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus exposition format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator["Metric"]:
        """Returns the metrics as the library's collector."""
        from prometheus_client.metrics_core import CounterMetricFamily

        for name, count in self._counters.snapshot().items():
            metric = f"{METRIC_PREFIX}_{name.replace('.', '_')}"
            yield CounterMetricFamily(metric, name, value=count)
        yield self._first.family()
        yield self._total.family()


class _Histogram:
    """Latencies of one kind, by rank."""

    def __init__(self, name: str, milestone: str):
        self._name = f"{METRIC_PREFIX}_{name}"
        self._text = f"Time to the {milestone}, by rank."
        self._ranks: dict[int, _Latencies] = {}

    def observe(self, rank: int, seconds: float) -> None:
        """Counts a latency."""
        if rank not in self._ranks:
            self._ranks[rank] = _Latencies()
        self._ranks[rank].observe(seconds)

    def family(self) -> "Metric":
        """Returns the counts in the library's form."""
        from prometheus_client.metrics_core import HistogramMetricFamily

        family = HistogramMetricFamily(self._name, self._text, labels=["rank"])
        bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
        for rank, latencies in self._ranks.items():
            counts = itertools.accumulate(latencies.counts)
            buckets = [*zip(bounds, map(float, counts), strict=True)]
            family.add_metric([str(rank)], buckets, latencies.sum_s)
            family.add_sample(
                f"{self._name}_created",
                {"rank": str(rank)},
                latencies.created_at,
            )
        return family


class _Latencies:
    """Counts of latencies by bucket.

    Attributes:
        counts: Number of latencies in each bucket, the unbounded one last.
        sum_s: Sum of the latencies.
        created_at: Unix time of the first one.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0
        self.created_at = time.time()

    def observe(self, seconds: float) -> None:
        """Counts a latency."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.sum_s += seconds
