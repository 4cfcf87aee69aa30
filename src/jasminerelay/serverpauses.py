"""Pauses that backend servers request from this instance.

A server that rejects a request may state for how long it wants none from the
sender. It says so to each instance on its own, so the other instances make
nothing of it.
"""

import time

from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import ResponseHead
from jasminerelay.metrics import Counters


class ServerPauses:
    """The servers that want no requests from this instance, and until when."""

    def __init__(self, counters: Counters, log: EventLog):
        """Creates the state of an instance of which no server wants a pause.

        Args:
            counters: Counts events.
            log: Receives events.
        """
        self._counters = counters
        self._log = log
        self._until: dict[str, float] = {}

    def active(self, server: str, now: float) -> bool:
        """Returns whether a server wants no requests at a monotonic time."""
        return now < self._until.get(server, 0.0)

    def on_request(self, server: str) -> None:
        """Counts a request that is sent to a server during its pause."""
        if self.active(server, time.monotonic()):
            self._counters.incr("pause.sent")

    def on_response(self, server: str, head: ResponseHead) -> None:
        """Handles the response head of a server to this instance's request."""
        if head.pause_fault:
            self._counters.incr("pause.unreadable")
            self._log.warn(
                "pause_unreadable", server=server, found=head.pause_fault
            )
        if not head.pause_s:
            return
        now = time.monotonic()
        self._counters.incr("pause.requested")
        if not self.active(server, now):
            self._log.warn(
                "pause_requested", server=server, pause_s=head.pause_s
            )
        until = max(self._until.get(server, 0.0), now + head.pause_s)
        self._until[server] = until

    def forget(self, server: str) -> None:
        """Removes a stopped server; after a restart it wants no pause."""
        self._until.pop(server, None)
