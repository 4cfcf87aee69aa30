"""Calls the platform for who holds the duties, and for nobody else."""

import time
from collections.abc import Callable

from jasminerelay.dutycalls import DutyCalls, Said
from jasminerelay.eventlog import EventLog
from jasminerelay.leasing import LeaseKeeper
from jasminerelay.limits import Bucket, Limit
from jasminerelay.metrics import Counters
from jasminerelay.scaling import Order
from jasminerelay.usage import Report

MOST_UNANSWERED = 4
"""Calls in a row without an answer after which another instance should try:
the platform may be out of reach from this one alone."""


class DutyDesk:
    """Makes the holder's calls under the lease's fencing number."""

    def __init__(
        self,
        keeper: LeaseKeeper,
        calls: DutyCalls,
        calls_s: float,
        clock: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Makes the desk.

        Args:
            keeper: Keeps the lease.
            calls: The platform.
            calls_s: Calls a second that it takes from all instances.
            clock: Returns the time that the lease goes by.
            counters: Counts events.
            log: Takes events.
        """
        self._keeper = keeper
        self._calls = calls
        self._bucket = Bucket(Limit(calls_s, max(1.0, calls_s)), clock())
        self._clock = clock
        self._counters = counters
        self._log = log
        self._unanswered = 0
        self._renew_first = False

    @property
    def fence(self) -> int:
        """Fencing number of the calls."""
        return self._keeper.lease.fence

    @property
    def unheard(self) -> bool:
        """Whether the platform seems to be out of reach from here."""
        return self._unanswered >= MOST_UNANSWERED

    def taken(self) -> None:
        """Notes that this instance has just taken the duty."""
        self._unanswered = 0
        self._renew_first = False

    async def record(self, report: Report) -> bool:
        """Decides a report, unless another was; StoreError unanswered."""
        return await self._keeper.renew(report)

    async def report(self, report: Report) -> bool:
        """Sends a decided report; returns whether it was taken."""
        if not await self._ready():
            return False
        said = await self._calls.report(report, self.fence)
        self._take(said)
        if said is Said.CONFLICT:
            self._fenced()
        return said is Said.DONE

    async def order(self, order: Order) -> Said:
        """Orders servers; returns what the platform says."""
        if not await self._ready():
            return Said.BUSY
        said = await self._calls.order(order, self.fence)
        self._take(said)
        if said is Said.CONFLICT and not order.preemptible:
            self._fenced()
        return said

    async def _ready(self) -> bool:
        """Returns whether a call may be made now."""
        if self._bucket.lend(1.0, time.monotonic()) < 1.0:
            self._counters.incr("duty.too_many")
            return False
        lease = self._keeper.lease
        if self._renew_first or not lease.may_order(self._clock()):
            # A call without an answer may be carried out later, so what
            # follows it needs a higher number.
            self._renew_first = not await self._keeper.renew()
        # The last look comes right before the call: a freeze earlier on may
        # have outlasted the lease.
        now = self._clock()
        if self._renew_first or not lease.may_order(now):
            self._counters.incr("duty.too_late")
            return False
        lease.ordered(now)
        return True

    def _take(self, said: Said) -> None:
        self._counters.incr(f"duty.{said.value}")
        if said in (Said.DONE, Said.CONFLICT):
            self._unanswered = 0
            return
        self._unanswered += 1
        self._renew_first = self._renew_first or said is Said.NOTHING

    def _fenced(self) -> None:
        self._counters.incr("duty.fenced")
        self._log.trouble("duty_fenced", fence=self.fence)
        self._keeper.lease.lost()
