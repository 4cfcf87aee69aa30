"""Answers of a stand-in server with neither a length nor chunks.

Uvicorn always frames an answer, so these are written to its transport.
"""

import asyncio
import contextlib
import http
import socket
import struct

from jasminerelay.ports import HttpServer

_LINGER_ZERO = struct.pack("ii", 1, 0)


class ConnectionAnswer:
    """An answer whose end is that of its connection."""

    def __init__(self, send):
        """Takes over a request's connection.

        Args:
            send: The ASGI callable that uvicorn passed for the request.
        """
        self._transport: asyncio.Transport = send.__self__.transport

    def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Sends the head."""
        reason = http.HTTPStatus(status).phrase.encode()
        lines = [b"HTTP/1.1 %d %b" % (status, reason)]
        lines += [b"%b: %b" % field for field in headers]
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._transport.write(data)

    def end(self) -> None:
        """Closes the connection in order, whether or not the body is whole."""
        self._transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        reset(self._transport)


def reset(transport: asyncio.Transport) -> None:
    """Resets a connection."""
    reset_on_close(transport.get_extra_info("socket"))
    transport.abort()


def reset_on_close(raw: socket.socket) -> None:
    """Lets the end of a connection be a reset."""
    if raw.fileno() >= 0:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def end_port(port: HttpServer, *, in_order: bool = False) -> None:
    """Ends a port at once: stops listening and resets its connections.

    Args:
        port: The port.
        in_order: Whether its connections end in order instead, as the kernel
            ends those of a process that is killed.
    """
    for listener in getattr(port, "servers", []):
        listener.close()
    for connection in list(port.server_state.connections):
        if in_order:
            connection.transport.close()
        else:
            reset(connection.transport)
