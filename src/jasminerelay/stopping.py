"""Planned shutdown: from the signal to the end of the process.

Does no I/O. The instance leaves the entry lists at once. Callers with cached
lists still send requests for a while, and the instance serves those that can
end before the platform kills the process; it refuses others as not run. The
process exits when nothing is in flight and no caller can have a cached list any
more, or just before it would be killed.
"""

import dataclasses

EXIT_MARGIN_S = 0.6
"""Time before the kill at which the process exits, so that its connections are
closed properly."""

MIN_STAY_SHARE = 0.75
"""Share of the grace period after which an idle instance exits. Callers cache
entry lists for some seconds; with a cached list, an address that refuses
connections costs them an attempt."""

MOVE_MARGIN_S = 2.0
"""Time before the exit from which on no run is moved to another server: a move
takes two orders of at most a second each, and the stream goes on afterwards."""

ACCEPT_ALL_S = 2.8
"""How long after the signal every request is accepted. Callers that send then
have a cached entry list, and the grace period is meant for them."""


@dataclasses.dataclass(frozen=True)
class PlannedShutdown:
    """A planned shutdown in progress.

    Attributes:
        started_at: Monotonic time of the signal.
        grace_s: Time until the process is killed.
    """

    started_at: float
    grace_s: float

    @property
    def exit_by(self) -> float:
        """Monotonic time by which the process must have exited."""
        return self.started_at + self.grace_s - EXIT_MARGIN_S

    def accepts(self, limit_s: float, now: float) -> bool:
        """Returns whether a request with this time limit is still accepted."""
        accept_all_s = min(ACCEPT_ALL_S, self.grace_s / 3)
        if now - self.started_at < accept_all_s:
            return True
        return now + limit_s < self.exit_by

    def may_move(self, now: float) -> bool:
        """Returns whether a run may still be stopped to go on elsewhere."""
        return now + MOVE_MARGIN_S < self.exit_by

    def finished(self, under_way: int, now: float) -> bool:
        """Returns whether the process should exit now."""
        if now >= self.exit_by:
            return True
        min_stay_s = self.grace_s * MIN_STAY_SHARE
        return under_way == 0 and now - self.started_at >= min_stay_s
