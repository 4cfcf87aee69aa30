"""A UDP socket whose datagrams are handled by the event loop's callbacks.

With a task that awaits each datagram, and a queue and a task for those to send,
each one cost two more iterations of the event loop than here.
"""

import asyncio
import collections
import functools
from collections.abc import Callable

from jasminerelay.addresses import split_address

MAX_WAITING = 200
"""Datagrams that may wait until the socket is open."""

MAX_WAITING_BYTES = 256 * 1024
"""Bytes that may wait to be sent; more are dropped, as on a full link."""


READ_BYTES = 64 * 1024
"""Size of the buffer of each read. asyncio's default of 256 KB is allocated by
a system call, which costs six times as much as the read."""


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends datagrams, and calls a handler with each one received."""

    def __init__(
        self,
        handle: Callable[[bytes], None],
        on_error: Callable[[Exception], None],
    ):
        """Creates a socket that is not open yet.

        Args:
            handle: Handles the data of one datagram. `run` raises its errors.
            on_error: Called with errors of the network, and with those of
                addresses at which nothing can listen.
        """
        self._handle = handle
        self._on_error = on_error
        self._transport: asyncio.DatagramTransport | None = None
        self._closed: asyncio.Future[None] | None = None
        self._waiting: collections.deque[tuple[str, bytes]] = (
            collections.deque()
        )
        self._full = False

    async def run(self, address: str) -> None:
        """Sends and receives until cancelled.

        Args:
            address: Local IP:port.
        """
        loop = asyncio.get_running_loop()
        self._closed = loop.create_future()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_host_and_port(address)
        )
        transport.set_write_buffer_limits(high=MAX_WAITING_BYTES)
        transport.max_size = READ_BYTES
        self._transport = transport
        try:
            while self._waiting:
                self.send(*self._waiting.popleft())
            await self._closed
        finally:
            self._transport = None
            transport.close()

    def send(self, address: str, data: bytes) -> bool:
        """Sends a datagram; returns whether it was not dropped."""
        if self._transport is None:
            if len(self._waiting) >= MAX_WAITING:
                return False
            self._waiting.append((address, data))
            return True
        if self._full:
            return False
        try:
            target = _host_and_port(address)
        except ValueError as exc:
            self._on_error(exc)
            return False
        self._transport.sendto(data, target)
        return True

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handles a datagram."""
        del addr
        try:
            self._handle(data)
        except Exception as exc:
            if not self._closed.done():
                self._closed.set_exception(exc)

    def error_received(self, exc: Exception) -> None:
        """Handles an error of the network."""
        self._on_error(exc)

    def pause_writing(self) -> None:
        """Starts dropping datagrams, since too many bytes wait."""
        self._full = True

    def resume_writing(self) -> None:
        """Stops dropping datagrams."""
        self._full = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends `run` if the socket has failed."""
        if exc is not None and not self._closed.done():
            self._closed.set_exception(exc)


@functools.lru_cache(maxsize=1024)
def _host_and_port(address: str) -> tuple[str, int]:
    # A name would be looked up, and one that cannot be encoded would close the
    # socket.
    return split_address(address)
