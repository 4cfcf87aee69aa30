"""How fast a service's engines read prompts and make tokens, as observed.

Pure. Engines of different makes differ by factors of two to four in what they
read in a second, in the time of a step and in how that grows with the requests
that run together. Whoever assumes too fast an engine fills it beyond what
ends in time; whoever assumes too slow a one refuses what would have been
served. So both are measured on what passes through the instances: the time to
a first event against the tokens that had to be read before it, and the time
between events against the number of requests beside it.
"""

import collections
import dataclasses
import itertools
import statistics
from collections.abc import Iterable, Sequence

from jasminerelay.catalog import Engine, Route
from jasminerelay.schema.messages import EngineSample

KEPT_SAMPLES = 48
"""Samples that a line is drawn through. Pairs of them, whose number goes with
the square, take a millisecond of the processor."""

SAMPLE_EVERY_S = 0.5
"""Least time between two samples once there are enough, so that they cover
half a minute and not the waits of one overfilled server in the last second."""

REDRAW_SHARE = 0.25
"""Part of the samples that must be new before the lines are drawn again."""

LEAST_SAMPLES = 6
"""Samples below which the first guess holds."""

LEAST_SPREAD = 0.4
"""Part of the largest abscissa by which the samples must differ for a slope to
be drawn from them; closer ones show mostly their noise."""

FIRST_READ_SHARE = 0.5
"""Part of its kind's objective in which a prompt is taken to be read until
that was measured. Operators set objectives that an idle engine meets; a guess
on the slow side holds requests back for the first second only, one on the
fast side overfills the engines at once."""

FIRST_EVENT_SHARE = 0.15
"""Part of the shortest objective that a first event is taken to need beside
the reading, until measured."""

FIRST_STEP_SHARE = 0.25
"""Part of the longest pause allowed between two events that an event is taken
to need, until measured."""

BATCH_GROWTH = 0.5
"""By what part of itself a step is taken to grow from an idle engine to one
whose slots are all used, until the samples show it."""

MOST_GROWTH = 4.0
"""Bound on the measured growth, as a multiple of the assumed one. It is drawn
from few running requests up to all slots, and noise grows on the way."""

RUN_SHARE = 0.9
"""Share of a server's slots that is used. The rest takes what other instances
send before their words arrive; what finds no slot preempts or queues there. An
engine that turns too slow for long answers is found by its pace."""

MEMORY_SHARE = 0.92
"""Share of a server's memory that is promised; lengths are estimates, and a
full memory preempts running requests."""


@dataclasses.dataclass(frozen=True)
class Speeds:
    """What a service's usual engine does in a given time.

    Attributes:
        read_token_s: Seconds to read one prompt token.
        first_event_s: Time to a first event beside the reading.
        step_s: Time of a step, which makes a token for each running request,
            in an engine that has nothing else to do.
        step_run_s: What each running request adds to a step.
    """

    read_token_s: float
    first_event_s: float
    step_s: float
    step_run_s: float

    def reading_s(self, tokens: float) -> float:
        """Returns how long an engine reads some tokens."""
        return tokens * self.read_token_s

    def first_s(self, tokens: float) -> float:
        """Returns the time to a first event behind some tokens to read."""
        return self.first_event_s + self.reading_s(tokens)

    def token_s(self, running: float) -> float:
        """Returns the time between tokens beside some running requests."""
        return self.step_s + self.step_run_s * running

    def busy_s(
        self, engine: Engine, unread: int, output: int, memory: int
    ) -> float:
        """Returns how much of an engine's time a request takes.

        Args:
            engine: What the servers can hold.
            unread: Prompt tokens to read.
            output: Tokens out.
            memory: Tokens of memory that the request holds.
        """
        fitting = engine.cache_tokens * MEMORY_SHARE / max(1, memory)
        batch = max(1.0, min(engine.slots * RUN_SHARE, fitting))
        return self.reading_s(unread) + output * self.token_s(batch) / batch


@dataclasses.dataclass(frozen=True)
class _Line:
    base: float
    slope: float


class EngineModel:
    """Learns the speeds of one service's engines.

    Example:
        >>> model = EngineModel()
        >>> for tokens in (500, 1000, 4000, 8000) * 3:
        ...     model.read(tokens, 0.05 + tokens / 20_000, now=0.0)
        >>> round(1 / model.speeds().read_token_s)
        20000
    """

    def __init__(self) -> None:
        self._slots = 1
        self._read_guess_s = 0.0
        self._first_guess_s = 0.0
        self._step_guess_s = 0.0
        self._readings: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=KEPT_SAMPLES)
        )
        self._steps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=KEPT_SAMPLES
        )
        self._new = 0
        self._read_at = float("-inf")
        self._stepped_at = float("-inf")
        self._speeds: Speeds | None = None

    def assume(self, engine: Engine, route: Route, tokens: int) -> None:
        """Takes a request's route and prompt as a first guess.

        Args:
            engine: What the servers can hold.
            route: The route; its objectives are taken to be within reach.
            tokens: Tokens of the prompt.
        """
        if len(self._readings) >= LEAST_SAMPLES and len(self._steps) >= (
            LEAST_SAMPLES
        ):
            return
        self._slots = max(1, engine.slots)
        read_s = route.objective_s * FIRST_READ_SHARE / max(1, tokens)
        first_s = route.objective_s * FIRST_EVENT_SHARE
        pause_s = route.pause_s or route.objective_s
        step_s = pause_s * FIRST_STEP_SHARE / max(1, engine.event_tokens)
        self._read_guess_s = min(self._read_guess_s or read_s, read_s)
        self._first_guess_s = min(self._first_guess_s or first_s, first_s)
        self._step_guess_s = min(self._step_guess_s or step_s, step_s)
        self._speeds = None

    def read(self, tokens: int, seconds: float, now: float) -> None:
        """Takes the time in which a first event came.

        Args:
            tokens: Prompt tokens that were unread at the server when the
                request was sent, its own included.
            seconds: Time from the sending to the first event.
            now: Steady time.
        """
        full = len(self._readings) == KEPT_SAMPLES
        if full and now - self._read_at < SAMPLE_EVERY_S:
            return
        self._read_at = now
        self._readings.append((tokens, seconds))
        self._note_sample(len(self._readings))

    def stepped(self, running: int, token_s: float, now: float) -> None:
        """Takes the time between tokens at an engine that reads nothing."""
        full = len(self._steps) == KEPT_SAMPLES
        if full and now - self._stepped_at < SAMPLE_EVERY_S:
            return
        self._stepped_at = now
        self._steps.append((running, token_s))
        self._note_sample(len(self._steps))

    def speeds(self) -> Speeds:
        """Returns the present estimate."""
        if self._speeds is None:
            reading = self._reading_line()
            step = self._step_line()
            self._speeds = Speeds(
                reading.slope, reading.base, step.base, step.slope
            )
        return self._speeds

    def _note_sample(self, kept: int) -> None:
        self._new += 1
        if self._new >= kept * REDRAW_SHARE:
            self._new = 0
            self._speeds = None

    def _reading_line(self) -> _Line:
        samples = self._readings
        if len(samples) < LEAST_SAMPLES:
            return _Line(self._first_guess_s, self._read_guess_s)
        line = _quick_line(samples)
        if line is not None and line.slope > 0:
            return _Line(max(0.0, line.base), line.slope)
        # All alike: what belongs to the reading cannot be told from the rest.
        whole = statistics.median(y / x for x, y in samples)
        slope = min(whole, self._read_guess_s or whole)
        base = statistics.median(y - slope * x for x, y in samples)
        return _Line(max(0.0, base), slope)

    def _step_line(self) -> _Line:
        samples = self._steps
        if len(samples) < LEAST_SAMPLES:
            return self._grown(self._step_guess_s, 0.0)
        slope = _median_slope(samples)
        if slope is None:
            return self._grown(*_center(samples))
        base = statistics.median(y - slope * x for x, y in samples)
        usual = max(base, 0.0) * BATCH_GROWTH / self._slots
        if base <= 0 or not 0 <= slope <= MOST_GROWTH * usual:
            return self._grown(*_center(samples))
        return _Line(base, slope)

    def _grown(self, token_s: float, running: float) -> _Line:
        # The line with the usual growth through one point.
        growth = BATCH_GROWTH / self._slots
        base = token_s / (1 + growth * running)
        return _Line(base, base * growth)


def _quick_line(samples: Sequence[tuple[float, float]]) -> _Line | None:
    """Returns the line through the quicker half of the samples.

    Whatever disturbs a sample makes it longer: a prompt ahead that was not
    known of, a more urgent one that came later, a server that is slow. Under
    a burst more than half are disturbed, which a median follows.
    """
    slope = _median_slope(samples)
    if slope is None:
        return None
    ranked = sorted(samples, key=lambda sample: sample[1] - slope * sample[0])
    quick = ranked[: max(LEAST_SAMPLES, len(ranked) // 2)]
    slope = _median_slope(quick)
    if slope is None:
        return None
    return _Line(statistics.median(y - slope * x for x, y in quick), slope)


def _center(samples: Iterable[tuple[float, float]]) -> tuple[float, float]:
    xs, ys = zip(*samples, strict=True)
    return statistics.median(ys), statistics.median(xs)


def _median_slope(samples: Sequence[tuple[float, float]]) -> float | None:
    """Returns the median slope between samples; None if they are too close.

    A third of the samples may be far off (a server that is slow, a request
    that waited behind one not known of) before the median follows them, where
    least squares follow the first. Slopes weigh by their samples' distance.
    """
    largest = max(x for x, _ in samples)
    least = largest * LEAST_SPREAD
    slopes = sorted(
        ((y2 - y1) / (x2 - x1), abs(x2 - x1))
        for (x1, y1), (x2, y2) in itertools.combinations(samples, 2)
        if abs(x2 - x1) > least
    )
    if len(slopes) < LEAST_SAMPLES:
        return None
    half = sum(weight for _, weight in slopes) / 2
    for slope, weight in slopes:
        half -= weight
        if half <= 0:
            return slope
    return slopes[-1][0]


class EngineModels:
    """The models of all services, and the samples that others are told."""

    def __init__(self) -> None:
        self._models: dict[str, EngineModel] = {}
        self._untold: collections.deque[EngineSample] = collections.deque(
            maxlen=MOST_TOLD
        )

    def of(self, service: str) -> EngineModel:
        """Returns a service's model."""
        return self._models.setdefault(service, EngineModel())

    def see(self, sample: EngineSample, now: float) -> None:
        """Takes a sample seen here."""
        self.hear([sample], now)
        self._untold.append(sample)

    def hear(self, samples: Iterable[EngineSample], now: float) -> None:
        """Takes samples that another instance has seen."""
        for item in samples:
            model = self.of(item.service)
            if item.reading:
                model.read(item.count, item.seconds, now)
            else:
                model.stepped(item.count, item.seconds, now)

    def untold(self) -> list[EngineSample]:
        """Returns what was seen since the last call, for the others."""
        told = list(self._untold)
        self._untold.clear()
        return told


MOST_TOLD = 4
"""Samples that one datagram carries at most. Each instance of six sees some
ten a second and sends ten datagrams; among dozens each hears a part of all."""
