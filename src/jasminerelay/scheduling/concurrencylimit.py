"""Limits the concurrent requests of servers that slow down when nearly full.

Pure. Load handled: servers whose response times grow steeply when nearly all of
their slots are in use, and servers that reject or queue requests before all
slots are in use.

The limit follows the gradient of a server's response times against its own
best, as adaptive concurrency limits do. It is kept as a share of the server's
slots; without evidence it is all of them.
"""

import dataclasses
import math

MIN_SHARE = 0.25
"""Floor of the limit as a share of the slots. A server that is limited too far
still gets enough requests to show that it is fast again."""

RISE_PER_S = 0.05
"""Share of the slots by which the limit rises per second."""

TOLERANCE = 2.0
"""Response time relative to the best one up to which the limit stays. Response
times of servers that are not full scatter by less."""

MIN_GRADIENT = 0.5
GRADIENT_WEIGHT = 0.3
"""Bound on the gradient, and its weight in one step of the limit."""

AVERAGE_WEIGHT = 0.2
"""Weight of one response in the average of response times."""

MIN_SAMPLES = 8
"""Responses below which the limit does not follow them."""

BEST_RISE = 0.003
"""Part of the distance to the average by which the best time rises with each
response, so that a server that got slower for good is not limited for good."""

BUSY_SHARE = 0.5
"""Share of the limit that must be in use for slow responses to lower it. The
slow responses of an almost idle server have another cause."""

REJECTED_SHARE = 0.9
"""Limit after a rejection, relative to the requests that ran there."""

QUEUE_SHARE = 0.25
MIN_QUEUE = 2
"""Requests that wait at the server itself, as a share of those that were sent
there and at least this many, from which its limit is lowered. Those that wait
in the instance can still be reordered and placed elsewhere."""

QUEUE_STEP = 0.9
"""Factor by which such a queue lowers the limit."""

STEP_INTERVAL_S = 0.3
"""Minimum interval of the steps for rejections and queues: what was sent before
a step took effect is rejected, or states the queue, as well."""


@dataclasses.dataclass
class _ResponseTimes:
    """Response times of one kind at one server.

    Attributes:
        average: Average response time.
        best: Best average; infinity before there is one.
        count: Number of responses.
    """

    average: float = 0.0
    best: float = math.inf
    count: int = 0

    def add(self, seconds: float) -> float:
        """Adds a response time and returns the gradient, at most 1."""
        self.count += 1
        if self.count == 1:
            self.average = seconds
        seconds = min(seconds, TOLERANCE / MIN_GRADIENT * self.average)
        self.average += AVERAGE_WEIGHT * (seconds - self.average)
        if self.count < MIN_SAMPLES:
            return 1.0
        self.best = min(self.best, self.average)
        self.best += BEST_RISE * (self.average - self.best)
        gradient = TOLERANCE * self.best / self.average
        return min(1.0, max(MIN_GRADIENT, gradient))


@dataclasses.dataclass
class _Limit:
    """State of one server.

    Attributes:
        share: Limit as a share of the slots at time `at`.
        at: Monotonic time of the latest change.
        times: Response times by kind.
        step_at: Monotonic time of the latest step for a rejection or queue.
    """

    share: float = 1.0
    at: float = 0.0
    times: dict[str, _ResponseTimes] = dataclasses.field(default_factory=dict)
    step_at: float = -math.inf

    def raise_to(self, now: float) -> None:
        """Raises the share by the time since its latest change."""
        elapsed_s = max(0.0, now - self.at)
        self.share = min(1.0, self.share + RISE_PER_S * elapsed_s)
        self.at = now

    def lower(self, share: float) -> None:
        """Lowers the share, not below the floor."""
        self.share = min(self.share, max(MIN_SHARE, share))


class ConcurrencyLimit:
    """Limits of the servers of one service.

    Example:
        >>> limits = ConcurrencyLimit()
        >>> limits.limit("s", 8, 0.0)
        8
        >>> limits.record_rejection("s", 8, 5, 0.0)
        >>> limits.limit("s", 8, 0.0)
        4
        >>> limits.limit("s", 8, 60.0)
        8
    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def limit(self, server: str, slots: int, now: float) -> int:
        """Returns how many concurrent requests a server is given."""
        held = self._limits.get(server)
        if held is None or held.share >= 1.0:
            return slots
        held.raise_to(now)
        return max(1, math.ceil(MIN_SHARE * slots), int(held.share * slots))

    def record_response(
        self,
        server: str,
        kind: str,
        slots: int,
        running: int,
        seconds: float,
        now: float,
    ) -> None:
        """Follows the gradient of the response times.

        Args:
            server: The server.
            kind: Kind of the response; only those of one kind are compared.
            slots: Slots of the server.
            running: Concurrent requests there.
            seconds: Response time, for the same amount of work.
            now: Monotonic time.
        """
        if not 0 < seconds < math.inf:
            return
        held = self._held(server, now)
        times = held.times.get(kind)
        if times is None:
            times = held.times[kind] = _ResponseTimes()
        gradient = times.add(seconds)
        if gradient < 1 and running >= BUSY_SHARE * held.share * slots:
            held.lower(held.share * (1 - GRADIENT_WEIGHT * (1 - gradient)))

    def record_rejection(
        self, server: str, slots: int, running: int, now: float
    ) -> None:
        """Lowers the limit after a rejected request.

        Args:
            server: The server.
            slots: Its slots.
            running: Concurrent requests there, with the rejected one.
            now: Monotonic time.
        """
        held = self._held(server, now)
        if now - held.step_at < STEP_INTERVAL_S:
            return
        held.step_at = now
        present = min(held.share, running / max(1, slots))
        held.lower(REJECTED_SHARE * present)

    def record_waiting(
        self, server: str, running: int, waiting: int, now: float
    ) -> None:
        """Lowers the limit if the server itself holds a long queue.

        Args:
            server: The server.
            running: Requests that were sent there and have not ended.
            waiting: Requests that wait there.
            now: Monotonic time.
        """
        if waiting < max(MIN_QUEUE, QUEUE_SHARE * running):
            return
        held = self._held(server, now)
        if now - held.step_at < STEP_INTERVAL_S:
            return
        held.step_at = now
        held.lower(held.share * QUEUE_STEP)

    def forget(self, server: str) -> None:
        """Deletes the state of a server that has ended."""
        self._limits.pop(server, None)

    def _held(self, server: str, now: float) -> _Limit:
        held = self._limits.setdefault(server, _Limit(at=now))
        held.raise_to(now)
        return held
