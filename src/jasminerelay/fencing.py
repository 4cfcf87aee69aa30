"""A lease with a fencing token, and the times at which its holder may order.

The lease is a row in the table service. Its holder renews it by conditional
writes; each increases the row's version, which is the fencing token. Others
take the lease when the row has not changed for long enough by their own clock,
or by the store's: clocks of two instances are never compared.
"""

import dataclasses
import math

SAFETY_MARGIN = 0.2
"""Fraction of the lease that the holder does not use.

Covers clocks that run at different speeds.
"""

RENEW_SHARE = 0.2
"""Default fraction of the lease after which its holder renews it."""


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """Content of the lease row.

    Attributes:
        holder: Instance that holds the lease.
        incarnation: Incarnation of the holder.
        token: Random ID of the last write, by which an instance recognises an
            own write whose acknowledgement was lost.
        given_up: Whether the holder has released the lease.
    """

    holder: str
    incarnation: str
    token: str
    given_up: bool = False


class Lease:
    """One instance's view of a lease.

    Without I/O: times are passed in, in seconds of a monotonic clock. The clock
    must go on while the machine is suspended; otherwise a resumed holder would
    underestimate the age of its lease.
    """

    def __init__(
        self,
        lease_s: float,
        order_timeout_s: float,
        *,
        renew_s: float | None = None,
        turn_s: float = 0.0,
        started: float = -math.inf,
    ):
        """Creates the view of an instance that does not hold the lease.

        Args:
            lease_s: How long a write keeps the lease.
            order_timeout_s: Longest time until an order is executed.
            renew_s: Age of the last write at which the holder renews.
            turn_s: Time after its own last order in which an instance does not
                take the lease from another one: otherwise an order of the other
                one could fall between two of its own.
            started: Time at which this instance started. Its predecessor on the
                machine may have given an order just before.
        """
        self._lease_s = lease_s
        self._order_timeout_s = order_timeout_s
        self._renew_s = lease_s * RENEW_SHARE if renew_s is None else renew_s
        self._turn_s = turn_s
        self._last_order_at = started
        self._version = 0
        self._own_version = 0
        self._seen_at = math.inf
        self._last_write_at = -math.inf
        self._holds_until = -math.inf

    @property
    def fence(self) -> int:
        """Fencing token of orders given now."""
        return self._version

    @property
    def was_last_holder(self) -> bool:
        """Whether this instance is the last one that held the lease."""
        return self._own_version > 0 and self._own_version == self._version

    @property
    def _never_held(self) -> bool:
        return self._version == 0 and self._seen_at != math.inf

    def observe(self, version: int, now: float, age_s: float = 0.0) -> None:
        """Updates the view with the version of the row as read.

        Args:
            version: Version of the row; 0 if there is none.
            now: Time before the row was read.
            age_s: Minimum time since the write, by the store's clock.
        """
        if version != self._version or self._seen_at == math.inf:
            self._version = version
            self._seen_at = now
        self._seen_at = min(self._seen_at, now - age_s)

    def may_take(self, now: float) -> bool:
        """Returns whether the previous holder can no longer give orders.

        It may have written just before the row was first seen with this
        version, and may have sent an order at the very end of its lease.
        """
        if self.was_last_holder or self._never_held:
            return True
        if now - self._last_order_at < self._turn_s:
            return False
        return now - self._seen_at >= self._lease_s + self._order_timeout_s

    def record_write(self, version: int, started: float) -> None:
        """Records a successful write of this instance.

        Args:
            version: Version of the row after the write.
            started: Time before the write was sent. The lease counts from then,
                since the response may have arrived after a long freeze.
        """
        self._version = version
        self._own_version = version
        self._seen_at = started
        self._last_write_at = started
        self._holds_until = started + self._lease_s * (1 - SAFETY_MARGIN)

    def mark_lost(self) -> None:
        """Records that another instance holds the lease."""
        self._own_version = 0
        self._holds_until = -math.inf

    def record_order(self, now: float) -> None:
        """Records an order of this instance."""
        self._last_order_at = now

    def holds(self, now: float) -> bool:
        """Returns whether this instance holds the lease."""
        return now < self._holds_until

    def may_order(self, now: float) -> bool:
        """Returns whether an order sent now will be executed in time."""
        return now + self._order_timeout_s < self._holds_until

    def renew_due(self, now: float) -> bool:
        """Returns whether the holder should renew the lease."""
        return now > self._last_write_at + self._renew_s
