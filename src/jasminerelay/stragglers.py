"""Finds backend servers that are much slower than their peers.

A server's time between tokens is compared with the median of its peers; an
absolute limit would misjudge every server under a common burst.
"""

import dataclasses
import statistics

SMOOTHING = 0.2
SLOW_FACTOR = 2.0
FAILURE_BACKOFF_S = 1.0
MAX_BACKOFF_S = 15.0
NO_FAILURES = 0


@dataclasses.dataclass
class _Health:
    step_s: float = 0.0
    failures: int = NO_FAILURES
    blocked_until: float = 0.0


class Stragglers:
    """Step times and failures of the servers of one cell."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def observe(self, server: str, step_s: float) -> None:
        """Takes one measured time between tokens in seconds."""
        if step_s <= 0:
            return
        health = self._of(server)
        if health.step_s == 0:
            health.step_s = step_s
        else:
            health.step_s += SMOOTHING * (step_s - health.step_s)

    def forget(self, server: str) -> None:
        """Drops a server that has ended."""
        self._health.pop(server, None)

    def succeeded(self, server: str) -> None:
        """Notes a request that the server finished."""
        health = self._of(server)
        health.failures = NO_FAILURES
        health.blocked_until = 0.0

    def failed(self, server: str, now: float) -> None:
        """Notes a failure; the server rests, longer each time.

        After the rest it is offered one request as a probe (see `probing`).
        """
        health = self._of(server)
        health.failures += 1
        backoff = FAILURE_BACKOFF_S * 2 ** (health.failures - 1)
        health.blocked_until = now + min(backoff, MAX_BACKOFF_S)

    def blocked(self, server: str, now: float) -> bool:
        """Returns whether the server rests after a failure."""
        return now < self._of(server).blocked_until

    def probing(self, server: str) -> bool:
        """Returns whether the server failed last and gets one try at a time."""
        return self._of(server).failures > NO_FAILURES

    def slowness(self, server: str) -> float:
        """Returns the step time relative to the median of its peers."""
        own = self._of(server).step_s
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

    def _of(self, server: str) -> _Health:
        return self._health.setdefault(server, _Health())
