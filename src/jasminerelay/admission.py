"""Decides whether a queued request can still finish in time.

Pure. A request that is queued in vain costs twice: its caller gets the error
too late to react, and an engine that works on it past its time limit wastes the
tokens. A request that cannot finish in time is therefore refused as soon as
that is clear, with a Retry-After time at which it has a chance.
"""

import dataclasses
import math

MARGIN_SHARE = 0.9
"""Share of the time left that the expected time may take. The estimates are
inexact; a margin of a tenth keeps most admitted requests in time."""

MIN_RETRY_S = 0.25
RETRY_SHARE = 0.33
"""Largest share of its remaining time for which a caller is asked to wait.
Callers do not respect a longer wait; a very short one makes all of them retry
at once."""

RETRY_SPREAD_S = 0.4
"""Range over which the retries of requests refused together are spread."""

LATE_BACKLOG_S = 4.0
"""Longest queueing delay under overload of a request that will be late. Newer
requests of its kind that can be in time go first, so behind more work than this
it would wait until it is hopeless; less would leave servers idle when a burst
ends."""

EARLY = "refused early under overload"
"""Words in the message of such a refusal; log lines are searched for them."""

OVER_SHARE = "over its share"
"""Words in the message of a refusal because other organisations compete; log
lines are searched for them."""


@dataclasses.dataclass(frozen=True)
class WaitEstimate:
    """Expected times of a queued request.

    Attributes:
        queue_delay_s: Time until the work queued before it is placed.
        service_s: Time from its placement to its end.
        remaining_s: Time until its deadline.
        first_s: Time from its placement to its first event.
        caller_idle_timeout_s: Time after which its caller disconnects if no
            event has come.
        in_time_s: Time until its first event counts as late.
        late_backlog_s: Longest queueing delay of a request that will be late.
    """

    queue_delay_s: float
    service_s: float
    remaining_s: float
    first_s: float = 0.0
    caller_idle_timeout_s: float = math.inf
    in_time_s: float = math.inf
    late_backlog_s: float = math.inf

    @property
    def overrun_s(self) -> float:
        """Time by which it misses its deadline or its caller's idle timeout.

        If the caller of a stream disconnects before the first event, the
        prefill is wasted: under a burst that was a third of the requests not
        served.
        """
        return max(
            self.queue_delay_s
            + self.service_s
            - self.remaining_s * MARGIN_SHARE,
            self.queue_delay_s
            + self.first_s
            - self.caller_idle_timeout_s * MARGIN_SHARE,
        )

    @property
    def too_late(self) -> bool:
        """Whether it is expected to finish too late for its caller."""
        return self.overrun_s > 0 or self.is_surplus

    @property
    def is_surplus(self) -> bool:
        """Whether it would be late and others will be served in its place."""
        return (
            self.queue_delay_s > self.late_backlog_s
            and self.queue_delay_s + self.first_s > self.in_time_s
        )

    @property
    def retry_s(self) -> float:
        """Time after which the queue has room for it."""
        if self.is_surplus:
            room_s = self.queue_delay_s - self.late_backlog_s
            return max(self.overrun_s, room_s)
        return self.overrun_s


def retry_after_pause_s(pause_s: float, spread: float) -> float:
    """Returns the Retry-After time of a request that no server accepts now.

    Args:
        pause_s: Time until a server accepts requests again.
        spread: Number from 0 to 1 that differs between requests.
    """
    return math.ceil(100 * (pause_s + spread * RETRY_SPREAD_S)) / 100


def retry_after_s(estimate: WaitEstimate, spread: float) -> float:
    """Returns the Retry-After time of a refused request.

    Args:
        estimate: Its expected times.
        spread: Number from 0 to 1 that differs between requests.
    """
    if not estimate.is_surplus:
        desired = max(MIN_RETRY_S, estimate.overrun_s)
        desired += spread * RETRY_SPREAD_S
        limit_s = max(0.05, estimate.remaining_s * RETRY_SHARE)
        return math.floor(100 * min(desired, limit_s)) / 100
    # Room appears while the queue is worked off. Callers that came back at one
    # moment would find it taken by the first of them.
    limit_s = max(0.05, estimate.remaining_s * RETRY_SHARE)
    first_s = min(max(MIN_RETRY_S, estimate.retry_s), limit_s / 2)
    period_s = min(max(RETRY_SPREAD_S, estimate.queue_delay_s), limit_s / 2)
    return math.floor(100 * (first_s + spread * period_s)) / 100
