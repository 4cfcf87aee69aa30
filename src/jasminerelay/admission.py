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
    """

    queue_delay_s: float
    service_s: float
    remaining_s: float
    first_s: float = 0.0
    caller_idle_timeout_s: float = math.inf

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
        return self.overrun_s > 0


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
    desired = max(MIN_RETRY_S, estimate.overrun_s) + spread * RETRY_SPREAD_S
    limit_s = max(0.05, estimate.remaining_s * RETRY_SHARE)
    return math.floor(100 * min(desired, limit_s)) / 100
