"""Decides how long an instance pauses between calls that the store fails.

This module does no I/O. The load that it handles: a store that is down, slow or
rejects some instances, at which every instance would retry several times a
second.
"""

import enum
import random
from collections.abc import Mapping

from jasminerelay.registry import StoreStatus
from jasminerelay.schema.messages import ReplicaStatus

GROWING_FIRST_S = 0.4
CONFIRMED_MAX_S = 1.5
GROWTH = 2.0
"""First pause, maximum and growth for an instance whose data others confirm. An
instance that reaches the store again must be up to date within 4 s, and takes
`registry.RETURN_GRACE_S` of them to tell a removed row from a lapsed one."""

LONG_PAUSE_S = 3.0
"""Pause of an instance for which others call a store that is lost for all. It
ends early once one of them reports an answer."""

JITTER = 0.15
"""Maximum fraction by which a long pause is extended at random."""

SHARED_MIN_S = 0.4
SHARED_MAX_S = 0.8
"""Pause of each of the instances that call a store that is lost for all. There
are three of them, so the store's return is noticed within a quarter of a second
on average."""

CONFIRMED_AGE_S = 1.4
"""Age of the data up to which other instances confirm it as recent. The leader
confirms it every 0.9 s."""

REPORT_VALID_S = 1.5
"""How long another instance's report on the store counts."""

LOSS_NOTICE_S = 0.3
"""Time after this instance's loss of the store within which others may still
report that they reach it, since their calls have not failed yet."""


class Outage(enum.Enum):
    """What an instance that has lost the store knows about the others."""

    UNCONFIRMED = enum.auto()
    """No other instance vouches for its data, or none sends messages."""

    CONFIRMED = enum.auto()
    """Others reach the store and confirm its data as recent."""

    SHARED = enum.auto()
    """The store is lost for all, and others call it often."""

    SHARED_CALLER = enum.auto()
    """The store is lost for all, and this instance calls it often."""


def classify(
    reports: Mapping[str, tuple[float, ReplicaStatus]],
    lost_since: float,
    now: float,
    *,
    age_s: float,
    is_first_caller: bool,
) -> Outage:
    """Returns what kind of loss of the store this instance is in.

    Args:
        reports: Time and content of the last report of each other instance.
        lost_since: When this instance lost the store.
        now: The time.
        age_s: Age of this instance's data.
        is_first_caller: Whether this instance is among the first in the order
            in which instances call a store that is lost for all.
    """
    recent = [
        (at, standing.touch != StoreStatus.UNREACHABLE)
        for at, standing in reports.values()
        if now - at <= REPORT_VALID_S
    ]
    if not recent:
        return Outage.UNCONFIRMED
    lost_by_others = any(not reaches for _, reaches in recent)
    answered = any(
        reaches and at > lost_since + LOSS_NOTICE_S for at, reaches in recent
    )
    if lost_by_others and not answered:
        return Outage.SHARED_CALLER if is_first_caller else Outage.SHARED
    if age_s <= CONFIRMED_AGE_S:
        return Outage.CONFIRMED
    return Outage.UNCONFIRMED


class RetryBackoff:
    """Pauses between failed calls of one instance."""

    def __init__(self, rng: random.Random):
        """Creates the state of an instance that has not lost the store.

        Args:
            rng: Randomises the pauses.
        """
        self._rng = rng
        self._failures = 0
        self._draw = 0.0

    def reset(self) -> None:
        """Records that the store has answered."""
        self._failures = 0

    def record_failure(self) -> None:
        """Records another failed call and draws the pause after it."""
        self._failures += 1
        self._draw = self._rng.random()

    def pause_s(self, outage: Outage, short: tuple[float, float]) -> float:
        """Returns the pause after the last failure.

        Args:
            outage: The kind of loss, which may change during the pause.
            short: Bounds of the pause where no other instance helps.
        """
        if outage is Outage.UNCONFIRMED:
            return self._between(*short)
        if outage is Outage.SHARED_CALLER:
            return self._between(SHARED_MIN_S, SHARED_MAX_S)
        base_s = LONG_PAUSE_S
        if outage is Outage.CONFIRMED:
            grown_s = GROWING_FIRST_S * GROWTH ** min(self._failures - 1, 8)
            base_s = min(CONFIRMED_MAX_S, grown_s)
        return base_s * (1 + JITTER * self._draw)

    def _between(self, low: float, high: float) -> float:
        return low + (high - low) * self._draw
