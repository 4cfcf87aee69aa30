"""Progress of a request over all its attempts."""

import dataclasses
import time

import anyio

from jasminerelay.catalog import Call, RepeatPolicy, Route
from jasminerelay.migration import KvCacheCopy
from jasminerelay.originlookup import FoundOrigin
from jasminerelay.scheduling.heldbytes import Hold

MAX_ID_DIGITS = 6
"""Longest id of an event that is taken for its number."""


@dataclasses.dataclass
class RequestProgress:
    """Progress of a request over all its attempts.

    Attributes:
        last_event_id: Id of the last event that was sent to the caller.
        events: Number of events sent to the caller.
        first_at: Monotonic time of the first event; 0 before it.
        pause_s: Longest pause between two events.
        status: Status of the answer; 0 before it.
        framings: What marked the end of each response that began, in order.
        relays: Instances that relayed responses, in order.
        tried: Servers of all attempts, in order.
        versions: Software versions of the servers whose events the caller got,
            in order; one for each answer.
        software_version: Version at which the stream must go on; None if it has
            not begun.
        found_origin: What was found of the beginning of a stream that was taken
            up; None for others.
        owners: Instances that placed the attempts, in order; "" for this one.
        ran: Number of servers that have run it, or may have.
        maybe_ran: Whether the request can't be reported as not run any more.
        copy: Copy of the KV cache to continue from, after a move.
        given_away: Whether this instance took the request from a server that
            might have ended it, and must find it another one.
        moves: Number of moves.
        output: Tokens of a complete stream; 0 before its end.
        time_limit: Ends the request at its deadline.
        holds: Bytes held until the end of the request.
    """

    last_event_id: str
    events: int = 0
    first_at: float = 0.0
    pause_s: float = 0.0
    status: int = 0
    framings: list[str] = dataclasses.field(default_factory=list)
    relays: list[str] = dataclasses.field(default_factory=list)
    tried: list[str] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)
    software_version: str | None = None
    found_origin: FoundOrigin | None = None
    owners: list[str] = dataclasses.field(default_factory=list)
    ran: int = 0
    maybe_ran: bool = False
    copy: KvCacheCopy | None = None
    given_away: bool = False
    moves: int = 0
    output: int = 0
    time_limit: anyio.CancelScope | None = None
    holds: list[Hold] = dataclasses.field(default_factory=list)

    def bound(self, call: Call) -> Call:
        """Returns a request as it goes on from here.

        A stream that has begun goes on at one version, and makes only the rest
        of its events.
        """
        if self.software_version is None:
            return call
        return dataclasses.replace(
            call,
            software_version=self.software_version,
            events_done=_count_of(call.last_event_id) + self.events,
            waits_since=time.monotonic() if self.events else None,
        )

    def may_repeat(self, route: Route, under_way: int = 1) -> bool:
        """Returns whether one more server may run it.

        Args:
            route: Its route.
            under_way: Number of servers that have it now.
        """
        if route.repeat_policy is RepeatPolicy.ONCE:
            return False
        return self.ran + under_way < route.max_servers


def _count_of(event_id: str) -> int:
    """Returns the number of events up to one, as far as its id tells."""
    number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if number and len(event_id) <= MAX_ID_DIGITS else 0
