"""Counters and latency histograms as text, for whoever collects metrics."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric

from jasminerelay.metrics import Counters

PREFIX = "jasminerelay"
BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
"""Upper bounds of the histograms' steps in seconds, from a plain call to the
longest time limit that callers give."""


class Telemetry:
    """An instance's metrics."""

    def __init__(self, counters: Counters):
        """Makes the metrics.

        Args:
            counters: Counts events; shown as they stand when asked.
        """
        self._registry = CollectorRegistry()
        self._registry.register(_CounterCollector(counters))
        self._first = self._histogram("first_event_seconds", "first event")
        self._total = self._histogram("answer_seconds", "end of the answer")

    def answered(
        self, rank: int, first_s: float | None, total_s: float
    ) -> None:
        """Notes a request's end.

        Args:
            rank: Its rank.
            first_s: Time to its first event; None without one.
            total_s: Time to its end.
        """
        if first_s is not None:
            self._first.labels(rank).observe(first_s)
        self._total.labels(rank).observe(total_s)

    def text(self) -> bytes:
        """Returns all of it in the usual exposition format."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, what: str) -> Histogram:
        return Histogram(
            f"{PREFIX}_{name}",
            f"Time to the {what}, by rank.",
            ["rank"],
            buckets=BOUNDS_S,
            registry=self._registry,
        )


class _CounterCollector:
    def __init__(self, counters: Counters):
        self._counters = counters

    def collect(self) -> Iterator[Metric]:
        for name, count in self._counters.snapshot().items():
            shown = f"{PREFIX}_{name.replace('.', '_')}"
            yield CounterMetricFamily(shown, name, value=count)
