"""HTTP client whose errors show whether a request may have been executed."""

import dataclasses
import math
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import httpcore

from jasminerelay import completeness
from jasminerelay.addresses import split_address
from jasminerelay.datagrams import READ_BYTES
from jasminerelay.netstream import (
    FRAMING_PER_BODY_BYTE,
    MAX_FRAMING_BYTES,
    WatchedNetworkBackend,
)
from jasminerelay.requestreader import connection_options
from jasminerelay.watchdog import Watchdog

MAX_CONNECTIONS = 1000
MAX_IDLE_CONNECTIONS = 100
KEEPALIVE_EXPIRY_S = 20.0
CONNECT_TIMEOUT_S = 1.0

MAX_RESPONSE_BYTES = 1 << 20
MAX_LONG_RESPONSE_BYTES = 16 << 20
MAX_ANSWER_BYTES = 64 << 20
"""Largest response that is read whole; one with rows, or the data of another
instance; and an answer for a caller."""


class NotSentError(Exception):
    """No byte of the request was sent; it provably was not executed."""

    @property
    def refused(self) -> bool:
        """Whether the connection was refused, by the server or a network."""
        return is_refusal(self)


class ServerUnreachedError(NotSentError):
    """Another instance has tried to connect to a server and could not.

    Attributes:
        refused_there: Whether the server refused its connection, while it
            reached others.
    """

    def __init__(self, why: str, *, refused_there: bool = False):
        """Creates the error."""
        super().__init__(why)
        self.refused_there = refused_there


class EndedAtOnceError(NotSentError):
    """A connection ended as soon as it was open, before any byte.

    The kernel accepts connections for a process that it is ending.
    """

    refused = True


class IncompleteExchangeError(Exception):
    """The exchange failed after bytes were sent; it may have been executed."""


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Header fields, names in lower case.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A request to send, and how to send it.

    Attributes:
        method: HTTP method.
        url: Full URL.
        headers: Header fields.
        body: Body.
        timeout_s: Time limit for each read and each write.
        new_connection: Whether to open a new connection. The server may already
            have closed a pooled one, which looks the same as a crash after it
            received the request; a new connection distinguishes the two.
        max_bytes: Largest response that `HttpClient.call` reads.
    """

    method: str
    url: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    timeout_s: float = 10.0
    new_connection: bool = False
    max_bytes: int = MAX_RESPONSE_BYTES


class HttpClient:
    """HTTP client with a bounded connection pool, shared by all servers."""

    def __init__(self, watchdog: Watchdog, *, keepalive: bool = False):
        """Creates the connection pool.

        Args:
            watchdog: Enforces the time limits of reads.
            keepalive: Whether TCP keepalive detects an unresponsive server.
        """
        self._network_backend = WatchedNetworkBackend(
            watchdog, keepalive=keepalive
        )
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_IDLE_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            network_backend=self._network_backend,
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def call(self, exchange: HttpRequest) -> HttpResponse:
        """Sends a request and reads the complete response.

        Raises:
            NotSentError: if no byte was sent.
            IncompleteExchangeError: if the exchange failed later, or the
                response is longer than it may be.
        """
        async with self.stream(exchange) as response:
            return await read_whole(response, exchange.max_bytes)

    async def refuses(self, address: str) -> bool:
        """Returns whether nothing listens at an address (IP:port)."""
        host, port = split_address(address)
        try:
            stream = await self._network_backend.connect_tcp(
                host, port, CONNECT_TIMEOUT_S
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            return is_refusal(exc)
        await stream.aclose()
        return False

    @asynccontextmanager
    async def stream(
        self, exchange: HttpRequest
    ) -> AsyncIterator[httpcore.Response]:
        """Sends a request and yields the response before its body is read.

        Raises:
            NotSentError: if no byte was sent.
            IncompleteExchangeError: if the exchange failed before the response
                headers.
        """
        headers = [(key, value) for key, value in exchange.headers.items()]
        if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
            headers.append(("content-length", str(len(exchange.body))))
        if exchange.new_connection:
            headers.append(("connection", "close"))
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": exchange.timeout_s,
            "write": exchange.timeout_s,
        }
        pool = self._pool
        if exchange.new_connection:
            pool = httpcore.AsyncConnectionPool(
                network_backend=self._network_backend
            )
        try:
            manager = pool.stream(
                exchange.method,
                exchange.url,
                headers=_with_host_header(headers, exchange.url),
                content=exchange.body or None,
                extensions={
                    "timeout": timeout,
                    "target": _target(exchange.url),
                },
            )
            try:
                response = await manager.__aenter__()
            except _NOT_SENT_ERRORS as exc:
                raise NotSentError(repr(exc)) from exc
            except _INCOMPLETE_ERRORS as exc:
                raise IncompleteExchangeError(repr(exc)) from exc
            _allow(response, math.inf)
            try:
                _require_response(response)
                yield response
            finally:
                await manager.__aexit__(None, None, None)
        finally:
            if exchange.new_connection:
                await pool.aclose()


async def read_whole(
    response: httpcore.Response, max_bytes: int = MAX_RESPONSE_BYTES
) -> HttpResponse:
    """Reads the rest of a response.

    Args:
        response: The response.
        max_bytes: Bytes that may follow its head, with those between chunks.

    Raises:
        IncompleteExchangeError: if the exchange fails, or more bytes follow.
    """
    _allow(response, max_bytes)
    try:
        body = await response.aread()
    except _INCOMPLETE_ERRORS as exc:
        raise IncompleteExchangeError(repr(exc)) from exc
    return HttpResponse(response.status, response_headers(response), body)


def is_refusal(error: BaseException | None) -> bool:
    """Returns whether a connection failed since nothing listens."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


def response_headers(response: httpcore.Response) -> dict[str, str]:
    """Returns the header fields of a response, names in lower case.

    Those that its Connection names concern nobody else, and are left out.
    """
    options: set[bytes] = set()
    for key, value in response.headers:
        if key.lower() == b"connection":
            options |= connection_options(value)
    return {
        key.decode("latin-1").lower(): value.decode("latin-1")
        for key, value in response.headers
        if key.lower() not in options
    }


def _require_response(response: httpcore.Response) -> None:
    """Refuses what is no response to a request in HTTP/1.1."""
    fault = completeness.head_fault(
        response.status,
        response.extensions["http_version"].decode()[len("HTTP/") :],
        response.headers,
    )
    if fault:
        raise IncompleteExchangeError(fault)


async def body_chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yields the body of a response in the chunks received.

    Raises:
        IncompleteExchangeError: if the connection fails before the end of the
            body, or too many bytes come between its chunks.
    """
    stream = response.extensions["network_stream"]
    most = READ_BYTES + MAX_FRAMING_BYTES
    stream.readable_bytes = most
    try:
        async for chunk in response.aiter_stream():
            stream.readable_bytes = min(
                most,
                stream.readable_bytes
                + (1 + FRAMING_PER_BODY_BYTE) * len(chunk),
            )
            yield chunk
    except _INCOMPLETE_ERRORS as exc:
        raise IncompleteExchangeError(repr(exc)) from exc


def _allow(response: httpcore.Response, count: float) -> None:
    """Sets how many bytes may still be read of a response."""
    response.extensions["network_stream"].readable_bytes = count


_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_INCOMPLETE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def _target(url: str) -> bytes:
    """Returns the path and query of a URL, whole and unchanged."""
    return b"/" + b"/".join(url.encode("ascii").split(b"/", 3)[3:])


def _with_host_header(
    headers: list[tuple[str, str]], url: str
) -> list[tuple[str, str]]:
    host = url.split("/", 3)[2]
    return [("host", host), *headers]
