"""Estimates the length of an answer from previous answers of the same kind."""

import collections

from hdrh.histogram import HdrHistogram

QUANTILE = 75.0
HIGHEST_TOKENS = 100_000
SIGNIFICANT_FIGURES = 2
WINDOW = 500
"""Number of answers after which a kind starts a new histogram beside the
previous one."""


class LengthEstimator:
    """Running quantiles of answer lengths by kind (class and model)."""

    def __init__(self) -> None:
        self._current: dict[str, HdrHistogram] = {}
        self._previous: dict[str, HdrHistogram] = {}
        self._cached: dict[str, float] = collections.defaultdict(float)

    def observe(self, kind: str, tokens: int) -> None:
        """Records the length of a finished answer."""
        histogram = self._current.get(kind)
        if histogram is None or histogram.total_count >= WINDOW:
            # The previous window is used until the current one is full, so that
            # the estimate follows a change without restarting from no data.
            if histogram is not None:
                self._previous[kind] = histogram
            histogram = _new_histogram()
            self._current[kind] = histogram
        histogram.record_value(max(1, min(tokens, HIGHEST_TOKENS)))
        self._cached.pop(kind, None)

    def tokens(self, kind: str, max_tokens: int) -> float:
        """Returns the estimate, at most the maximum set by the caller."""
        if kind not in self._cached:
            histogram = self._previous.get(kind) or self._current.get(kind)
            self._cached[kind] = (
                histogram.get_value_at_percentile(QUANTILE)
                if histogram is not None
                else float("inf")
            )
        return min(self._cached[kind], max_tokens)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_TOKENS, SIGNIFICANT_FIGURES)
