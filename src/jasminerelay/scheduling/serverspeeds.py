"""Estimates how fast each backend server of a service works.

Pure. Load handled: servers of one service that differ in speed (0.7, 0.7 and
1.7 times the usual), a sixth of them slowed 2.5 times by neighbours on their
machine for 0.6 s in turn, and servers that slow down when nearly full; a few
dozen requests a second are all the evidence.

An estimate is the product of two factors. The lasting factor compares a
server's own responses with those of its peers. The momentary factor says how
much slower it is now than it usually is; the server's statements show it at
once, its responses a little later. All averages are of logarithms, so that
"twice as slow" and "twice as fast" weigh the same.
"""

import collections
import dataclasses
import math
import statistics

EQUAL_TOLERANCE = 0.15
"""Distance from 1.0 up to which a factor counts as 1.0, so that noise does not
change the placements on equal servers."""

LASTING_TIME_CONSTANT_S = 10.0
"""Time constant of the lasting factor."""

MAX_SAMPLE_WEIGHT = 0.1
"""Largest weight of one response once there are enough. Where responses are
rare, the time constant alone would let a single one decide."""

FIRST_SAMPLES = 8
"""Number of responses whose median starts an average; a single response could
be far off."""

MIN_SAMPLES = 16
SURE_SAMPLES = 32
"""Number of responses of one kind below which they show no lasting factor, and
from which they show it fully; with fewer the factor is taken as closer to 1.0.
"""

MIN_ERRORS = 3.0
"""Distance of a server's average from that of its peers, in standard errors,
below which it shows no lasting factor."""

EFFECTIVE_SAMPLES = 20
"""Number of responses over which an average extends in effect."""

DEVIATION_TO_ERROR = 1.25
"""Standard deviation of a normal distribution relative to its mean absolute
deviation."""

MAX_SAMPLES = 48
"""Number of responses above which a kind's weight does not grow."""

COMMON_SAMPLES = 32
"""Number of responses of all servers whose median deviation is taken as common
to all: a burst, or a new fit of the model behind the expected times."""

MAX_DEVIATION = math.log(2.0)
"""Bound on the distance of a response from the average in its update, as a
logarithm: a single slow response must not look like a slow server."""

LASTING_HOLD_S = 10.0
LASTING_HALF_LIFE_S = 10.0
"""Time without a response for which the lasting factor is kept, and half-life
of its distance from 1.0 after that. A server that got nothing because it
looked slow thus gets requests again and is measured again."""

STATEMENT_HALF_LIFE_S = 0.3
STATEMENT_MAX_AGE_S = 1.0
"""Half-life of a statement's weight, and the age from which it has none."""

USUAL_STATEMENTS = 32
USUAL_INTERVAL_S = 0.3
MIN_USUAL_STATEMENTS = 8
"""Number and distance in time of the statements whose median is a server's
usual one, and how many must be there. A server on a slower machine may always
state the same high figure; its responses show that as the lasting factor, and
it must not count twice."""

RECENT_S = 1.0
MIN_RECENT = 4
MAX_RECENT = 16
RECENT_QUANTILE = 0.25
MIN_RECENT_SLOWDOWN = math.log(1.4)
"""Age and number of the responses that show a momentary slowdown, and the
smallest slowdown that three quarters of them must exceed. Single response times
scatter too much for one of them, or for smaller slowdowns."""

CLEAR_CLAIM = math.log(1.5)
"""Stated slowdown or speed-up that is clear enough to be checked by one
response."""

CONTRADICTED_SHARE = 0.85
CONFIRMED_STEP = 0.05
"""What is left of the trust in a server's statements after a response that
contradicts one, and what a confirming response adds. A server whose statements
are wrong most of the time loses its weight within a dozen responses."""

MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
"""Bounds on the slowness. A server that looks slower than it is still gets
some requests when the others are busy."""

CACHE_S = 0.02
"""How long a computed slowness is used. Under a burst dozens of requests are
examined thirty times a second."""

MEDIAN_INTERVAL_S = 0.25
"""Interval at which the median of the servers is computed again."""


@dataclasses.dataclass(frozen=True)
class SpeedEstimate:
    """An estimate with what it rests on.

    Attributes:
        slowness: Expected times relative to those of a usual server.
        lasting: Lasting factor.
        lasting_age_s: Time since the latest response of the server; infinity if
            there was none.
        momentary: Momentary factor.
        momentary_age_s: Age of the evidence of the momentary factor; infinity
            if there is none.
        source: Main evidence of the momentary factor: "statement", "responses"
            or "".
        trust: Trust in the server's statements, from 0 to 1.
    """

    slowness: float = 1.0
    lasting: float = 1.0
    lasting_age_s: float = math.inf
    momentary: float = 1.0
    momentary_age_s: float = math.inf
    source: str = ""
    trust: float = 1.0

    def log_fields(self) -> dict[str, float | str | None]:
        """Returns the fields of a log line; None for an infinite age."""
        return {
            name: value
            if isinstance(value, str)
            else (round(value, 2) if math.isfinite(value) else None)
            for name, value in dataclasses.asdict(self).items()
        }


NO_EVIDENCE = SpeedEstimate()


class _Average:
    """Moving average of one kind of response of one server.

    Attributes:
        value: Average of the logarithms of the times; None before there are
            enough.
        spread: Average distance of the responses from it.
        count: Number of responses.
        at: Monotonic time of the latest.
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self.spread = 0.0
        self.count = 0
        self.at = 0.0
        self._first: list[float] = []

    def add(self, sample: float, now: float) -> None:
        """Adds one response."""
        self.count += 1
        if self.value is None:
            self._first.append(sample)
            if self.count == FIRST_SAMPLES:
                self.value = statistics.median(self._first)
                self.spread = statistics.fmean(
                    abs(item - self.value) for item in self._first
                )
                self._first.clear()
        else:
            elapsed_s = max(0.0, now - self.at)
            weight = 1 - math.exp(-elapsed_s / LASTING_TIME_CONSTANT_S)
            weight = max(1 / self.count, min(weight, MAX_SAMPLE_WEIGHT))
            deviation = sample - self.value
            self.value += weight * _clipped(deviation, MAX_DEVIATION)
            self.spread += weight * (abs(deviation) - self.spread)
        self.at = now

    @property
    def error(self) -> float:
        """Standard error of the average."""
        count = min(self.count, EFFECTIVE_SAMPLES)
        return DEVIATION_TO_ERROR * self.spread / math.sqrt(count)

    def weight(self, now: float) -> float:
        """Returns its weight beside the averages of other kinds."""
        if self.count < MIN_SAMPLES:
            return 0.0
        return min(self.count, MAX_SAMPLES) * _kept(now - self.at)


class _Statements:
    """The statements of one server about its slowdown."""

    def __init__(self) -> None:
        self.at = -math.inf
        self.trust = 1.0
        self._stated = 0.0
        self._usual = 0.0
        self._usual_at = -math.inf
        self._history: collections.deque[float] = collections.deque(
            maxlen=USUAL_STATEMENTS
        )

    @property
    def deviation(self) -> float:
        """Stated slowdown relative to the server's usual statement."""
        return self._stated - self._usual

    def add(self, stated: float, at: float) -> None:
        """Adds a statement, unless a later one is known."""
        if at < self.at:
            return
        self.at = at
        self._stated = stated
        if at - self._usual_at < USUAL_INTERVAL_S:
            return
        self._usual_at = at
        self._history.append(stated)
        if len(self._history) >= MIN_USUAL_STATEMENTS:
            self._usual = statistics.median(self._history)

    def weight(self, now: float) -> float:
        """Returns the weight of the latest statement, by age and trust."""
        age_s = now - self.at
        if age_s >= STATEMENT_MAX_AGE_S:
            return 0.0
        return self.trust * 0.5 ** (max(0.0, age_s) / STATEMENT_HALF_LIFE_S)

    def check(self, deviation: float, recent: float | None, now: float) -> None:
        """Adjusts the trust by a response of the server.

        Args:
            deviation: Its time relative to the server's usual one.
            recent: Slowdown that the responses of the last second show
                together; None if there are too few.
            now: Monotonic time.
        """
        if now - self.at > STATEMENT_HALF_LIFE_S:
            return
        claim = self.deviation
        if abs(claim) > CLEAR_CLAIM:
            confirmed = abs(deviation - claim) < abs(deviation)
        else:
            # One slow response proves nothing against a server that states no
            # slowdown; several in one second do.
            confirmed = recent is None or recent - claim < CLEAR_CLAIM
        if confirmed:
            self.trust = min(1.0, self.trust + CONFIRMED_STEP)
        else:
            self.trust *= CONTRADICTED_SHARE


NOT_CACHED = (-math.inf, 1.0)
"""Time and value of a cached slowness that is out of date."""


class _Server:
    """Evidence about one server."""

    def __init__(self) -> None:
        self.averages: dict[str, _Average] = {}
        self.statements = _Statements()
        self.recent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_RECENT
        )
        self.cached = NOT_CACHED

    def recent_slowdown(self, now: float) -> float | None:
        """Returns the slowdown that the responses of the last second show.

        None if there are too few.
        """
        held = sorted(x for at, x in self.recent if now - at <= RECENT_S)
        if len(held) < MIN_RECENT:
            return None
        if held[int((len(held) - 1) * RECENT_QUANTILE)] < MIN_RECENT_SLOWDOWN:
            return 0.0
        return statistics.median(held)


class ServerSpeeds:
    """Speed estimates of the servers of one service.

    Example:
        >>> speeds = ServerSpeeds()
        >>> for number in range(40):
        ...     speeds.record_response("slow", "first", 2.0, number / 4)
        ...     speeds.record_response("usual", "first", 1.0, number / 4)
        ...     speeds.record_response("other", "first", 1.0, number / 4)
        >>> round(speeds.slowness("slow", 10.0), 1)
        2.0
        >>> speeds.slowness("usual", 10.0)
        1.0
    """

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._medians: dict[str, tuple[float, float | None]] = {}
        self._common: dict[str, collections.deque[float]] = {}

    @property
    def servers(self) -> list[str]:
        """Servers about which there is any evidence."""
        return list(self._servers)

    def record_response(
        self, server: str, kind: str, ratio: float, now: float
    ) -> None:
        """Records the time of a response of a server.

        Args:
            server: The server.
            kind: Kind of the response; only those of one kind are compared.
            ratio: Its time, relative to the time that is expected of a usual
                server under the same load, or in seconds if all responses of
                the kind are alike.
            now: Monotonic time.
        """
        if not 0 < ratio < math.inf:
            return
        held = self._held(server)
        held.cached = NOT_CACHED
        average = held.averages.get(kind)
        if average is None:
            average = held.averages[kind] = _Average()
        sample = math.log(ratio)
        common = self._common.get(kind)
        if common is None:
            common = collections.deque(maxlen=COMMON_SAMPLES)
            self._common[kind] = common
        shared = statistics.median(common) if common else 0.0
        if average.value is not None:
            common.append(sample - average.value)
            deviation = sample - shared - average.value
            held.recent.append((now, deviation))
            held.statements.check(deviation, held.recent_slowdown(now), now)
        # What the server states to be passing is no part of the lasting factor.
        passing = held.statements.weight(now) * held.statements.deviation
        average.add(sample - shared - passing, now)

    def record_statement(
        self, server: str, slowdown: float, age_s: float, now: float
    ) -> None:
        """Records what a server states about its slowdown.

        Args:
            server: The server.
            slowdown: How long work takes there; 1.0 is usual.
            age_s: Age of the statement.
            now: Monotonic time.
        """
        if not 0 < slowdown < math.inf:
            return
        stated = _clipped(math.log(slowdown), math.log(MAX_FACTOR))
        held = self._held(server)
        held.cached = NOT_CACHED
        held.statements.add(stated, now - max(0.0, age_s))

    def slowness(self, server: str, now: float) -> float:
        """Returns a server's expected times relative to a usual server's."""
        held = self._servers.get(server)
        if held is None:
            return 1.0
        at, slowness = held.cached
        if not 0 <= now - at < CACHE_S:
            lasting, _ = self._lasting(held, now)
            momentary, _, _ = self._momentary(held, now)
            slowness = _bounded(_snapped(lasting) * _snapped(momentary))
            held.cached = (now, slowness)
        return slowness

    def lasting(self, server: str, now: float) -> float:
        """Returns the lasting factor of a server."""
        held = self._servers.get(server)
        if held is None:
            return 1.0
        return _bounded(_snapped(self._lasting(held, now)[0]))

    def response_age_s(self, server: str, now: float) -> float:
        """Returns the age of a server's latest response."""
        held = self._servers.get(server)
        if held is None:
            return math.inf
        latest = (average.at for average in held.averages.values())
        return now - max(latest, default=-math.inf)

    def stated(self, server: str, now: float) -> float:
        """Returns the momentary factor by the server's statements only."""
        held = self._servers.get(server)
        if held is None:
            return 1.0
        statements = held.statements
        return _snapped(math.exp(statements.weight(now) * statements.deviation))

    def estimate(self, server: str, now: float) -> SpeedEstimate:
        """Returns the estimate of a server with what it rests on."""
        held = self._servers.get(server)
        if held is None:
            return NO_EVIDENCE
        lasting, lasting_age_s = self._lasting(held, now)
        momentary, momentary_age_s, source = self._momentary(held, now)
        return SpeedEstimate(
            self.slowness(server, now),
            _bounded(_snapped(lasting)),
            lasting_age_s,
            _snapped(momentary),
            momentary_age_s,
            source,
            held.statements.trust,
        )

    def forget(self, server: str) -> None:
        """Deletes the evidence about a server that has ended."""
        self._servers.pop(server, None)

    def _held(self, server: str) -> _Server:
        held = self._servers.get(server)
        if held is None:
            held = self._servers[server] = _Server()
        return held

    def _lasting(self, held: _Server, now: float) -> tuple[float, float]:
        """Returns the lasting factor and the age of its evidence."""
        total = weights = variance = 0.0
        latest = -math.inf
        for kind, average in held.averages.items():
            latest = max(latest, average.at)
            usual = self._median(kind, now)
            weight = average.weight(now)
            if not weight or usual is None:
                continue
            sure = min(1.0, average.count / SURE_SAMPLES)
            total += weight * sure * (average.value - usual)
            weights += weight
            variance += (weight * average.error) ** 2
        age_s = now - latest
        if not weights or abs(total) < MIN_ERRORS * math.sqrt(variance):
            return 1.0, age_s
        return math.exp(total / weights * _kept(age_s)), age_s

    def _momentary(self, held: _Server, now: float) -> tuple[float, float, str]:
        """Returns the momentary factor, the age of its evidence and its source.

        The weight that statements lack goes to the server's own responses.
        """
        weight = held.statements.weight(now)
        shown = held.recent_slowdown(now) or 0.0
        stated = weight * held.statements.deviation
        factor = math.exp(stated + (1 - weight) * shown)
        if abs(stated) >= (1 - weight) * shown:
            if not weight:
                return factor, math.inf, ""
            return factor, now - held.statements.at, "statement"
        return factor, now - held.recent[-1][0], "responses"

    def _median(self, kind: str, now: float) -> float | None:
        """Returns the median average of one kind; None if fewer than two."""
        at, median = self._medians.get(kind, (-math.inf, None))
        if 0 <= now - at < MEDIAN_INTERVAL_S:
            return median
        values = [
            average.value
            for held in self._servers.values()
            if (average := held.averages.get(kind)) is not None
            and average.count >= MIN_SAMPLES
            and now - average.at < LASTING_HOLD_S
        ]
        median = statistics.median(values) if len(values) >= 2 else None
        self._medians[kind] = (now, median)
        return median


def _kept(age_s: float) -> float:
    """Returns which part of a lasting factor is kept at some age."""
    if age_s <= LASTING_HOLD_S:
        return 1.0
    return 0.5 ** ((age_s - LASTING_HOLD_S) / LASTING_HALF_LIFE_S)


def _snapped(factor: float) -> float:
    return 1.0 if abs(factor - 1.0) <= EQUAL_TOLERANCE else factor


def _bounded(factor: float) -> float:
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


def _clipped(value: float, bound: float) -> float:
    return min(max(value, -bound), bound)
