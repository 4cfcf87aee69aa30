"""Keeps servers from rejecting requests where rejections would crash them.

Pure. A server may state how many requests in a second it can reject before it
crashes, for all instances together. Instances know of each other's requests
with a delay, so a brittle server is given fewer requests than it has slots,
and none to wait there. After a rejection it gets hardly any for so long that
the rejections of all instances together stay below its limit.
"""

import dataclasses
import math

VALID_S = 3.0
"""Time for which a statement holds; a brittle server repeats it in all answers.
"""

SLOT_SHARE = 0.85
"""Share of a brittle server's slots that is used."""

MIN_REST_S = 0.5
RESTING_LIMIT = 1
"""Requests at a server that has rejected one just before."""


@dataclasses.dataclass(frozen=True)
class _Statement:
    max_rejections: int
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUse:
    """What is known of the requests at a server.

    Attributes:
        own: Requests of this instance.
        all: Requests of all instances, as known here.
        instances: Number of instances that place requests there.
    """

    own: int
    all: int
    instances: int


class BrittleServers:
    """The brittle servers of one service.

    Example:
        >>> brittle = BrittleServers()
        >>> brittle.limit("s", 8, 0.0)
        0
        >>> brittle.record_statement("s", 3, 0.0)
        >>> brittle.limit("s", 8, 0.1), brittle.limit("s2", 8, 0.1)
        (6, 6)
        >>> brittle.record_rejection("s", 6, 0.2)
        >>> brittle.limit("s", 8, 2.1), brittle.limit("s", 8, 2.3)
        (1, 6)
    """

    def __init__(self) -> None:
        self._stated: dict[str, _Statement] = {}
        self._resting_until: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._stated)

    def record_statement(
        self, server: str, max_rejections: int, now: float
    ) -> None:
        """Records what a server states in a response.

        Args:
            server: The server.
            max_rejections: Rejections in a second above which it crashes; 0
                if it is not brittle.
            now: Monotonic time.
        """
        if max_rejections > 0:
            self._stated[server] = _Statement(max_rejections, now + VALID_S)
        elif self._stated:
            self._stated.pop(server, None)

    def record_rejection(self, server: str, instances: int, now: float) -> None:
        """Records that a server rejected a request for lack of capacity.

        Args:
            server: The server.
            instances: Number of instances that place requests there.
            now: Monotonic time.
        """
        most = self._max_rejections(now)
        if most:
            rest_s = max(MIN_REST_S, instances / most)
            self._resting_until[server] = now + rest_s

    def stated(self, server: str, now: float) -> int:
        """Returns a server's own statement; 0 if it is not brittle."""
        held = self._stated.get(server)
        return held.max_rejections if held and now < held.until else 0

    def limit(self, server: str, slots: int, now: float) -> int:
        """Returns the concurrent requests of a server; 0 if not limited.

        The servers of a service are brittle at the same times, so one
        statement holds for all.
        """
        if not self._max_rejections(now):
            return 0
        if now < self._resting_until.get(server, -math.inf):
            return RESTING_LIMIT
        return max(1, int(slots * SLOT_SHARE))

    def instance_limit(
        self, server: str, slots: int, use: InstanceUse, now: float
    ) -> int:
        """Returns the limit for one of several instances; 0 if not limited.

        Each uses no more than its share, as all may find free slots at the same
        moment.
        """
        limit = self.limit(server, slots, now)
        if not limit or use.own < math.ceil(limit / use.instances):
            return limit
        return max(RESTING_LIMIT, min(limit, use.all))

    def forget(self, server: str) -> None:
        """Deletes what is known of a server that has ended."""
        self._stated.pop(server, None)
        self._resting_until.pop(server, None)

    def _max_rejections(self, now: float) -> int:
        """Returns the least number that a server states; 0 if none does."""
        if not self._stated:
            return 0
        held = [
            x.max_rejections for x in self._stated.values() if x.until > now
        ]
        if not held:
            self._stated.clear()
            self._resting_until.clear()
        return min(held, default=0)
