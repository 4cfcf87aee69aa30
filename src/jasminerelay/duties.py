"""Duties that one instance at a time performs for all: usage and servers.

All instances report the requests that servers started for them, and their
clients' demand, to the same few coordinators, which rendezvous hashing selects
among the live instances. One coordinator holds the lease and performs the
duties; it sends heartbeats to the others, the first of which takes over when
the holder becomes unresponsive.
"""

import functools
import math
import time
from collections.abc import Callable, Sequence

import anyio

from jasminerelay import peermessages, rendezvous
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.errors import StoreError
from jasminerelay.eventlog import EventLog
from jasminerelay.fencedcalls import FencedCaller
from jasminerelay.freshness import now_s
from jasminerelay.groups import TotalDemand
from jasminerelay.leasing import LeaseManager
from jasminerelay.metrics import Counters
from jasminerelay.pendingstarts import PendingStarts
from jasminerelay.registry import Registry, StoreStatus
from jasminerelay.scheduling import dutyhandover
from jasminerelay.scheduling.dutyhandover import HandoverIntake
from jasminerelay.scheduling.reportprogress import ReportProgress
from jasminerelay.schema.messages import (
    DutyMessage,
    HandoverRequest,
    HandoverTotals,
    Member,
    RouteDemand,
    UsageWindow,
)
from jasminerelay.serverorders import Autoscaler
from jasminerelay.trueclock import MAX_SKEW_S, TrueClock, median_skew_s
from jasminerelay.usage import (
    KEPT_WINDOWS,
    LocalUsage,
    UsageLedger,
)
from jasminerelay.usagereports import UsageReporter

MS_PER_S = 1e3

COORDINATOR_COUNT = 3
"""Instances that receive all reports. Two of them may fail at once."""

TICK_S = 0.25
REPORT_INTERVAL_S = 1.0
"""Interval of an instance's reports. Counts since the last one are lost if the
instance is killed."""

FULL_REPORT_S = 3.2
"""How long a new coordinator gets full reports."""

HOLDER_TIMEOUT_S = 1.0
"""Time without a message from the holder after which the first coordinator
reads the lease."""

TIMEOUT_STEP_S = 0.5
"""Additional time that each further coordinator waits."""

LEASE_RETRY_S = 0.6
"""Pause between two reads of a lease that another instance still holds."""

MESSAGE_TTL_S = 3.0
"""How long an instance's report counts."""

MIN_REPORTING_SHARE = 0.8
"""Fraction of the live instances whose reports are needed to order servers."""

CORRECTION_INTERVAL_S = 3.0
"""Pause between two clock corrections, so that the first one shows in the
reports."""

STARTUP_S = 15.0
"""Age up to which this instance takes part in the first start of the whole
system, at which a new coordinator receives all counts: they are kept longer."""

BACKOFF_S = 6.0
"""How long an instance that could not reach the platform leaves the duties to
others."""


FINAL_REPORT_S = 0.3
"""How long an instance that stops tries to deliver its last report. It exits
0.6 s before it would be killed."""

FINAL_RETRY_S = 0.1
"""Pause between two attempts; several times a round trip between zones."""

DEPARTED_S = 60.0
"""How long the address of an instance that is no longer live is kept: it may
request totals, hand them over, or send its last report, while it stops."""


class Duties:
    """Reports of one instance, and the duties if it holds the lease.

    Attributes:
        reports: Reports usage to the platform; None if disabled.
        orders: Orders servers; None if disabled.
        send: Sends a message to an instance, without confirmation.
        first_start: Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        own: Member,
        lease_manager: LeaseManager,
        caller: FencedCaller,
        usage: LocalUsage,
        ledger: UsageLedger,
        clock: TrueClock,
        dispatcher: Dispatcher,
        registry: Registry,
        counters: Counters,
        log: EventLog,
    ):
        """Creates the duties of an instance that has no other members yet.

        Args:
            own: This instance.
            lease_manager: Takes and renews the lease.
            caller: Calls the platform under the lease.
            usage: Requests that servers started for this instance.
            ledger: Usage counted by all instances.
            clock: True time.
            dispatcher: Source of this instance's demand.
            registry: Configuration and servers.
            counters: Receives counts of events.
            log: Receives events.
        """
        self._own = own
        self._lease_manager = lease_manager
        self._caller = caller
        self.reports: UsageReporter | None = None
        self.orders: Autoscaler | None = None
        self._usage = usage
        self._ledger = ledger
        self._clock = clock
        self._dispatcher = dispatcher
        self._registry = registry
        self._counters = counters
        self._log = log
        self._demand = TotalDemand()
        self._received_at: dict[str, float] = {}
        self._skews: dict[str, float] = {}
        self._coordinators: list[Member] = []
        self._members: dict[str, Member] = {}
        self._departed: dict[str, tuple[Member, float]] = {}
        self._has_departed = False
        self._former_coordinators: dict[str, float] = {}
        self._unconfirmed: set[str] = set()
        self._handover: HandoverIntake | None = None
        self._former_claim = (math.inf, float("-inf"))
        self._progress = ReportProgress(usage.window_s, self.true_s())

        self._coordinator_since: dict[str, float] = {}
        self._holder_seen_at = now_s()
        self._lease_tried_at = float("-inf")
        self._corrected_at = float("-inf")
        self._started_at = now_s()
        self.first_start = False
        self._backoff_until = float("-inf")
        self._stopping = False
        self.send: Callable[
            [Member, DutyMessage | HandoverRequest | HandoverTotals], None
        ] = lambda to, message: None
        # Looked up once: each access to the method creates it anew.
        self._dispatch_message = self._dispatch
        lease_manager.on_taken = self._on_lease_taken

    @property
    def holds(self) -> bool:
        """Whether this instance holds the lease and performs the duties."""
        return self._lease_manager.holds

    @property
    def pending_starts(self) -> PendingStarts:
        """Requests that may still have to be counted."""
        return self._usage.pending

    def missing_reports(self, window: int) -> list[str]:
        """Returns the instances whose usage of a window may be missing."""
        return self._progress.missing(window)

    def true_s(self) -> float:
        """Returns the true time, in seconds since 1970."""
        return self._clock.at(now_s())

    def record_start(self, organisation: str, ago_s: float) -> None:
        """Records that a server started a request.

        Args:
            organisation: Organisation to charge; "" for none.
            ago_s: How long ago the request started.
        """
        if organisation:
            true_s = self.true_s() - ago_s
            self._usage.record_start(organisation, true_s, time.monotonic())

    def update_instances(self, live: Sequence[Member]) -> None:
        """Updates the list of instances that accept client connections."""
        members = {member.instance: member for member in live}
        if members.keys() == self._members.keys():
            return
        self._record_departed(members)
        self._members = members
        self._progress.update_live(members, self.true_s())
        # Includes instances that have lost the store: they cannot perform the
        # duties, but go on receiving reports, and are complete once they reach
        # the store again.
        ranked = rendezvous.rank("duties", members)[:COORDINATOR_COUNT]
        if ranked == [
            coordinator.instance for coordinator in self._coordinators
        ]:
            return
        was_coordinator = self._coordinator_rank is not None
        self._coordinators = [members[name] for name in ranked]
        now = now_s()
        for name in self._coordinator_since:
            if name not in ranked:
                self._former_coordinators[name] = now
        self._coordinator_since = {
            name: self._coordinator_since.get(name, now) for name in ranked
        }
        if self._coordinator_rank is None:
            if was_coordinator:
                self._former_claim = (self._ledger.complete_from, now)
            self._handover = None
            self._ledger.mark_incomplete()
        elif not was_coordinator:
            # While all instances start for the first time, a new coordinator
            # receives everything that was counted, unless an instance has
            # ended: its totals may be known to other coordinators only.
            first = (
                self.first_start
                and not self._has_departed
                and now - self._started_at < STARTUP_S
            )
            window = self._usage.window_at(self.true_s()) + 1
            self._ledger.mark_complete_from(0 if first else window)
            self._handover = HandoverIntake(
                self._own.instance, window - KEPT_WINDOWS, window - 1, now
            )
        self._request_totals(now)

    def handle_message(
        self, message: DutyMessage | HandoverRequest | HandoverTotals
    ) -> None:
        """Handles another instance's message."""
        self._dispatch_message(message)

    @functools.singledispatchmethod
    def _dispatch(self, message: DutyMessage) -> None:
        now = now_s()
        if message.skew_ms and now - self._corrected_at > CORRECTION_INTERVAL_S:
            self._corrected_at = now
            self._clock.correct(message.skew_ms / MS_PER_S)
            self._log.warn("clock_corrected", ahead_ms=message.skew_ms)
        if message.holds and message.sender != self._own.instance:
            self._holder_seen_at = now
        self._received_at[message.sender] = now
        self._skews[message.sender] = (
            message.clock_ms / MS_PER_S - self.true_s()
        )
        self._ledger.merge(message.sender, message.usage)
        if message.pending_ms >= 0:
            self._progress.record_report(
                message.sender,
                message.clock_ms / MS_PER_S,
                message.pending_ms / MS_PER_S,
                self.true_s(),
                final=message.final,
            )
        if message.confirms:
            self._unconfirmed.discard(message.sender)
        if message.final:
            self._confirm_final(message.sender)
        demand = peermessages.demand_rows(message.demand)
        if demand:
            # The holder's heartbeats have none.
            self._demand.update(message.sender, demand, time.monotonic())

    @_dispatch.register
    def _(self, message: HandoverRequest) -> None:
        receiver = self._member(message.sender)
        if receiver is None:
            self._counters.incr("usage.handover_unknown")
            return
        self._counters.incr("usage.handover_sent")
        self.send(
            receiver,
            dutyhandover.totals_message(
                self._own.instance,
                self._ledger,
                self._complete_from(message.last),
                message,
            ),
        )

    @_dispatch.register
    def _(self, message: HandoverTotals) -> None:
        for sender, window in zip(
            message.instances, message.windows, strict=True
        ):
            self._ledger.merge(sender, [window])
        if self._handover is None:
            return
        now = now_s()
        result = self._handover.receive(message, now)
        if isinstance(result, int):
            self._ledger.mark_complete_from(result)
            self._counters.incr("usage.handover_received")
            self._log.info(
                "usage_handover",
                source=message.sender,
                complete_from=result,
                totals=self._handover.rows,
                requests=self._handover.requests,
                after_s=round(self._handover.age_s(now), 2),
            )
            self._request_totals(now)
        elif result is not None:
            self._send_request(*result)

    def work(self, service: str) -> float | None:
        """Returns how many servers a service's requests occupy.

        None if too few instances have reported recently.
        """
        if len(self._received_at) < MIN_REPORTING_SHARE * max(
            1, len(self._members)
        ):
            return None
        if self._registry.standing.touch is StoreStatus.UNREACHABLE:
            return None
        demand = self._demand.total(service, time.monotonic())
        return sum(item.work for item in demand)

    def on_store_restored(self) -> None:
        """Handles that the store has come back from a copy of its data."""
        if self.reports is not None:
            self.reports.on_store_restored()

    def stop(self) -> None:
        """Marks this instance as shutting down."""
        self._stopping = True

    async def send_final_report(self) -> None:
        """Sends all totals to the coordinators before this instance exits.

        Repeats it until each has confirmed it, for at most `FINAL_REPORT_S`.
        """
        coordinators = {
            member.instance: member
            for member in self._coordinators
            if member.instance != self._own.instance
        }
        self._unconfirmed = set(coordinators)
        steady = time.monotonic()
        usage = self._usage.windows_to_send(steady, full=True)
        started = now_s()
        while self._unconfirmed and now_s() - started < FINAL_REPORT_S:
            message = self._make_message(usage, pending_ms=0, final=True)
            for name in sorted(self._unconfirmed):
                self.send(coordinators[name], message)
            await anyio.sleep(FINAL_RETRY_S)
        if self._unconfirmed:
            self._counters.incr("usage.final_unconfirmed")
        self._log.info(
            "usage_final",
            windows=len(usage),
            requests=sum(sum(item.counts) for item in usage),
            unconfirmed=sorted(self._unconfirmed),
            took_s=round(now_s() - started, 2),
        )

    async def run(self) -> None:
        """Reports, and performs the duties under the lease, forever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._exchange_reports)
            await self._serve_duties()

    async def _exchange_reports(self) -> None:
        reported_at = float("-inf")
        while True:
            await anyio.sleep(TICK_S)
            now = now_s()
            self._update_clock_and_expire(now)
            self._request_totals(now)
            report_due = now - reported_at >= REPORT_INTERVAL_S
            if report_due:
                reported_at = now
                self._check_clocks()
            if report_due or self.holds:
                self._send_reports(now, report_due)

    def _update_clock_and_expire(self, now: float) -> None:
        self._clock.update(now, time.time())
        self._ledger.expire(self._usage.window_at(self.true_s()))
        self._progress.expire(self.true_s())
        for name, at in list(self._received_at.items()):
            if now - at > MESSAGE_TTL_S:
                del self._received_at[name]
                self._skews.pop(name, None)

    def _confirm_final(self, sender: str) -> None:
        self._counters.incr("usage.final_received")
        member = self._member(sender)
        if member is not None:
            self.send(member, self._make_message(confirms=True))

    def _record_departed(self, members: dict[str, Member]) -> None:
        now = now_s()
        self._departed = {
            name: (member, at)
            for name, (member, at) in self._departed.items()
            if now - at < DEPARTED_S and name not in members
        }
        for name, member in self._members.items():
            if name not in members:
                self._departed[name] = (member, now)
                self._has_departed = True

    def _member(self, name: str) -> Member | None:
        """Returns an instance that is live, or was until recently."""
        if name in self._members:
            return self._members[name]
        member, _ = self._departed.get(name, (None, 0.0))
        return member

    def _complete_from(self, last: int) -> float:
        """Returns the first window whose totals this instance can hand over.

        Args:
            last: Last window that the receiver lacks.
        """
        if self._coordinator_rank is not None:
            return self._ledger.complete_from
        complete_from, until = self._former_claim
        ago_s = now_s() - until
        if ago_s > dutyhandover.FORMER_S:
            return math.inf
        received_to_s = self.true_s() - ago_s + dutyhandover.VIEW_LAG_S
        if self._usage.window_at(received_to_s) < last:
            # Later reports went to another coordinator.
            return math.inf
        return complete_from

    def _request_totals(self, now: float) -> None:
        """Requests the totals that a new coordinator lacks, if that is due."""
        handover = self._handover
        if handover is None:
            return
        if handover.ended(self._ledger.complete_from, now):
            if handover.age_s(now) > dutyhandover.HANDOVER_S:
                self._counters.incr("usage.handover_failed")
                self._log.info(
                    "usage_handover_failed",
                    requests=handover.requests,
                    complete_from=self._ledger.complete_from,
                    after_s=round(handover.age_s(now), 2),
                )
            self._handover = None
            return
        self._former_coordinators = {
            name: at
            for name, at in self._former_coordinators.items()
            if now - at < dutyhandover.HANDOVER_S
        }
        donors = [coordinator.instance for coordinator in self._coordinators]
        donors += [x for x in self._former_coordinators if x not in donors]
        handover.update_donors(
            [name for name in donors if self._member(name) is not None]
        )
        request = handover.request(now)
        if request is not None:
            self._send_request(*request)

    def _send_request(self, donor: str, request: HandoverRequest) -> None:
        self._counters.incr("usage.handover_requested")
        member = self._member(donor)
        if member is not None:
            self.send(member, request)

    def _send_reports(self, now: float, report_due: bool) -> None:
        """Reports to the coordinators; the holder also sends heartbeats."""
        demand = self._dispatcher.own_demand() if report_due else []
        steady = time.monotonic()
        pending_ms = math.ceil(self._usage.pending.oldest_s(steady) * MS_PER_S)
        for coordinator in self._coordinators:
            full = (
                now - self._coordinator_since[coordinator.instance]
                < FULL_REPORT_S
            )
            usage = (
                self._usage.windows_to_send(steady, full=full)
                if report_due
                else []
            )
            message = self._make_message(
                usage, demand, pending_ms=pending_ms if report_due else -1
            )
            if coordinator.instance == self._own.instance:
                if report_due:
                    self.handle_message(message)
            else:
                self.send(coordinator, message)

    def _make_message(
        self,
        usage: Sequence[UsageWindow] = (),
        demand: Sequence[RouteDemand] = (),
        skew_s: float = 0.0,
        pending_ms: int = -1,
        *,
        final: bool = False,
        confirms: bool = False,
    ) -> DutyMessage:
        return DutyMessage(
            self._own.instance,
            self.holds,
            round(self.true_s() * MS_PER_S),
            list(usage),
            peermessages.demand_columns(demand),
            round(skew_s * MS_PER_S),
            pending_ms,
            final,
            confirms,
        )

    def _check_clocks(self) -> None:
        if self._coordinator_rank is None:
            return
        median_s = median_skew_s(self._skews.values())
        if median_s and now_s() - self._corrected_at > CORRECTION_INTERVAL_S:
            self._corrected_at = now_s()
            self._clock.correct(-median_s)
            self._log.warn(
                "clock_corrected", ahead_ms=-round(median_s * MS_PER_S)
            )
            self._skews.clear()
        elif self.holds:
            for name, skew in list(self._skews.items()):
                if abs(skew) > MAX_SKEW_S and name in self._members:
                    self.send(
                        self._members[name], self._make_message(skew_s=skew)
                    )
                    del self._skews[name]

    @property
    def _coordinator_rank(self) -> int | None:
        """This instance's rank among the coordinators; None if it is none."""
        for rank, coordinator in enumerate(self._coordinators):
            if coordinator.instance == self._own.instance:
                return rank
        return None

    async def _serve_duties(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            try:
                await self._serve_once()
            except StoreError as exc:
                self._counters.incr("duty.store_failed")
                self._log.info("duty_store_failed", why=exc.message)

    async def _serve_once(self) -> None:
        now = now_s()
        if self.holds:
            if self._caller.platform_unreachable:
                self._backoff_until = now + BACKOFF_S
            if (
                self._coordinator_rank is None
                or self._stopping
                or self._backing_off(now)
            ):
                self._log.warn("duty_given_up", fence=self._caller.fence)
                await self._lease_manager.release()
                return
            await self._lease_manager.renew_if_due()
            if self.reports is not None:
                await self.reports.serve()
            if self.orders is not None:
                await self.orders.serve()
        elif self._may_try_lease(now):
            self._lease_tried_at = now
            await self._lease_manager.try_take()

    def _may_try_lease(self, now: float) -> bool:
        rank = self._coordinator_rank
        if rank is None or self._stopping or self._backing_off(now):
            return False
        if self._registry.standing.touch is StoreStatus.UNREACHABLE:
            # The calls for the tables show when the store answers again.
            return False
        timeout_s = HOLDER_TIMEOUT_S + TIMEOUT_STEP_S * rank
        if now - self._holder_seen_at < timeout_s:
            return False
        return now - self._lease_tried_at >= LEASE_RETRY_S

    def _backing_off(self, now: float) -> bool:
        return now < self._backoff_until and len(self._coordinators) > 1

    def _on_lease_taken(self) -> None:
        self._counters.incr("duty.taken")
        self._log.warn("duty_taken", fence=self._caller.fence)
        self._caller.on_lease_taken()
        for part in (self.reports, self.orders):
            if part is not None:
                part.on_lease_taken()
