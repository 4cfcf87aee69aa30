"""Relays responses at the pace at which callers read them."""

import math
import time

from jasminerelay.catalog import BackendServer, Call
from jasminerelay.dispatcher import Dispatcher
from jasminerelay.eventlog import EventLog
from jasminerelay.exchange import ResponseSink
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.heldbytes import (
    STALL_S,
    STALLED,
    CallerStall,
    HeldBytes,
)
from jasminerelay.serverconnection import ServerResponse
from jasminerelay.stalls import MIN_HELD_UP_S

CHECK_INTERVAL_S = 0.5
"""Interval of the checks whether a caller reads, and whether there is room to
read further ahead of it. A server without a response for 0.8 s gets no more
requests; one that waits for a caller must not count as such."""

MIN_CHECK_S = 0.01


class CallerStalledError(Exception):
    """The caller accepts no data and holds up its server."""


class CallerPace:
    """Waits for one caller to read one response.

    Attributes:
        sent: Bytes of the body handed to the caller's connection.
        waited: Whether the response has waited for the caller.
        held_up_s: Time for which the caller held up the server in the latest
            wait.
    """

    def __init__(
        self,
        held: HeldBytes,
        dispatcher: Dispatcher,
        counters: Counters,
        log: EventLog,
        call: Call,
        sink: ResponseSink,
        server: BackendServer,
    ):
        self._held = held
        self._dispatcher = dispatcher
        self._counters = counters
        self._log = log
        self._call = call
        self._sink = sink
        self._server = server
        self._hold = held.hold(call.organisation)
        self.sent = 0
        self.waited = False
        self.held_up_s = 0.0

    @property
    def held_up(self) -> bool:
        """Whether the caller has held up the server long enough to lose it."""
        return self.held_up_s >= MIN_HELD_UP_S

    def close(self) -> None:
        """Ends the count of the bytes that wait for the caller."""
        self._hold.close()

    async def wait_for_room(self, response: ServerResponse) -> None:
        """Waits until more of a response may be read ahead of the caller.

        Raises:
            CallerStalledError: if the caller has stopped reading.
        """
        self._set_read_ahead()
        if self._sink.blocked:
            await self._wait(response, is_paced=True)

    async def wait_until_writable(self, response: ServerResponse) -> None:
        """Waits until the caller's connection takes more events.

        Raises:
            CallerStalledError: if the caller has stopped reading.
        """
        if self._sink.blocked and not response.complete:
            await self._wait(response, is_paced=False)
            self._hold.close()
        if self._sink.blocked:
            # The rest has arrived; its server need not wait for the caller.
            self._sink.pace(math.inf)

    def _set_read_ahead(self) -> None:
        unsent = self._sink.unsent_bytes
        self._hold.set(unsent)
        self._sink.pace(self._held.read_ahead(self._hold, self.sent - unsent))

    async def _wait(self, response: ServerResponse, *, is_paced: bool) -> None:
        sink = self._sink
        if not self.waited:
            self._counters.incr("held.waited")
        self.waited = True
        stall = CallerStall(time.monotonic(), sink.unacknowledged_bytes)
        stalled_s = 0.0
        try:
            while True:
                left_s = max(STALL_S - stalled_s, MIN_CHECK_S)
                await sink.wait_accepted(min(CHECK_INTERVAL_S, left_s))
                if is_paced:
                    self._set_read_ahead()
                else:
                    self._hold.set(sink.unsent_bytes)
                if not sink.blocked or response.complete:
                    return
                now = time.monotonic()
                server_waits = response.held_up
                if server_waits:
                    # The caller's pause must not look like one of the server.
                    self._dispatcher.record_response(self._server.id, now)
                stalled_s = stall.stalled_s(
                    now, sink.unacknowledged_bytes, server_waits=server_waits
                )
                if stalled_s >= STALL_S:
                    self._report_stall(stalled_s)
                    raise CallerStalledError(f"{STALLED} for {stalled_s:.2f} s")
        finally:
            self.held_up_s = stall.held_up_s

    def _report_stall(self, stalled_s: float) -> None:
        self._counters.incr("held.stalled")
        self._log.warn(
            "caller_stalled",
            id=self._call.id,
            route=self._call.route.name,
            organisation=self._call.organisation,
            server=self._server.id,
            stalled_s=round(stalled_s, 2),
            sent=self.sent,
            unsent=self._sink.unsent_bytes,
            unacknowledged=self._sink.unacknowledged_bytes,
            held=self._held.total,
            held_by_organisation=self._held.of(self._call.organisation),
            bound=self._held.bounds.read_ahead,
        )
