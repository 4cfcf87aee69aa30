"""Limits the size and duration of request heads, and idle connections.

The fast HTTP parser that uvicorn uses stores header fields without any limit
and waits indefinitely for the rest of a head, so one caller could exhaust an
instance's memory with an endless head, or its file descriptors with idle
connections. Requests that waited in the backlog are marked with the time for
which they waited, and those whose callers have left meanwhile are dropped.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import httptools

from jasminerelay import arrivals, ports
from jasminerelay.datagrams import READ_BYTES
from jasminerelay.uvicornserver import HttpToolsProtocol

HEAD_TIMEOUT_S = 10.0
"""Default time limit for a request head: a slow mobile link needs some seconds
for a large one."""

MIN_BACKLOG_WAIT_S = 0.05
"""Wait in the backlog above which a connection is examined. A running instance
accepts connections within a few milliseconds."""

UNREAD_S = "jasminerelay.unread_s"
"""Key in the scope of a request that waited in the backlog: the seconds between
its arrival and the time at which it was read."""

_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-type: text/plain; charset=utf-8\r\n"
    b"content-length: 62\r\n"
    b"connection: close\r\n"
    b"\r\n"
    b"The request head came too slowly; send it again without pauses"
)


@dataclasses.dataclass(frozen=True)
class HeadLimits:
    """Limits on a caller's request heads and idle connections.

    Attributes:
        head_bytes: Maximum size of a request head.
        head_timeout_s: Maximum time from the first byte of a head to its last.
        idle_timeout_s: Maximum time that a connection may be open without a
            request.
    """

    head_bytes: int
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = ports.KEEPALIVE_TIMEOUT_S


def limited_protocol(
    bounds: Callable[[float], HeadLimits],
) -> type[HttpToolsProtocol]:
    """Returns a uvicorn protocol class that enforces the limits.

    A head that is too large is answered with 400, one that is too slow with
    408; idle connections are closed.

    Args:
        bounds: Returns the limits for what began at a monotonic time, a request
            or a pause between two; those of a pause may grow while it lasts.
    """

    class BoundedProtocol(HttpToolsProtocol):
        """Counts the bytes of a request head, complete or not."""

        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._in_head = False
            self._field_bytes = 0
            self._received_bytes = 0
            self._idle_since = time.monotonic()
            self._bounds = bounds(self._idle_since)
            self._timeout_timer: asyncio.TimerHandle | None = None
            self._waited_in_backlog = False
            self._head_without_upgrade: bytes | None = None

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            transport.max_size = READ_BYTES
            # uvicorn starts its keep-alive timer only after the first response:
            # a connection on which nothing is ever sent would stay open for
            # good.
            self._start_idle_timer(self._bounds.idle_timeout_s)
            sock = transport.get_extra_info("socket")
            if arrivals.unread_s(sock) < MIN_BACKLOG_WAIT_S:
                return
            self._waited_in_backlog = True
            if arrivals.peer_has_closed(sock):
                # Nobody would receive the response.
                transport.abort()

        def connection_lost(self, exc: Exception | None) -> None:
            self._head_ended()
            self._unset_keepalive_if_required()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            self._unset_keepalive_if_required()
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                self._go_on_without_upgrade(data[exc.args[0] :])
                return
            except httptools.HttpParserError:
                self.send_400_response("Invalid HTTP request received.")
                return
            if not self._in_head:
                return
            self._received_bytes += len(data)
            if self._received_bytes > self._bounds.head_bytes:
                self._reject_too_large()

        def on_message_begin(self) -> None:
            self._in_head = True
            self._bounds = bounds(time.monotonic())
            self._timeout_timer = self.loop.call_later(
                self._bounds.head_timeout_s, self._reject_too_slow
            )
            super().on_message_begin()
            if self._waited_in_backlog:
                self._waited_in_backlog = False
                sock = self.transport.get_extra_info("socket")
                self.scope[UNREAD_S] = arrivals.unread_s(sock)

        def on_header(self, name: bytes, value: bytes) -> None:
            self._field_bytes += len(name) + len(value)
            if self._field_bytes > self._bounds.head_bytes:
                # uvicorn's parser answers 400 and closes the connection.
                raise httptools.HttpParserError("request head too large")
            super().on_header(name, value)

        def on_headers_complete(self) -> None:
            self._head_ended()
            if self.parser.should_upgrade():
                # The parser would read no body, whatever length is stated, and
                # take what follows for the next request.
                self._head_without_upgrade = self._rebuild_head()
                return
            super().on_headers_complete()

        def on_message_complete(self) -> None:
            if self._head_without_upgrade is None:
                super().on_message_complete()

        def _rebuild_head(self) -> bytes:
            """Returns the head without its wish to change the protocol."""
            lines = [
                b"%b %b HTTP/%b"
                % (
                    self.parser.get_method(),
                    self.url,
                    self.parser.get_http_version().encode(),
                )
            ]
            for name, value in self.headers:
                if name == b"connection":
                    value = _without_upgrade(value)
                if name != b"upgrade":
                    lines.append(b"%b: %b" % (name, value))
            return b"\r\n".join(lines) + b"\r\n\r\n"

        def _go_on_without_upgrade(self, rest: bytes) -> None:
            """Reads a request that wished to change the protocol as any other.

            Args:
                rest: What has arrived after its head.
            """
            head, self._head_without_upgrade = self._head_without_upgrade, None
            if self.parser.get_method() == b"CONNECT":
                self.send_400_response(
                    "CONNECT is not supported; send the request itself."
                )
                return
            self.parser = httptools.HttpRequestParser(self)
            # As uvicorn does, for requests that follow one with "close".
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self.data_received(head + rest)

        def on_response_complete(self) -> None:
            self._idle_since = time.monotonic()
            self.timeout_keep_alive = self.idle_limit_s
            super().on_response_complete()

        @property
        def idle_limit_s(self) -> float:
            """For how long the connection may be idle, since it last became."""
            return bounds(self._idle_since).idle_timeout_s

        def restart_idle_time(self) -> None:
            """Lets the time in which the connection is idle begin now."""
            self._unset_keepalive_if_required()
            self._idle_since = time.monotonic()
            self._start_idle_timer(self.idle_limit_s)

        def timeout_keep_alive_handler(self) -> None:
            left_s = self._idle_since + self.idle_limit_s - time.monotonic()
            if left_s > 0.0 and not self.transport.is_closing():
                # A version has raised the limit since the timer was set.
                self._start_idle_timer(left_s)
                return
            super().timeout_keep_alive_handler()

        def _start_idle_timer(self, left_s: float) -> None:
            self.timeout_keep_alive_task = self.loop.call_later(
                left_s, self.timeout_keep_alive_handler
            )

        def _head_ended(self) -> None:
            self._in_head = False
            self._field_bytes = 0
            self._received_bytes = 0
            if self._timeout_timer is not None:
                self._timeout_timer.cancel()
                self._timeout_timer = None

        def _reject_too_large(self) -> None:
            if not self.transport.is_closing():
                self.send_400_response(
                    "The request head is too large; send fewer or shorter"
                    " header fields."
                )

        def _reject_too_slow(self) -> None:
            # A pipelined head may time out while the request before it is still
            # being answered; a 408 would be written into that response.
            busy = self.cycle is not None and not self.cycle.response_complete
            if self.transport.is_closing():
                return
            if not busy:
                self.transport.write(_TIMEOUT_RESPONSE)
                self.transport.close()

    return BoundedProtocol


def _without_upgrade(value: bytes) -> bytes:
    """Returns a Connection field's value without the option to upgrade."""
    options = [item.strip() for item in value.split(b",")]
    return b", ".join(x for x in options if x.lower() != b"upgrade")
