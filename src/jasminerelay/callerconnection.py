"""Connections of callers, with the bytes that they have not accepted.

Extends the HTTP server's protocol by what relaying at the caller's pace needs,
and accounts for the end of a response that is complete for the server while its
caller has not read it.
"""

import array
import asyncio
import fcntl
import socket
import termios
import time
from typing import Any

import anyio

from jasminerelay.eventlog import EventLog
from jasminerelay.httpconnection import HttpConnection
from jasminerelay.metrics import Counters
from jasminerelay.scheduling.heldbytes import (
    MEMORY_SHORT,
    STALL_S,
    STALLED,
    CallerStall,
    HeldBytes,
    Hold,
)

CONNECTION = "jasminerelay.connection"
"""Key in the scope of a request for its caller's connection."""

MAX_KERNEL_BYTES = 64 * 1024
"""Bytes that the kernel keeps unsent for one caller. By itself it would let its
buffer grow to megabytes, which count as memory of the instance. What is on its
way to the caller is not limited, so distant callers are as fast as before."""

MAX_PAUSE_BYTES = 64 * 1024
MIN_PAUSE_BYTES = 16 * 1024
"""Unsent bytes above which writers wait, and those from which on they continue,
unless a response is paced; as asyncio has them."""

LINGER_CHECK_S = 0.5
"""Interval of the checks whether a caller reads the end of its response."""

UNREAD_LIMIT_S = 15.0
"""Time without an accepted byte after which a caller loses the end of a
complete response. No server waits for it, and callers pause for seconds; a
configuration's limit of idle connections may be shorter than that."""


def with_flow_control(
    base: type[HttpConnection],
    held: HeldBytes,
    counters: Counters,
    log: EventLog,
) -> type[HttpConnection]:
    """Returns a class of connections that can be paced.

    Args:
        base: Class to extend, see `httpconnection`.
        held: Counts the bytes that the instance holds.
        counters: Counts events.
        log: Event log.

    The class serves all ports that clients reach, for none of them may hold an
    instance up by answers that it does not read.
    """

    class CallerConnection(base):
        """One caller's connection.

        Attributes:
            request_id: The caller's id of the request that is being answered,
                or was last.
        """

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_KERNEL_BYTES
            )
            self._is_paced = False
            self._organisation = ""
            self.request_id = ""
            self._lingering: Hold | None = None
            self._linger_timer: asyncio.TimerHandle | None = None

        def connection_lost(self, exc: Exception | None) -> None:
            self._end_lingering()
            super().connection_lost(exc)

        def on_request(self, scope: dict[str, Any]) -> None:
            # What a new response adds cannot be told from what was unsent.
            self._end_lingering()
            scope[CONNECTION] = self

        def on_response_complete(self) -> None:
            if self._is_paced:
                self._set_pause(MAX_PAUSE_BYTES, MIN_PAUSE_BYTES)
                self._is_paced = False
            organisation, self._organisation = self._organisation, ""
            self.watch_unsent(organisation)
            super().on_response_complete()

        @property
        def unsent_bytes(self) -> int:
            """Bytes that the socket has not accepted."""
            return self.transport.get_write_buffer_size()

        @property
        def unacknowledged_bytes(self) -> int:
            """Bytes that the caller's host has not acknowledged."""
            raw: socket.socket = self.transport.get_extra_info("socket")
            count = array.array("i", [0])
            if raw is not None and raw.fileno() >= 0:
                fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, count)
            return self.unsent_bytes + count[0]

        @property
        def blocked(self) -> bool:
            """Whether writers wait for the caller."""
            return self.flow.write_paused

        def pace(self, ahead: float, organisation: str) -> None:
            """Sets the number of unsent bytes above which writers wait."""
            self._organisation = organisation
            self._is_paced = True
            self._set_pause(ahead, ahead)
            # The transport reports a change only after its next write.
            if self.unsent_bytes > ahead:
                self.flow.pause_writing()
            else:
                self.flow.resume_writing()

        async def wait_accepted(self, timeout_s: float) -> None:
            """Waits until writers need not wait, at most for some time."""
            with anyio.move_on_after(timeout_s):
                await self.flow.drain()

        def watch_unsent(self, organisation: str) -> None:
            """Counts what is unsent after a response, until it is accepted.

            A caller that accepts nothing for a while is disconnected, earlier
            if memory is short.
            """
            if self._lingering is None and self.unsent_bytes:
                self._watch_unread(organisation)

        def idle_ended(self) -> None:
            if self._lingering is None and self.unacknowledged_bytes:
                self._watch_unread("")
            # The connection is idle once its caller has the response.
            if self._lingering is None:
                super().idle_ended()

        def log_unread_end(self, why: str) -> None:
            """Logs that the caller loses the end of its response."""
            log.warn(
                "end_unread",
                id=self.request_id,
                why=why,
                unsent=self.unsent_bytes,
                held=held.total,
            )

        def _set_pause(self, high: float, low: float) -> None:
            self.transport.set_write_buffer_limits(high=high, low=low)

        def _watch_unread(self, organisation: str) -> None:
            self._lingering = held.hold(organisation)
            self._stall = CallerStall(
                time.monotonic(), self.unacknowledged_bytes
            )
            self._check_unread()

        def _check_unread(self) -> None:
            unread = self.unacknowledged_bytes
            if not unread:
                self._end_lingering()
                if not self.transport.is_closing():
                    self.restart_idle_time()
                return
            unsent = self.unsent_bytes
            self._lingering.set(unsent)
            stalled_s = self._stall.stalled_s(
                time.monotonic(), unread, server_waits=True
            )
            limit_s = max(UNREAD_LIMIT_S, self.idle_limit_s)
            if unsent and (held.short or self._account.full):
                limit_s = STALL_S
            if stalled_s > limit_s:
                self._give_up_unread(unsent, stalled_s)
                return
            self._linger_timer = self.loop.call_later(
                LINGER_CHECK_S, self._check_unread
            )

        def _give_up_unread(self, unsent: int, stalled_s: float) -> None:
            if not unsent:
                self._end_lingering()
                # The kernel still sends what it has.
                self.transport.close()
                return
            counters.incr("held.unread")
            why = MEMORY_SHORT if held.short else STALLED
            self.log_unread_end(f"{why}, {stalled_s:.2f} s without a byte")
            self._end_lingering()
            self.reset()

        def _end_lingering(self) -> None:
            if self._linger_timer is not None:
                self._linger_timer.cancel()
                self._linger_timer = None
            if self._lingering is not None:
                self._lingering.close()
                self._lingering = None

    return CallerConnection
