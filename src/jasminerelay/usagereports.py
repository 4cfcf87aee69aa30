"""Reports each window's usage once, whoever holds the duty meanwhile.

A window has one report, ever. So its counts are decided by a write to the
store under the lease, before they are sent: a holder that dies or freezes at
any moment leaves a report that was not decided, and may be by another, or one
whose words the next holder finds and sends again.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from jasminerelay.dutydesk import DutyDesk
from jasminerelay.eventlog import EventLog
from jasminerelay.metrics import Counters
from jasminerelay.usage import Report, UsageLedger

DECIDE_SHARE = 0.5
"""Part of the time until a report is due after which it is decided. Counts of
instances that were cut off come until then; what is left serves a new holder.
"""


class DecidedReports(Protocol):
    """Where decided reports are kept.

    Attributes:
        reports: Counts of the windows that are known to be decided.
    """

    reports: Mapping[int, dict[str, int]]


class UsageReports:
    """The holder's part in the reports."""

    def __init__(
        self,
        desk: DutyDesk,
        decided: DecidedReports,
        ledger: UsageLedger,
        window_s: float,
        late_s: float,
        true_s: Callable[[], float],
        counters: Counters,
        log: EventLog,
    ):
        """Makes the part of an instance that holds nothing yet.

        Args:
            desk: Calls the platform under the lease.
            decided: Where decided reports are kept.
            ledger: What all instances have counted.
            window_s: Length of a window.
            late_s: Time after a window's end at which its report is due.
            true_s: Returns the true time, in seconds since 1970.
            counters: Counts events.
            log: Takes events.
        """
        self._desk = desk
        self._decided = decided
        self._ledger = ledger
        self._window_s = window_s
        self._late_s = late_s
        self._true_s = true_s
        self._counters = counters
        self._log = log
        self._sent: set[int] = set()
        self._missed: set[int] = set()

    def taken(self) -> None:
        """Notes that this instance has just taken the duty."""
        # The former holder may have died before it sent what it decided, and
        # a report that comes twice in the same words is one.
        self._sent.clear()

    async def serve(self) -> None:
        """Decides and sends what is due; raises StoreError unanswered."""
        for window in self._ended():
            if window not in self._decided.reports:
                await self._decide(window)
            counts = self._decided.reports.get(window)
            if counts is not None and window not in self._sent:
                await self._send(Report(window, counts))

    def _ended(self) -> list[int]:
        """Returns the windows whose reports may be decided and are in time."""
        now = self._true_s()
        decide_s = self._late_s * DECIDE_SHARE
        last = int((now - decide_s) // self._window_s) - 1
        first = int((now - self._late_s) // self._window_s)
        self._sent = {x for x in self._sent if x >= first}
        self._missed = {x for x in self._missed if x >= first}
        return list(range(first, last + 1))

    async def _decide(self, window: int) -> None:
        if not self._ledger.complete(window):
            self._miss(window)
            return
        report = Report(window, self._ledger.counts(window))
        if await self._desk.record(report):
            self._counters.incr("usage.decided")

    def _miss(self, window: int) -> None:
        if window in self._missed:
            return
        self._missed.add(window)
        self._counters.incr("usage.missed")
        self._log.trouble(
            "usage_missed",
            window=window,
            why="this instance was not told all of it",
        )

    async def _send(self, report: Report) -> None:
        done = await self._desk.report(report)
        age_s = self._true_s() - (report.window + 1) * self._window_s
        self._log.info(
            "usage_report",
            window=report.window,
            requests=sum(report.counts.values()),
            organisations=len(report.counts),
            after_end_s=round(age_s, 2),
            fence=self._desk.fence,
            done=done,
        )
        if done:
            self._sent.add(report.window)
            self._counters.incr("usage.reported")
