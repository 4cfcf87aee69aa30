"""Reports each window's usage to the platform once, across lease holders.

A window must never be reported with two different contents. Its counts are
therefore decided by a write to the store under the lease before they are sent.
If a holder dies or freezes before the write, its successor decides the report;
if after the write, the successor sends the decided counts again.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from jasminerelay.eventlog import EventLog
from jasminerelay.fencedcalls import FencedCaller
from jasminerelay.metrics import Counters
from jasminerelay.usage import UsageLedger, UsageReport

DECIDE_AFTER_SHARE = 0.5
"""Fraction of the time until a report is due after which it is decided. Counts
of instances that were unreachable may arrive until then; the remaining time is
left for a new holder."""

MISS_AFTER_SHARE = 0.8
"""Fraction after which a window counts as missed by an instance that lacks
totals of it. A handover may still bring them before."""

EARLIEST_S = 1.2
"""Time after a window's end before which it is not decided, even if all known
instances have reported. An instance that has just started makes itself known
with its first report, at most a second after its first request."""

MAX_NAMES = 5
"""Instances named in a log line."""


class DecidedReports(Protocol):
    """Store of decided reports.

    Attributes:
        reports: Counts of the windows that are known to be decided.
    """

    reports: Mapping[int, dict[str, int]]


class UsageReporter:
    """Decides and sends reports while this instance holds the lease.

    Attributes:
        missing: Returns the instances whose requests of a window may be
            missing. If there are none, the window is decided early.
    """

    def __init__(
        self,
        caller: FencedCaller,
        decided: DecidedReports,
        ledger: UsageLedger,
        window_s: float,
        late_s: float,
        true_s: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Creates the reports of an instance without the lease.

        Args:
            caller: Calls the platform under the lease.
            decided: Store of decided reports.
            ledger: Usage counted by all instances.
            window_s: Length of a window.
            late_s: Time after a window's end at which its report is due.
            true_s: Returns the true time, in seconds since 1970.
            counters: Receives counts of events.
            log: Receives events.
        """
        self._caller = caller
        self._decided = decided
        self._ledger = ledger
        self._window_s = window_s
        self._late_s = late_s
        self._true_s = true_s
        self._counters = counters
        self._log = log
        self._sent: set[int] = set()
        self._missed: set[int] = set()
        self._undecidable_to = -1
        self.missing: Callable[[int], Sequence[str]] = lambda window: ("all",)

    def on_store_restored(self) -> None:
        """Handles that the store has come back from a copy of its data.

        It may have lost reports that another holder decided and sent. Windows
        whose reports may have been decided by now are not decided here.
        """
        # True time differs between instances by less than a window.
        self._undecidable_to = self._last_window(EARLIEST_S) + 1

    def on_lease_taken(self) -> None:
        """Resets the state after this instance has taken the lease."""
        # The previous holder may have died before it sent what it had decided.
        # Sending a report again with the same counts has no effect.
        self._sent.clear()

    async def serve(self) -> None:
        """Decides and sends the due reports; StoreError if unanswered."""
        for window in self._due_windows():
            if window not in self._decided.reports:
                await self._decide(window)
            counts = self._decided.reports.get(window)
            if counts is not None and window not in self._sent:
                await self._send(UsageReport(window, counts))

    def _due_windows(self) -> list[int]:
        """Returns the windows whose reports may be decided and are in time."""
        last = self._last_due_window()
        early = range(last + 1, self._last_window(EARLIEST_S) + 1)
        first = int((self._true_s() - self._late_s) // self._window_s)
        self._sent = {x for x in self._sent if x >= first}
        self._missed = {x for x in self._missed if x >= first}
        return [
            *range(first, last + 1),
            *(x for x in early if self._may_decide_early(x)),
        ]

    def _may_decide_early(self, window: int) -> bool:
        if window in self._decided.reports:
            return True
        return (
            window > self._undecidable_to
            and self._ledger.complete(window)
            and not self.missing(window)
        )

    def _last_due_window(self) -> int:
        return self._last_window(self._late_s * DECIDE_AFTER_SHARE)

    def _last_window(self, ended_s: float) -> int:
        """Returns the last window that ended at least so long ago."""
        return int((self._true_s() - ended_s) // self._window_s) - 1

    async def _decide(self, window: int) -> None:
        if window <= self._undecidable_to:
            self._record_miss(
                window, "the store may have lost another holder's report"
            )
            return
        if not self._ledger.complete(window):
            if self._age_s(window) >= self._late_s * MISS_AFTER_SHARE:
                self._record_miss(
                    window,
                    "this instance has not received all usage of the window",
                )
            return
        report = UsageReport(window, self._ledger.counts(window))
        missing = self.missing(window)
        if not await self._caller.decide(report):
            return
        self._counters.incr("usage.decided")
        if window <= self._last_due_window():
            self._counters.incr("usage.decided_late")
            self._log.info(
                "usage_awaited",
                window=window,
                after_end_s=round(self._age_s(window), 2),
                missing=len(missing),
                instances=list(missing[:MAX_NAMES]),
            )

    def _record_miss(self, window: int, why: str) -> None:
        if window in self._missed:
            return
        self._missed.add(window)
        self._counters.incr("usage.missed")
        self._log.warn("usage_missed", window=window, why=why)

    async def _send(self, report: UsageReport) -> None:
        done = await self._caller.report(report)
        self._log.info(
            "usage_report",
            window=report.window,
            requests=sum(report.counts.values()),
            organisations=len(report.counts),
            after_end_s=round(self._age_s(report.window), 2),
            fence=self._caller.fence,
            done=done,
        )
        if done:
            self._sent.add(report.window)
            self._counters.incr("usage.reported")

    def _age_s(self, window: int) -> float:
        """Returns the time since a window's end."""
        return self._true_s() - (window + 1) * self._window_s
