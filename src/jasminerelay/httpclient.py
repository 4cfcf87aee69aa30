"""One HTTP exchange, with proof of whether it reached the other side."""

import dataclasses
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import httpcore

from jasminerelay.netstream import WatchedBackend
from jasminerelay.watchdog import Watchdog

MAX_CONNECTIONS = 1000
MAX_KEEPALIVE = 100
KEEPALIVE_S = 20.0
CONNECT_S = 1.0


class NotSentError(Exception):
    """No byte of the request left; it provably did not run."""


class BrokenError(Exception):
    """The exchange broke after bytes were sent; it may have run."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole response.

    Attributes:
        status: HTTP status.
        headers: Header fields, names in lower case.
        body: Body, whole.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A request to send.

    Attributes:
        method: HTTP method.
        url: Full URL.
        headers: Header fields.
        body: Body.
        timeout_s: Longest silence of the other side.
        fresh: Whether to open a new connection. On a kept one the other side
            may have hung up already, which looks the same as a crash after
            it took the request; a fresh one tells the two apart.
    """

    method: str
    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    timeout_s: float = 10.0
    fresh: bool = False


class Client:
    """Bounded connection pool; one for all backend servers of an instance."""

    def __init__(self, watchdog: Watchdog, *, keepalive: bool = False):
        """Makes the pool.

        Args:
            watchdog: Limits the reads.
            keepalive: Whether the kernel looks for a silent other side.
        """
        self._backend = WatchedBackend(watchdog, keepalive=keepalive)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_KEEPALIVE,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=self._backend,
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def call(self, exchange: Exchange) -> Reply:
        """Sends a request and reads the whole response.

        Raises:
            NotSentError: if no byte was sent.
            BrokenError: if the exchange broke later.
        """
        async with self.stream(exchange) as response:
            try:
                body = await response.aread()
            except _BROKEN as exc:
                raise BrokenError(repr(exc)) from exc
            return Reply(response.status, headers_of(response), body)

    @asynccontextmanager
    async def stream(
        self, exchange: Exchange
    ) -> AsyncIterator[httpcore.Response]:
        """Sends a request and gives the response before its body is read.

        Raises:
            NotSentError: if no byte was sent.
            BrokenError: if the exchange broke before the response's head.
        """
        headers = [(key, value) for key, value in exchange.headers.items()]
        if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(exchange.body))))
        if exchange.fresh:
            headers.append(("connection", "close"))
        timeout = {
            "connect": CONNECT_S,
            "pool": CONNECT_S,
            "read": exchange.timeout_s,
            "write": exchange.timeout_s,
        }
        pool = self._pool
        if exchange.fresh:
            pool = httpcore.AsyncConnectionPool(network_backend=self._backend)
        try:
            manager = pool.stream(
                exchange.method,
                exchange.url,
                headers=_with_host(headers, exchange.url),
                content=exchange.body or None,
                extensions={"timeout": timeout},
            )
            try:
                response = await manager.__aenter__()
            except _NOT_SENT as exc:
                raise NotSentError(repr(exc)) from exc
            except _BROKEN as exc:
                raise BrokenError(repr(exc)) from exc
            try:
                yield response
            finally:
                await manager.__aexit__(None, None, None)
        finally:
            if exchange.fresh:
                await pool.aclose()


def headers_of(response: httpcore.Response) -> dict[str, str]:
    """Returns the header fields, names in lower case."""
    return {
        key.decode("latin-1").lower(): value.decode("latin-1")
        for key, value in response.headers
    }


async def body_chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yields the body as it comes.

    Raises:
        BrokenError: if it breaks off.
    """
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except _BROKEN as exc:
        raise BrokenError(repr(exc)) from exc


_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def _with_host(
    headers: list[tuple[str, str]], url: str
) -> list[tuple[str, str]]:
    host = url.split("/", 3)[2]
    return [("host", host), *headers]
