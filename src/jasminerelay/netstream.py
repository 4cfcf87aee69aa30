"""Network streams for the HTTP client whose reads the watchdog limits."""

import select
import socket
import ssl
from collections.abc import Iterable
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from jasminerelay.watchdog import Watchdog

PROBE_IDLE_S = 1
PROBE_EVERY_S = 1
PROBES = 2
"""A silent other side is found within three seconds, the time after which
callers have given up on short answers anyway."""

_BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


class WatchedStream(httpcore.AsyncNetworkStream):
    """A TCP connection.

    Attributes:
        read_limit_s: Longest silence, in place of the request's own limit;
            None for that one.
    """

    def __init__(self, stream: SocketStream, watchdog: Watchdog):
        self._stream = stream
        self._watchdog = watchdog
        self._guard = watchdog.guard(self._abort)
        self.read_limit_s: float | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads what is there; b"" at the end."""
        limit_s = self.read_limit_s or timeout
        if limit_s is not None:
            self._guard.arm(limit_s)
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream as exc:
            if self._guard.expired:
                raise httpcore.ReadTimeout("silent for too long") from exc
            return b""
        except _BROKEN as exc:
            if self._guard.expired:
                raise httpcore.ReadTimeout("silent for too long") from exc
            raise httpcore.ReadError(str(exc)) from exc
        finally:
            self._guard.disarm()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes all of the buffer."""
        if not buffer:
            return
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as exc:
            raise httpcore.WriteTimeout("blocked for too long") from exc
        except _BROKEN as exc:
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
        """Refuses: backend servers and the platform are reached in plain."""
        raise httpcore.UnsupportedProtocol("give an http:// address")

    def get_extra_info(self, info: str) -> Any:
        """Returns what the HTTP client asks of the connection."""
        if info == "is_readable":
            raw = self._stream.extra(SocketAttribute.raw_socket)
            return _is_readable(raw)
        return None

    def _abort(self) -> None:
        # Shutting the socket down wakes the reader, which then knows by the
        # guard that it was this and not the other side.
        raw = self._stream.extra(SocketAttribute.raw_socket)
        try:
            raw.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


class WatchedBackend(httpcore.AsyncNetworkBackend):
    """Opens watched connections."""

    def __init__(self, watchdog: Watchdog, *, keepalive: bool = False):
        """Makes the backend.

        Args:
            watchdog: Limits the reads.
            keepalive: Whether the kernel looks for a silent other side.
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
        """Connects; small writes go out at once."""
        del local_address, socket_options
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(f"{host}:{port}") from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        if self._keepalive:
            _keep_alive(stream.extra(SocketAttribute.raw_socket))
        return WatchedStream(stream, self._watchdog)

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await anyio.sleep(seconds)


def _keep_alive(raw: socket.socket) -> None:
    # A connection may fall silent for good without a reset, while new ones
    # work; nothing but an unanswered probe shows it.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    limit_ms = 1000 * (PROBE_IDLE_S + PROBE_EVERY_S * PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def _is_readable(raw: Any) -> bool:
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
