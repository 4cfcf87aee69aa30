"""Counters and latency histograms in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric

from jasminerelay.metrics import Counters

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
        self._registry = CollectorRegistry()
        self._registry.register(_CounterCollector(counters))
        self._first = self._histogram("first_event_seconds", "first event")
        self._total = self._histogram("answer_seconds", "end of the answer")

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
            self._first.labels(rank).observe(first_s)
        self._total.labels(rank).observe(total_s)

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus exposition format."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, milestone: str) -> Histogram:
        return Histogram(
            f"{METRIC_PREFIX}_{name}",
            f"Time to the {milestone}, by rank.",
            ["rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )


class _CounterCollector:
    def __init__(self, counters: Counters):
        self._counters = counters

    def collect(self) -> Iterator[Metric]:
        for name, count in self._counters.snapshot().items():
            metric = f"{METRIC_PREFIX}_{name.replace('.', '_')}"
            yield CounterMetricFamily(metric, name, value=count)
