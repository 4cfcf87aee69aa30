"""How fast each engine makes tokens for each of its streams, as seen here.

Pure. Reading long prompts slows an engine's tokens far more than the number
of its requests tells, and reports of it come late. The time between events
that pass through this instance shows it at once.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping

MEMORY_S = 1.0
"""Time over which gaps are averaged: long against one prompt's reading, short
against an answer."""

FORGET_S = 5.0
"""Age at which a pace counts no more; an idle server is fast again."""

OWN_FIRST_S = 1.0
"""Age up to which what passed through this instance goes before what others
tell, and up to which it is told to them."""

TOLD_WEIGHT = 0.3
"""Weight of one other instance's word in the running mean of what is told."""


@dataclasses.dataclass(frozen=True)
class PacesAlike:
    """Paces of servers alike as of one moment.

    Attributes:
        token_s: Seconds per token by server; None if nothing was seen.
        median_s: The median; None if fewer than two are known.
    """

    token_s: Mapping[str, float | None]
    median_s: float | None

    def slowness(self, server: str) -> float:
        """Returns a server's pace relative to the median; 1 is usual."""
        own = self.token_s.get(server)
        if own is None or self.median_s is None:
            return 1.0
        return own / max(self.median_s, 1e-6)


UNDISTURBED_SHARE = 0.4
"""Place among the latest times per token, from the shortest, of the one that
shows an engine's own step. Prompts that are read meanwhile stretch a part of
them; the very shortest are events that were held up and came together."""

LEAST_TIMES = 8
MOST_TIMES = 64
"""Times per token between two looks from which on they are judged, and the
most that are kept."""


class PaceBook:
    """Seconds per token of a stream, by server.

    With many instances each has streams at a few of the engines only. Without
    the others' words it would take an engine that it has not seen of late for
    an idle one, and add long answers to one that is too slow to end them.
    """

    def __init__(self) -> None:
        self._paces: dict[str, tuple[float, float]] = {}
        self._told: dict[str, tuple[float, float]] = {}
        self._times: dict[str, collections.deque[float]] = {}

    def observe(
        self, server: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Takes the time that a stream's next tokens took."""
        if tokens <= 0 or seconds < 0:
            return
        sample = seconds / tokens
        times = self._times.get(server)
        if times is None:
            times = collections.deque(maxlen=MOST_TIMES)
            self._times[server] = times
        times.append(sample)
        held = self._paces.get(server)
        if held is None or now - held[1] > FORGET_S:
            self._paces[server] = (sample, now)
            return
        # Weighted by the time it covers: many short gaps after one long one
        # must not hide it.
        weight = 1 - math.exp(-seconds / MEMORY_S)
        self._paces[server] = (held[0] + weight * (sample - held[0]), now)

    def hear(self, server: str, token_s: float, now: float) -> None:
        """Takes what another instance has just seen."""
        held = self._told.get(server)
        if held is None or now - held[1] > OWN_FIRST_S:
            self._told[server] = (token_s, now)
            return
        mean = held[0] + TOLD_WEIGHT * (token_s - held[0])
        self._told[server] = (mean, now)

    def own_s(self, server: str, now: float) -> float | None:
        """Returns what passed here of late, to tell the others."""
        held = self._paces.get(server)
        if held is None or now - held[1] > OWN_FIRST_S:
            return None
        return held[0]

    def token_s(self, server: str, now: float) -> float | None:
        """Returns seconds per token; None if nothing was seen of late."""
        held = self._paces.get(server)
        if held is None or now - held[1] > OWN_FIRST_S:
            told = self._told.get(server)
            if told is not None and (held is None or told[1] > held[1]):
                held = told
        if held is None or now - held[1] > FORGET_S:
            return None
        return held[0]

    def of_alike(self, servers: Iterable[str], now: float) -> "PacesAlike":
        """Returns the paces of servers alike, as of now."""
        paces = {name: self.token_s(name, now) for name in servers}
        seen = [pace for pace in paces.values() if pace is not None]
        median = statistics.median(seen) if len(seen) >= 2 else None
        return PacesAlike(paces, median)

    def slowness(self, server: str, peers: Iterable[str], now: float) -> float:
        """Returns the pace relative to the median of servers alike."""
        return self.of_alike({server, *peers}, now).slowness(server)

    def undisturbed_s(self, server: str) -> float | None:
        """Returns what a token has taken beside no reading, since last asked.

        None if too few tokens came to tell.
        """
        times = self._times.get(server)
        if times is None or len(times) < LEAST_TIMES:
            return None
        place = int(len(times) * UNDISTURBED_SHARE)
        found = sorted(times)[place]
        times.clear()
        return found

    def forget(self, server: str) -> None:
        """Drops a server that has ended."""
        self._times.pop(server, None)
        self._paces.pop(server, None)
        self._told.pop(server, None)
