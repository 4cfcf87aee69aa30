"""Network backend of the HTTP client, with read timeouts by the watchdog."""

import asyncio
import select
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from jasminerelay.watchdog import Watchdog

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An unresponsive host is detected within three seconds, the time after which
callers have abandoned short responses anyway."""

MAX_HEAD_BYTES = 100 * 1024
"""Largest head of a response, with the informational ones before it."""

MAX_FRAMING_BYTES = 16 * 1024
FRAMING_PER_BODY_BYTE = 8
"""Bytes between and after the chunks of a body (sizes, extensions, trailers),
and how many more for each byte of the body. A chunk of one byte needs five."""

STAY_CHECK_S = 0.25
"""Interval of the decisions whether to wait on."""

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


OpenConnection = Callable[
    [Callable[[], asyncio.Protocol], str, int],
    Awaitable[tuple[asyncio.Transport, asyncio.Protocol]],
]
"""Opens a TCP connection for a protocol to a host and port."""


async def open_connection(
    create: Callable[[], asyncio.Protocol], host: str, port: int
) -> tuple[asyncio.Transport, asyncio.Protocol]:
    """Opens a TCP connection.

    Raises:
        OSError: if the host can't be reached.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_connection(create, host, port)


class PatientTimeout(float):
    """A read timeout in seconds that a function may extend.

    Attributes:
        stays: Called when the time is over, then every `STAY_CHECK_S`; returns
            whether to wait on.
    """

    stays: Callable[[], bool]

    def __new__(cls, seconds: float, stays: Callable[[], bool]):
        """Creates the timeout."""
        timeout = super().__new__(cls, seconds)
        timeout.stays = stays
        return timeout


class WatchedStream(httpcore.AsyncNetworkStream):
    """A TCP connection with read timeouts enforced by the watchdog.

    Attributes:
        read_timeout_s: Read timeout that overrides the one of the request; None
            for no override.
        readable_bytes: Bytes that may still be read before the next write; more
            are an error. Each write allows a response's head.
    """

    def __init__(self, stream: SocketStream, watchdog: Watchdog):
        self._stream = stream
        self._watchdog = watchdog
        self._guard = watchdog.add_guard(self._abort)
        self.read_timeout_s: float | None = None
        self.readable_bytes: float = MAX_HEAD_BYTES
        self._limit_s: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next bytes received, or b"" at the end of the stream.

        Raises:
            httpcore.RemoteProtocolError: if more was read than may be.
        """
        if self.readable_bytes <= 0:
            raise httpcore.RemoteProtocolError("the response is too long")
        limit_s = self.read_timeout_s or timeout
        self._limit_s = limit_s
        if limit_s is not None:
            self._guard.arm(limit_s)
        try:
            data = await self._stream.receive(max_bytes)
            self.readable_bytes -= len(data)
            return data
        except anyio.EndOfStream as exc:
            if self._guard.expired:
                raise httpcore.ReadTimeout(
                    "no data within the read timeout"
                ) from exc
            return b""
        except _CONNECTION_ERRORS as exc:
            if self._guard.expired:
                raise httpcore.ReadTimeout(
                    "no data within the read timeout"
                ) from exc
            raise httpcore.ReadError(str(exc)) from exc
        finally:
            self._guard.disarm()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes the entire buffer."""
        if not buffer:
            return
        self.readable_bytes = MAX_HEAD_BYTES
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as exc:
            raise httpcore.WriteTimeout("write timed out") from exc
        except _CONNECTION_ERRORS as exc:
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Closes the connection."""
        self._watchdog.release(self._guard)
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuses TLS: backend servers and the platform use plain HTTP."""
        raise httpcore.UnsupportedProtocol(
            "https is not supported; use an http:// address"
        )

    def get_extra_info(self, info: str) -> Any:
        """Returns for "is_readable" whether data can be read; else None."""
        if info == "is_readable":
            raw = self._stream.extra(SocketAttribute.raw_socket)
            return is_readable(raw)
        return None

    def _abort(self) -> None:
        limit_s = self._limit_s
        if isinstance(limit_s, PatientTimeout) and limit_s.stays():
            self._guard.rearm(STAY_CHECK_S)
            return
        # Shutting the socket down resumes the pending read. The expired guard
        # marks this as a timeout and not a disconnect of the remote host.
        raw = self._stream.extra(SocketAttribute.raw_socket)
        try:
            raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class WatchedNetworkBackend(httpcore.AsyncNetworkBackend):
    """Network backend that opens connections with watchdog timeouts."""

    def __init__(self, watchdog: Watchdog, *, keepalive: bool = False):
        """Creates the backend.

        Args:
            watchdog: Enforces the time limits of reads.
            keepalive: Whether to enable TCP keepalive on new connections.
        """
        self._watchdog = watchdog
        self._keepalive = keepalive

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection, with Nagle's algorithm disabled."""
        del local_address, socket_options
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(f"{host}:{port}") from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        if self._keepalive:
            enable_keepalive(stream.extra(SocketAttribute.raw_socket))
        return WatchedStream(stream, self._watchdog)

    async def sleep(self, seconds: float) -> None:
        """Suspends the task."""
        await anyio.sleep(seconds)


def enable_keepalive(raw: socket.socket) -> None:
    """Enables TCP keepalive, which detects an unresponsive host."""
    # A connection may stop transmitting for good without a reset while new
    # connections work. Only an unanswered keepalive probe reveals this.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    limit_ms = 1000 * (
        KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
    )
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def is_readable(raw: Any) -> bool:
    """Returns whether data can be read from a socket, or it has ended."""
    if raw.fileno() < 0:
        # Closed in this process.
        return True
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
