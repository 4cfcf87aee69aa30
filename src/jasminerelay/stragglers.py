"""Detects backend servers that are much slower than their peers.

A server's time between tokens is compared with the median of its peers; an
absolute limit would misjudge every server under a burst that affects all.
"""

import dataclasses
import statistics

SMOOTHING_WEIGHT = 0.2
SLOW_FACTOR = 2.0
FAILURE_BACKOFF_S = 1.0
MAX_BACKOFF_S = 15.0
NO_FAILURES = 0

UNAVAILABLE_AFTER_FAILURES = 2
"""Failures in a row after which a server doesn't count as capacity. A single
one may have been the connection's."""


@dataclasses.dataclass
class _Health:
    step_s: float = 0.0
    failures: int = NO_FAILURES
    blocked_until: float = 0.0


class Stragglers:
    """Step times and failures of the servers of a cell."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def observe(self, server: str, step_s: float) -> None:
        """Records one measured time between tokens in seconds."""
        if step_s <= 0:
            return
        health = self._record_of(server)
        if health.step_s == 0:
            health.step_s = step_s
        else:
            health.step_s += SMOOTHING_WEIGHT * (step_s - health.step_s)

    def forget(self, server: str) -> None:
        """Deletes the record of a server that has ended."""
        self._health.pop(server, None)

    def succeeded(self, server: str) -> None:
        """Records a request that the server completed."""
        health = self._record_of(server)
        health.failures = NO_FAILURES
        health.blocked_until = 0.0

    def failed(self, server: str, now: float) -> None:
        """Records a failure; blocks the server with exponential back-off.

        After the back-off it gets one request as a probe (see `probing`).
        """
        health = self._record_of(server)
        health.failures += 1
        backoff = FAILURE_BACKOFF_S * 2 ** (health.failures - 1)
        health.blocked_until = now + min(backoff, MAX_BACKOFF_S)

    def report_failed(self, server: str, now: float) -> None:
        """Records a failure that another instance reports.

        It counts only for a server without own failures: it never lengthens a
        back-off, and never makes a server count as no capacity.
        """
        if self._record_of(server).failures == NO_FAILURES:
            self.failed(server, now)

    def blocked(self, server: str, now: float) -> bool:
        """Returns whether the server is in back-off after a failure."""
        return now < self._record_of(server).blocked_until

    def probing(self, server: str) -> bool:
        """Returns whether the server is limited to one probe at a time.

        This holds from a failure until the next success.
        """
        return self._record_of(server).failures > NO_FAILURES

    def unavailable(self, server: str) -> bool:
        """Returns whether the server doesn't count as capacity now.

        Its row in the store lasts for seconds after a crash.
        """
        failures = self._record_of(server).failures
        return failures >= UNAVAILABLE_AFTER_FAILURES

    def slowness(self, server: str) -> float:
        """Returns the step time relative to the median of its peers."""
        own = self._record_of(server).step_s
        peers = [
            health.step_s
            for name, health in self._health.items()
            if name != server and health.step_s > 0
        ]
        if own == 0 or not peers:
            return 1.0
        return own / statistics.median(peers)

    def is_straggler(self, server: str) -> bool:
        """Returns whether the server is much slower than its peers."""
        return self.slowness(server) >= SLOW_FACTOR

    def _record_of(self, server: str) -> _Health:
        return self._health.setdefault(server, _Health())
