"""Models the prefill and decode speed of a service's engines from measurements.

Pure. Engines of different makes differ by factors of two to four in prefill
throughput, in the time of a decode step and in how that time grows with the
batch size. An estimate that is too fast overloads the engines; one that is too
slow refuses requests that could have been served. Both speeds are therefore
measured on the requests that pass through the instances: the time to first
event against the tokens pending prefill before it, and the time between events
against the number of concurrent requests.
"""

import collections
import dataclasses
import itertools
import statistics
from collections.abc import Iterable, Sequence

from jasminerelay.catalog import Engine, Route
from jasminerelay.schema.messages import EngineSample

MAX_SAMPLES = 48
"""Number of samples to which a line is fitted. The number of pairs grows with
the square; this many take a millisecond of the processor."""

SAMPLE_INTERVAL_S = 0.5
"""Minimum interval between samples once there are enough, so that they cover
half a minute and not the delays of one overloaded server in the last second."""

REFIT_SHARE = 0.25
"""Share of the samples that must be new before the lines are fitted again."""

MIN_SAMPLES = 6
"""Number of samples below which the initial estimate is used."""

MIN_SPREAD = 0.4
"""Minimum distance of two samples, as a share of the largest abscissa, for a
slope between them; closer ones show mostly noise."""

INITIAL_PREFILL_SHARE = 0.5
"""Share of its kind's objective that prefill of a prompt is assumed to take
until it is measured. Operators set objectives that an idle engine meets; a slow
estimate holds requests back for the first second only, a fast one overloads the
engines at once."""

INITIAL_FIRST_EVENT_SHARE = 0.15
"""Share of the shortest objective that a first event is assumed to take in
addition to prefill, until measured."""

INITIAL_STEP_SHARE = 0.25
"""Share of the longest pause allowed between two events that an event is
assumed to take, until measured."""

BATCH_GROWTH = 0.5
"""Relative growth of the step time from an idle engine to one with all slots in
use that is assumed until the samples show it."""

MAX_GROWTH = 4.0
"""Upper bound on the measured growth, as a multiple of the assumed one. It is
extrapolated from few concurrent requests to all slots, which amplifies noise.
"""

SLOT_SHARE = 0.9
"""Share of a server's slots that is used. The rest absorbs requests that other
instances send before their load reports arrive; a request without a slot
preempts others or queues there. An engine that gets too slow for long answers
is detected by its time per token."""

CACHE_SHARE = 0.92
"""Share of a server's KV cache that is allocated; output lengths are estimates,
and a full cache preempts running requests."""


@dataclasses.dataclass(frozen=True)
class EngineSpeeds:
    """Typical performance of a service's engines.

    Attributes:
        read_token_s: Time in seconds to prefill one prompt token.
        first_event_s: Time to a first event in addition to prefill.
        step_s: Time of a decode step, which makes one token for each running
            request, at an otherwise idle engine.
        step_run_s: Time that each running request adds to a step.
    """

    read_token_s: float
    first_event_s: float
    step_s: float
    step_run_s: float

    def prefill_s(self, tokens: float) -> float:
        """Returns the prefill time of some tokens."""
        return tokens * self.read_token_s

    def first_s(self, tokens: float) -> float:
        """Returns the time to first event with some tokens to prefill."""
        return self.first_event_s + self.prefill_s(tokens)

    def token_s(self, running: float) -> float:
        """Returns the time per token with some concurrent requests."""
        return self.step_s + self.step_run_s * running

    def busy_s(
        self, engine: Engine, unread: int, output: int, memory: int
    ) -> float:
        """Returns how much of an engine's time a request uses.

        Args:
            engine: Capacity of the servers.
            unread: Prompt tokens to prefill.
            output: Output tokens.
            memory: Tokens of KV cache that the request occupies.
        """
        fitting_requests = engine.cache_tokens * CACHE_SHARE / max(1, memory)
        batch = max(1.0, min(engine.slots * SLOT_SHARE, fitting_requests))
        return self.prefill_s(unread) + output * self.token_s(batch) / batch


@dataclasses.dataclass(frozen=True)
class _Line:
    base: float
    slope: float


class EngineModel:
    """Estimates the performance of one service's engines.

    Example:
        >>> model = EngineModel()
        >>> for tokens in (500, 1000, 4000, 8000) * 3:
        ...     model.read(tokens, 0.05 + tokens / 20_000, now=0.0)
        >>> round(1 / model.speeds().read_token_s)
        20000
    """

    def __init__(self) -> None:
        self._slots = 1
        self._initial_prefill_token_s = 0.0
        self._initial_first_event_s = 0.0
        self._initial_step_s = 0.0
        self._prefill_samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self._step_samples: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )
        self._unfitted = 0
        self._last_prefill_sample = float("-inf")
        self._last_step_sample = float("-inf")
        self._speeds: EngineSpeeds | None = None

    def set_initial_estimate(
        self, engine: Engine, route: Route, tokens: int
    ) -> None:
        """Derives an initial estimate from a request's route and prompt.

        Args:
            engine: Capacity of the servers.
            route: The route; its objectives are assumed to be achievable.
            tokens: Tokens of the prompt.
        """
        if (
            len(self._prefill_samples) >= MIN_SAMPLES
            and len(self._step_samples) >= MIN_SAMPLES
        ):
            return
        self._slots = max(1, engine.slots)
        read_s = route.objective_s * INITIAL_PREFILL_SHARE / max(1, tokens)
        first_s = route.objective_s * INITIAL_FIRST_EVENT_SHARE
        pause_s = route.pause_s or route.objective_s
        step_s = pause_s * INITIAL_STEP_SHARE / max(1, engine.event_tokens)
        self._initial_prefill_token_s = min(
            self._initial_prefill_token_s or read_s, read_s
        )
        self._initial_first_event_s = min(
            self._initial_first_event_s or first_s, first_s
        )
        self._initial_step_s = min(self._initial_step_s or step_s, step_s)
        self._speeds = None

    def read(self, tokens: int, seconds: float, now: float) -> None:
        """Adds a measured time to first event.

        Args:
            tokens: Prompt tokens pending prefill at the server when the request
                was sent, including its own.
            seconds: Time from sending to the first event.
            now: Monotonic time.
        """
        full = len(self._prefill_samples) == MAX_SAMPLES
        if full and now - self._last_prefill_sample < SAMPLE_INTERVAL_S:
            return
        self._last_prefill_sample = now
        self._prefill_samples.append((tokens, seconds))
        self._count_sample(len(self._prefill_samples))

    def add_step_time(self, running: int, token_s: float, now: float) -> None:
        """Adds a time per token measured at an engine without prefill."""
        full = len(self._step_samples) == MAX_SAMPLES
        if full and now - self._last_step_sample < SAMPLE_INTERVAL_S:
            return
        self._last_step_sample = now
        self._step_samples.append((running, token_s))
        self._count_sample(len(self._step_samples))

    @property
    def prefill_measured(self) -> bool:
        """Whether the time to a first event is measured, not assumed."""
        return len(self._prefill_samples) >= MIN_SAMPLES

    @property
    def steps_measured(self) -> bool:
        """Whether the step time is measured, not assumed."""
        return len(self._step_samples) >= MIN_SAMPLES

    def speeds(self) -> EngineSpeeds:
        """Returns the present estimate."""
        if self._speeds is None:
            reading = self._fit_prefill()
            step = self._fit_steps()
            self._speeds = EngineSpeeds(
                reading.slope, reading.base, step.base, step.slope
            )
        return self._speeds

    def _count_sample(self, sample_count: int) -> None:
        self._unfitted += 1
        if self._unfitted >= sample_count * REFIT_SHARE:
            self._unfitted = 0
            self._speeds = None

    def _fit_prefill(self) -> _Line:
        samples = self._prefill_samples
        if len(samples) < MIN_SAMPLES:
            return _Line(
                self._initial_first_event_s, self._initial_prefill_token_s
            )
        line = _fit_faster_half(samples)
        if line is not None and line.slope > 0:
            return _Line(max(0.0, line.base), line.slope)
        # With similar prompt sizes the prefill time cannot be separated from
        # the constant part.
        whole = statistics.median(y / x for x, y in samples)
        slope = min(whole, self._initial_prefill_token_s or whole)
        base = statistics.median(y - slope * x for x, y in samples)
        return _Line(max(0.0, base), slope)

    def _fit_steps(self) -> _Line:
        samples = self._step_samples
        if len(samples) < MIN_SAMPLES:
            return self._line_through(self._initial_step_s, 0.0)
        slope = _median_slope(samples)
        if slope is None:
            return self._line_through(*_center(samples))
        base = statistics.median(y - slope * x for x, y in samples)
        assumed = max(base, 0.0) * BATCH_GROWTH / self._slots
        if base <= 0 or not 0 <= slope <= MAX_GROWTH * assumed:
            return self._line_through(*_center(samples))
        return _Line(base, slope)

    def _line_through(self, token_s: float, running: float) -> _Line:
        # The line through one point with the assumed growth.
        growth = BATCH_GROWTH / self._slots
        base = token_s / (1 + growth * running)
        return _Line(base, base * growth)


def _fit_faster_half(samples: Sequence[tuple[float, float]]) -> _Line | None:
    """Returns the line fitted to the faster half of the samples.

    Every disturbance makes a sample longer: an unreported prompt ahead, a more
    urgent request that came later, a slow server. Under a burst more than half
    of the samples are disturbed, and a median would follow them.
    """
    slope = _median_slope(samples)
    if slope is None:
        return None
    ranked = sorted(samples, key=lambda sample: sample[1] - slope * sample[0])
    fastest = ranked[: max(MIN_SAMPLES, len(ranked) // 2)]
    slope = _median_slope(fastest)
    if slope is None:
        return None
    return _Line(statistics.median(y - slope * x for x, y in fastest), slope)


def _center(samples: Iterable[tuple[float, float]]) -> tuple[float, float]:
    xs, ys = zip(*samples, strict=True)
    return statistics.median(ys), statistics.median(xs)


def _median_slope(samples: Sequence[tuple[float, float]]) -> float | None:
    """Returns the median slope between samples; None if they are too close.

    Up to a third of the samples may be outliers (a slow server, a request
    queued behind an unreported one) before the median follows them, while least
    squares follows the first. Slopes are weighted by the distance of their
    samples.
    """
    max_x = max(x for x, _ in samples)
    min_distance = max_x * MIN_SPREAD
    slopes = sorted(
        ((y2 - y1) / (x2 - x1), abs(x2 - x1))
        for (x1, y1), (x2, y2) in itertools.combinations(samples, 2)
        if abs(x2 - x1) > min_distance
    )
    if len(slopes) < MIN_SAMPLES:
        return None
    half = sum(weight for _, weight in slopes) / 2
    for slope, weight in slopes:
        half -= weight
        if half <= 0:
            return slope
    return slopes[-1][0]


class EngineModels:
    """The models of all services, and samples to send to other instances."""

    def __init__(self) -> None:
        self._models: dict[str, EngineModel] = {}
        self._unsent: collections.deque[EngineSample] = collections.deque(
            maxlen=MAX_SAMPLES_PER_MESSAGE
        )

    def of(self, service: str) -> EngineModel:
        """Returns the model of a service."""
        return self._models.setdefault(service, EngineModel())

    def add_local_sample(self, sample: EngineSample, now: float) -> None:
        """Adds a sample measured at this instance."""
        self.add_peer_samples([sample], now)
        self._unsent.append(sample)

    def add_peer_samples(
        self, samples: Iterable[EngineSample], now: float
    ) -> None:
        """Adds samples measured at another instance."""
        for item in samples:
            model = self.of(item.service)
            if item.reading:
                model.read(item.count, item.seconds, now)
            else:
                model.add_step_time(item.count, item.seconds, now)

    def take_unsent_samples(self) -> list[EngineSample]:
        """Returns and clears the local samples that were not sent yet."""
        unsent = list(self._unsent)
        self._unsent.clear()
        return unsent


MAX_SAMPLES_PER_MESSAGE = 4
"""Maximum number of samples in one datagram. Each of six instances takes some
ten samples a second and sends ten datagrams; among dozens of instances each
receives a part of all samples."""
