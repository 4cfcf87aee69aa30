"""Whether a request that must wait can still end in time.

Pure. A request that waits in vain costs twice: its caller learns too late to
do anything else, and an engine that works on it past its time limit throws
the tokens away. So what cannot end in time is refused as soon as that shows,
with a time to come back at which it has a chance.
"""

import dataclasses
import math

MARGIN_SHARE = 0.9
"""Part of the time left that the expected time may take. Expected times are
off by their nature; a tenth keeps most of those that are admitted in time."""

RETRY_LEAST_S = 0.25
RETRY_SHARE = 0.33
"""Callers wait as told up to a third of the time that they have left; a
longer time would not be kept to, a very short one brings all back at once."""

SPREAD_S = 0.4
"""Span over which the return of requests refused together is spread."""


@dataclasses.dataclass(frozen=True)
class Prospect:
    """What is expected of a request that waits.

    Attributes:
        ahead_s: Time until the work before it has found its place.
        own_s: Time from its place to its end.
        left_s: Time until it must have ended.
        first_s: Time from its place to the first sign of its answer.
        patience_s: Time until its caller leaves without such a sign.
    """

    ahead_s: float
    own_s: float
    left_s: float
    first_s: float = 0.0
    patience_s: float = math.inf

    @property
    def missing_s(self) -> float:
        """Time by which it is too late for its end or its caller's patience.

        A stream whose caller leaves before the first event has its prompt
        read in vain: under a burst that was a third of what was not served.
        """
        return max(
            self.ahead_s + self.own_s - self.left_s * MARGIN_SHARE,
            self.ahead_s + self.first_s - self.patience_s * MARGIN_SHARE,
        )

    @property
    def hopeless(self) -> bool:
        """Whether it cannot be expected to be of use to its caller."""
        return self.missing_s > 0


def retry_after_s(prospect: Prospect, spread: float) -> float:
    """Returns when a refused request should come back.

    Args:
        prospect: Why it was refused.
        spread: From 0 to 1, another for each request.
    """
    wanted = max(RETRY_LEAST_S, prospect.missing_s) + spread * SPREAD_S
    kept_to = max(0.05, prospect.left_s * RETRY_SHARE)
    return math.floor(100 * min(wanted, kept_to)) / 100
