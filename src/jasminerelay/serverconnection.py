"""One HTTP/1.1 connection to a backend server, for streams of small events.

It parses with httptools and leaves the socket's reading on. The connections of
httpcore cost three times as much for each event: their parser is written in
Python, and each read switches the socket's reading on and off again. Errors are
those of httpcore.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable

import anyio
import httpcore
import httptools

from jasminerelay import completeness, netstream
from jasminerelay.completeness import MIN_FINAL_STATUS, Framing
from jasminerelay.datagrams import READ_BYTES
from jasminerelay.netstream import (
    FRAMING_PER_BODY_BYTE,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    OpenConnection,
)
from jasminerelay.statednumbers import parse_whole
from jasminerelay.watchdog import Watchdog

MAX_BUFFERED_BYTES = 64 * 1024
"""Bytes of a body that may wait for the caller before reading pauses."""

PACED_BUFFER_BYTES = 64 * 1024
"""Receive buffer requested for the rest of a long response. The kernel would
let it grow to megabytes, which count as memory of the instance."""

SEND_PIECE_BYTES = 64 * 1024
"""Size of the pieces in which a body is handed to the transport, which copies
what its socket does not accept at once."""

HeaderFields = list[tuple[bytes, bytes]]


class ServerConnection(asyncio.Protocol):
    """Carries one request at a time.

    Attributes:
        timeout_s: Maximum time without any data while a response is awaited.
        on_silent: Called after that time, and the wait goes on; if None, the
            wait fails instead.
    """

    def __init__(self, watchdog: Watchdog):
        self._watchdog = watchdog
        self._guard = watchdog.add_guard(self._expire)
        self._transport: asyncio.Transport | None = None
        self._response: ServerResponse | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._failure: Exception | None = None
        self._at_end = False
        self._unexpected_data = False
        self._unsent = memoryview(b"")
        self._write_paused = False
        self.timeout_s = 0.0
        self.on_silent: Callable[[], None] | None = None

    @property
    def idle(self) -> bool:
        """Whether it is open, and no response is pending."""
        return (
            self._response is None
            and self._failure is None
            and not self._at_end
            and not self._unexpected_data
        )

    @property
    def readable(self) -> bool:
        """Whether data or the end of the stream has arrived."""
        if self._at_end or self._unexpected_data:
            return True
        return netstream.is_readable(self._transport.get_extra_info("socket"))

    async def send(
        self,
        method: str,
        target: bytes,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> "ServerResponse":
        """Sends a request and returns the response once its head has arrived.

        Raises:
            httpcore.NetworkError: if the connection fails.
            httpcore.ProtocolError: if the request or the response is malformed.
            httpcore.TimeoutException: if no data arrives in time.
        """
        data = _encoded_head(method.encode("ascii"), target, list(headers))
        response = self._response = ServerResponse(
            self, has_body=method != "HEAD"
        )
        self._parser = httptools.HttpResponseParser(response)
        self._parser.set_dangerous_leniencies(
            lenient_chunked_length=True,
            lenient_data_after_close=True,
            lenient_optional_cr_before_lf=True,
        )
        response.parser = self._parser
        try:
            if self._failure is None and not self._at_end:
                self._write(data, body)
            while not response.has_head:
                await self.wait()
        except BaseException:
            self.close()
            raise
        return response

    async def wait(self) -> None:
        """Waits until more of the response has arrived.

        Raises the same errors as `send`.
        """
        if self._failure is not None:
            raise self._failure
        if self._at_end:
            raise self._response.end_error()
        self._waiter = asyncio.get_running_loop().create_future()
        self._guard.arm(self.timeout_s)
        try:
            await self._waiter
        finally:
            self._guard.disarm()
            self._waiter = None

    def release(self) -> None:
        """Ends the exchange; closes the connection unless it is reusable."""
        response, self._response = self._response, None
        self._parser = None
        self.on_silent = None
        if (
            response is None
            or not response.complete
            or not response.keep_alive
            or self._unsent
        ):
            self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self._at_end = True
        self._unsent = memoryview(b"")
        self._watchdog.release(self._guard)
        if self._transport is not None:
            self._transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the request that the transport holds."""
        return self._transport.get_write_buffer_size()

    @property
    def has_unread(self) -> bool:
        """Whether data or the end of the stream waits in the socket."""
        return not self._transport.is_closing() and netstream.is_readable(
            self._transport.get_extra_info("socket")
        )

    def limit_receive_buffer(self) -> None:
        """Keeps the kernel from enlarging the socket's receive buffer."""
        if not self._transport.is_closing():
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, PACED_BUFFER_BYTES
            )

    def pause_writing(self) -> None:
        """Stops sending the body until the server has read some of it."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Sends more of the body."""
        self._write_paused = False
        self._write_more()

    def pause_reading(self) -> None:
        """Stops reading until the caller has taken what has arrived."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again."""
        self._transport.resume_reading()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes the open connection."""
        transport.max_size = READ_BYTES
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses a part of the response."""
        response = self._response
        if response is None or response.complete:
            self._unexpected_data = True
            self._transport.abort()
            return
        in_head = not response.has_head
        if in_head:
            if not response.head_bytes and not _may_begin_http(data):
                self._failure = httpcore.RemoteProtocolError("not HTTP")
                self._transport.abort()
                self._wake()
                return
            response.head_bytes += len(data)
        else:
            response.framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if response.complete:
                self._unexpected_data = True
            else:
                self._failure = httpcore.RemoteProtocolError(str(exc))
        if response.extra_data:
            self._unexpected_data = True
        if response.head_fault:
            self._failure = httpcore.RemoteProtocolError(response.head_fault)
        if not response.has_head and response.head_bytes > MAX_HEAD_BYTES:
            self._failure = httpcore.RemoteProtocolError("head too large")
        if in_head:
            # The parts of the body that came with the head were taken off.
            response.framing_bytes = 0
        elif response.framing_bytes > MAX_FRAMING_BYTES:
            self._failure = httpcore.RemoteProtocolError(
                "too many bytes between the chunks of a body"
            )
        if self._failure is not None:
            self._transport.abort()
        self._wake()

    def eof_received(self) -> bool:
        """Handles the end of the stream; the connection then closes."""
        self._at_end = True
        if self._response is not None:
            self._response.stream_ended()
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        if exc is not None and self._failure is None:
            self._failure = httpcore.ReadError(str(exc))
        self._at_end = True
        self._wake()

    def _write(self, head: bytes, body: bytes) -> None:
        if len(body) <= SEND_PIECE_BYTES:
            self._transport.write(head + body)
            return
        self._transport.write(head)
        self._unsent = memoryview(body)
        self._write_more()

    def _write_more(self) -> None:
        while (
            self._unsent
            and not self._write_paused
            and not self._transport.is_closing()
        ):
            piece = self._unsent[:SEND_PIECE_BYTES]
            self._unsent = self._unsent[SEND_PIECE_BYTES:]
            self._transport.write(piece)

    def _expire(self) -> None:
        if self.on_silent is not None:
            self.on_silent()
            return
        self._failure = httpcore.ReadTimeout("no data within the read timeout")
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ServerResponse:
    """A response whose body may still be arriving.

    Attributes:
        status: Status.
        headers: Header fields as sent.
        framing: What marks the end of the body; known once the head is.
        length: Length of the body as its head states it; None if it does not.
        has_head: Whether the head is complete.
        head_bytes: Bytes that have arrived for the head.
        framing_bytes: Bytes that have arrived between and after the chunks of
            the body, less what its bytes allow.
        complete: Whether the body is complete.
        keep_alive: Whether the connection may carry another request.
        extra_data: Whether bytes have followed that do not belong to it.
        head_fault: Why its head is that of no response; "" if it is of one.
        parser: Its parser.
    """

    def __init__(self, connection: ServerConnection, *, has_body: bool):
        self._connection = connection
        self._has_body = has_body
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._paused = False
        self._max_buffered = MAX_BUFFERED_BYTES
        self.framing = Framing.CONNECTION
        self.status = 0
        self.headers: HeaderFields = []
        self.length: int | None = None
        self.has_head = False
        self.head_bytes = 0
        self.framing_bytes = 0
        self.complete = False
        self.keep_alive = False
        self.extra_data = False
        self.head_fault = ""
        self.parser: httptools.HttpResponseParser | None = None

    async def receive(self) -> bytes:
        """Returns what has arrived of the body; b"" at its end.

        Raises the same errors as `ServerConnection.send`.
        """
        while not self._chunks:
            if self.complete:
                return b""
            self._resume()
            await self._connection.wait()
        chunks, self._chunks = self._chunks, []
        self._buffered_bytes = 0
        if self._max_buffered or self.complete:
            self._resume()
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def aread(self) -> bytes:
        """Returns the complete body."""
        parts = []
        while part := await self.receive():
            parts.append(part)
        return b"".join(parts)

    async def read_up_to(self, count: int) -> tuple[bytes, bool]:
        """Returns the body up to some bytes, and whether that is all of it.

        A body that its head announces as longer is returned from its first
        part on.
        """
        parts = []
        size = 0
        while part := await self.receive():
            parts.append(part)
            size += len(part)
            if size > count or (self.length or 0) > count:
                return b"".join(parts), self.complete and not self._chunks
        return b"".join(parts), True

    def pace(self, timeout_s: float) -> None:
        """From now on reads the body only as far as `receive` asks for it.

        Args:
            timeout_s: Maximum time without any data from now on.
        """
        self._max_buffered = 0
        self._connection.timeout_s = timeout_s
        self._connection.limit_receive_buffer()

    @property
    def held_up(self) -> bool:
        """Whether the server has sent data that has not been read."""
        return self._paused and self._connection.has_unread

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._connection.resume_reading()

    async def aclose(self) -> None:
        """Ends the exchange; an incomplete one closes the connection."""
        self._connection.release()

    def end_error(self) -> httpcore.RemoteProtocolError:
        """Returns the error of a stream that ended before the response."""
        if not self.has_head:
            return httpcore.RemoteProtocolError(
                "Server disconnected without sending a response."
            )
        return httpcore.RemoteProtocolError(
            "peer closed connection without sending complete message body"
        )

    def stream_ended(self) -> None:
        """Ends a body that extends to the end of the stream.

        `completeness` decides whether that shows that it is complete.
        """
        if self.has_head and self.framing is Framing.CONNECTION:
            self.complete = True

    def on_message_begin(self) -> None:
        """Handles the first byte of a response."""
        if self.complete:
            self.extra_data = True
        elif not self.has_head:
            # The previous one was informational.
            self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header field or, after the body, a trailer field."""
        if not self.has_head:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handles the end of the head."""
        status = self.parser.get_status_code()
        if self.has_head:
            return
        self.head_fault = completeness.head_fault(
            status, self.parser.get_http_version(), self.headers
        )
        if self.head_fault or status < MIN_FINAL_STATUS:
            return
        self.status = status
        self.has_head = True
        self.framing = completeness.framing(
            status, self.headers, has_body=self._has_body
        )
        if self.framing is Framing.LENGTH:
            self.length = _stated_length(self.headers)
        if self.length is not None and self.length > MAX_BUFFERED_BYTES:
            # Long responses that begin at once would take 128 KB each.
            self._max_buffered = 0
        if not self._has_body:
            # The parser does not know that no body follows.
            self.complete = True
            self.keep_alive = (
                self.parser.get_http_version() == "1.1"
                and not self._announces_close()
            )

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self.complete:
            self.extra_data = True
            return
        self._chunks.append(data)
        # Long chunks don't save up framing for later ones.
        self.framing_bytes -= len(data)
        self.framing_bytes = max(
            0, self.framing_bytes - FRAMING_PER_BODY_BYTE * len(data)
        )
        self._buffered_bytes += len(data)
        if self._buffered_bytes > self._max_buffered and not self._paused:
            self._paused = True
            self._connection.pause_reading()

    def on_message_complete(self) -> None:
        """Handles the end of a response."""
        if self.has_head and not self.complete:
            self.complete = True
            self.keep_alive = (
                self.parser.should_keep_alive()
                and not completeness.is_framed_twice(self.headers)
            )

    def _announces_close(self) -> bool:
        return any(
            name.lower() == b"connection" and b"close" in value.lower()
            for name, value in self.headers
        )


def _may_begin_http(data: bytes) -> bool:
    """Returns whether a response in HTTP may begin so.

    The parser takes RTSP and ICE, too.
    """
    first = data.lstrip(b"\r\n")[:1]
    return first in (b"", b"H")


def _stated_length(headers: HeaderFields) -> int | None:
    lengths = (v for k, v in headers if k.lower() == b"content-length")
    value = next(lengths, b"")
    return parse_whole(value) if value.isdigit() else None


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    watchdog: Watchdog,
    open_connection: OpenConnection,
) -> ServerConnection:
    """Opens a connection with TCP keepalive.

    Args:
        host: IP address of the server.
        port: Its port.
        timeout_s: Maximum time until it is open.
        watchdog: Enforces the time limits of reads.
        open_connection: Opens the connection.

    Raises:
        httpcore.ConnectTimeout: if it is not open in time.
        httpcore.ConnectError: if the server can't be reached.
    """
    connection = None

    def create() -> ServerConnection:
        nonlocal connection
        connection = ServerConnection(watchdog)
        return connection

    try:
        with anyio.fail_after(timeout_s):
            transport, opened = await open_connection(create, host, port)
    except BaseException as exc:
        if connection is not None:
            connection.close()
        if isinstance(exc, TimeoutError):
            raise httpcore.ConnectTimeout(f"{host}:{port}") from exc
        if isinstance(exc, OSError):
            raise httpcore.ConnectError(
                "All connection attempts failed"
            ) from exc
        raise
    raw: socket.socket = transport.get_extra_info("socket")
    netstream.enable_keepalive(raw)
    return opened


def _encoded_head(method: bytes, target: bytes, headers: HeaderFields) -> bytes:
    """Returns the encoded head of a request.

    Raises:
        httpcore.LocalProtocolError: if a field contains a line break, which
            would let its sender add fields or requests.
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % field for field in headers]
    data = b"\r\n".join(lines) + b"\r\n\r\n"
    breaks = len(lines) + 1
    if (
        data.count(b"\n") != breaks
        or data.count(b"\r") != breaks
        or b"\0" in data
    ):
        raise httpcore.LocalProtocolError("malformed header field")
    return data
