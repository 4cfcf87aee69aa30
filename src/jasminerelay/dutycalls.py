"""What the platform says to calls that one instance at a time makes."""

import enum
from typing import Protocol

from jasminerelay.scaling import Order
from jasminerelay.usage import Report


class Said(enum.Enum):
    """The platform's answer to a call.

    Attributes:
        DONE: It was carried out.
        CONFLICT: It was not: another instance has called with a higher
            fencing number, or none of the servers asked for are to be had.
        BUSY: It was not, since there were too many calls, or the platform
            could not be reached.
        NOTHING: There was no answer. It may have been carried out, or may
            still be, seconds later.
    """

    DONE = "done"
    CONFLICT = "conflict"
    BUSY = "busy"
    NOTHING = "nothing"


class DutyCalls(Protocol):
    """The platform's side of the duties."""

    async def report(self, report: Report, fence: int) -> Said:
        """Reports a window's usage."""

    async def order(self, order: Order, fence: int) -> Said:
        """Orders a number of servers."""
