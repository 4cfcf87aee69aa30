"""Platform calls of the instance that holds the duties' lease."""

import time
from collections.abc import Callable

from jasminerelay.dutycalls import CallResult, DutyCalls
from jasminerelay.eventlog import EventLog
from jasminerelay.leasing import LeaseManager
from jasminerelay.limits import Limit, TokenBucket
from jasminerelay.metrics import Counters
from jasminerelay.scaling import ServerOrder
from jasminerelay.usage import UsageReport

MAX_FAILED_CALLS = 4
"""Failed calls in a row after which another instance should take over: the
platform may be unreachable from this one alone."""


class FencedCaller:
    """Makes the lease holder's calls under the lease's fencing token."""

    def __init__(
        self,
        lease_manager: LeaseManager,
        calls: DutyCalls,
        calls_per_s: float,
        clock: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Creates the caller of one instance.

        Args:
            lease_manager: Takes and renews the lease.
            calls: Interface of the platform.
            calls_per_s: Calls per second that the platform accepts from all
                instances.
            clock: Returns the time that the lease is measured by.
            counters: Receives counts of events.
            log: Receives events.
        """
        self._lease_manager = lease_manager
        self._calls = calls
        self._bucket = TokenBucket(
            Limit(calls_per_s, max(1.0, calls_per_s)), clock()
        )
        self._clock = clock
        self._counters = counters
        self._log = log
        self._failed_calls = 0
        self._renew_first = False

    @property
    def fence(self) -> int:
        """Fencing token of the calls."""
        return self._lease_manager.lease.fence

    @property
    def platform_unreachable(self) -> bool:
        """Whether the platform seems unreachable from this instance."""
        return self._failed_calls >= MAX_FAILED_CALLS

    def on_lease_taken(self) -> None:
        """Resets the state after this instance has taken the lease."""
        self._failed_calls = 0
        self._renew_first = False

    async def decide(self, report: UsageReport) -> bool:
        """Stores a report unless one is stored; StoreError if unanswered."""
        return await self._lease_manager.renew(report)

    async def report(self, report: UsageReport) -> bool:
        """Sends a stored report; returns whether the platform accepted it."""
        if not await self._prepare_call():
            return False
        said = await self._calls.report(report, self.fence)
        self._record_result(said)
        if said is CallResult.CONFLICT:
            self._on_fenced()
        return said is CallResult.DONE

    async def order(self, order: ServerOrder) -> CallResult:
        """Orders servers; returns the result of the call."""
        if not await self._prepare_call():
            return CallResult.UNAVAILABLE
        said = await self._calls.order(order, self.fence)
        self._record_result(said)
        if said is CallResult.CONFLICT and not order.preemptible:
            self._on_fenced()
        return said

    async def _prepare_call(self) -> bool:
        """Renews the lease if needed; returns whether to make a call now."""
        if self._bucket.lend(1.0, time.monotonic()) < 1.0:
            self._counters.incr("duty.too_many")
            return False
        lease = self._lease_manager.lease
        if self._renew_first or not lease.may_order(self._clock()):
            # A call without a response may still be executed later, so the next
            # call needs a higher fencing token.
            self._renew_first = not await self._lease_manager.renew()
        # Checked right before the call: the process may have been frozen for
        # longer than the lease since the check above.
        now = self._clock()
        if self._renew_first or not lease.may_order(now):
            self._counters.incr("duty.too_late")
            return False
        lease.record_order(now)
        return True

    def _record_result(self, said: CallResult) -> None:
        self._counters.incr(f"duty.{said.value}")
        if said in (CallResult.DONE, CallResult.CONFLICT):
            self._failed_calls = 0
            return
        self._failed_calls += 1
        self._renew_first = self._renew_first or said is CallResult.NO_ANSWER

    def _on_fenced(self) -> None:
        self._counters.incr("duty.fenced")
        self._log.warn("duty_fenced", fence=self.fence)
        self._lease_manager.lease.mark_lost()
