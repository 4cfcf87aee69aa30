"""Handover of usage totals to a new coordinator of the duties.

The load is all requests of the windows that are still open, at most 30 s of
them, whenever a coordinator stops, dies or is replaced, or all of them at once.
The new coordinator requests one message after the other, so that neither its
link nor the sender's is filled, and a lost message is requested again.
"""

import dataclasses
import math
from collections.abc import Iterator, Sequence

from jasminerelay.schema.messages import (
    HandoverRequest,
    HandoverTotals,
    UsageWindow,
)
from jasminerelay.usage import UsageLedger

HANDOVER_S = 10.0
"""How long a new coordinator requests totals. Afterwards the windows that were
open when it became one are decided."""

RETRY_S = 0.4
"""Time without an answer after which another coordinator is asked."""

RECHECK_S = 1.0
"""Pause before a coordinator that had not received all totals is asked again:
it may itself be waiting for a handover."""

FORMER_S = 3.0
"""How long an instance that was a coordinator still hands over. Instances learn
of a change of coordinators at different times within this span."""

VIEW_LAG_S = 1.0
"""Time for which reports still reach a former coordinator. Instances that
report elsewhere by then send the new coordinators their full totals."""

MAX_MESSAGE_BYTES = 8 * 1024
"""Approximate size of the totals in a datagram."""

ROW_BYTES = 12
COUNT_BYTES = 3
"""Approximate bytes of a row besides its names, and of a count."""

NO_WINDOW = -1
START = (NO_WINDOW, "")


@dataclasses.dataclass
class _Donor:
    """What is known about an instance that may hand over its totals.

    Attributes:
        next_at: Time at which it may be asked again.
        served: Whether it has handed over what it had.
    """

    next_at: float = -math.inf
    served: bool = False


class HandoverIntake:
    """Totals that a new coordinator requests. Times are of one clock.

    Attributes:
        rows: Number of totals received.
        requests: Number of requests sent.
    """

    def __init__(self, own: str, first: int, last: int, now: float):
        """Creates the requests of an instance that has become a coordinator.

        Args:
            own: This instance.
            first: First window whose totals it lacks.
            last: Last window whose totals it lacks.
            now: Time at which it became a coordinator.
        """
        self._own = own
        self._first = first
        self._last = last
        self._since = now
        self._donors: dict[str, _Donor] = {}
        self._current: str | None = None
        self._after = START
        self._asked_at = -math.inf
        self._complete_from = NO_WINDOW
        self.rows = 0
        self.requests = 0

    def age_s(self, now: float) -> float:
        """Returns the time since this instance became a coordinator."""
        return now - self._since

    def ended(self, complete_from: float, now: float) -> bool:
        """Returns whether to request nothing more.

        Args:
            complete_from: First window that the ledger has completely.
            now: Current time.
        """
        return complete_from <= self._first or self.age_s(now) > HANDOVER_S

    def update_donors(self, names: Sequence[str]) -> None:
        """Updates the instances that may hand over, the best ones first."""
        self._donors = {
            name: self._donors.get(name, _Donor())
            for name in names
            if name != self._own
        }
        if self._current not in self._donors:
            self._current = None

    def request(self, now: float) -> tuple[str, HandoverRequest] | None:
        """Returns an instance and the request to send it, if one is due."""
        if self._current is not None:
            if now - self._asked_at < RETRY_S:
                return None
            self._donors[self._current].next_at = now + RETRY_S
            self._current = None
        due = [
            name
            for name, donor in self._donors.items()
            if not donor.served and donor.next_at <= now
        ]
        if not due:
            return None
        self._current = min(due, key=lambda name: self._donors[name].next_at)
        self._after = START
        self._complete_from = NO_WINDOW
        return self._next(now)

    def receive(
        self, message: HandoverTotals, now: float
    ) -> tuple[str, HandoverRequest] | int | None:
        """Handles an answer whose totals have been merged.

        Args:
            message: The answer.
            now: Current time.

        Returns:
            The next request and its receiver; or the window from which the
            ledger is now complete; or None.
        """
        if (
            message.sender != self._current
            or (message.after_window, message.after_sender) != self._after
        ):
            return None
        donor = self._donors[message.sender]
        self.rows += len(message.windows)
        if message.complete_from == NO_WINDOW:
            self._current = None
            donor.next_at = now + RECHECK_S
            return None
        self._complete_from = max(self._complete_from, message.complete_from)
        if not message.done:
            self._after = (message.windows[-1].number, message.instances[-1])
            return self._next(now)
        self._current = None
        if self._complete_from > self._last:
            donor.next_at = now + RECHECK_S
            return None
        donor.served = True
        return self._complete_from

    def _next(self, now: float) -> tuple[str, HandoverRequest]:
        self._asked_at = now
        self.requests += 1
        return self._current, HandoverRequest(
            self._own, self._first, self._last, *self._after
        )


def totals_message(
    own: str,
    ledger: UsageLedger,
    complete_from: float,
    request: HandoverRequest,
) -> HandoverTotals:
    """Returns the answer to a request.

    Args:
        own: This instance.
        ledger: Its totals.
        complete_from: First window of which it has received all totals.
        request: The request.
    """
    after = (request.after_window, request.after_sender)
    if math.isinf(complete_from):
        return HandoverTotals(own, *after, NO_WINDOW, True, [], [])
    first = max(request.first, int(complete_from))
    rows = ledger.totals_after(after, first, request.last)
    instances, windows, done = _take(rows)
    return HandoverTotals(
        own, *after, int(complete_from), done, instances, windows
    )


def _take(
    rows: Iterator[tuple[str, UsageWindow]],
) -> tuple[list[str], list[UsageWindow], bool]:
    """Returns the first rows, and whether there are no others."""
    instances: list[str] = []
    windows: list[UsageWindow] = []
    size = 0
    for instance, window in rows:
        size += len(instance) + ROW_BYTES
        size += sum(len(x) + COUNT_BYTES for x in window.organisations)
        if instances and size > MAX_MESSAGE_BYTES:
            return instances, windows, False
        instances.append(instance)
        windows.append(window)
    return instances, windows, True
