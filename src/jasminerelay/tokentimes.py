"""Measures each engine's time per token on the streams of this instance.

Pure. Prefill of long prompts slows an engine's decode far more than its number
of requests shows, and reports of it arrive late. The time between the events of
this instance's streams shows it immediately.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping

AVERAGING_TIME_S = 1.0
"""Time constant of the moving average: long compared with the prefill of one
prompt, short compared with an answer."""

MAX_AGE_S = 5.0
"""Age above which a measurement is ignored; by then an idle server is fast
again."""

OWN_MAX_AGE_S = 1.0
"""Age up to which this instance's measurement is preferred to those of others,
and is reported to them."""

REPORT_WEIGHT = 0.3
"""Weight of one report of another instance in the moving average of the
reports."""


@dataclasses.dataclass(frozen=True)
class TokenTimeComparison:
    """Times per token of comparable servers at one moment.

    Attributes:
        token_s: Time per token in seconds by server; None if not measured.
        median_s: The median; None if fewer than two are known.
    """

    token_s: Mapping[str, float | None]
    median_s: float | None

    def slowness(self, server: str) -> float:
        """Returns a server's time per token relative to the median."""
        measured_s = self.token_s.get(server)
        if measured_s is None or self.median_s is None:
            return 1.0
        return measured_s / max(self.median_s, 1e-6)


UNDISTURBED_QUANTILE = 0.4
"""Quantile of the latest times per token that is taken as an engine's step
time. Concurrent prefill lengthens part of the times; the very shortest belong
to events that were delayed and arrived together."""

MIN_TIMES = 8
MAX_TIMES = 64
"""Minimum number of times per token, since the last estimate of the step time,
for a new one, and the maximum that is kept."""


class TokenTimes:
    """Time per token of streams, by server.

    With many instances each has streams at only a few of the engines. Without
    the reports of others it would assume that an engine that it has not used
    recently is idle, and send long answers to one that is too slow to finish
    them.
    """

    def __init__(self) -> None:
        self._own: dict[str, tuple[float, float]] = {}
        self._reported: dict[str, tuple[float, float]] = {}
        self._times: dict[str, collections.deque[float]] = {}

    def observe(
        self, server: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Records the time taken by the next tokens of a stream."""
        if tokens <= 0 or seconds < 0:
            return
        sample = seconds / tokens
        times = self._times.get(server)
        if times is None:
            times = collections.deque(maxlen=MAX_TIMES)
            self._times[server] = times
        times.append(sample)
        held = self._own.get(server)
        if held is None or now - held[1] > MAX_AGE_S:
            self._own[server] = (sample, now)
            return
        # Weighted by the time that it covers: many short gaps after one long
        # gap must not hide the long one.
        weight = 1 - math.exp(-seconds / AVERAGING_TIME_S)
        self._own[server] = (held[0] + weight * (sample - held[0]), now)

    def record_report(self, server: str, token_s: float, now: float) -> None:
        """Records a recent measurement of another instance."""
        held = self._reported.get(server)
        if held is None or now - held[1] > OWN_MAX_AGE_S:
            self._reported[server] = (token_s, now)
            return
        mean = held[0] + REPORT_WEIGHT * (token_s - held[0])
        self._reported[server] = (mean, now)

    def own_token_s(self, server: str, now: float) -> float | None:
        """Returns this instance's recent measurement, to be reported."""
        held = self._own.get(server)
        if held is None or now - held[1] > OWN_MAX_AGE_S:
            return None
        return held[0]

    def token_s(self, server: str, now: float) -> float | None:
        """Returns the time per token; None without a recent measurement."""
        held = self._own.get(server)
        if held is None or now - held[1] > OWN_MAX_AGE_S:
            reported = self._reported.get(server)
            if reported is not None and (held is None or reported[1] > held[1]):
                held = reported
        if held is None or now - held[1] > MAX_AGE_S:
            return None
        return held[0]

    def compare(
        self, servers: Iterable[str], now: float
    ) -> "TokenTimeComparison":
        """Returns the times per token of comparable servers."""
        token_times = {name: self.token_s(name, now) for name in servers}
        measured = [
            token_s for token_s in token_times.values() if token_s is not None
        ]
        median = statistics.median(measured) if len(measured) >= 2 else None
        return TokenTimeComparison(token_times, median)

    def slowness(self, server: str, peers: Iterable[str], now: float) -> float:
        """Returns the time per token relative to the median of the peers."""
        return self.compare({server, *peers}, now).slowness(server)

    def step_time_s(self, server: str) -> float | None:
        """Returns the time per token without concurrent prefill.

        Covers the tokens since the last call; None if there were too few.
        """
        times = self._times.get(server)
        if times is None or len(times) < MIN_TIMES:
            return None
        index = int(len(times) * UNDISTURBED_QUANTILE)
        found = sorted(times)[index]
        times.clear()
        return found

    def forget(self, server: str) -> None:
        """Deletes the measurements of a server that has ended."""
        self._times.pop(server, None)
        self._own.pop(server, None)
        self._reported.pop(server, None)
