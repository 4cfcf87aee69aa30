"""Measures the latencies of a stream."""

import time

from jasminerelay.catalog import Call
from jasminerelay.forwardingcontext import ForwardingContext
from jasminerelay.placementqueue import Reservation


class StreamTimer:
    """Measures the latencies of one stream."""

    def __init__(
        self,
        context: ForwardingContext,
        call: Call,
        reservation: Reservation,
        sent_at: float,
    ):
        self._context = context
        self._call = call
        self._reservation = reservation
        self._sent_at = sent_at
        self._last_event_at = 0.0
        engine = context.dispatcher.engine_of(call.service)
        self.event_tokens = engine.event_tokens if engine else 1
        self.first_at = 0.0
        self.pause_s = 0.0

    def events(self, count: int) -> None:
        """Records events that have just arrived."""
        now = time.monotonic()
        self._context.dispatcher.record_response(
            self._reservation.placed.server.id, now
        )
        if not self.first_at:
            self.first_at = now
            self._record_prefill(now)
            self._reservation.run.read(now - self._sent_at)
            self._context.queue.capacity_freed(self._call.service)
        elif self._last_event_at:
            self._context.dispatcher.token_times.observe(
                self._reservation.placed.server.id,
                count * self.event_tokens,
                now - self._last_event_at,
                now,
            )
            self.pause_s = max(self.pause_s, now - self._last_event_at)
        self._last_event_at = now

    def skip_interval(self) -> None:
        """Leaves out the time to the next events, which the caller delayed."""
        self._last_event_at = 0.0

    def _record_prefill(self, now: float) -> None:
        reservation = self._reservation
        self._context.dispatcher.record_first_event(
            self._call,
            reservation.placed,
            reservation.run.prefill_ahead,
            now - self._sent_at,
        )
