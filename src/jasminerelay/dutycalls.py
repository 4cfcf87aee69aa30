"""Results of calls to the platform that one instance at a time makes."""

import enum
from typing import Protocol

from jasminerelay.scaling import ServerOrder
from jasminerelay.usage import UsageReport


class CallResult(enum.Enum):
    """The result of a call to the platform."""

    # Executed.
    DONE = "done"
    # Not executed: another instance has made a call with a higher fencing
    # token, or no servers of the requested kind are available.
    CONFLICT = "conflict"
    # Not executed: there were too many calls, or the platform was unreachable.
    UNAVAILABLE = "busy"
    # No response. The call may have been executed, or may still be, seconds
    # later.
    NO_ANSWER = "nothing"


class DutyCalls(Protocol):
    """The platform's interface for duties."""

    async def report(self, report: UsageReport, fence: int) -> CallResult:
        """Reports the usage of a window."""

    async def order(self, order: ServerOrder, fence: int) -> CallResult:
        """Orders a number of servers."""
