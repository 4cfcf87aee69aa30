"""Bounds what a caller may hold of an instance: a head's bytes, and time.

The fast HTTP parser that uvicorn uses keeps header fields without any bound
and waits for the rest of a head without end, so one caller could fill an
instance's memory with a head that never ends, or its descriptors with
connections on which nothing comes.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from jasminerelay import ports

HEAD_S = 10.0
"""Time in which a head must have come, where the operator sets none: a slow
mobile link needs some seconds for a large one."""

_LATE_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-type: text/plain; charset=utf-8\r\n"
    b"content-length: 62\r\n"
    b"connection: close\r\n"
    b"\r\n"
    b"The request head came too slowly; send it again without pauses"
)


@dataclasses.dataclass(frozen=True)
class HeadBounds:
    """What a caller may send and how long it may take.

    Attributes:
        head_bytes: Most bytes of a request's head.
        head_s: Longest time from a head's first byte to its last.
        idle_s: Longest time that a connection may stay without a request.
    """

    head_bytes: int
    head_s: float = HEAD_S
    idle_s: float = ports.KEEPALIVE_S


def bounded(bounds: Callable[[], HeadBounds]) -> type[HttpToolsProtocol]:
    """Returns a protocol that holds callers to bounds.

    A head that is too large is answered 400, one that is too slow 408; idle
    connections are closed.

    Args:
        bounds: Returns the bounds in force; asked anew for each request.
    """

    class BoundedProtocol(HttpToolsProtocol):
        """Counts the bytes of a head, both whole and still unfinished."""

        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            self._in_head = False
            self._fields = 0
            self._unfinished = 0
            self._bounds = bounds()
            self._late: asyncio.TimerHandle | None = None

        def connection_made(self, transport) -> None:
            super().connection_made(transport)
            # The server itself begins to count after the first answer only:
            # a connection on which nothing is ever sent would stay for good.
            self.timeout_keep_alive_task = self.loop.call_later(
                self._bounds.idle_s, self.timeout_keep_alive_handler
            )

        def connection_lost(self, exc: Exception | None) -> None:
            self._head_ended()
            self._unset_keepalive_if_required()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if not self._in_head:
                return
            self._unfinished += len(data)
            if self._unfinished > self._bounds.head_bytes:
                self._refuse()

        def on_message_begin(self) -> None:
            self._in_head = True
            self._bounds = bounds()
            self._late = self.loop.call_later(
                self._bounds.head_s, self._refuse_late
            )
            super().on_message_begin()

        def on_header(self, name: bytes, value: bytes) -> None:
            self._fields += len(name) + len(value)
            if self._fields > self._bounds.head_bytes:
                # The parser turns it into a 400 and closes the connection.
                raise httptools.HttpParserError("head above the bound")
            super().on_header(name, value)

        def on_headers_complete(self) -> None:
            self._head_ended()
            super().on_headers_complete()

        def on_response_complete(self) -> None:
            self.timeout_keep_alive = bounds().idle_s
            super().on_response_complete()

        def _head_ended(self) -> None:
            self._in_head = False
            self._fields = 0
            self._unfinished = 0
            if self._late is not None:
                self._late.cancel()
                self._late = None

        def _refuse(self) -> None:
            if not self.transport.is_closing():
                self.send_400_response(
                    "The request head is too large; send fewer or shorter"
                    " header fields."
                )

        def _refuse_late(self) -> None:
            # A pipelined head may come late behind a request that is still
            # being answered; its answer would stand where that one's is due.
            busy = self.cycle is not None and not self.cycle.response_complete
            if self.transport.is_closing():
                return
            if not busy:
                self.transport.write(_LATE_ANSWER)
                self.transport.close()

    return BoundedProtocol
