"""Pauses that backend servers request from this instance.

A server that rejects a request may state for how long it wants none from the
sender. It says so to each instance on its own, so the other instances make
nothing of it.
"""

import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from jasminerelay.metrics import Counters

TRIAL_TIMEOUT_S = 1.0
"""Time without a response to a trial request after which another one is sent.
"""

SPREAD_SHARE = 0.1
"""Largest random extension of a pause, as a share of it. A server asks many
instances for the same pause at about the same time, and would get the requests
of all of them when it ends."""


class Statement(Protocol):
    """What a response says of its server."""

    @property
    def pause_s(self) -> float:
        """Requested pause in seconds; 0 for none."""

    @property
    def pause_fault(self) -> str:
        """The requested pause, if it can't be parsed."""

    @property
    def not_run(self) -> bool:
        """Whether the server reports that it did not run the request."""


class ServerPauses:
    """The servers that want no requests from this instance, and until when.

    After its pause a server gets one request at a time, until it accepts one.
    """

    def __init__(
        self,
        counters: Counters,
        warn: Callable[..., None],
        rng: random.Random,
    ):
        """Creates the state of an instance of which no server wants a pause.

        Args:
            counters: Counts events.
            warn: Logs an event with its fields.
            rng: Source of random choices.
        """
        self._counters = counters
        self._warn = warn
        self._rng = rng
        self._until: dict[str, float] = {}
        self._trial_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._until)

    def active(self, server: str, now: float) -> bool:
        """Returns whether a server wants no requests at a monotonic time."""
        return now < self._until.get(server, 0.0)

    def is_recovering(self, server: str) -> bool:
        """Returns whether a server is paused, or not yet proved to accept."""
        return server in self._until

    def trial_due(self, server: str, now: float) -> bool:
        """Returns whether a server should get a request after its pause."""
        return (
            self.is_recovering(server)
            and not self.active(server, now)
            and now - self._trial_at.get(server, -math.inf) > TRIAL_TIMEOUT_S
        )

    def accepts(self, server: str, now: float) -> bool:
        """Returns whether a server may get another request now."""
        return not self.is_recovering(server) or self.trial_due(server, now)

    def record_placement(self, server: str, now: float) -> None:
        """Records that a request is about to be sent to a server."""
        if self.is_recovering(server):
            self._trial_at[server] = now

    def remaining_s(self, servers: Iterable[str], now: float) -> float:
        """Returns the time until the first of some servers' pauses ends.

        0 if one of the servers has no pause, infinity if there are none.
        """
        ends = (self._until.get(server, now) for server in servers)
        return max(0.0, min(ends, default=math.inf) - now)

    def on_request(self, server: str) -> None:
        """Counts a request that is sent to a server during its pause."""
        if self.active(server, time.monotonic()):
            self._counters.incr("pause.sent")

    def on_response(self, server: str, head: Statement) -> None:
        """Handles a server's response to this instance's request."""
        if head.pause_fault:
            self._counters.incr("pause.unreadable")
            self._warn(
                "pause_unreadable", server=server, found=head.pause_fault
            )
        now = time.monotonic()
        if not head.pause_s:
            # A response to a request from before the pause does not end it.
            if not head.not_run and not self.active(server, now):
                self.forget(server)
            return
        self._counters.incr("pause.requested")
        if not self.active(server, now):
            self._warn("pause_requested", server=server, pause_s=head.pause_s)
        extended_s = head.pause_s * (1 + self._rng.uniform(0, SPREAD_SHARE))
        self._until[server] = max(
            self._until.get(server, 0.0), now + extended_s
        )
        self._trial_at.pop(server, None)

    def forget(self, server: str) -> None:
        """Removes a stopped server; after a restart it wants no pause."""
        self._until.pop(server, None)
        self._trial_at.pop(server, None)
