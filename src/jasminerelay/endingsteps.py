"""Who ended a request's answer, and in which step, for logs and counters.

Without these names a line of the log does not tell an answer that its server
broke off from one that the instance gave up.
"""

import dataclasses
import enum


class EndedBy(enum.StrEnum):
    """Who ended an answer."""

    CALLER = "caller"
    INSTANCE = "instance"
    RELAY = "relay"
    SERVER = "server"


class Step(enum.StrEnum):
    """What was going on at its latest server when an answer ended."""

    BLOCKED = "blocked"
    CALLER_LEFT = "caller left"
    CALLER_STALLED = "caller stalled"
    CONNECTING = "connecting"
    CONTINUING_MOVED = "continuing a moved run"
    FAILURE = "failure"
    LOST_CONNECTION = "lost connection"
    PLACING = "placing"
    REJECTION = "rejection"
    SILENCE = "silence"
    STOP = "stop"
    TIME_LIMIT = "time limit"
    WHOLE = "whole"


class Obstacle(enum.StrEnum):
    """Why no further server was tried."""

    CRASHES = "crashes"
    NO_CAPACITY = "no capacity"
    RETRY_BUDGET = "retry budget"
    TRIES = "tries"
    RUNS_ONCE = "may not run again"


@dataclasses.dataclass(frozen=True)
class Ending:
    """How a request's answer ended.

    Attributes:
        by: Who ended it.
        step: What was going on.
        obstacle: Why no further server was tried; None where it was whole, or
            none is tried after such a step.
    """

    by: EndedBy
    step: Step
    obstacle: Obstacle | None = None

    def log_fields(self) -> dict[str, str]:
        """Returns the fields of a request's line in the log."""
        return {
            "ended_by": self.by,
            "step": self.step,
            "obstacle": self.obstacle or "",
        }
