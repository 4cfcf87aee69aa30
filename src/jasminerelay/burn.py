"""Service-level reporting: attainment, burn rate, goodput and wasted tokens.

Figures are kept for each service class and summed over sliding windows.
"""

import collections
import dataclasses
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from jasminerelay.schema.manifest import ServiceClass

BUCKET_S = 60.0
SHORT_WINDOW_S = 300.0
LONG_WINDOW_S = 3600.0
MAX_LATENCY_MS = 600_000
SIGNIFICANT_FIGURES = 2

ENDED_COMPLETED = "completed"
ENDED_REFUSED = "refused"
ENDED_FAILED = "failed"
ENDED_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Sample:
    """One finished request.

    Attributes:
        class_name: Service class of the request.
        ended: completed, refused, failed or unknown.
        met: Whether the request met its latency target.
        latency_s: Time to the first token or to the whole answer, as the
            target is defined, in seconds; 0 if that point was not reached.
        useful_tokens: Tokens of a complete answer.
        wasted: Tokens discarded or computed again, by cause.
    """

    class_name: str
    ended: str
    met: bool
    latency_s: float
    useful_tokens: int
    wasted: dict[str, int]


@dataclasses.dataclass(frozen=True)
class WindowTotals:
    """Sums over a window, serializable and mergeable.

    Attributes:
        ended: Number of requests by outcome.
        met: Number of requests that met their latency target.
        useful_tokens: Tokens of complete answers.
        wasted: Wasted tokens by cause.
        histogram: Encoded HdrHistogram of latencies in milliseconds.
    """

    ended: dict[str, int]
    met: int
    useful_tokens: int
    wasted: dict[str, int]
    histogram: str

    @property
    def requests(self) -> int:
        """Number of requests of any outcome."""
        return sum(self.ended.values())

    @property
    def attainment(self) -> float | None:
        """Share of requests that met the target; None without requests."""
        return self.met / self.requests if self.requests else None

    @property
    def waste_share(self) -> float:
        """Share of the computed tokens that was wasted."""
        wasted = sum(self.wasted.values())
        computed = wasted + self.useful_tokens
        return wasted / computed if computed else 0.0

    def burn_rate(self, goal: float) -> float:
        """Returns the share of missed targets relative to the share allowed.

        A rate of 1 just meets the goal.
        """
        if self.attainment is None:
            return 0.0
        return (1 - self.attainment) / (1 - goal)

    def latency_s(self, percentile: float) -> float:
        """Returns a percentile of the latency in seconds."""
        histogram = _decode(self.histogram)
        return histogram.get_value_at_percentile(percentile) / 1000


class _Bucket:
    """Sums of one class over one minute."""

    def __init__(self) -> None:
        self.ended: collections.Counter[str] = collections.Counter()
        self.met = 0
        self.useful_tokens = 0
        self.wasted: collections.Counter[str] = collections.Counter()
        self.histogram = _new_histogram()

    def add(self, sample: Sample) -> None:
        self.ended[sample.ended] += 1
        self.met += sample.met
        self.useful_tokens += sample.useful_tokens
        self.wasted.update(sample.wasted)
        if sample.latency_s > 0:
            milliseconds = round(sample.latency_s * 1000)
            self.histogram.record_value(
                max(1, min(milliseconds, MAX_LATENCY_MS))
            )


class BurnRecorder:
    """Sums an instance's finished requests by class in one-minute buckets."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def add(self, sample: Sample, now: float) -> None:
        """Records a finished request."""
        index = int(now // BUCKET_S)
        key = (sample.class_name, index)
        if key not in self._buckets:
            oldest = index - int(LONG_WINDOW_S // BUCKET_S)
            self._buckets = {
                other: bucket
                for other, bucket in self._buckets.items()
                if other[1] > oldest
            }
            self._buckets[key] = _Bucket()
        self._buckets[key].add(sample)

    def totals(self, window_s: float, now: float) -> dict[str, WindowTotals]:
        """Returns the sums over the last window by class."""
        oldest = int((now - window_s) // BUCKET_S)
        names = sorted({name for name, _ in self._buckets})
        return {
            name: _sum(
                bucket
                for (other, index), bucket in self._buckets.items()
                if other == name and index > oldest
            )
            for name in names
        }


@dataclasses.dataclass(frozen=True)
class ReportRow:
    """One row of the report: a service class with both windows."""

    class_name: str
    rank: int
    goal: float
    target_s: float
    short: WindowTotals
    long: WindowTotals


def merge(parts: Iterable[WindowTotals]) -> WindowTotals:
    """Merges the totals of several buckets or instances."""
    ended: collections.Counter[str] = collections.Counter()
    wasted: collections.Counter[str] = collections.Counter()
    histogram = _new_histogram()
    met = useful = 0
    for part in parts:
        ended.update(part.ended)
        wasted.update(part.wasted)
        met += part.met
        useful += part.useful_tokens
        histogram.add(_decode(part.histogram))
    return WindowTotals(
        dict(ended), met, useful, dict(wasted), _encode(histogram)
    )


def report(
    classes: Iterable[ServiceClass],
    instances: Iterable[dict[str, dict[str, WindowTotals]]],
) -> list[ReportRow]:
    """Returns the rows of the report, ordered by rank.

    Args:
        classes: Service classes of the manifest in force.
        instances: Totals of each instance by window ("short", "long") and
            class.
    """
    answers = list(instances)
    rows = []
    for item in sorted(classes, key=lambda item: (item.rank, item.name)):
        windows = {
            window: merge(
                answer[window][item.name]
                for answer in answers
                if item.name in answer[window]
            )
            for window in ("short", "long")
        }
        rows.append(
            ReportRow(
                item.name,
                item.rank,
                item.goal,
                item.target_s,
                windows["short"],
                windows["long"],
            )
        )
    return rows


def _sum(buckets: Iterable[_Bucket]) -> WindowTotals:
    return merge(
        WindowTotals(
            dict(bucket.ended),
            bucket.met,
            bucket.useful_tokens,
            dict(bucket.wasted),
            _encode(bucket.histogram),
        )
        for bucket in buckets
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_FIGURES)


def _encode(histogram: HdrHistogram) -> str:
    return histogram.encode().decode()


def _decode(text: str) -> HdrHistogram:
    return HdrHistogram.decode(text)
