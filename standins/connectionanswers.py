"""Answers of a stand-in server with neither a length nor chunks.

Uvicorn always frames an answer, so these are written to its transport.
"""

import asyncio
import http
import socket
import struct

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
    raw: socket.socket = transport.get_extra_info("socket")
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
