"""A lease with a fencing number, and when its holder may give an order.

The lease is a row in the table service. Its holder renews it by conditional
writes; each raises the row's version, which is the fencing number. Others
take it when the row has not changed for long enough by their own clock, or by
the store's: the clocks of two instances are never compared.
"""

import dataclasses
import math

MARGIN = 0.2
"""Part of the lease that the holder does not use.

Covers clocks that run at unlike speeds.
"""

RENEW_SHARE = 0.2
"""Part of the lease after which its holder renews it, unless told otherwise."""


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """Content of the lease row.

    Attributes:
        holder: Instance that holds it.
        incarnation: Its incarnation.
        token: Random word of the last write; tells a write whose
            acknowledgement was lost from another's.
        given_up: Whether its holder gives no more orders by it.
    """

    holder: str
    incarnation: str
    token: str
    given_up: bool = False


class Lease:
    """One instance's view of a lease.

    Pure: takes the time in seconds of a clock that only goes forward. It must
    go on while the machine is suspended, or a thawed holder takes its lease
    for younger than it is.
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
        """Makes the view of an instance that does not hold the lease.

        Args:
            lease_s: How long a write keeps the lease.
            order_timeout_s: Longest time that an order is under way.
            renew_s: Age of the last write at which the holder renews.
            turn_s: Time after its own last order in which an instance does
                not take the lease from another: within it the order of the
                other would stand between two of its own.
            started: When this instance began. Its machine may have given an
                order right before.
        """
        self._lease_s = lease_s
        self._order_timeout_s = order_timeout_s
        self._renew_s = lease_s * RENEW_SHARE if renew_s is None else renew_s
        self._turn_s = turn_s
        self._ordered_at = started
        self._version = 0
        self._own = 0
        self._seen_at = math.inf
        self._wrote_at = -math.inf
        self._holds_until = -math.inf

    @property
    def fence(self) -> int:
        """Fencing number for orders given now."""
        return self._version

    @property
    def last_is_own(self) -> bool:
        """Whether nobody has held the lease since this instance did."""
        return self._own > 0 and self._own == self._version

    @property
    def _nobody_held_it(self) -> bool:
        return self._version == 0 and self._seen_at != math.inf

    def observe(self, version: int, now: float, age_s: float = 0.0) -> None:
        """Takes the version of the row as read.

        Args:
            version: The row's version; 0 if there is none.
            now: Time before it was read.
            age_s: How long ago it was written at the least, by the clock of
                the store.
        """
        if version != self._version or self._seen_at == math.inf:
            self._version = version
            self._seen_at = now
        self._seen_at = min(self._seen_at, now - age_s)

    def may_take(self, now: float) -> bool:
        """Returns whether the former holder can give no order any more.

        It may have written just before the row was first seen with this
        version, and may have sent an order at the very end of its lease.
        """
        if self.last_is_own or self._nobody_held_it:
            return True
        if now - self._ordered_at < self._turn_s:
            return False
        return now - self._seen_at >= self._lease_s + self._order_timeout_s

    def wrote(self, version: int, started: float) -> None:
        """Takes the success of an own write.

        Args:
            version: Version of the row after it.
            started: Time before the write was sent. The lease counts from
                there: the answer may have come after a long freeze.
        """
        self._version = version
        self._own = version
        self._seen_at = started
        self._wrote_at = started
        self._holds_until = started + self._lease_s * (1 - MARGIN)

    def lost(self) -> None:
        """Takes the news that another holds it."""
        self._own = 0
        self._holds_until = -math.inf

    def ordered(self, now: float) -> None:
        """Notes an order of this instance."""
        self._ordered_at = now

    def holds(self, now: float) -> bool:
        """Returns whether the lease is held."""
        return now < self._holds_until

    def may_order(self, now: float) -> bool:
        """Returns whether an order sent now can still be done in time."""
        return now + self._order_timeout_s < self._holds_until

    def renew_due(self, now: float) -> bool:
        """Returns whether the holder should renew."""
        return now > self._wrote_at + self._renew_s
