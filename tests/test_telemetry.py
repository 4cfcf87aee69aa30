"""Tests of the metrics' text."""

import re
import unittest

import prometheus_client

from jasminerelay.metrics import Counters
from jasminerelay.telemetry import LATENCY_BUCKETS_S, METRIC_PREFIX, Telemetry

LATENCIES = (
    (1, 0.2, 0.7),
    (1, None, 0.05),
    (0, 0.3, 20.0),
)
CREATED = re.compile(r"(_created\{.*\}) .*")


def expected_text() -> str:
    """Returns the library's text of the same latencies."""
    registry = prometheus_client.CollectorRegistry()
    first, total = (
        prometheus_client.Histogram(
            f"{METRIC_PREFIX}_{name}",
            f"Time to the {milestone}, by rank.",
            ["rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        for name, milestone in (
            ("first_event_seconds", "first event"),
            ("answer_seconds", "end of the answer"),
        )
    )
    for rank, first_s, total_s in LATENCIES:
        if first_s is not None:
            first.labels(rank).observe(first_s)
        total.labels(rank).observe(total_s)
    return prometheus_client.generate_latest(registry).decode()


class TelemetryTest(unittest.TestCase):
    """The metrics of an instance."""

    def test_same_text_as_the_library(self) -> None:
        # Guards against histograms that differ from those of the library,
        # which is imported only for the text.
        telemetry = Telemetry(Counters())
        for rank, first_s, total_s in LATENCIES:
            telemetry.record_latencies(rank, first_s, total_s)
        self.assertEqual(
            CREATED.sub(r"\1", telemetry.text().decode()),
            CREATED.sub(r"\1", expected_text()),
        )

    def test_counters(self) -> None:
        counters = Counters()
        counters.incr("store.calls", 3)
        text = Telemetry(counters).text().decode()
        self.assertIn("jasminerelay_store_calls_total 3.0", text)


if __name__ == "__main__":
    unittest.main()
